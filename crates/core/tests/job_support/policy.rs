//! Simulated placement policy on the virtual clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rhubarbrill_core::job::TaskName;
use rhubarbrill_core::job::scheduler::{Permit, PolicyAnswer, PolicyQuestion};
use rhubarbrill_core::time::Instant;

/// A policy that allows every endpoint except the denied ones.
#[derive(Debug, Default)]
pub struct Policy {
    /// Identities of the endpoints on which no task may run.
    pub denied: BTreeSet<String>,
    /// Time that the policy takes for each answer.
    pub answer_delay: Duration,
    /// Time for which a ticket is valid.
    pub ticket_validity: Duration,
    /// Whether the policy answers each question with [`PolicyAnswer::Unknown`].
    pub is_unavailable: bool,
    /// Number of questions received so far.
    pub question_count: usize,
    /// Newest ticket and its expiry, by step and endpoint.
    tickets: BTreeMap<(String, String), (String, Instant)>,
    /// Questions without an answer, each with the time at which its answer is due.
    pending: Vec<(Instant, PolicyQuestion)>,
}

impl Policy {
    /// Queues a question. Its answer is due after those of all earlier questions.
    pub fn ask(&mut self, now: Instant, question: PolicyQuestion) {
        self.question_count += 1;
        let previous = self.pending.last().map_or(now, |(at, _)| *at);
        self.pending
            .push((previous.max(now) + self.answer_delay, question));
    }

    /// Removes the questions whose answers are due, and returns them with their answers.
    pub fn answers(&mut self, now: Instant) -> Vec<(PolicyQuestion, PolicyAnswer)> {
        let (due, remaining) = self.pending.drain(..).partition(|(at, _)| *at <= now);
        self.pending = remaining;
        let answer = |(_, question): (Instant, PolicyQuestion)| {
            let answer = self.answer(now, &question);
            (question, answer)
        };
        due.into_iter().map(answer).collect()
    }

    fn answer(&mut self, now: Instant, question: &PolicyQuestion) -> PolicyAnswer {
        if self.is_unavailable {
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
            let entry = (permit.ticket.clone(), now + self.ticket_validity);
            let key = (step.clone(), permit.endpoint.clone());
            self.tickets.insert(key, entry);
        }
        PolicyAnswer::Allowed(permits, self.ticket_validity)
    }

    /// Returns whether `ticket` permits a start of the step on the endpoint at `now`.
    pub fn is_valid_ticket(
        &self,
        now: Instant,
        step: &str,
        endpoint: &str,
        ticket: Option<&str>,
    ) -> bool {
        let issued = self.tickets.get(&(step.to_owned(), endpoint.to_owned()));
        issued.is_some_and(|(issued, expires_at)| {
            Some(issued.as_str()) == ticket && now < *expires_at
        })
    }
}

/// Returns the name of the step occurrence that a task belongs to.
pub fn step_name(task: &TaskName) -> String {
    format!("{}.{}.{}", task.job, task.occurrence, task.step)
}
