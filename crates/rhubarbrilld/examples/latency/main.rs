//! Measures the latency that an entry host adds to a request, the number of requests that
//! it handles per second of CPU time, and its memory use.
//!
//! Run it with `cargo build --release && cargo run --release --example latency`. It sends
//! requests to a stand-in endpoint, directly and through an entry host that runs as a
//! separate process, in turn, and prints the results of both.

mod load;
mod process;

use std::time::Duration;

use argh::FromArgs;
use eyre::Result;
use load::{Load, Target};
use process::Entry;
use rhubarbrill_config::key;
use rhubarbrill_standin::endpoint::{Endpoint, Options};

/// Measures the latency and resource use that an entry host adds to requests.
#[derive(Debug, FromArgs)]
struct Args {
    /// duration of each run in seconds
    #[argh(option, default = "5")]
    seconds: u64,
    /// number of concurrent callers
    #[argh(option, default = "8")]
    callers: usize,
    /// number of requests that are open while memory use is measured
    #[argh(option, default = "1000")]
    open: usize,
}

fn main() -> Result<()> {
    let args: Args = argh::from_env();
    let endpoint = Endpoint::start(Options::new("h1"));
    let access_key = key::grant("counter", "till")?;
    let entry = Entry::start(endpoint.address(), &access_key)?;
    let direct = Target {
        address: endpoint.address(),
        token: None,
    };
    let through_entry = Target {
        address: entry.address,
        token: Some(access_key.token),
    };
    let load = Load {
        callers: args.callers,
        duration: Duration::from_secs(args.seconds),
    };
    println!(
        "{:<8} {:>8} {:>9} {:>9} {:>9}",
        "path", "callers", "req/s", "p50 us", "p99 us"
    );
    for callers in [1, args.callers] {
        let load = Load { callers, ..load };
        for (name, target) in [("direct", &direct), ("entry", &through_entry)] {
            let cpu_before = entry.cpu_seconds()?;
            let result = load::run(load, target)?;
            let cpu = entry.cpu_seconds()? - cpu_before;
            println!(
                "{name:<8} {callers:>8} {:>9.0} {:>9} {:>9}",
                result.per_second(),
                result.quantile(0.5),
                result.quantile(0.99),
            );
            if cpu > 0.0 && name == "entry" {
                let per_cpu_second = result.count() as f64 / cpu;
                println!("         {per_cpu_second:.0} requests per CPU second");
            }
        }
    }
    println!("memory idle: {} KiB", entry.memory_kib()?);
    let open = load::open_requests(args.open, &through_entry)?;
    std::thread::sleep(Duration::from_secs(1));
    println!(
        "memory with {} requests open: {} KiB",
        open.len(),
        entry.memory_kib()?
    );
    Ok(())
}
