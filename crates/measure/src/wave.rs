//! Compares the wave planner with simpler strategies for the rollout of maintenance.

mod cost;
mod fault;
mod simulation;
pub mod site;
mod strategy;

use std::fmt::Write as _;

use argh::FromArgs;
use fault::Fault;
use simulation::{Outcome, Simulation};
use site::Site;
use strategy::Strategy;

/// measure the rollout of maintenance waves
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wave")]
pub struct Args {
    /// seed of the first run
    #[argh(option, default = "1")]
    seed: u64,
    /// measure the planned fleet size instead of the current sizes
    #[argh(switch)]
    planned: bool,
    /// measure the time of one planning step instead
    #[argh(switch)]
    cost: bool,
}

/// Number of seeds; each table row is the mean over them.
const SEEDS: u64 = 40;

/// One site under one kind of fault, with the number of seeds to run.
struct Scenario {
    site: Site,
    fault: Fault,
    seeds: u64,
}

/// Prints the requested table.
pub fn run(args: &Args) {
    let text = match args {
        Args { cost: true, .. } => cost::table(),
        Args { planned: true, .. } => planned_table(args.seed),
        Args { .. } => current_table(args.seed),
    };
    print!("{text}");
}

/// Compares all strategies on both current deployments, with seeds from `seed` on.
fn current_table(seed: u64) -> String {
    let faults = [Fault::None, Fault::Reboots, Fault::Rack];
    let scenarios = [Site::Magnolia, Site::Vestfjord]
        .into_iter()
        .flat_map(|site| {
            faults.map(|fault| Scenario {
                site,
                fault,
                seeds: SEEDS,
            })
        });
    results_table(scenarios, &Strategy::ALL, seed)
}

/// Compares two strategies on the fleet of the planned size, with one seed.
fn planned_table(seed: u64) -> String {
    let scenarios = [Fault::None, Fault::Rack].map(|fault| Scenario {
        site: Site::Planned,
        fault,
        seeds: 1,
    });
    results_table(scenarios, &[Strategy::Planner, Strategy::PoolSerial], seed)
}

/// Runs every strategy in every scenario and returns a Markdown table.
fn results_table(
    scenarios: impl IntoIterator<Item = Scenario>,
    strategies: &[Strategy],
    seed: u64,
) -> String {
    let mut text = String::from(
        "| site | fault | strategy | roll-out min | bound min | moves per wave | \
         moves per h | held back host-min | below budget host-min | overdrawn by plan |\n\
         |---|---|---|--:|--:|--:|--:|--:|--:|--:|\n",
    );
    for scenario in scenarios {
        for &strategy in strategies {
            let runs: Vec<Outcome> = (seed..seed + scenario.seeds)
                .map(|seed| {
                    Simulation::new(scenario.site, scenario.fault, seed).run(strategy)
                })
                .collect();
            write_row(&mut text, &scenario, strategy, &runs);
        }
    }
    text
}

/// Appends one table row, with the means over the runs.
fn write_row(
    text: &mut String,
    scenario: &Scenario,
    strategy: Strategy,
    runs: &[Outcome],
) {
    let mean = |figure: fn(&Outcome) -> f64| {
        runs.iter().map(figure).sum::<f64>() / runs.len() as f64
    };
    let rollout = mean(|run| run.rollout.as_secs_f64() / 60.0);
    let moves = mean(|run| f64::from(run.drains));
    let _ = writeln!(
        text,
        "| {} | {} | {} | {rollout:.1} | {:.1} | {moves:.1} | {:.1} | {:.0} | {:.1} | {} |",
        scenario.site.name(),
        scenario.fault.name(),
        strategy.name(),
        mean(|run| run.bound.as_secs_f64() / 60.0),
        moves / rollout * 60.0,
        mean(|run| run.held_back.as_secs_f64() / 60.0),
        mean(|run| run.below_budget.as_secs_f64() / 60.0),
        runs.iter().map(|run| run.overdrawn).sum::<u32>(),
    );
}
