//! Measures the time of one gate or routing decision at several fleet sizes.

mod bench;

use argh::FromArgs;

use bench::{Bench, Size};

/// Measured fleet sizes: the current one, ten times as many hosts, and the planned size.
const SIZES: [Size; 3] = [
    Size {
        hosts: 50,
        pools: 6,
        workspaces: 6,
        entry_hosts: 8,
        zones: 3,
    },
    Size {
        hosts: 500,
        pools: 20,
        workspaces: 50,
        entry_hosts: 16,
        zones: 4,
    },
    Size {
        hosts: 8_100,
        pools: 160,
        workspaces: 300,
        entry_hosts: 152,
        zones: 19,
    },
];
/// Number of measured runs; the median of them is reported.
const RUNS: usize = 5;

/// measure the cost of one decision at 50, 500 and 8,100 hosts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cost")]
pub struct Args {
    /// seed of the random number generator
    #[argh(option, default = "1")]
    seed: u64,
}

/// A decision whose cost is measured, with the method that returns its time in
/// nanoseconds.
struct Decision {
    name: &'static str,
    measure: fn(&mut Bench) -> f64,
}

const DECISIONS: [Decision; 10] = [
    Decision {
        name: "admission",
        measure: Bench::admit,
    },
    Decision {
        name: "start, with the routing choice",
        measure: Bench::start,
    },
    Decision {
        name: "routing choice alone",
        measure: Bench::choose_endpoint,
    },
    Decision {
        name: "check before the send",
        measure: Bench::may_send,
    },
    Decision {
        name: "end",
        measure: Bench::finish,
    },
    Decision {
        name: "one cancellation of a wave of 10,000",
        measure: Bench::cancel_batch,
    },
    Decision {
        name: "one expiry of a wave of 10,000",
        measure: Bench::expire_batch,
    },
    Decision {
        name: "one row of a usage report",
        measure: Bench::apply_usage_report,
    },
    Decision {
        name: "taking in a configuration",
        measure: Bench::reconfigure,
    },
    Decision {
        name: "taking in the members",
        measure: Bench::set_members,
    },
];

/// Prints a table of the median time of each decision at each fleet size.
pub fn run(args: &Args) {
    let mut benches = SIZES.map(|size| Bench::new(size, args.seed));
    println!("| ns per decision | 50 hosts | 500 hosts | 8,100 hosts |");
    println!("|---|---|---|---|");
    for decision in DECISIONS {
        let costs = benches
            .each_mut()
            .map(|bench| median_nanos(bench, decision.measure));
        let [small, medium, large] = costs;
        println!(
            "| {} | {small:.0} | {medium:.0} | {large:.0} |",
            decision.name
        );
    }
}

/// Returns the median time of a decision in nanoseconds, after one warm-up run.
fn median_nanos(bench: &mut Bench, measure: fn(&mut Bench) -> f64) -> f64 {
    measure(bench);
    let mut costs: Vec<f64> = (0..RUNS).map(|_| measure(bench)).collect();
    costs.sort_by(f64::total_cmp);
    costs[RUNS / 2]
}
