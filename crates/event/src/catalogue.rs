//! The events with their numbers, severities, meanings and advice for operators.

/// Severity of an event, by the reaction that it asks of an operator.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// No action is needed.
    Info,
    /// Worth investigating if it repeats.
    Warning,
    /// Worth raising an alarm.
    Alarm,
}

impl Severity {
    /// Returns the name used in logs and documentation.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Info => "info",
            Self::Warning => "warning",
            Self::Alarm => "alarm",
        }
    }
}

macro_rules! events {
    ($($name:ident = $number:literal, $severity:ident, $meaning:literal, $advice:literal;)*) => {
        /// A numbered event of the daemon's log.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Event {
            $(#[doc = $meaning] $name,)*
        }

        impl Event {
            /// Every event, in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the event's number.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the event's name, which is that of the variant.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns the event's severity.
            pub const fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)* }
            }

            /// Returns a description of what happened.
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)* }
            }

            /// Returns what an operator should do.
            pub const fn advice(self) -> &'static str {
                match self { $(Self::$name => $advice,)* }
            }
        }
    };
}

events! {
    Started = 100, Info,
        "The entry host has started.", "Nothing.";
    Ready = 101, Info,
        "The entry host has a configuration and accepts requests.", "Nothing.";
    Draining = 102, Info,
        "A shutdown was requested; no new requests are accepted.", "Nothing.";
    Stopped = 103, Info,
        "All open requests have ended and the process exits.", "Nothing.";
    DrainTimeout = 104, Alarm,
        "Requests were still open when the drain timeout expired.",
        "Raise drain-timeout above the longest run time of any queue.";
    SettingsRefused = 105, Alarm,
        "The settings file contains errors.", "Fix the lines that the message names.";
    SettingsReread = 106, Info,
        "A reload of the settings file was requested.", "Nothing.";
    RevisionInForce = 200, Info,
        "A newer configuration revision is in force.", "Nothing.";
    RevisionRefused = 201, Warning,
        "An older or damaged configuration was received and rejected.",
        "If it repeats, compare `rhubarbrill status` of the entry hosts.";
    StoreUnreachable = 210, Alarm,
        "The platform's store doesn't respond; the entry host uses its last state.",
        "Check the store. Floors stay usable, loans expire and changes are delayed.";
    StoreReachable = 211, Info,
        "The platform's store responds again.", "Nothing.";
    LeaseLost = 212, Warning,
        "The entry host's lease expired; its loans are not used until it is renewed.",
        "If it repeats, check for long pauses of the process and a slow store.";
    Replaced = 213, Alarm,
        "Another process runs under this entry host's name; this process stops.",
        "Give each entry host a unique name.";
    HistoryMissing = 220, Info,
        "The store has compacted changes that were not yet read; all is read again.",
        "Nothing.";
    LeaderSeen = 221, Info,
        "The leader has changed.",
        "If it repeats, check for long pauses of the leader's process and a slow store.";
    ItemUnreadable = 222, Warning,
        "An item in the store can't be parsed and is skipped.",
        "Correct or remove the item that the log line names.";
    TermBegan = 230, Info,
        "This process became the leader.", "Nothing.";
    TermUncertain = 231, Warning,
        "The leader couldn't renew its lease in time, so it starts and moves nothing.",
        "Check the store if this persists.";
    TermCertain = 232, Info,
        "The leader's lease was renewed after a delay.", "Nothing.";
    TermEnded = 233, Info,
        "This process is no longer the leader.", "Nothing.";
    TermSuspended = 234, Warning,
        "The leader couldn't renew its lease for seconds, so it sends nothing.",
        "Check the store. If its leases paused, the leader continues once it is back.";
    WatchStalled = 235, Warning,
        "The leader's watches don't deliver its own writes; it lists what they follow.",
        "Nothing: a log line says when they resume. Check the store if it repeats.";
    HostOrdersPostponed = 236, Warning,
        "Orders for hosts couldn't be recorded in the store; they are tried again later.",
        "Check the store if it repeats.";
    FleetShortage = 237, Info,
        "All pools together began or ceased to need more than the fleet holds.",
        "If it lasts, add hosts or reduce the load.";
    TermReclaimed = 238, Info,
        "The leader's lease expired while no other process could replace it, and the leader continues its term under a new lease.",
        "Nothing after an outage of the store.";
    HandOverChecked = 239, Warning,
        "The leader's lease renewals fail, so it asked other entry hosts whether they reach the store. If one does, the leader ends its term.",
        "If the leader has handed over, check its link to the store; otherwise check the store.";
    RoundSlow = 240, Warning,
        "A round of the leader's task took long, or the task had to wait long for it.",
        "Give the entry hosts more processor time if it repeats.";
    TaskFailed = 241, Alarm,
        "A task of the process panicked. It starts again, or the leader's term or the process ends in order.",
        "Report it with the line of event 242 before it. If it repeats, cancel the job that the lines before it name.";
    Panicked = 242, Alarm,
        "The program panicked at the place that the log line names.",
        "Report it.";
    PeerUp = 300, Info,
        "A peer responds to heartbeats.", "Nothing.";
    PeerDown = 301, Warning,
        "A peer has missed its heartbeats.",
        "Nothing if the peer was replaced; otherwise check its host and the network.";
    PeerRefused = 302, Alarm,
        "A peer's message was malformed or not authenticated.",
        "Check that all entry hosts use the same peers secret and compatible versions.";
    EndpointEjected = 400, Warning,
        "An endpoint failed too often and receives no work until a probe succeeds.",
        "Check the host if it repeats.";
    EndpointReturned = 401, Info,
        "An ejected endpoint responds again.", "Nothing.";
    AnswerCut = 402, Warning,
        "An endpoint's response ended early; the caller's connection was closed.",
        "Check the endpoint if it repeats.";
    EndpointUp = 410, Info,
        "An endpoint has registered a new incarnation.", "Nothing.";
    EndpointLost = 411, Warning,
        "An endpoint is gone or doesn't respond.", "Check the host if it repeats.";
    EndpointRegained = 412, Info,
        "A lost endpoint responds again.", "Nothing.";
    EndpointRestarted = 413, Warning,
        "An endpoint has restarted under its identity; what it may be executing is looked for.",
        "Check the host if it repeats.";
    EndpointResized = 414, Info,
        "The capacity of a running endpoint changed.", "Nothing. Check the host if it repeats.";
    AcknowledgementUnanswered = 415, Info,
        "An endpoint didn't answer the acknowledgement of ends; later starts get a newer fencing token.",
        "Nothing. Check the host if it repeats.";
    RequestRefused = 500, Info,
        "A request was rejected before it was sent to an endpoint.", "Nothing.";
    RequestFailed = 501, Warning,
        "A request failed after it may have reached an endpoint.",
        "Check the endpoint if it repeats.";
    HostLeaving = 600, Info,
        "A host is leaving and accepts no new work.", "Nothing.";
    HostDrained = 601, Info,
        "A leaving host has no running work.", "Nothing.";
    HostReturned = 602, Info,
        "A host accepts work again.", "Nothing.";
    WavePaused = 603, Warning,
        "A maintenance wave was paused automatically because failures used up a budget.",
        "Repair the failed hosts; the wave then resumes automatically.";
    WaveDone = 604, Info,
        "The maintenance of every host in a wave is complete.", "Nothing.";
    PlatformListUnreachable = 605, Warning,
        "The platform's host list can't be read; the last one received stays in use.",
        "Check the platform.";
    WaveSeen = 606, Info,
        "A maintenance wave requested by operators was read from the store.", "Nothing.";
    HostMoves = 607, Info,
        "A host was ordered to move to another pool.", "Nothing.";
    HostMaintained = 608, Info,
        "A host was ordered to begin its maintenance.", "Nothing.";
    HostOrderFailed = 609, Warning,
        "An order for a host was rejected or got no response.",
        "Nothing: the order is decided anew. Check the hosts' platform if it repeats.";
    WaveReported = 610, Info,
        "The state of a maintenance wave was written to the store for operators.",
        "Nothing.";
    EvacuationsSeen = 620, Info,
        "Operators' requests to evacuate zones were read from the store.",
        "Nothing.";
    ZoneEvacuating = 621, Info,
        "The leader starts nothing more in a zone that operators evacuate.",
        "Wait for event 622; `rhubarbrill zone status` shows what is left.";
    ZoneEvacuated = 622, Info,
        "No task is left in a zone that operators evacuate.",
        "Nothing.";
    ZoneReturned = 623, Info,
        "The request to evacuate a zone was withdrawn; the zone is used again.",
        "Nothing.";
    ZoneUnknown = 624, Warning,
        "A zone that operators evacuate has no endpoint and no host.",
        "Check the zone's name; withdraw the request if it is wrong.";
    EveryZoneEvacuated = 625, Warning,
        "Every zone is being evacuated, so nothing starts and jobs wait.",
        "Withdraw the request for a zone that may be used.";
    EvacuationReported = 626, Info,
        "The progress of an evacuation was written to the store for operators, or removed.",
        "Nothing.";
    EndpointCold = 627, Info,
        "An endpoint is slow after its start and receives few tasks until it is warm.",
        "Nothing.";
    RequestAnswered = 700, Info,
        "A response to a caller's request was sent.", "Nothing.";
    JobUnreadable = 701, Warning,
        "A submitted job can't be parsed or is invalid.",
        "Report the error in the log line to the caller.";
    JobFinished = 702, Info,
        "A job has finished.", "Nothing.";
    JobsRemoved = 703, Info,
        "Finished jobs were removed from the store after their retention time.",
        "Nothing.";
    JobReceived = 704, Info,
        "The leader read a submitted job from the store.", "Nothing.";
    TombstonesRemoved = 705, Info,
        "Records of jobs that were cancelled before they were accepted were removed after their retention time.",
        "Nothing.";
    RunPlaced = 710, Info,
        "A run was placed on an endpoint.", "Nothing.";
    RunNotStarted = 711, Warning,
        "A run was rejected by its endpoint, or the start request got no response.",
        "Check the endpoint if it repeats.";
    RunAdopted = 712, Info,
        "The leader took over a run that an earlier leader started.", "Nothing.";
    RunStopping = 713, Info,
        "A run was told to stop.", "Nothing.";
    RunEnded = 714, Info,
        "A run has ended.", "Nothing.";
    RunGone = 715, Warning,
        "A run is considered lost because its end was not reported.",
        "Check the endpoint if it repeats.";
    PolicyRuled = 716, Info,
        "The placement policy service was asked which endpoints may run a step.",
        "Check the policy service if it doesn't respond.";
    RunsPreempted = 717, Info,
        "Runs of lower priority are stopped to free capacity for a job.",
        "Add hosts to the pool if it repeats.";
    TaskSuspected = 718, Warning,
        "An endpoint crashed under a task that may be the cause; the task starts apart from others.",
        "If its job fails, tell its workspace that the task crashes endpoints.";
    SaveFailed = 720, Warning,
        "Progress could not be written to the store; the write is retried.",
        "Check the store if it repeats.";
    JobInfeasible = 721, Info,
        "A job is not expected to end on time; it runs with the capacity that others leave.",
        "Add hosts to the pool if it repeats.";
    JobNotAdmitted = 722, Info,
        "A job was rejected at once, because its pool can't finish it while it is of use.",
        "Add hosts to the pool if it repeats.";
    EstimateWritten = 723, Info,
        "The leader's estimate of the time until new jobs start was written.", "Nothing.";
    RunTimesLearned = 730, Info,
        "The run times that are expected of a queue's tasks changed, relative to estimates.",
        "Ask the queue's callers for better estimates if they are far off.";
    LearningStarts = 731, Info,
        "A new leader begins to learn from the load and knows nothing of earlier terms.",
        "Nothing.";
    DemandPattern = 732, Info,
        "A forecast of recurring demand was found, confirmed, acted on or dropped.",
        "Nothing.";
    RunLimitChanged = 733, Warning,
        "An endpoint that is far slower than others, or fails, gets fewer runs, or more again.",
        "Check the endpoint and its host if it repeats.";
    InterferencePairFound = 740, Info,
        "A pair of images was found of which one slows the other down on one endpoint.",
        "Nothing. Give one of them endpoints of its own if pacing slows it for long.";
    InterferencePairForgotten = 741, Info,
        "A pair of images no longer counts as slowing each other down.", "Nothing.";
    RunSeparated = 742, Info,
        "A best-effort run is moved away from tasks that it slows down.", "Nothing.";
    InterferenceReset = 743, Info,
        "A new leader starts without any known pairs of images that slow each other down.",
        "Nothing.";
    RunPlacedBesideHarm = 744, Info,
        "A run was placed beside tasks of a known pair, since no better endpoint has capacity.",
        "Add hosts to the pool if it repeats.";
}

impl Event {
    /// Returns the event with this number, if there is one.
    pub fn find(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|event| event.number() == number)
    }
}
