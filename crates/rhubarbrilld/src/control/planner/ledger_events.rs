//! Logs events for changes in the ledger.

use rhubarbrill_core::maintenance::{Ledger, Pause, Phase, Step};
use rhubarbrill_event::Event;

use super::Term;
use crate::control::Node;
use crate::log;

impl Term {
    /// Logs what has changed between the latest logged ledger and a newer one.
    pub(super) fn log_changes(&mut self, node: &Node, ledger: &Ledger) {
        if ledger.generation() <= self.logged.generation() {
            return;
        }
        for (event, name) in changes(&self.logged, ledger) {
            log::event(node.log(), event, name);
        }
        self.logged.clone_from(ledger);
    }
}

fn changes<'a>(
    before: &'a Ledger,
    after: &'a Ledger,
) -> impl Iterator<Item = (Event, &'a str)> {
    let returned = before.records().filter_map(|(host, record)| {
        let serves = after.record(host).is_none_or(|now| now.step.accepts());
        (serves && !record.step.accepts()).then_some((Event::HostReturned, host))
    });
    let out_of_service = after.records().filter_map(|(host, record)| {
        let event = step_event(record.step)?;
        let earlier = before.record(host).and_then(|old| step_event(old.step));
        (earlier != Some(event)).then_some((event, host))
    });
    let waves = after.waves().filter_map(|(name, wave)| {
        let event = phase_event(wave.phase)?;
        let earlier = before.wave(name).and_then(|old| phase_event(old.phase));
        (earlier != Some(event)).then_some((event, name))
    });
    returned.chain(out_of_service).chain(waves)
}

const fn step_event(step: Step) -> Option<Event> {
    match step {
        Step::Leaving { .. } => Some(Event::HostLeaving),
        Step::Drained => Some(Event::HostDrained),
        Step::Failed
        | Step::Moving
        | Step::Rebooting
        | Step::Returning
        | Step::Serving => None,
    }
}

const fn phase_event(phase: Phase) -> Option<Event> {
    match phase {
        Phase::Paused(Pause::Budget) => Some(Event::WavePaused),
        Phase::Done => Some(Event::WaveDone),
        Phase::Paused(Pause::Operator) | Phase::Running => None,
    }
}
