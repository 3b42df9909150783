//! `zone`: evacuates a zone of the users' platform, and returns it to use.

use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::{Result, WrapErr};
use rhubarbrill_dispatch::evacuation::EvacuationState;
use rhubarbrill_platform::operator::{EvacuationStatus, Operator};
use serde::Serialize;

use crate::args::ZoneCommand;
use crate::exit::Exit;
use crate::output::{Output, Refusal};

/// Interval between two reads of the progress. The leader reports once a second.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time that `--wait` waits. Long-running tasks move one after the other, each
/// within seconds.
const MAX_WAIT: Duration = Duration::from_mins(10);

/// Outcome of a command on a zone.
#[derive(Debug, Serialize)]
struct Outcome {
    zone: String,
    state: State,
    #[serde(skip_serializing_if = "Option::is_none")]
    tasks: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    long_running: Option<usize>,
}

/// State of a zone for operators.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    /// No evacuation is requested.
    InUse,
    /// The request is withdrawn, and the leader hasn't removed its report yet.
    Returning,
    /// The evacuation is requested, and the leader hasn't reported yet.
    Requested,
    /// Tasks may still be executing in the zone.
    Evacuating,
    /// No task is left in the zone.
    Evacuated,
}

impl State {
    /// Returns whether the zone has reached the state that operators asked for.
    const fn is_settled(self) -> bool {
        matches!(self, Self::Evacuated | Self::InUse)
    }
}

impl Outcome {
    fn new(zone: &str, status: EvacuationStatus) -> Self {
        let reported = status.report.map(|report| report.state);
        let state = match (status.is_requested, reported) {
            (false, None) => State::InUse,
            (false, Some(_)) => State::Returning,
            (true, None) => State::Requested,
            (true, Some(EvacuationState::Evacuating)) => State::Evacuating,
            (true, Some(EvacuationState::Evacuated)) => State::Evacuated,
        };
        let report = status.report.filter(|_| status.is_requested);
        Self {
            zone: zone.to_owned(),
            state,
            tasks: report.map(|report| report.tasks),
            long_running: report.map(|report| report.long_running),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "zone {}: ", self.zone)?;
        match self.state {
            State::InUse => f.write_str("in use"),
            State::Returning => f.write_str("returning to use"),
            State::Requested => f.write_str("evacuation requested, no report yet"),
            State::Evacuating => write!(
                f,
                "evacuating, {} tasks left, {} of them long-running",
                self.tasks.unwrap_or(0),
                self.long_running.unwrap_or(0)
            ),
            State::Evacuated => f.write_str("evacuated"),
        }
    }
}

pub fn run(command: &ZoneCommand) -> Result<Output> {
    let (zone, store, wait) = match command {
        ZoneCommand::Evacuate(args) => (&args.zone, args.store, args.wait),
        ZoneCommand::Return(args) => (&args.zone, args.store, args.wait),
        ZoneCommand::Status(args) => (&args.zone, args.store, args.wait),
    };
    check_name(zone)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started")?;
    let execution = execute(command, zone, store, wait);
    tokio::task::LocalSet::new().block_on(&runtime, execution)
}

async fn execute(
    command: &ZoneCommand,
    zone: &str,
    store: SocketAddr,
    wait: bool,
) -> Result<Output> {
    let operator = Operator::new(store);
    match command {
        ZoneCommand::Evacuate(_) => operator.request_evacuation(zone).await?,
        ZoneCommand::Return(_) => operator.withdraw_evacuation(zone).await?,
        ZoneCommand::Status(_) => {}
    }
    let start = Instant::now();
    loop {
        let outcome = Outcome::new(zone, operator.evacuation(zone).await?);
        if !wait || outcome.state.is_settled() {
            return Ok(output(Exit::Done, &outcome));
        }
        if start.elapsed() >= MAX_WAIT {
            return Ok(output(Exit::Unconfirmed, &outcome));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn output(exit: Exit, outcome: &Outcome) -> Output {
    let output = Output::new(exit, outcome);
    if outcome.state != State::Requested {
        return output;
    }
    output.note(
        "the leader reports within two seconds, and not on a zone without any endpoint or \
         host; if there is no report, check the zone's name and event 624 in the logs",
    )
}

fn check_name(zone: &str) -> Result<(), Refusal> {
    let is_allowed =
        |symbol: char| symbol.is_ascii_alphanumeric() || "._-".contains(symbol);
    if !zone.is_empty() && zone.chars().all(is_allowed) {
        return Ok(());
    }
    Err(Refusal(format!(
        "{zone:?} is no zone: use letters, digits, '.', '_' and '-'"
    )))
}
