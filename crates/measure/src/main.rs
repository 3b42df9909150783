//! Runs the decision code of rhubarbrill on a virtual clock and prints measurements.
//!
//! Each subcommand prints Markdown tables; `docs/MEASURES.md` defines every figure.

mod cost;
mod demand;
mod deployment;
mod fifo;
mod job;
mod share;
mod simulation;
mod spare;
mod stats;
mod wave;

use argh::FromArgs;

/// Measures the decisions of rhubarbrill and prints the results.
#[derive(Debug, FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Cost(cost::Args),
    Job(job::Args),
    Share(share::Args),
    Spare(spare::Args),
    Wave(wave::Args),
}

fn main() {
    let args: Args = argh::from_env();
    match args.command {
        Command::Cost(args) => cost::run(&args),
        Command::Job(args) => job::run(&args),
        Command::Share(args) => share::run(&args),
        Command::Spare(args) => spare::run(&args),
        Command::Wave(args) => wave::run(&args),
    }
}
