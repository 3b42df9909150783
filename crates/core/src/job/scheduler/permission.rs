//! Permissions: where a queue has a placement policy, a step runs only on the endpoints that
//! the policy allows, and each start carries a ticket for its endpoint.
//!
//! An answer takes longer with each endpoint in the question, and the policy answers one
//! question at a time. So a question names few endpoints, those with the most room, and the
//! next step is asked about while the one before it runs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, Note, Scheduler};
use crate::job::configuration::Advice;
use crate::job::{EndpointKey, JobKey, TaskRef};
use crate::time::Instant;

/// Most endpoints in one question; the time that a job may take allows for as many.
const MAX_ENDPOINTS: usize = 30;

/// Fewest endpoints in one question, if there are as many.
const MIN_ENDPOINTS: usize = 4;

/// Room that the endpoints in a question should have, in multiples of what the step needs:
/// the policy may reject most of them.
const ROOM_FACTOR: u64 = 3;

/// Questions on their way at once: the next one waits there while one is answered.
const MAX_QUESTIONS: usize = 2;

/// Time before its end at which a ticket is no longer used, for the way to the endpoint.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Pause after a question without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time for an answer beyond what the policy says it takes.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Names a step of a job under way.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepRef {
    /// The job.
    pub job: JobKey,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Position of the step.
    pub step: u32,
}

impl From<TaskRef> for StepRef {
    fn from(task: TaskRef) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }
}

/// A question to the placement policy: which of these endpoints may run a step?
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Question {
    /// The step.
    pub step: StepRef,
    /// Identity of the job.
    pub job: String,
    /// Identities of the endpoints.
    pub endpoints: Vec<String>,
    /// Longest time to wait for the answer.
    pub timeout: Duration,
}

/// Permission to run a step on an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Identity of the endpoint.
    pub endpoint: String,
    /// What each start there carries.
    pub ticket: String,
}

/// What the placement policy answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ruling {
    /// These endpoints may run the step, for the time; the others may never.
    Allowed(Vec<Permit>, Duration),
    /// It has too many questions.
    Busy,
    /// There was no answer that can be used.
    Unknown,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
enum Verdict {
    Denied,
    Allowed { ticket: String, until: Instant },
}

/// What the policy has said of the steps under way.
#[derive(Debug, Default)]
pub(super) struct Permissions {
    verdicts: BTreeMap<StepRef, BTreeMap<EndpointKey, Verdict>>,
    asked: Vec<StepRef>,
    next_question: Instant,
}

impl Permissions {
    /// Returns the ticket for a start, if there is one that is valid for a while.
    pub(super) fn ticket(
        &self,
        now: Instant,
        step: StepRef,
        endpoint: EndpointKey,
    ) -> Option<&str> {
        match self.verdicts.get(&step)?.get(&endpoint)? {
            Verdict::Allowed { ticket, until } if now + TICKET_MARGIN < *until => {
                Some(ticket)
            }
            Verdict::Allowed { .. } | Verdict::Denied => None,
        }
    }

    fn is_denied(&self, step: StepRef, endpoint: EndpointKey) -> bool {
        let verdict = self.verdicts.get(&step).and_then(|all| all.get(&endpoint));
        matches!(verdict, Some(Verdict::Denied))
    }

    /// Forgets a ticket that an endpoint didn't take.
    pub(super) fn drop_ticket(&mut self, step: StepRef, endpoint: EndpointKey) {
        if let Some(verdicts) = self.verdicts.get_mut(&step) {
            verdicts.remove(&endpoint);
        }
    }

    /// Forgets what concerns a job that is over.
    pub(super) fn forget(&mut self, job: JobKey) {
        self.verdicts.retain(|step, _| step.job != job);
    }
}

impl Scheduler {
    /// Returns how the policy of a job's queue answers, if it has one.
    pub(super) fn advice_of(&self, job: JobKey) -> Option<Advice> {
        let queue = &self.jobs[job].record.queue;
        self.configuration.queue(queue)?.advice
    }

    /// Returns whether a task may start on an endpoint as far as the policy goes.
    pub(super) fn is_permitted(
        &self,
        now: Instant,
        task: TaskRef,
        endpoint: EndpointKey,
    ) -> bool {
        self.advice_of(task.job).is_none()
            || self
                .permissions
                .ticket(now, task.into(), endpoint)
                .is_some()
    }

    /// Asks the policy about the steps that wait for a permission, in the order of starts.
    pub(super) fn order_questions(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if now < self.permissions.next_question {
            return;
        }
        for job in self.advised_jobs(now) {
            let Some(advice) = self.advice_of(job) else {
                continue;
            };
            for step in self.steps_to_ask(now, job) {
                if self.permissions.asked.len() >= MAX_QUESTIONS {
                    return;
                }
                if let Some(question) = self.question(now, step, advice) {
                    self.permissions.asked.push(step);
                    commands.push(Command::Ask(question));
                }
            }
        }
    }

    /// Returns the jobs whose queue has a policy, in the order of starts.
    fn advised_jobs(&self, now: Instant) -> Vec<JobKey> {
        if self
            .configuration
            .queues
            .iter()
            .all(|queue| queue.advice.is_none())
        {
            return Vec::new();
        }
        let ranked = self.ranked_jobs(now);
        let keys = ranked.into_iter().map(|(_, key)| key);
        keys.filter(|&key| self.advice_of(key).is_some()).collect()
    }

    /// Returns the steps with a task that waits, all of whose earlier steps have started.
    fn steps_to_ask(&self, now: Instant, key: JobKey) -> Vec<StepRef> {
        let job = &self.jobs[key];
        let mut steps = Vec::new();
        for (&occurrence, open) in &job.occurrences {
            for (position, group) in open.groups.iter().enumerate() {
                let after = &job.record.spec.steps[position].after;
                let begun = after.iter().all(|&earlier| {
                    let earlier = open.groups.get(earlier as usize);
                    earlier.is_some_and(|group| {
                        !group.tasks.iter().any(|task| task.is_waiting())
                    })
                });
                let waits = group
                    .tasks
                    .iter()
                    .any(|task| task.is_waiting() && now >= task.not_before);
                let step = StepRef {
                    job: key,
                    occurrence,
                    step: u32::try_from(position).unwrap_or(u32::MAX),
                };
                if begun && waits && !self.permissions.asked.contains(&step) {
                    steps.push(step);
                }
            }
        }
        steps
    }

    /// Returns what to ask about a step; nothing if no more endpoints could help it.
    fn question(&self, now: Instant, step: StepRef, advice: Advice) -> Option<Question> {
        let job = &self.jobs[step.job];
        let spec = &job.record.spec.steps[step.step as usize];
        let demand = spec.reserved();
        let waiting = job.occurrences[&step.occurrence].groups[step.step as usize]
            .tasks
            .iter()
            .filter(|task| task.is_waiting())
            .count() as u64;
        let mut permitted = 0;
        let mut candidates = Vec::new();
        for (key, endpoint) in &self.endpoints {
            if endpoint.report.pool != self.pool_of(&job.record)
                || !endpoint.takes_work(now)
                || !(spec.requires.is_empty()
                    || endpoint.report.labels.contains(&spec.requires))
                || self.permissions.is_denied(step, key)
            {
                continue;
            }
            let fitting = demand.count_that_fits(
                &endpoint.used,
                &endpoint.report.capacity,
                u64::from(match spec.max_per_endpoint {
                    0 => spec.count,
                    most => most,
                }),
            );
            if self.permissions.ticket(now, step, key).is_some() {
                permitted += fitting;
            } else if fitting > 0 {
                let near = spec.affinity.is_empty()
                    || endpoint.report.labels.contains(&spec.affinity);
                candidates.push((Reverse((near, fitting)), key));
            }
        }
        if permitted >= waiting || candidates.is_empty() {
            return None;
        }
        candidates.sort_unstable();
        let wanted = (waiting - permitted) * ROOM_FACTOR;
        let mut room = 0;
        let mut endpoints = Vec::new();
        for (Reverse((_, fitting)), key) in candidates.into_iter().take(MAX_ENDPOINTS) {
            if room >= wanted && endpoints.len() >= MIN_ENDPOINTS {
                break;
            }
            room += fitting;
            endpoints.push(self.endpoints[key].report.id.clone());
        }
        let count = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        let turns = u32::try_from(MAX_QUESTIONS).unwrap_or(u32::MAX);
        let answer = advice.decide + advice.per_endpoint * count;
        Some(Question {
            step,
            job: job.id.clone(),
            endpoints,
            timeout: answer * turns + ANSWER_MARGIN,
        })
    }

    /// Takes what the policy answered to a question.
    pub fn ruled(&mut self, now: Instant, question: &Question, ruling: Ruling) {
        let step = question.step;
        self.permissions.asked.retain(|asked| *asked != step);
        let allowed = match &ruling {
            Ruling::Allowed(permits, _) => Some(permits.len()),
            Ruling::Busy | Ruling::Unknown => None,
        };
        self.notes.push(Note::Ruled {
            job: question.job.clone(),
            step: step.step,
            asked: question.endpoints.len(),
            allowed,
        });
        let Ruling::Allowed(permits, valid) = ruling else {
            self.permissions.next_question = now + RETRY_PAUSE;
            return;
        };
        if !self.jobs.contains_key(step.job) {
            return;
        }
        let verdicts = self.permissions.verdicts.entry(step).or_default();
        for id in &question.endpoints {
            let Some(&key) = self.by_id.get(id) else {
                continue;
            };
            let permit = permits.iter().find(|permit| permit.endpoint == *id);
            let verdict = permit.map_or(Verdict::Denied, |permit| Verdict::Allowed {
                ticket: permit.ticket.clone(),
                until: now + valid,
            });
            verdicts.insert(key, verdict);
        }
    }
}
