//! Subcommands and options of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Operates a shared fleet from declarations kept in version control.
///
/// Exit codes: 0 done, 1 refused, 2 usage error, 3 conflict, 4 store unreachable or
/// outcome unknown, 5 not confirmed by every entry host, 6 other failure.
#[derive(Debug, FromArgs)]
pub struct Args {
    /// settings file of the command line, in INI format (default: rhubarbrill.ini)
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
    Zone(Zone),
}

/// Validates declarations and prints every mistake; doesn't use the store.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// files and folders of declarations (default: path in the settings)
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints an empty questionnaire, or the declarations generated from a completed one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "questionnaire")]
pub struct Questionnaire {
    /// file with the answers; if omitted, an empty questionnaire is printed
    #[argh(positional)]
    pub answers: Option<PathBuf>,
    /// existing declarations to validate the generated ones with; may be repeated
    #[argh(option)]
    pub with: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints the changes that the declarations make to the configuration in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// files and folders of declarations (default: path in the settings)
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Makes the declarations the next revision of the configuration, and prints its number.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// files and folders of declarations (default: path in the settings)
    #[argh(positional)]
    pub paths: Vec<PathBuf>,
    /// revision that plan was run against; fails with a conflict if another is in force
    #[argh(option)]
    pub base: Option<u64>,
    /// wait until every reachable entry host has put the revision in force
    #[argh(switch)]
    pub wait: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints the revision in force at each entry host, usage by workspace, and waves.
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

/// Creates a key; prints its declaration and its token, which can't be shown again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "grant")]
pub struct Grant {
    /// name of the workspace
    #[argh(positional, arg_name = "team")]
    pub workspace: String,
    /// name of the key
    #[argh(positional)]
    pub name: String,
    /// put the key in force at once, before it is declared in version control
    #[argh(switch)]
    pub apply: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Withdraws a key at once, and lists the entry hosts that have not confirmed this.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "withdraw")]
pub struct Withdraw {
    /// name of the workspace
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

/// Starts a maintenance wave over a pool or over individual hosts.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "start")]
pub struct WaveStart {
    /// name of the wave
    #[argh(positional)]
    pub name: String,
    /// pool whose declared hosts are maintained
    #[argh(option)]
    pub pool: Option<String>,
    /// host to maintain; may be repeated
    #[argh(option)]
    pub host: Vec<String>,
    /// time by which the last host should be back in service, such as 8h
    #[argh(option)]
    pub within: Option<String>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Pauses a wave: hosts under way return to service, and no further host is drained.
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

/// Evacuates an availability zone of the users' platform, or returns it to use.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "zone")]
pub struct Zone {
    #[argh(subcommand)]
    pub command: ZoneCommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub enum ZoneCommand {
    Evacuate(ZoneEvacuate),
    Return(ZoneReturn),
    Status(ZoneStatus),
}

/// Requests the evacuation of a zone: nothing more starts there, and long-running tasks
/// move elsewhere.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "evacuate")]
pub struct ZoneEvacuate {
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
    /// address of the platform's store, such as 10.0.0.1:2379
    #[argh(option)]
    pub store: SocketAddr,
    /// wait until no task is left in the zone
    #[argh(switch)]
    pub wait: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Withdraws the request to evacuate a zone, which is then used again at once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "return")]
pub struct ZoneReturn {
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
    /// address of the platform's store, such as 10.0.0.1:2379
    #[argh(option)]
    pub store: SocketAddr,
    /// wait until the leader uses the zone again
    #[argh(switch)]
    pub wait: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Prints whether a zone is being evacuated, and what is left there.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct ZoneStatus {
    /// name of the zone
    #[argh(positional)]
    pub zone: String,
    /// address of the platform's store, such as 10.0.0.1:2379
    #[argh(option)]
    pub store: SocketAddr,
    /// wait until the zone is evacuated or, without a request, used again
    #[argh(switch)]
    pub wait: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

/// Explains an event number that occurs in the logs, or lists all events.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "events")]
pub struct Events {
    /// number of the event; if omitted, every event is listed
    #[argh(positional)]
    pub number: Option<u16>,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
}

impl Args {
    /// Returns whether the subcommand was asked to print JSON.
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
            Command::Zone(zone) => match &zone.command {
                ZoneCommand::Evacuate(evacuate) => evacuate.json,
                ZoneCommand::Return(returning) => returning.json,
                ZoneCommand::Status(status) => status.json,
            },
        }
    }
}
