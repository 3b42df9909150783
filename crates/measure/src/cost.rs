//! Cost of one decision at fleets of different sizes.

mod bench;

use argh::FromArgs;

use bench::{Bench, Size};

/// Sizes that are measured: today's, ten times that, and the planned one.
const SIZES: [Size; 3] = [
    Size {
        hosts: 50,
        pools: 6,
        workspaces: 6,
        entries: 8,
        zones: 3,
    },
    Size {
        hosts: 500,
        pools: 20,
        workspaces: 50,
        entries: 16,
        zones: 4,
    },
    Size {
        hosts: 8_100,
        pools: 160,
        workspaces: 300,
        entries: 152,
        zones: 19,
    },
];
/// Runs of which the median is given.
const RUNS: usize = 5;

/// measure the cost of one decision at 50, 500 and 8,100 hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cost")]
pub struct Args {
    /// seed of random choices
    #[argh(option, default = "1")]
    seed: u64,
}

/// A decision whose cost is measured.
struct Row {
    name: &'static str,
    measure: fn(&mut Bench) -> f64,
}

const ROWS: [Row; 10] = [
    Row {
        name: "admission",
        measure: Bench::admit,
    },
    Row {
        name: "start, with the routing choice",
        measure: Bench::start,
    },
    Row {
        name: "routing choice alone",
        measure: Bench::choose,
    },
    Row {
        name: "check before the send",
        measure: Bench::may_send,
    },
    Row {
        name: "end",
        measure: Bench::finish,
    },
    Row {
        name: "one cancellation of a wave of 10,000",
        measure: Bench::cancel,
    },
    Row {
        name: "one expiry of a wave of 10,000",
        measure: Bench::expire,
    },
    Row {
        name: "one row of a usage report",
        measure: Bench::absorb,
    },
    Row {
        name: "taking in a configuration",
        measure: Bench::reconfigure,
    },
    Row {
        name: "taking in the members",
        measure: Bench::set_members,
    },
];

pub fn run(args: &Args) {
    let mut benches = SIZES.map(|size| Bench::new(size, args.seed));
    println!("| ns per decision | 50 hosts | 500 hosts | 8,100 hosts |");
    println!("|---|---|---|---|");
    for row in ROWS {
        let costs = benches.each_mut().map(|bench| median(bench, row.measure));
        let [small, medium, large] = costs;
        println!("| {} | {small:.0} | {medium:.0} | {large:.0} |", row.name);
    }
}

fn median(bench: &mut Bench, measure: fn(&mut Bench) -> f64) -> f64 {
    measure(bench);
    let mut costs: Vec<f64> = (0..RUNS).map(|_| measure(bench)).collect();
    costs.sort_by(f64::total_cmp);
    costs[RUNS / 2]
}
