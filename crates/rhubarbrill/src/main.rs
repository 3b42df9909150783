//! `rhubarbrill`: the command line for operators.

mod args;
mod command;
mod entry_hosts;
mod exit;
mod output;
mod settings;
mod store;

use std::process::ExitCode;

use argh::FromArgs as _;

use args::Args;
use exit::Exit;
use output::Output;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["rhubarbrill"], arguments.get(1..).unwrap_or(&[]))
    {
        Ok(args) => args,
        Err(early_exit) => return usage(&early_exit),
    };
    let is_json = args.is_json();
    let output = command::run(args).unwrap_or_else(|report| Output::failure(&report));
    output.print(is_json);
    output.exit().into()
}

fn usage(early_exit: &argh::EarlyExit) -> ExitCode {
    match early_exit.status {
        Ok(()) => {
            println!("{}", early_exit.output);
            Exit::Done.into()
        }
        Err(()) => {
            eprintln!("{}", early_exit.output);
            Exit::Usage.into()
        }
    }
}
