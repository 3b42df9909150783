//! Compares the spare policy with simpler strategies for moving a spare host.

mod cost;
mod load;
mod simulation;
mod strategy;

use std::time::Duration;

use argh::FromArgs;

use load::DemandPattern;
use simulation::{Outcome, Simulation};
use strategy::Strategy;

/// Number of seeds; each table row is the mean over them.
const SEEDS: u64 = 10;
/// Simulated time of one run.
const RUN_DURATION: Duration = Duration::from_secs(4 * 3_600);

/// measure moves of a spare host, waiting times and unused capacity
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "spare")]
pub struct Args {
    /// seed of the first run
    #[argh(option, default = "1")]
    seed: u64,
    /// fraction of its pool's slots that a queue's mean demand occupies
    #[argh(option, default = "0.3")]
    load: f64,
    /// measure the time of one decision of the spare policy instead
    #[argh(switch)]
    cost: bool,
}

/// Prints the comparison of all strategies, or the table of decision times.
pub fn run(args: &Args) {
    if args.cost {
        return cost::print();
    }
    println!(
        "| demand | strategy | mean wait s | p99 wait s | moves per h | held back per \
         needed | idle per needed |"
    );
    println!("|---|---|--:|--:|--:|--:|--:|");
    for pattern in DemandPattern::ALL {
        for strategy in Strategy::ALL {
            let runs: Vec<Outcome> = (args.seed..args.seed + SEEDS)
                .map(|seed| {
                    Simulation::new(pattern, args.load, seed).run(strategy, RUN_DURATION)
                })
                .collect();
            print_row(pattern, strategy, &runs);
        }
    }
}

fn print_row(pattern: DemandPattern, strategy: Strategy, runs: &[Outcome]) {
    let mean = |figure: fn(&Outcome) -> f64| {
        runs.iter().map(figure).sum::<f64>() / runs.len() as f64
    };
    println!(
        "| {} | {} | {:.2} | {:.1} | {:.2} | {:.4} | {:.3} |",
        pattern.name(),
        strategy.name(),
        mean(|run| run.queued_work_secs / run.arrived_work),
        mean(Outcome::p99_wait),
        mean(|run| f64::from(run.moves)) / RUN_DURATION.as_secs_f64() * 3_600.0,
        mean(|run| run.held_back / run.arrived_work),
        mean(|run| run.idle / run.arrived_work),
    );
}
