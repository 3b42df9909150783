//! Closed-loop load: each caller sends its next request after the previous response.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use hdrhistogram::Histogram;

/// Destination of the requests, and the token of the access key that they carry.
#[derive(Clone, Debug)]
pub struct Target {
    pub address: SocketAddr,
    pub token: Option<String>,
}

/// Number of concurrent callers, and the time for which they send requests.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub callers: usize,
    pub duration: Duration,
}

/// Latencies of the requests of one run, in microseconds.
#[derive(Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
    duration: Duration,
}

impl Latencies {
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    pub fn per_second(&self) -> f64 {
        self.count() as f64 / self.duration.as_secs_f64()
    }

    pub fn quantile(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }
}

/// Sends requests from all callers in parallel, each over a connection of its own.
pub fn run(load: Load, target: &Target) -> Result<Latencies> {
    let threads: Vec<_> = (0..load.callers)
        .map(|_| {
            let target = target.clone();
            std::thread::spawn(move || {
                send_until(Instant::now() + load.duration, &target)
            })
        })
        .collect();
    let mut histogram = Histogram::new(3)?;
    for thread in threads {
        let latencies = thread
            .join()
            .map_err(|_| eyre!("the thread of a caller panicked"))??;
        histogram.add(latencies)?;
    }
    Ok(Latencies {
        histogram,
        duration: load.duration,
    })
}

fn send_until(end: Instant, target: &Target) -> Result<Histogram<u64>> {
    let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
    let url = format!("http://{}/quotes", target.address);
    let mut histogram = Histogram::new(3)?;
    while Instant::now() < end {
        let start = Instant::now();
        let mut request = agent.post(&url);
        if let Some(token) = &target.token {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        let mut response = request.send("size 52, yellow gold")?;
        response.body_mut().read_to_vec()?;
        histogram.record(u64::try_from(start.elapsed().as_micros())?)?;
    }
    Ok(histogram)
}

/// Sends `count` requests that each take 20 seconds of work, and returns their open
/// connections without waiting for the responses.
pub fn open_requests(count: usize, target: &Target) -> Result<Vec<TcpStream>> {
    let token = target.token.clone().unwrap_or_default();
    let request = format!(
        "POST /quotes HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer {token}\r\n\
         X-Work-Ms: 20000\r\nRhubarbrill-Timeout-Ms: 30000\r\nContent-Length: 20\r\n\r\n\
         size 52, yellow gold"
    );
    (0..count)
        .map(|_| {
            let mut stream = TcpStream::connect(target.address)?;
            stream.write_all(request.as_bytes())?;
            Ok(stream)
        })
        .collect()
}
