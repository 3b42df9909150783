//! Placement permissions. If a queue has a placement policy, a step runs only on
//! endpoints that the policy allows, and each start order carries a ticket for its
//! endpoint.
//!
//! An answer takes longer with each endpoint in the question, and the policy answers one
//! question at a time. A question therefore names only a few endpoints, those with the
//! most free capacity, and the next step is asked about while the one before it runs.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use super::{Command, Scheduler, SchedulerEvent};
use crate::job::configuration::PlacementPolicy;
use crate::job::live::Job;
use crate::job::{EndpointKey, JobKey, TaskRef};
use crate::time::Instant;

/// Maximum number of endpoints in one question. Deadlines of jobs allow for this many.
const MAX_ENDPOINTS: usize = 30;

/// Minimum number of endpoints in one question, if that many are available.
const MIN_ENDPOINTS: usize = 4;

/// Capacity of the endpoints in a question, as a multiple of what the step needs. The
/// policy may reject most of them.
const CAPACITY_FACTOR: u64 = 3;

/// Maximum number of questions in flight. The second one waits at the policy while the
/// first is answered.
const MAX_QUESTIONS_IN_FLIGHT: usize = 2;

/// Time before its expiry at which a ticket is no longer used, since the start order must
/// still reach the endpoint.
const TICKET_MARGIN: Duration = Duration::from_millis(300);

/// Pause after a question that got no usable answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Time allowed for an answer beyond what the policy declares.
const ANSWER_MARGIN: Duration = Duration::from_millis(700);

/// Reference to a step of a job in progress.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepRef {
    /// Key of the job.
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
pub struct PolicyQuestion {
    /// The step.
    pub step: StepRef,
    /// Identity of the job.
    pub job: String,
    /// Identities of the candidate endpoints.
    pub endpoints: Vec<String>,
    /// Longest time to wait for the answer.
    pub timeout: Duration,
}

/// Permission to run a step on an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// Identity of the endpoint.
    pub endpoint: String,
    /// Ticket that each start order for the step on this endpoint must carry.
    pub ticket: String,
}

/// The placement policy's answer to a question.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PolicyAnswer {
    /// These endpoints may run the step, for the given time. The other endpoints in the
    /// question never may.
    Allowed(Vec<Permit>, Duration),
    /// The policy has too many questions.
    Busy,
    /// No usable answer arrived.
    Unknown,
}

/// The policy's decision on one step and endpoint.
#[derive(Clone, Debug)]
enum Decision {
    Denied,
    Allowed { ticket: String, until: Instant },
}

/// The policy's decisions on the steps in progress, and the questions in flight.
#[derive(Debug, Default)]
pub(super) struct Permissions {
    decisions: BTreeMap<StepRef, BTreeMap<EndpointKey, Decision>>,
    asked: Vec<StepRef>,
    next_question: Instant,
}

impl Permissions {
    /// Returns the ticket for a start order, if there is one that remains valid long
    /// enough.
    pub(super) fn ticket(
        &self,
        now: Instant,
        step: StepRef,
        endpoint: EndpointKey,
    ) -> Option<&str> {
        match self.decisions.get(&step)?.get(&endpoint)? {
            Decision::Allowed { ticket, until } if now + TICKET_MARGIN < *until => {
                Some(ticket)
            }
            Decision::Allowed { .. } | Decision::Denied => None,
        }
    }

    fn is_denied(&self, step: StepRef, endpoint: EndpointKey) -> bool {
        let decision = self.decisions.get(&step).and_then(|all| all.get(&endpoint));
        matches!(decision, Some(Decision::Denied))
    }

    /// Removes a ticket that an endpoint rejected.
    pub(super) fn drop_ticket(&mut self, step: StepRef, endpoint: EndpointKey) {
        if let Some(decisions) = self.decisions.get_mut(&step) {
            decisions.remove(&endpoint);
        }
    }

    /// Removes all decisions on a job that is finished.
    pub(super) fn forget(&mut self, job: JobKey) {
        self.decisions.retain(|step, _| step.job != job);
    }
}

impl Scheduler {
    /// Returns the placement policy of a job's queue, if it has one.
    pub(super) fn policy_of(&self, job: JobKey) -> Option<PlacementPolicy> {
        self.jobs[job].placement_policy
    }

    /// Returns whether the placement policy, if there is one, lets a task start on an
    /// endpoint now.
    pub(super) fn is_permitted(
        &self,
        now: Instant,
        task: TaskRef,
        endpoint: EndpointKey,
    ) -> bool {
        self.policy_of(task.job).is_none()
            || self
                .permissions
                .ticket(now, task.into(), endpoint)
                .is_some()
    }

    /// Issues questions about steps that wait for permission, in the order in which jobs
    /// start.
    pub(super) fn issue_questions(&mut self, now: Instant, commands: &mut Vec<Command>) {
        if now < self.permissions.next_question {
            return;
        }
        for job in self.jobs_with_policy(now) {
            let Some(placement_policy) = self.policy_of(job) else {
                continue;
            };
            for step in self.steps_to_ask(now, job) {
                if self.permissions.asked.len() >= MAX_QUESTIONS_IN_FLIGHT {
                    return;
                }
                if let Some(question) = self.question(now, step, placement_policy) {
                    self.permissions.asked.push(step);
                    commands.push(Command::AskPolicy(question));
                }
            }
        }
    }

    /// Returns the jobs whose queue has a placement policy, in the order in which they
    /// start.
    fn jobs_with_policy(&self, now: Instant) -> Vec<JobKey> {
        let has_policy = |job: &Job| job.placement_policy.is_some();
        if !self.jobs.values().any(has_policy) {
            return Vec::new();
        }
        let ranked = self.ranked_jobs(now);
        let keys = ranked.into_iter().map(|(_, key)| key);
        keys.filter(|&key| self.policy_of(key).is_some()).collect()
    }

    /// Returns the steps that have a waiting task and that no question is in flight for,
    /// provided that all tasks of the steps they depend on have started.
    fn steps_to_ask(&self, now: Instant, key: JobKey) -> Vec<StepRef> {
        let job = &self.jobs[key];
        let mut steps = Vec::new();
        for (&occurrence, open) in &job.occurrences {
            for (position, group) in open.groups.iter().enumerate() {
                let after = &job.record.spec.steps[position].after;
                let dependencies_started = after.iter().all(|&earlier| {
                    let earlier = open.groups.get(earlier as usize);
                    earlier.is_some_and(|group| {
                        !group.tasks.iter().any(|task| task.is_waiting())
                    })
                });
                let has_waiting_task = group
                    .tasks
                    .iter()
                    .any(|task| task.is_waiting() && now >= task.not_before);
                let step = StepRef {
                    job: key,
                    occurrence,
                    step: u32::try_from(position).unwrap_or(u32::MAX),
                };
                if dependencies_started
                    && has_waiting_task
                    && !self.permissions.asked.contains(&step)
                {
                    steps.push(step);
                }
            }
        }
        steps
    }

    /// Returns the question to ask about a step, or `None` if the step has enough
    /// permissions or no further endpoint has capacity for it.
    fn question(
        &self,
        now: Instant,
        step: StepRef,
        placement_policy: PlacementPolicy,
    ) -> Option<PolicyQuestion> {
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
            if endpoint.registration.pool != job.pool.as_str()
                || !endpoint.accepts_work(now)
                || !(spec.requires.is_empty()
                    || endpoint.registration.labels.contains(&spec.requires))
                || self.permissions.is_denied(step, key)
            {
                continue;
            }
            let fitting = demand.count_that_fits(
                &endpoint.used,
                &endpoint.registration.capacity,
                u64::from(match spec.max_per_endpoint {
                    0 => spec.count,
                    most => most,
                }),
            );
            if self.permissions.ticket(now, step, key).is_some() {
                permitted += fitting;
            } else if fitting > 0 {
                let is_local = spec.affinity.is_empty()
                    || endpoint.registration.labels.contains(&spec.affinity);
                candidates.push((Reverse((is_local, fitting)), key));
            }
        }
        if permitted >= waiting || candidates.is_empty() {
            return None;
        }
        candidates.sort_unstable();
        let wanted = (waiting - permitted) * CAPACITY_FACTOR;
        let mut capacity = 0;
        let mut endpoints = Vec::new();
        for (Reverse((_, fitting)), key) in candidates.into_iter().take(MAX_ENDPOINTS) {
            if capacity >= wanted && endpoints.len() >= MIN_ENDPOINTS {
                break;
            }
            capacity += fitting;
            endpoints.push(self.endpoints[key].registration.id.clone());
        }
        let count = u32::try_from(endpoints.len()).unwrap_or(u32::MAX);
        let max_questions = u32::try_from(MAX_QUESTIONS_IN_FLIGHT).unwrap_or(u32::MAX);
        let answer_time = placement_policy.decide + placement_policy.per_endpoint * count;
        Some(PolicyQuestion {
            step,
            job: job.id.clone(),
            endpoints,
            timeout: answer_time * max_questions + ANSWER_MARGIN,
        })
    }

    /// Records the placement policy's answer to a question.
    pub fn handle_policy_answer(
        &mut self,
        now: Instant,
        question: &PolicyQuestion,
        answer: PolicyAnswer,
    ) {
        let step = question.step;
        self.permissions.asked.retain(|asked| *asked != step);
        let allowed = match &answer {
            PolicyAnswer::Allowed(permits, _) => Some(permits.len()),
            PolicyAnswer::Busy | PolicyAnswer::Unknown => None,
        };
        self.events.push(SchedulerEvent::PolicyAnswered {
            job: question.job.clone(),
            step: step.step,
            asked: question.endpoints.len(),
            allowed,
        });
        let PolicyAnswer::Allowed(permits, valid) = answer else {
            self.permissions.next_question = now + RETRY_PAUSE;
            return;
        };
        if !self.jobs.contains_key(step.job) {
            return;
        }
        let decisions = self.permissions.decisions.entry(step).or_default();
        for id in &question.endpoints {
            let Some(&key) = self.endpoints_by_id.get(id) else {
                continue;
            };
            let permit = permits.iter().find(|permit| permit.endpoint == *id);
            let decision = permit.map_or(Decision::Denied, |permit| Decision::Allowed {
                ticket: permit.ticket.clone(),
                until: now + valid,
            });
            decisions.insert(key, decision);
        }
    }
}
