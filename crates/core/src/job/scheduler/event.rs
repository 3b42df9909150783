//! Events of the scheduler, for the log.

use std::time::Duration;

use super::interference::Change;
use super::{EvacuationProgress, PatternChange, RunLimit};
use crate::job::crash::History;
use crate::job::endpoint::Departure;
use crate::job::{Feature, Features, Resource, RunEnd, TaskName};

/// A scheduling decision, or a change in the leader's view of runs and endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SchedulerEvent {
    /// A run was placed on an endpoint.
    Placed {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// CPU left on the endpoint, in thousandths of a core.
        free_cpu: u64,
        /// Age of the newest reading of the endpoint's clock.
        clock_age: Duration,
    },
    /// A start order was rejected, wasn't sent or got no answer.
    NotStarted {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// Why the run didn't start.
        reason: &'static str,
    },
    /// A run that an earlier leader started was taken over.
    Adopted {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
    },
    /// A run is to be stopped.
    Stopping {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// Why the run is stopped.
        reason: &'static str,
    },
    /// A run ended.
    Ended {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// How the run ended.
        end: RunEnd,
    },
    /// A run is considered gone, without a report of its end.
    Gone {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint.
        endpoint: String,
        /// Why the run is considered gone.
        reason: &'static str,
        /// How its endpoint went away; `None` if the endpoint is still there.
        departure: Option<Departure>,
        /// Time since the start order was sent, or since this leader learned of the run.
        age: Duration,
        /// Whether the endpoint had confirmed that the run was executing.
        confirmed: bool,
    },
    /// An endpoint crashed under a run of a task that may have caused it.
    Suspected {
        /// Name of the task.
        name: TaskName,
        /// What is known of the task from crashes, including this one.
        history: History,
    },
    /// A job left the feasible set of its pool.
    Excluded {
        /// Identity of the job.
        job: String,
        /// Pool that serves the job.
        pool: String,
        /// Duration of the longest chain of unfinished steps.
        path: Duration,
        /// Time until the job is late.
        left: Duration,
        /// Time for which the remaining work occupies the whole pool.
        occupancy: Duration,
        /// Capacity of the pool.
        capacity: Resource,
        /// Why the job left.
        reason: &'static str,
    },
    /// A job is finished.
    Finished {
        /// Identity of the job.
        job: String,
        /// Final state of the job.
        state: crate::job::State,
        /// Why the job finished.
        reason: &'static str,
    },
    /// A submitted job was added.
    Received {
        /// ID of the job.
        job: String,
        /// Time since its submission, by the clocks of its entry host and of the leader.
        age: Duration,
    },
    /// A new incarnation of an endpoint was added.
    EndpointUp {
        /// Identity of the endpoint.
        endpoint: String,
        /// Name of its pool.
        pool: String,
        /// Start time of the incarnation, in milliseconds since the Unix epoch.
        born: u64,
    },
    /// The capacity of an endpoint changed while it was running.
    EndpointResized {
        /// Identity of the endpoint.
        endpoint: String,
        /// Capacity before the change.
        earlier: Resource,
        /// Capacity from now on.
        capacity: Resource,
        /// Amount that its runs reserve.
        used: Resource,
        /// Time since the registration was written; `None` if that isn't known.
        age: Option<Duration>,
    },
    /// An endpoint has restarted under its identity.
    EndpointRestarted {
        /// Identity of the endpoint.
        endpoint: String,
        /// Number of runs that ended with the earlier incarnation.
        lost: usize,
        /// Number of runs that may be executing on the newer one.
        undecided: usize,
        /// Time since the last reply; `None` if there was none.
        reply_age: Option<Duration>,
    },
    /// A hold that acknowledges ends got no answer and may still be executed, also by the next
    /// incarnation of its endpoint.
    AcknowledgementUnanswered {
        /// Identity of the endpoint.
        endpoint: String,
        /// Start time of the incarnation that reported the ends, in milliseconds since the Unix
        /// epoch.
        born: u64,
        /// Highest sequence number of an end that the hold acknowledges.
        acknowledged: u64,
    },
    /// An endpoint is slow after its start.
    EndpointCold {
        /// Identity of the endpoint.
        endpoint: String,
        /// How much longer it is slow.
        remaining: Duration,
    },
    /// An endpoint was removed or no longer answers.
    EndpointLost {
        /// Identity of the endpoint.
        endpoint: String,
        /// Why the endpoint is considered lost.
        reason: &'static str,
        /// Number of runs that it had.
        runs: usize,
    },
    /// An endpoint answers again.
    EndpointRegained {
        /// Identity of the endpoint.
        endpoint: String,
    },
    /// The placement policy was asked about a step.
    PolicyAnswered {
        /// Identity of the job.
        job: String,
        /// Position of the step.
        step: u32,
        /// Number of endpoints in the question.
        asked: usize,
        /// Number of those that may run the step; `None` without a usable answer.
        allowed: Option<usize>,
    },
    /// Runs of lower priority are stopped to make room for a job.
    Preempting {
        /// Identity of the job that needs the room.
        job: String,
        /// Number of runs that are stopped.
        runs: usize,
        /// Lost work, in core-milliseconds.
        lost: u64,
    },
    /// Operators want a zone to be evacuated, and nothing starts there from now on.
    ZoneEvacuating {
        /// Name of the zone.
        zone: String,
        /// What is left in the zone.
        progress: EvacuationProgress,
    },
    /// No task is left in a zone that is being evacuated.
    ZoneEvacuated {
        /// Name of the zone.
        zone: String,
        /// Time since this leader learned of the request.
        age: Duration,
    },
    /// The request to evacuate a zone was withdrawn.
    ZoneReturned {
        /// Name of the zone.
        zone: String,
    },
    /// A zone that operators want to be evacuated has no endpoint and no host.
    ZoneUnknown {
        /// Name of the zone.
        zone: String,
    },
    /// Every zone is being evacuated, so that nothing can start.
    EveryZoneEvacuated {
        /// Number of zones that have an endpoint or a host.
        zones: usize,
    },
    /// A leader begins to learn and knows nothing yet, as what earlier leaders learned isn't
    /// stored.
    LearningStarts {
        /// What is learned.
        feature: Feature,
        /// Number of the leader's term.
        term: u64,
    },
    /// The expected run times of a queue's tasks changed.
    RunTimesLearned {
        /// Name of the queue.
        queue: String,
        /// Mean run time, in percent of the callers' estimates.
        mean_percent: u64,
        /// High quantile of the run times, in percent of the callers' estimates.
        high_percent: u64,
        /// Number of runs that this is based on, each with the weight that its age leaves.
        runs: u64,
        /// Age of the newest of these runs.
        age: Duration,
    },
    /// An endpoint was ejected by a step, or returned by one.
    RunLimitChanged {
        /// Identity of the endpoint.
        endpoint: String,
        /// How many runs it may have at once from now on.
        limit: RunLimit,
        /// Run times on the endpoint, in percent of those of the same queues elsewhere.
        run_time_percent: u64,
        /// Share of failed runs, in percent.
        failure_percent: u64,
        /// Number of runs observed on the endpoint.
        runs: u64,
    },
    /// The forecast of recurring demand in a pool changed.
    DemandPattern {
        /// Name of the pool.
        pool: String,
        /// What happened to the forecast.
        change: PatternChange,
        /// Time between two onsets.
        period: Duration,
        /// Correlation of the demand with that of one period before.
        correlation_percent: u64,
        /// Time until the next onset is expected; zero if it is past.
        onset_in: Duration,
        /// Capacity that the demand keeps busy after an onset.
        height: Resource,
        /// Number of onsets that came as expected.
        confirmations: u64,
    },
    /// A new leader starts without any evidence about interference.
    InterferenceReset,
    /// A pair of images that slow each other down was found or forgotten.
    PairChanged {
        /// The change.
        change: Change,
        /// Number of pairs that are known after it.
        known: usize,
    },
    /// A run was placed beside tasks that it slows down or that slow it down, because no
    /// suitable endpoint with less harm had room.
    PlacedBesideHarm {
        /// Identity of the job.
        job: String,
        /// Image of the task.
        image: String,
        /// Identity of the endpoint.
        endpoint: String,
        /// Expected harm, in percent of the latency target.
        harm_percent: u64,
        /// Time since the endpoint's last report that counted as evidence.
        report_age: Option<Duration>,
    },
    /// A best-effort run is moved away from tasks that it slows down.
    Separating {
        /// Name of the task.
        name: TaskName,
        /// Number of the run.
        number: u64,
        /// Identity of the endpoint that it leaves.
        endpoint: String,
        /// Identity of an endpoint with room and less harm.
        destination: String,
        /// Harm on the endpoint that it leaves, in percent of the latency target.
        harm_percent: u64,
        /// Speed to which pacing had limited the run, in percent.
        pace_percent: u32,
        /// Time since the endpoint's last report that counted as evidence.
        report_age: Option<Duration>,
    },
    /// A host is moved to another pool.
    HostMoves {
        /// Name of the host.
        host: String,
        /// Name of the pool that it leaves.
        from: String,
        /// Name of the pool that it joins.
        to: String,
        /// Capacity needed by the pool that caused the move. It is the joined pool if that
        /// grows, or the left pool if that shrinks.
        needed: Resource,
        /// Capacity that the same pool holds before the move.
        held: Resource,
    },
    /// The pools began or ceased to need more than the fleet holds.
    FleetShortage {
        /// Whether they now need more.
        is_short: bool,
        /// Capacity that all pools need.
        needed: Resource,
        /// Capacity that the fleet holds.
        held: Resource,
    },
    /// The maintenance of a host begins.
    HostMaintained {
        /// Name of the host.
        host: String,
        /// Number of the wave.
        wave: u64,
    },
}

/// Features that learn from the load of a leader's term.
const LEARNING_FEATURES: [Feature; 3] = [
    Feature::DemandPatterns,
    Feature::EndpointPace,
    Feature::RunTimeEstimates,
];

impl SchedulerEvent {
    /// Returns the events that announce what a new leader begins to learn.
    pub(super) fn learning_starts(features: Features, term: u64) -> Vec<Self> {
        let learning = LEARNING_FEATURES.into_iter();
        let active = learning.filter(|&feature| features.contains(feature));
        active
            .map(|feature| Self::LearningStarts { feature, term })
            .collect()
    }
}
