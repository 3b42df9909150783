//! The part of the configuration that jobs need.

use std::time::Duration;

use super::Resource;

/// A whole configuration of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// The queues that callers submit to.
    pub queues: Vec<Queue>,
    /// The pools of hosts.
    pub pools: Vec<Pool>,
    /// The workspaces that own jobs.
    pub workspaces: Vec<Workspace>,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time until a request's header is complete.
    pub header_timeout: Duration,
}

/// A queue of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Value of the `Host` header that selects the queue.
    pub host: String,
    /// Start of the path that selects the queue; the longest match wins.
    pub prefix: String,
    /// Pool whose endpoints run the jobs.
    pub pool: String,
    /// Order among queues; 0 comes first and may preempt others.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// How many times the longest chain of work a job may take and be in time.
    pub stretch: f64,
    /// Time beyond that in which a job is still in time.
    pub target_latency: Duration,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether each step needs the placement policy's permission first.
    pub advice: Option<Advice>,
}

/// How a queue's placement policy answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Advice {
    /// Time that each answer takes.
    pub decide: Duration,
    /// Time that each endpoint in the question adds.
    pub per_endpoint: Duration,
    /// How long a permission is valid.
    pub valid: Duration,
}

/// A pool of hosts that serve the same queues.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: String,
    /// Whether the pool's hosts are switched off and cost nothing.
    pub standby: bool,
}

/// A workspace that owns jobs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: String,
    /// Keys that its callers present.
    pub keys: Vec<String>,
    /// Jobs a second that it may submit before it goes behind the others when all is full,
    /// in thousandths; absent for no bound.
    pub weight: Option<u64>,
    /// Most that it may have running over all endpoints; 0 stands for no limit.
    pub limit: Resource,
}

impl Configuration {
    /// Returns the queue of a request: its host, and the longest prefix of its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue of a name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the workspace that holds a key.
    pub fn holder(&self, key: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.keys.iter().any(|held| held == key))
    }

    /// Returns the workspace of a name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        self.workspaces
            .iter()
            .find(|workspace| workspace.name == name)
    }

    /// Returns the pool of a name.
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
