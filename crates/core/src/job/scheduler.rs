//! The leader's state and its scheduling decisions.
//!
//! The caller passes in store updates and replies from endpoints; [`Scheduler::poll`]
//! returns the commands to send. An order without an answer is never assumed to have had,
//! or not to have had, an effect: the scheduler queries the endpoint for the run, then
//! stops it, and starts the task again only once the run can no longer be executing.

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::endpoint::Endpoint;
use super::live::Job;
use super::run::Run;
use super::{
    Configuration, EndpointKey, Feature, Features, JobKey, Progress, Resource, RunKey,
    Target, TaskName, Tombstone,
};
use crate::time::{Instant, Timestamp};

mod absence;
mod acknowledge;
mod adopt;
mod audit;
mod backlog;
mod balance;
mod capacity;
mod cold;
mod crash;
mod endpoint_pace;
mod evacuation;
mod event;
mod feasibility;
mod finish;
mod fleet;
mod forecast;
mod hosts;
mod incarnation;
mod inherit;
mod intake;
pub mod interference;
mod largest;
mod lease;
mod listing;
mod onset;
mod order;
mod orphans;
mod outcome;
mod overcommit;
mod pace;
mod pattern;
mod permission;
mod place;
mod preempt;
mod rank;
mod reply;
mod report;
mod retention;
mod run_time;
mod save;
mod straggler;
mod submission_rate;
mod vacate;
mod wave;

pub use audit::Inconsistency;
pub use cold::ColdLimits;
pub(super) use crash::Suspicion;
pub use endpoint_pace::RunLimit;
pub use evacuation::{EvacuationProgress, EvacuationReport};
pub use event::SchedulerEvent;
pub use hosts::{Host, HostState, Move};
pub use outcome::{
    ActiveRun, Coverage, EndedRun, HoldOutcome, OrderOutcome, Rejection, RunReport,
};
pub use pattern::PatternChange;
pub use permission::{Permit, PolicyAnswer, PolicyQuestion, StepRef};
pub use save::{Save, SaveOutcome};
pub use wave::{Maintenance, Wave, WaveProgress, WaveState};

/// Options set by the deployment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of the lease that each order grants to the runs of its endpoint.
    pub lease_term: Duration,
    /// Longest lease that an endpoint grants, whatever an order asks for.
    pub max_lease: Duration,
    /// Longest time for which runs of an earlier leader may continue without being
    /// observed.
    pub inherited_bound: Duration,
    /// Largest record that the store takes, in bytes.
    pub max_record_bytes: u64,
    /// Time for which finished jobs are kept.
    pub retention: Duration,
    /// Age of its registration up to which the capacity of an endpoint is relied on that
    /// accepts overload.
    pub max_capacity_age: Duration,
    /// Limits on the starts that a cold endpoint receives.
    pub cold: ColdLimits,
    /// Features that the deployment's settings switch on.
    pub features: Features,
    /// Number of orders for hosts that the platform accepts in a second; `None` if there
    /// is no limit.
    pub host_orders_per_second: Option<u32>,
}

/// A term of leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Term {
    /// Fencing token that each order carries.
    pub fencing_token: u64,
    /// Number of the term, which increases by one with each leader.
    pub number: u64,
    /// Store revision at which the term began. Jobs accepted before it may already have
    /// been started by an earlier leader.
    pub start_revision: u64,
}

/// What the leader is currently allowed to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Authority {
    /// Leadership is certain, and all orders may be sent.
    Certain,
    /// Another leader may exist, so the scheduler only renews leases of existing runs. An
    /// endpoint that has seen the other leader's fencing token rejects the renewal.
    HoldOnly,
    /// Another leader may rely on no lease having been renewed any more, so nothing is
    /// sent. If the leader's own lease turns out never to have expired, as it may when the
    /// store was down, it continues with what it knows.
    Suspended,
}

impl Authority {
    /// Returns what a leader may do at `now` if its lease is certain to be valid until
    /// `valid_until`, and if a successor allows for renewals during `hold_grace`.
    pub fn at(now: Instant, valid_until: Instant, hold_grace: Duration) -> Self {
        if now < valid_until {
            Self::Certain
        } else if now <= valid_until + hold_grace {
            Self::HoldOnly
        } else {
            Self::Suspended
        }
    }
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Key of the run.
    pub run: RunKey,
    /// The endpoint that is to execute it.
    pub target: Target,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub number: u64,
    /// The job's payload, which tells the endpoint what to run.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// End of the lease, as a reading of the endpoint's clock in milliseconds.
    pub lease_end_ms: u64,
    /// Ticket issued by the placement policy; `None` if the queue has no policy.
    pub ticket: Option<String>,
    /// Fencing token of the term.
    pub fencing_token: u64,
}

/// An order to stop a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stop {
    /// Key of the run.
    pub run: RunKey,
    /// The endpoint that executes it.
    pub target: Target,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub number: u64,
    /// Fencing token of the term.
    pub fencing_token: u64,
}

/// An order to renew the lease of an endpoint's runs and to report them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// Key of the endpoint.
    pub endpoint: EndpointKey,
    /// When the order was issued. The caller passes it back with the answer.
    pub sent: Instant,
    /// The endpoint that receives the order.
    pub target: Target,
    /// Highest sequence number of an end that the endpoint may forget.
    pub acknowledged: u64,
    /// End of the renewed lease, as a reading of the endpoint's clock in milliseconds;
    /// `None` to request a report without a renewal, so that the lease of an endpoint
    /// that doesn't answer expires.
    pub lease_end_ms: Option<u64>,
    /// Longest time that the endpoint waits for a run to end before it answers.
    pub wait: Duration,
    /// Fencing token of the term.
    pub fencing_token: u64,
}

/// An order to limit the speed of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Key of the run.
    pub run: RunKey,
    /// The endpoint that executes it.
    pub target: Target,
    /// Name of the task.
    pub name: TaskName,
    /// Number of the run.
    pub number: u64,
    /// Share of full speed, in percent.
    pub percent: u32,
    /// Fencing token of the term.
    pub fencing_token: u64,
}

/// An action that the leader must carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Ask the placement policy which endpoints may run a step.
    AskPolicy(PolicyQuestion),
    /// Renew the leases at an endpoint and request a report of its runs.
    Hold(Hold),
    /// Move a host to another pool.
    Move(Move),
    /// Change the speed limit of a run.
    Pace(Pace),
    /// Remove the states of these jobs, given by identity, from the store.
    Remove(Vec<String>),
    /// Remove the records of the runs of these jobs, given by identity, from the store.
    RemoveOrphans(Vec<String>),
    /// Remove these tombstones from the store.
    RemoveTombstones(Vec<Tombstone>),
    /// Write the progress of jobs to the store.
    Save(Vec<Save>),
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(Stop),
    /// Begin the maintenance of a host.
    Maintain(Maintenance),
    /// Write the progress of an evacuation to the store, or remove it.
    ReportEvacuation(EvacuationReport),
    /// Write the state of a maintenance wave to the store.
    ReportWave(Wave, WaveState),
}

/// The state of one leader, and the rules by which it schedules jobs.
#[derive(Debug)]
pub struct Scheduler {
    options: Options,
    term: Term,
    term_began_at: Instant,
    configuration: Configuration,
    endpoints: SlotMap<EndpointKey, Endpoint>,
    endpoints_by_id: BTreeMap<String, EndpointKey>,
    /// Whether an endpoint has been removed, or replaced by a newer incarnation, in this term.
    has_forgotten_endpoints: bool,
    /// Ended incarnations of endpoints, whose registrations may not have expired yet.
    ended_incarnations: BTreeMap<String, intake::EndedIncarnation>,
    jobs: SlotMap<JobKey, Job>,
    jobs_by_id: BTreeMap<String, JobKey>,
    /// Jobs that are finished and saved, for which late updates are ignored.
    finished_jobs: BTreeMap<String, Instant>,
    removal_in_flight: bool,
    tombstones: retention::Tombstones,
    orphans: orphans::Stored,
    runs: SlotMap<RunKey, Run>,
    workspace_usage: BTreeMap<String, Resource>,
    /// Demand of ready tasks that fit on no endpoint, by pool, as of the last placement.
    unplaced: BTreeMap<String, Resource>,
    saves_in_flight: usize,
    last_save_at: Instant,
    /// When the store last accepted progress; `None` if it hasn't yet.
    accepted_save_at: Option<Instant>,
    /// Newest revision of the store at which this leader is known to have led.
    newest_revision: u64,
    deposed: bool,
    /// Since when the leader has been certain of its lease; `None` while it isn't.
    certain_since: Option<Instant>,
    hosts: hosts::Hosts,
    waves: wave::Waves,
    evacuations: evacuation::Evacuations,
    recent_starts: cold::RecentStarts,
    crash_rate: crash::Rate,
    arrivals: forecast::Arrivals,
    interference: interference::Interference,
    pace_control: pace::PaceControl,
    permissions: permission::Permissions,
    submission_rates: submission_rate::SubmissionRates,
    run_time_ratios: straggler::RunTimeRatios,
    run_times: run_time::RunTimes,
    endpoint_paces: endpoint_pace::EndpointPaces,
    feasibility: feasibility::Feasibility,
    events: Vec<SchedulerEvent>,
}

impl Scheduler {
    /// Returns a scheduler without any jobs or endpoints.
    pub fn new(options: Options, term: Term, now: Instant) -> Self {
        Self {
            options,
            term,
            term_began_at: now,
            configuration: Configuration::default(),
            endpoints: SlotMap::with_key(),
            endpoints_by_id: BTreeMap::new(),
            has_forgotten_endpoints: false,
            ended_incarnations: BTreeMap::new(),
            jobs: SlotMap::with_key(),
            jobs_by_id: BTreeMap::new(),
            finished_jobs: BTreeMap::new(),
            removal_in_flight: false,
            tombstones: retention::Tombstones::default(),
            orphans: orphans::Stored::default(),
            runs: SlotMap::with_key(),
            workspace_usage: BTreeMap::new(),
            unplaced: BTreeMap::new(),
            saves_in_flight: 0,
            last_save_at: now,
            accepted_save_at: None,
            newest_revision: term.fencing_token,
            deposed: false,
            certain_since: None,
            hosts: hosts::Hosts::new(options.host_orders_per_second),
            waves: wave::Waves::default(),
            evacuations: evacuation::Evacuations::default(),
            recent_starts: cold::RecentStarts::default(),
            crash_rate: crash::Rate::new(now),
            arrivals: forecast::Arrivals::new(options.features),
            interference: interference::Interference::default(),
            pace_control: pace::PaceControl::default(),
            permissions: permission::Permissions::default(),
            submission_rates: submission_rate::SubmissionRates::default(),
            run_time_ratios: straggler::RunTimeRatios::default(),
            run_times: run_time::RunTimes::default(),
            endpoint_paces: endpoint_pace::EndpointPaces::default(),
            events: SchedulerEvent::learning_starts(options.features, term.number),
            feasibility: feasibility::Feasibility::default(),
        }
    }

    /// Returns the scheduler's term of leadership.
    pub const fn term(&self) -> Term {
        self.term
    }

    /// Returns whether the deployment's settings switch a feature on.
    pub const fn has_feature(&self, feature: Feature) -> bool {
        self.options.features.contains(feature)
    }

    /// Returns whether an endpoint has seen the fencing token of a later leader.
    pub const fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns the events recorded since the last call, in order, and clears them.
    pub fn take_events(&mut self) -> Vec<SchedulerEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the commands for jobs and endpoints that are due now.
    pub fn poll(
        &mut self,
        now: Instant,
        wall: Timestamp,
        authority: Authority,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let is_certain = authority == Authority::Certain;
        self.certain_since = is_certain.then(|| self.certain_since.unwrap_or(now));
        if self.deposed || authority == Authority::Suspended {
            return commands;
        }
        self.release_lapsed(now);
        self.open_occurrences(now, wall);
        self.update_run_times(now);
        self.update_pace_classes(now);
        if is_certain {
            self.stop_stragglers(now);
            self.place(now);
            self.issue_questions(now, &mut commands);
            self.issue_starts(now, &mut commands);
            self.issue_stops(now, &mut commands);
            self.adjust_paces(now, &mut commands);
            self.separate_runs(now);
        }
        self.issue_holds(now, &mut commands);
        self.save(now, &mut commands);
        commands
    }

    /// Returns the commands for hosts that are due now: maintenance and moves between
    /// pools.
    pub fn poll_hosts(&mut self, now: Instant) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.deposed {
            return commands;
        }
        self.update_cordons();
        self.remove_finished(now, &mut commands);
        self.remove_tombstones(now, &mut commands);
        self.remove_settled(&mut commands);
        self.schedule_waves(now, &mut commands);
        self.advance_evacuations(now, &mut commands);
        self.update_patterns(now);
        self.resize_pools(now, &mut commands);
        commands
    }
}
