//! The command line's subcommands and options.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs a shared fleet by declarations kept in version control.
///
/// Exit codes: 0 done, 1 refused, 2 usage, 3 conflict, 4 store gave no answer, 5 not
/// confirmed by every entry host, 6 other failure.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings of the command line, in INI (default: rhubarbrill.ini)
    #[argh(option, default = "PathBuf::from(\"rhubarbrill.ini\")")]
    pub settings: PathBuf,
    #[argh(subcommand)]
    pub command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Apply(Apply),
    Check(Check),
    Events(Events),
    Key(Key),
    Plan(Plan),
    Questionnaire(Questionnaire),
    Status(Status),
    Wave(Wave),
}

/// Checks declarations and prints every mistake; needs no store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files and folders (default: path in the settings)
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints an empty questionnaire, or the declarations that follow from a filled-in one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "questionnaire")]
pub struct Questionnaire {
    /// file with the answers; without it, an empty questionnaire is printed
    #[argh(positional)]
    pub answers: Option<PathBuf>,
    /// declarations that the new ones are checked together with; may be repeated
    #[argh(option)]
    pub with: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints the difference from what is in force to the declarations.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// files and folders (default: path in the settings)
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Accepts the declarations, and prints the revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// files and folders (default: path in the settings)
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// the revision that plan was run against; a conflict if another is in force
    #[argh(option)]
    pub base: Option<u64>,
    /// wait until every reachable entry host has the revision in force
    #[argh(switch)]
    pub wait: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints the revision in force at each entry host, usage of each team, and waves.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Grants or withdraws access keys.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    #[argh(subcommand)]
    pub command: KeyCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum KeyCommand {
    Grant(Grant),
    Withdraw(Withdraw),
}

/// Makes a key; prints its section to declare, and its token, which can't be shown again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
pub struct Grant {
    /// the team
    #[argh(positional, arg_name = "team")]
    pub workspace: String,
    /// name of the key
    #[argh(positional)]
    pub name: String,
    /// accept it at once, ahead of the declarations in version control
    #[argh(switch)]
    pub apply: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Withdraws a key at once, and lists the entry hosts that have not confirmed it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// the team
    #[argh(positional, arg_name = "team")]
    pub workspace: String,
    /// name of the key
    #[argh(positional)]
    pub name: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Starts, pauses or resumes a maintenance wave.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "wave")]
pub struct Wave {
    #[argh(subcommand)]
    pub command: WaveCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum WaveCommand {
    Start(WaveStart),
    Pause(WavePause),
    Resume(WaveResume),
}

/// Starts a wave over a pool, or over single hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct WaveStart {
    /// name of the wave
    #[argh(positional)]
    pub name: String,
    /// the pool whose declared hosts are maintained
    #[argh(option)]
    pub pool: Option<String>,
    /// a host that is maintained; may be repeated
    #[argh(option)]
    pub host: Vec<String>,
    /// longest time until the last host should be back, as 8h
    #[argh(option)]
    pub within: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Pauses a wave: hosts under way come back, no further host is drained.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "pause")]
pub struct WavePause {
    /// name of the wave
    #[argh(positional)]
    pub name: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Resumes a paused wave.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "resume")]
pub struct WaveResume {
    /// name of the wave
    #[argh(positional)]
    pub name: String,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Explains an event number of the logs, or all of them.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "events")]
pub struct Events {
    /// the number; without it, every event is listed
    #[argh(positional)]
    pub number: Option<u16>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Args {
    /// Returns whether the output is to be JSON.
    pub const fn is_json(&self) -> bool {
        match &self.command {
            Command::Apply(apply) => apply.json,
            Command::Check(check) => check.json,
            Command::Events(events) => events.json,
            Command::Key(key) => match &key.command {
                KeyCommand::Grant(grant) => grant.json,
                KeyCommand::Withdraw(withdraw) => withdraw.json,
            },
            Command::Plan(plan) => plan.json,
            Command::Questionnaire(questionnaire) => questionnaire.json,
            Command::Status(status) => status.json,
            Command::Wave(wave) => match &wave.command {
                WaveCommand::Start(start) => start.json,
                WaveCommand::Pause(pause) => pause.json,
                WaveCommand::Resume(resume) => resume.json,
            },
        }
    }
}
