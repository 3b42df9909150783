//! `wave`: starts, pauses and resumes maintenance waves.

use std::fmt;
use std::time::Duration;

use eyre::{Result, eyre};
use rhubarbrill_config::unit;
use rhubarbrill_core::maintenance::{Command, Decision, Selection};
use rhubarbrill_core::time::Timestamp;
use rhubarbrill_registry::maintenance::{ChangeOutcome, Written};
use serde::Serialize;

use crate::args::{WaveCommand, WaveStart};
use crate::exit::Exit;
use crate::output::{Output, Refusal};
use crate::settings::Settings;
use crate::store::{Registry, now};

/// Outcome of a wave command.
#[derive(Debug, Serialize)]
struct Outcome {
    outcome: OutcomeKind,
    wave: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    generation: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum OutcomeKind {
    Changed,
    Unchanged,
    Unknown,
}

impl Outcome {
    fn new(wave: &str, changed: &ChangeOutcome) -> Result<Self> {
        let outcome = |outcome, generation, reason| Self {
            outcome,
            wave: wave.to_owned(),
            generation,
            reason,
        };
        if let Written::Unknown(error) = &changed.written {
            return Ok(outcome(OutcomeKind::Unknown, None, Some(error.to_string())));
        }
        match changed.decisions.first() {
            Some(Ok(Decision::Changed(generation))) => {
                Ok(outcome(OutcomeKind::Changed, Some(*generation), None))
            }
            Some(Ok(Decision::Unchanged)) => {
                Ok(outcome(OutcomeKind::Unchanged, None, None))
            }
            Some(Err(refusal)) => Err(Refusal(refusal.to_string()).into()),
            None => Err(eyre!("no decision was made on the command")),
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let wave = &self.wave;
        let reason = self.reason.as_deref().unwrap_or_default();
        match self.outcome {
            OutcomeKind::Changed => {
                write!(f, "wave {wave}: recorded; status shows its progress")
            }
            OutcomeKind::Unchanged => write!(f, "wave {wave}: recorded already"),
            OutcomeKind::Unknown => {
                write!(
                    f,
                    "wave {wave}: outcome unknown: {reason}; run the command again"
                )
            }
        }
    }
}

pub fn run(settings: &Settings, command: &WaveCommand) -> Result<Output> {
    let (wave, command) = match command {
        WaveCommand::Start(start) => (&start.name, self::start_command(start)?),
        WaveCommand::Pause(pause) => {
            let wave = pause.name.clone();
            (&pause.name, Command::PauseWave { wave })
        }
        WaveCommand::Resume(resume) => {
            let wave = resume.name.clone();
            (&resume.name, Command::ResumeWave { wave })
        }
    };
    let changed = Registry::open(settings)?.apply_maintenance(&command)?;
    let outcome = Outcome::new(wave, &changed)?;
    let exit = match outcome.outcome {
        OutcomeKind::Changed | OutcomeKind::Unchanged => Exit::Done,
        OutcomeKind::Unknown => Exit::Unknown,
    };
    Ok(Output::new(exit, &outcome))
}

fn start_command(args: &WaveStart) -> Result<Command> {
    let selection = match (&args.pool, args.host.is_empty()) {
        (Some(pool), true) => Selection::Pool(pool.clone()),
        (None, false) => Selection::Hosts(args.host.iter().cloned().collect()),
        _ => {
            return Err(
                Refusal("name either --pool or hosts by --host".to_owned()).into()
            );
        }
    };
    let finish_by = match &args.within {
        Some(within) => Some(deadline_after(now(), unit::duration(within)?)),
        None => None,
    };
    Ok(Command::StartWave {
        wave: args.name.clone(),
        selection,
        finish_by,
    })
}

fn deadline_after(start: Timestamp, span: Duration) -> Timestamp {
    let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
    Timestamp::from_millis(start.as_millis().saturating_add(millis))
}
