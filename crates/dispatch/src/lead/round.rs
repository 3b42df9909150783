//! Measures the rounds of the leader's task.
//!
//! The leader handles messages, decides and executes its commands on one thread. While a
//! round lasts, nothing starts and no report is handled.

use std::time::Duration;

use rhubarbrill_core::time::Instant;
use rhubarbrill_event::Event;
use slog::o;

use super::term::Shared;
use crate::clock::millis;
use crate::platform::Platform;
use crate::{clock, event};

/// Duration from which a round, or the wait for it, is logged.
const SLOW: Duration = Duration::from_millis(100);

/// A part of a round.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Part {
    /// Handling messages and changes of the view.
    Messages,
    /// Deciding on tasks.
    Tasks,
    /// Deciding on hosts.
    Hosts,
    /// Writing the decisions to the log.
    Log,
    /// Executing commands.
    Commands,
}

/// Number of the parts of a round.
const PARTS: usize = 5;

/// Times of the present round, and when the one before ended.
#[derive(Debug)]
pub(super) struct Round {
    last_end: Instant,
    began: Instant,
    /// When the present part began.
    part_began: Instant,
    durations: [Duration; PARTS],
    commands: usize,
}

impl Round {
    /// Returns the measurement of the first round, which begins now.
    pub(super) fn new() -> Self {
        let now = clock::now();
        Self {
            last_end: now,
            began: now,
            part_began: now,
            durations: [Duration::ZERO; PARTS],
            commands: 0,
        }
    }

    /// Begins a round.
    pub(super) fn begin(&mut self) {
        let now = clock::now();
        self.began = now;
        self.part_began = now;
        self.durations = [Duration::ZERO; PARTS];
        self.commands = 0;
    }

    /// Ends a part of the round.
    pub(super) fn end_part(&mut self, part: Part) {
        let now = clock::now();
        self.durations[part as usize] += now.saturating_since(self.part_began);
        self.part_began = now;
    }

    /// Sets the number of commands that the round executes.
    pub(super) const fn set_commands(&mut self, commands: usize) {
        self.commands = commands;
    }

    /// Ends the round and records it. A round that took long, or for which the task had to
    /// wait long, is logged.
    pub(super) fn end<P: Platform>(&mut self, shared: &Shared<P>, jobs: usize) {
        let now = clock::now();
        let took = now.saturating_since(self.began);
        let waited = self.began.saturating_since(self.last_end);
        self.last_end = now;
        shared.node.metrics.leader_round(took);
        if took < SLOW && waited < SLOW {
            return;
        }
        let part_ms = |part: Part| millis(self.durations[part as usize]);
        let fields = o!(
            "jobs" => jobs,
            "commands" => self.commands,
            "commands_ms" => part_ms(Part::Commands),
            "log_ms" => part_ms(Part::Log),
            "hosts_ms" => part_ms(Part::Hosts),
            "tasks_ms" => part_ms(Part::Tasks),
            "messages_ms" => part_ms(Part::Messages),
            "took_ms" => millis(took),
            "waited_ms" => millis(waited),
        );
        event::log(&shared.node.log, Event::RoundSlow, fields);
    }
}
