//! The events with their severities, meanings and advice.

/// How much an event asks of an operator.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Severity {
    /// Nothing to do.
    Info,
    /// Worth a look when it repeats.
    Warning,
    /// Worth an alarm.
    Alarm,
}

impl Severity {
    /// Returns the name used in logs and pages.
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
        /// A numbered event.
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

            /// Returns the event's name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Returns how much the event asks of an operator.
            pub const fn severity(self) -> Severity {
                match self { $(Self::$name => Severity::$severity,)* }
            }

            /// Returns what happened.
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
        "The entry host has a configuration and takes requests.", "Nothing.";
    Draining = 102, Info,
        "A stop was asked for; no new request is taken.", "Nothing.";
    Stopped = 103, Info,
        "Every open request has ended and the process exits.", "Nothing.";
    DrainTimeout = 104, Alarm,
        "Requests were still open when the drain timeout passed.",
        "Raise drain-timeout above the longest run time of any queue.";
    SettingsRefused = 105, Alarm,
        "The settings file has mistakes.", "Mend the lines that the message names.";
    SettingsReread = 106, Info,
        "The settings file was announced as changed.", "Nothing.";
    RevisionInForce = 200, Info,
        "A newer configuration revision is in force.", "Nothing.";
    RevisionRefused = 201, Warning,
        "An older or damaged configuration was offered and refused.",
        "If it repeats, compare `rhubarbrill status` of the entry hosts.";
    StoreUnreachable = 210, Alarm,
        "The platform's store gives no answer; the entry host goes on with what it has.",
        "Check the store. Floors stay usable; loans lapse; changes wait.";
    StoreReachable = 211, Info,
        "The platform's store answers again.", "Nothing.";
    LeaseLost = 212, Warning,
        "The entry host's lease lapsed; its loans are not used until it is renewed.",
        "If it repeats, check for long pauses of the process and a slow store.";
    Replaced = 213, Alarm,
        "Another process runs under this entry host's name; this one stops.",
        "Give each entry host a name of its own.";
    HistoryMissing = 220, Info,
        "The store no longer keeps the changes since the last one seen; all is read again.",
        "Nothing.";
    LeaderSeen = 221, Info,
        "The leader has changed.",
        "If it repeats, check for long pauses of the leader's process and a slow store.";
    ItemUnreadable = 222, Warning,
        "An item in the store can't be read and is passed over.",
        "Correct or remove the item that the line names.";
    TermBegan = 230, Info,
        "This process leads.", "Nothing.";
    TermUncertain = 231, Warning,
        "The leader's lease could not be renewed in time; it starts and moves nothing.",
        "Check the store if it lasts.";
    TermCertain = 232, Info,
        "The leader's lease was renewed after a gap.", "Nothing.";
    TermEnded = 233, Info,
        "This process no longer leads.", "Nothing.";
    PeerUp = 300, Info,
        "A peer answers heartbeats.", "Nothing.";
    PeerDown = 301, Warning,
        "A peer has missed its heartbeats.",
        "Nothing if it was replaced; otherwise check the host and the network.";
    PeerRefused = 302, Alarm,
        "A peer's message was malformed or not authenticated.",
        "Check that every entry host has the same peers secret and a like version.";
    EndpointEjected = 400, Warning,
        "An endpoint failed too often and gets no work until a probe succeeds.",
        "Check the host if it repeats.";
    EndpointReturned = 401, Info,
        "An ejected endpoint answers again.", "Nothing.";
    AnswerCut = 402, Warning,
        "An endpoint's answer ended early; the caller's connection was closed.",
        "Check the endpoint if it repeats.";
    EndpointUp = 410, Info,
        "An endpoint has begun a life.", "Nothing.";
    EndpointLost = 411, Warning,
        "An endpoint is gone or doesn't answer.", "Check the host if it repeats.";
    EndpointRegained = 412, Info,
        "An endpoint answers again.", "Nothing.";
    RequestRefused = 500, Info,
        "A request was refused before it was sent.", "Nothing.";
    RequestFailed = 501, Warning,
        "A request failed after it may have reached an endpoint.",
        "Check the endpoint if it repeats.";
    HostLeaving = 600, Info,
        "A host takes no new work.", "Nothing.";
    HostDrained = 601, Info,
        "A leaving host has no running work.", "Nothing.";
    HostReturned = 602, Info,
        "A host takes work again.", "Nothing.";
    WavePaused = 603, Warning,
        "A wave stopped by itself because failures have spent a budget.",
        "Mend failed hosts; the wave goes on by itself.";
    WaveDone = 604, Info,
        "Every host of a wave has been maintained.", "Nothing.";
    PlatformListUnreachable = 605, Warning,
        "The platform's host list gives no answer; the last one is used.",
        "Check the platform.";
    WaveSeen = 606, Info,
        "Operators ask for a wave of maintenance.", "Nothing.";
    HostMoves = 607, Info,
        "A host is told to join another pool.", "Nothing.";
    HostMaintained = 608, Info,
        "A host is told to begin its maintenance.", "Nothing.";
    HostOrderFailed = 609, Warning,
        "An order for a host was refused or got no answer.",
        "Nothing: it is decided again. Check the hosts' platform if it repeats.";
    WaveReported = 610, Info,
        "The state of a wave was written for operators.", "Nothing.";
    RequestAnswered = 700, Info,
        "A caller's request was answered.", "Nothing.";
    JobUnreadable = 701, Warning,
        "A submitted job can't be read or has a mistake.",
        "Tell the caller what the line names.";
    JobFinished = 702, Info,
        "A job is over.", "Nothing.";
    JobsRemoved = 703, Info,
        "Finished jobs whose retention time is over were removed from the store.",
        "Nothing.";
    RunPlaced = 710, Info,
        "A run was placed on an endpoint.", "Nothing.";
    RunNotStarted = 711, Warning,
        "A run was rejected by its endpoint, or its start got no answer.",
        "Check the endpoint if it repeats.";
    RunAdopted = 712, Info,
        "A run that an earlier leader started goes on.", "Nothing.";
    RunStopping = 713, Info,
        "A run is told to stop.", "Nothing.";
    RunEnded = 714, Info,
        "A run has ended.", "Nothing.";
    RunGone = 715, Warning,
        "A run is taken to be gone without a reported end.",
        "Check the endpoint if it repeats.";
    PolicyRuled = 716, Info,
        "The placement policy was asked which endpoints may run a step.",
        "Check the policy's service if it doesn't answer.";
    RunsPreempted = 717, Info,
        "Runs of a lower priority are stopped to make room for a job.",
        "Give the pool more hosts if it repeats.";
    SaveFailed = 720, Warning,
        "Progress could not be written to the store; it is written again.",
        "Check the store if it repeats.";
}

impl Event {
    /// Returns the event of that number.
    pub fn find(number: u16) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|event| event.number() == number)
    }
}
