//! A placement policy on the virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrill_core::job::TaskName;
use rhubarbrill_core::job::scheduler::{Permit, PolicyAnswer, PolicyQuestion};
use rhubarbrill_core::time::Instant;

/// A policy that allows every endpoint but some.
#[derive(Debug, Default)]
pub struct Policy {
    /// Identities of the endpoints that may run nothing.
    pub denied: BTreeSet<String>,
    /// Time for each answer.
    pub decide: Duration,
    /// Time for which a ticket is valid.
    pub valid: Duration,
    /// Whether it answers at all.
    pub is_silent: bool,
    /// Number of questions so far.
    pub questions: usize,
    tickets: BTreeMap<(String, String), (String, Instant)>,
    asked: Vec<(Instant, PolicyQuestion)>,
}

impl Policy {
    /// Takes a question, whose answer comes later.
    pub fn ask(&mut self, now: Instant, question: PolicyQuestion) {
        self.questions += 1;
        let last = self.asked.last().map_or(now, |(at, _)| *at);
        self.asked.push((last.max(now) + self.decide, question));
    }

    /// Returns the answers that are due.
    pub fn answers(&mut self, now: Instant) -> Vec<(PolicyQuestion, PolicyAnswer)> {
        let (due, asked) = self.asked.drain(..).partition(|(at, _)| *at <= now);
        self.asked = asked;
        let rule = |(_, question): (Instant, PolicyQuestion)| {
            let ruling = self.rule(now, &question);
            (question, ruling)
        };
        due.into_iter().map(rule).collect()
    }

    fn rule(&mut self, now: Instant, question: &PolicyQuestion) -> PolicyAnswer {
        if self.is_silent {
            return PolicyAnswer::Unknown;
        }
        let step = question.step;
        let step = format!("{}.{}.{}", question.job, step.occurrence, step.step);
        let allowed = question
            .endpoints
            .iter()
            .filter(|id| !self.denied.contains(*id));
        let permits: Vec<Permit> = allowed
            .map(|id| Permit {
                endpoint: id.clone(),
                ticket: format!("{step}-{id}-{now:?}"),
            })
            .collect();
        for permit in &permits {
            let entry = (permit.ticket.clone(), now + self.valid);
            let key = (step.clone(), permit.endpoint.clone());
            self.tickets.insert(key, entry);
        }
        PolicyAnswer::Allowed(permits, self.valid)
    }

    /// Returns whether a start of a step on an endpoint carries a ticket that is valid.
    pub fn is_valid(
        &self,
        now: Instant,
        step: &str,
        endpoint: &str,
        ticket: Option<&str>,
    ) -> bool {
        let issued = self.tickets.get(&(step.to_owned(), endpoint.to_owned()));
        issued.is_some_and(|(issued, until)| {
            Some(issued.as_str()) == ticket && now < *until
        })
    }
}

/// Returns the name of a task's step.
pub fn step_name(task: &TaskName) -> String {
    format!("{}.{}.{}", task.job, task.occurrence, task.step)
}
