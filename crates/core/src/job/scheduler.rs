//! What the leader knows and decides.
//!
//! Facts of the store and answers of endpoints go in by commands; [`Scheduler::poll`]
//! returns what to send. Nothing is assumed of an order without an answer: the run is
//! looked for, then told to stop, and its task starts again only once it can't run.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::endpoint::Endpoint;
use super::live::Job;
use super::run::Run;
use super::{
    Configuration, EndpointKey, JobKey, Name, Progress, Resource, RunKey, Target,
};
use crate::time::{Instant, Timestamp};

mod answer;
mod capacity;
mod finish;
mod hosts;
mod inherit;
mod intake;
mod lease;
mod note;
mod order;
mod pace;
mod permission;
mod place;
mod preempt;
mod rank;
mod retain;
mod save;
mod settle;
mod share;
mod straggle;
mod wave;

pub use answer::{EndRow, Held, Rejection, Reply, Row, Settled};
pub use hosts::{Host, HostState, Move};
pub use note::Note;
pub use permission::{Permit, Question, Ruling, StepRef};
pub use save::{Ending, Save};
pub use wave::{Maintenance, Wave, WaveProgress, WaveState};

/// Bounds that the deployment gives.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Lease that each order grants to the runs of its endpoint.
    pub lease_term: Duration,
    /// Longest time for which an earlier leader's runs may go on unseen.
    pub inherited_bound: Duration,
    /// Time for which finished jobs are kept.
    pub retention: Duration,
}

/// A term of leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Fencing token that each order carries.
    pub fence: u64,
    /// Number of the term, one higher for each leader.
    pub number: u64,
    /// Store revision at which the term began; older jobs may have been started before.
    pub since: u64,
}

/// What the leader may do right now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authority {
    /// Its leadership is certain.
    Certain,
    /// Another leader may exist: only what already runs is kept alive. An endpoint that has
    /// seen the other leader's token rejects it.
    HoldOnly,
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// The run.
    pub run: RunKey,
    /// Where it starts.
    pub target: Target,
    /// The task.
    pub name: Name,
    /// Number of the run.
    pub number: u64,
    /// What to run.
    pub payload: String,
    /// Checkpoint to go on from; empty for none.
    pub checkpoint: String,
    /// End of the lease, by the endpoint's clock in milliseconds.
    pub lease_end_ms: u64,
    /// Permission of the placement policy, where the queue has one.
    pub ticket: Option<String>,
    /// Fencing token.
    pub fence: u64,
}

/// An order to stop a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// The run.
    pub run: RunKey,
    /// Where it runs.
    pub target: Target,
    /// The task.
    pub name: Name,
    /// Number of the run.
    pub number: u64,
    /// Fencing token.
    pub fence: u64,
}

/// An order to renew the lease of an endpoint's runs and to report them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// When the order was decided; its answer is given back with it.
    pub sent: Instant,
    /// Where to ask.
    pub target: Target,
    /// Highest end that need not be reported again.
    pub acknowledged: u64,
    /// End of the renewed lease, by the endpoint's clock in milliseconds; nothing to only look,
    /// so that a lease at an endpoint that doesn't answer runs out.
    pub lease_end_ms: Option<u64>,
    /// Longest time that the endpoint waits for an end before it answers.
    pub wait: Duration,
    /// Fencing token.
    pub fence: u64,
}

/// An order to let a run work at a share of full speed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pace {
    /// The run.
    pub run: RunKey,
    /// Where it runs.
    pub target: Target,
    /// The task.
    pub name: Name,
    /// Number of the run.
    pub number: u64,
    /// Share of full speed, in percent.
    pub percent: u32,
    /// Fencing token.
    pub fence: u64,
}

/// What the leader is to send.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Ask the placement policy which endpoints may run a step.
    Ask(Question),
    /// Renew leases at an endpoint and ask for its runs.
    Hold(Hold),
    /// Move a host to another pool.
    Move(Move),
    /// Slow a run down or let it go faster.
    Pace(Pace),
    /// Remove the states of these jobs from the store.
    Remove(Vec<String>),
    /// Write progress to the store.
    Save(Vec<Save>),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Begin the maintenance of a host.
    Maintain(Maintenance),
    /// Say in the store how far a wave is.
    ReportWave(Wave, WaveState),
}

/// The leader's knowledge and decisions.
#[derive(Debug)]
pub struct Scheduler {
    options: Options,
    term: Term,
    began: Instant,
    configuration: Configuration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    by_id: BTreeMap<String, EndpointKey>,
    /// Lives of endpoints that are over, although they may still be registered.
    buried: BTreeMap<String, intake::Burial>,
    jobs: SlotMap<JobKey, Job>,
    by_job: BTreeMap<String, JobKey>,
    /// Jobs that are over and saved, whose late news is to be passed over.
    ended: BTreeMap<String, Instant>,
    removal_in_flight: bool,
    runs: SlotMap<RunKey, Run>,
    usage: BTreeMap<String, Resource>,
    /// Processor of the ready tasks of each pool that fit nowhere, as of the last decision.
    unplaced: BTreeMap<String, u64>,
    saves_in_flight: usize,
    last_save_at: Instant,
    deposed: bool,
    hosts: hosts::Hosts,
    waves: wave::Waves,
    arrivals: capacity::Arrivals,
    paces: pace::Paces,
    permissions: permission::Permissions,
    shares: share::Shares,
    ratios: straggle::Ratios,
    notes: Vec<Note>,
}

impl Scheduler {
    /// Returns a scheduler that knows nothing yet.
    pub fn new(options: Options, term: Term, now: Instant) -> Self {
        Self {
            options,
            term,
            began: now,
            configuration: Configuration::default(),
            endpoints: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            buried: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            by_job: BTreeMap::new(),
            ended: BTreeMap::new(),
            removal_in_flight: false,
            runs: SlotMap::with_key(),
            usage: BTreeMap::new(),
            unplaced: BTreeMap::new(),
            saves_in_flight: 0,
            last_save_at: now,
            deposed: false,
            hosts: hosts::Hosts::default(),
            waves: wave::Waves::default(),
            arrivals: capacity::Arrivals::default(),
            paces: pace::Paces::default(),
            permissions: permission::Permissions::default(),
            shares: share::Shares::default(),
            ratios: straggle::Ratios::default(),
            notes: Vec::new(),
        }
    }

    /// Returns the term in which the scheduler decides.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns whether an endpoint has seen the token of a later leader.
    pub const fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Takes the notes of decisions since the last call, in order.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Decides what to send now.
    pub fn poll(
        &mut self,
        now: Instant,
        wall: Timestamp,
        authority: Authority,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.deposed {
            return commands;
        }
        self.release_lapsed(now);
        self.open_occurrences(now, wall);
        if authority == Authority::Certain {
            self.stop_stragglers(now);
            self.place(now);
            self.order_questions(now, &mut commands);
            self.order_starts(now, &mut commands);
            self.order_stops(now, &mut commands);
            self.adjust_paces(now, &mut commands);
        }
        self.order_holds(now, &mut commands);
        self.save(now, &mut commands);
        commands
    }

    /// Decides on hosts: which to maintain now, and which to move to another pool.
    pub fn poll_hosts(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.deposed {
            return commands;
        }
        self.mark_emptying();
        self.remove_finished(now, &mut commands);
        self.schedule_waves(now, &mut commands);
        self.resize_pools(now, &mut commands);
        commands
    }
}
