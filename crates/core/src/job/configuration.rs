//! The part of the configuration that the job scheduler uses.

use std::collections::HashMap;
use std::time::Duration;

use super::{Record, Resource};

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Version number. It increases with every change, but not by a fixed step.
    pub version: u64,
    /// The queues that callers submit jobs to.
    pub queues: Vec<Queue>,
    /// The pools that hosts belong to.
    pub pools: Vec<Pool>,
    /// The workspaces that own jobs.
    pub workspaces: Vec<Workspace>,
    /// Largest accepted request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time that a client may take to send a complete request header.
    pub header_timeout: Duration,
}

/// A queue of jobs, selected by the host and path of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Unique name of the queue.
    pub name: String,
    /// Value of the `Host` header that selects the queue, compared without regard to
    /// ASCII case.
    pub host: String,
    /// Path prefix that selects the queue. The longest matching prefix wins.
    pub prefix: String,
    /// Name of the pool whose endpoints run the queue's jobs.
    pub pool: String,
    /// Priority of the queue. 0 is the highest, and a queue may preempt those with larger
    /// numbers.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Factor applied to the duration of a job's critical path to obtain its deadline.
    pub stretch: f64,
    /// Time added to the stretched critical path to obtain a job's deadline.
    pub target_latency: Duration,
    /// Whether requests to the queue are accepted without an API key.
    pub public: bool,
    /// The queue's placement policy, whose permission each step needs before it starts;
    /// `None` if no permission is needed.
    pub placement_policy: Option<PlacementPolicy>,
}

/// Response times of a queue's placement policy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacementPolicy {
    /// Base time that the policy takes for each answer.
    pub decide: Duration,
    /// Additional time that it takes for each endpoint in the question.
    pub per_endpoint: Duration,
    /// How long a permission remains valid.
    pub valid: Duration,
}

/// A pool of hosts that serve the same queues.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pool {
    /// Unique name of the pool.
    pub name: String,
    /// Whether the pool holds hosts that are switched off and cost nothing.
    pub standby: bool,
    /// Longest time for which its endpoints are cold after their start; 0 if the
    /// registrations alone tell.
    pub cold_start: Duration,
    /// Starts a second that one of its endpoints can handle while it is cold; `None` if
    /// that isn't known.
    pub cold_starts_per_s: Option<u64>,
    /// Whether its endpoints start whatever they are told to, also beyond their capacity.
    pub accepts_overload: bool,
}

/// A workspace, which owns jobs and is subject to a rate and a resource limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Unique name of the workspace.
    pub name: String,
    /// API keys that callers of the workspace present.
    pub keys: Vec<String>,
    /// Rate of submissions, in thousandths of a job per second, above which the
    /// workspace's jobs are ranked behind those of others when capacity is short; `None`
    /// for no bound.
    pub weight: Option<u64>,
    /// Most resources that its running tasks may use over all endpoints together; 0
    /// stands for no limit.
    pub limit: Resource,
}

impl Configuration {
    /// Returns the queue for a request: the one with its host and the longest matching
    /// path prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns what is declared for a job with this record.
    pub fn declarations(&self, record: &Record) -> Declarations<'_> {
        Declarations {
            queue: self.queue(&record.queue),
            workspace: record
                .workspace
                .as_ref()
                .and_then(|name| self.workspace(name)),
        }
    }

    /// Returns an index by name, for lookups of many jobs.
    pub fn index(&self) -> Index<'_> {
        let queues = self.queues.iter();
        let workspaces = self.workspaces.iter();
        Index {
            queues: queues.map(|queue| (queue.name.as_str(), queue)).collect(),
            workspaces: workspaces
                .map(|workspace| (workspace.name.as_str(), workspace))
                .collect(),
        }
    }

    /// Returns the workspace that the given API key belongs to.
    pub fn workspace_by_key(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.keys.iter().any(|held| held == key))
    }

    /// Returns the workspace with the given name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Returns the pool with the given name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}

/// What a configuration declares for a job.
#[derive(Clone, Copy, Debug)]
pub struct Declarations<'a> {
    /// The job's queue; `None` if it isn't declared.
    pub queue: Option<&'a Queue>,
    /// The job's workspace; `None` if it has none or it isn't declared.
    pub workspace: Option<&'a Workspace>,
}

/// Queues and workspaces of a configuration by name.
#[derive(Clone, Debug)]
pub struct Index<'a> {
    queues: HashMap<&'a str, &'a Queue>,
    workspaces: HashMap<&'a str, &'a Workspace>,
}

impl<'a> Index<'a> {
    /// Returns what is declared for a job with this record.
    pub fn declarations(&self, record: &Record) -> Declarations<'a> {
        let workspace = record.workspace.as_deref();
        Declarations {
            queue: self.queues.get(record.queue.as_str()).copied(),
            workspace: workspace.and_then(|name| self.workspaces.get(name).copied()),
        }
    }
}
