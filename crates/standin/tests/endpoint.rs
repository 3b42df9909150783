//! Counters of the simulated endpoint, and the effect of each fault on a caller.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use rhubarbrill_standin::Tally;
use rhubarbrill_standin::endpoint::{
    DIGEST_HEADER, Endpoint, Fault, IDENTITY_HEADER, LARGE_RESPONSE_BYTES, Options,
    Stage, WORK_HEADER, WORKSPACE_HEADER,
};
use rstest::rstest;
use sha2::{Digest, Sha256};

/// Timeout of a request that is expected to fail, possibly by this timeout.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a request that is expected to receive a response.
const SUCCESS_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug, Eq, PartialEq)]
enum Outcome {
    Complete,
    Status(u16),
    WrongDigest,
    Failed,
}

fn agent(timeout: Duration) -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(false)
        .build()
        .into()
}

fn send_request(agent: &ureq::Agent, endpoint: &Endpoint, identity: &str) -> Outcome {
    let url = format!("http://{}/any/path?q=1", endpoint.address());
    let request = agent
        .put(&url)
        .header(IDENTITY_HEADER, identity)
        .header(WORKSPACE_HEADER, "bench");
    let Ok(mut response) = request.send("a body that is echoed") else {
        return Outcome::Failed;
    };
    if response.status() != 200 {
        return Outcome::Status(response.status().as_u16());
    }
    let digest = response.headers()[DIGEST_HEADER]
        .to_str()
        .unwrap()
        .to_owned();
    match response.body_mut().read_to_vec() {
        Ok(body) if hex(&Sha256::digest(&body)) == digest => Outcome::Complete,
        Ok(_) => Outcome::WrongDigest,
        Err(_) => Outcome::Failed,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Waits until a condition holds, for at most `SUCCESS_TIMEOUT`.
fn eventually(mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + SUCCESS_TIMEOUT;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(5));
    }
    condition()
}

#[rstest]
#[case(Fault::None, Outcome::Complete, 1)]
#[case(Fault::Refuse, Outcome::Failed, 0)]
#[case(Fault::CloseMidResponse, Outcome::Failed, 1)]
#[case(Fault::LengthTooLong, Outcome::Failed, 1)]
#[case(Fault::LengthTooShort, Outcome::WrongDigest, 1)]
#[case(Fault::Hang, Outcome::Failed, 1)]
#[case(Fault::FailFast, Outcome::Status(500), 0)]
#[case(Fault::LargeResponse, Outcome::Complete, 1)]
#[case(Fault::SlowFirstByte(Duration::from_millis(50)), Outcome::Complete, 1)]
#[case(Fault::SlowFirstByte(SUCCESS_TIMEOUT), Outcome::Failed, 1)]
fn faults_as_seen_by_callers(
    #[case] fault: Fault,
    #[case] expected: Outcome,
    #[case] runs: u32,
) {
    let endpoint = Endpoint::start(Options::new("e1"));
    assert_eq!(
        send_request(&agent(SUCCESS_TIMEOUT), &endpoint, "before"),
        Outcome::Complete
    );
    endpoint.set_fault(fault);
    if fault == Fault::Refuse {
        assert!(eventually(
            || TcpStream::connect(endpoint.address()).is_err()
        ));
    }
    let timeout = if expected == Outcome::Failed {
        FAILURE_TIMEOUT
    } else {
        SUCCESS_TIMEOUT
    };
    assert_eq!(send_request(&agent(timeout), &endpoint, "during"), expected);
    assert_eq!(endpoint.tally().runs("during"), runs);
    endpoint.set_fault(Fault::None);
    assert!(eventually(|| send_request(
        &agent(SUCCESS_TIMEOUT),
        &endpoint,
        "after"
    ) == Outcome::Complete));
}

#[test]
fn large_response_has_the_documented_length() {
    let endpoint = Endpoint::start(Options::new("e1"));
    endpoint.set_fault(Fault::LargeResponse);
    let url = format!("http://{}/", endpoint.address());
    let mut response = agent(SUCCESS_TIMEOUT).get(&url).call().unwrap();
    let body = response.body_mut().read_to_vec().unwrap();
    assert_eq!(body.len(), LARGE_RESPONSE_BYTES);
}

#[test]
fn trailing_bytes_follow_a_short_content_length() {
    let endpoint = Endpoint::start(Options::new("e1"));
    endpoint.set_fault(Fault::LengthTooShort);
    let mut stream = TcpStream::connect(endpoint.address()).unwrap();
    stream.set_read_timeout(Some(FAILURE_TIMEOUT)).unwrap();
    let request = "POST / HTTP/1.1\r\nhost: e\r\ncontent-length: 10\r\n\r\n0123456789";
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = Vec::new();
    // The connection stays open, so that reading ends with the timeout.
    let _ = stream.read_to_end(&mut response);
    let response = String::from_utf8(response).unwrap();
    assert!(response.contains("content-length: 5"), "{response}");
    assert!(response.ends_with("\r\n\r\n0123456789"), "{response}");
}

#[rstest]
#[case::stops(false, Stage::Stopped)]
#[case::continues(true, Stage::Finished)]
fn run_after_the_caller_disconnected(#[case] detached: bool, #[case] last_stage: Stage) {
    let mut options = Options::new("e1").work(Duration::from_millis(500));
    if detached {
        options = options.detached();
    }
    let endpoint = Endpoint::start(options);
    assert_eq!(
        send_request(&agent(FAILURE_TIMEOUT), &endpoint, "left"),
        Outcome::Failed
    );
    assert!(eventually(|| endpoint.runs()[0].stage == last_stage));
    assert_eq!(endpoint.tally().usage("bench").running, 0);
    assert_eq!(endpoint.counters().running, 0);
}

#[test]
fn concurrency_is_counted_over_endpoints_and_limited_per_endpoint() {
    let tally = Tally::default();
    let options = |name: &str| Options::new(name).tally(&tally).slots(2);
    let endpoints = [
        Endpoint::start(options("e1")),
        Endpoint::start(options("e2")),
    ];
    let statuses: Vec<u16> = thread::scope(|scope| {
        let requests: Vec<_> = (0..6)
            .map(|index| {
                let endpoint = &endpoints[index % 2];
                scope.spawn(move || {
                    let url = format!("http://{}/", endpoint.address());
                    let request =
                        agent(SUCCESS_TIMEOUT).get(&url).header(WORK_HEADER, "500");
                    let response = request.header(WORKSPACE_HEADER, "bench").call();
                    response.unwrap().status().as_u16()
                })
            })
            .collect();
        requests
            .into_iter()
            .map(|request| request.join().unwrap())
            .collect()
    });
    assert_eq!(statuses.iter().filter(|&&status| status == 503).count(), 2);
    let usage = tally.usage("bench");
    assert_eq!((usage.max_running, usage.running, usage.started), (4, 0, 4));
    assert!(endpoints.iter().all(|e| e.counters().max_running == 2));
}

#[test]
fn connections_over_the_limit_are_closed() {
    let endpoint = Endpoint::start(Options::new("e1").connections(1));
    let _first = TcpStream::connect(endpoint.address()).unwrap();
    assert!(eventually(|| endpoint.counters().connections == 1));
    let mut second = TcpStream::connect(endpoint.address()).unwrap();
    assert_eq!(second.read(&mut [0]).unwrap_or(0), 0);
    assert_eq!(endpoint.counters().rejected_connections, 1);
}
