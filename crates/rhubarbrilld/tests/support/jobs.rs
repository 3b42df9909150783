//! Entry host processes that run jobs on a stand-in for the users' platform.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rhubarbrill_standin::users::{SETTINGS_PATH_VARIABLE, UserPlatform};
use serde_json::{Value, json};
use ureq::Agent;

use super::daemon::Folder;

/// Longest time that any wait in these tests may take.
const TIMEOUT: Duration = Duration::from_secs(20);

/// End of what an entry host writes that can't listen on one of its addresses.
const ADDRESS_TAKEN: &str = "Address already in use (os error 98)\n";

/// Name of the file in an entry host's folder that switches features on.
pub const FEATURES_FILE: &str = "features.ini";

/// Name of the file in an entry host's folder that names faults to bring in.
pub const FAULTS_FILE: &str = "faults";

/// A running entry host process, which is killed when dropped. Its addresses are those of
/// the listeners for callers, readiness and metrics.
#[derive(Debug)]
pub struct Entry {
    child: Child,
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
}

/// A complete response as a caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Value,
}

impl Entry {
    /// Starts an entry host that logs to a file in the folder, and waits until it is
    /// ready. If another program has taken one of its addresses, it gets others.
    pub fn start(folder: &Folder, users: &UserPlatform, name: &str) -> Self {
        loop {
            let addresses = free_addresses();
            let mut entry = Self::launch(folder, users, users.store(), name, addresses);
            if entry.wait_until_ready(folder) {
                return entry;
            }
        }
    }

    /// Starts an entry host that reaches the store at `store`, without waiting until it
    /// is ready. If the folder has a file `features.ini`, it switches features on.
    pub fn launch(
        folder: &Folder,
        users: &UserPlatform,
        store: SocketAddr,
        name: &str,
        [callers, readiness, metrics]: [SocketAddr; 3],
    ) -> Self {
        let settings = users.settings_file(name, store, [callers, readiness, metrics]);
        let path = folder.write(&format!("{name}.conf"), &settings);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.path().join(format!("{name}.log")))
            .unwrap();
        let errors = log.try_clone().unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarbrilld"));
        command.arg("--platform");
        let features = folder.path().join(FEATURES_FILE);
        if features.exists() {
            command.arg("--features").arg(features);
        }
        if let Ok(faults) = fs::read_to_string(folder.path().join(FAULTS_FILE)) {
            command.env("RHUBARBRILL_FAULTS", faults);
        }
        let child = command
            .env(SETTINGS_PATH_VARIABLE, path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(errors))
            .spawn()
            .unwrap();
        Self {
            child,
            name: name.to_owned(),
            callers,
            readiness,
            metrics,
        }
    }

    /// Waits until the entry host is ready. Returns whether it is, and not if it has ended because
    /// another program has taken one of its addresses.
    fn wait_until_ready(&mut self, folder: &Folder) -> bool {
        let start = Instant::now();
        while !self.is_ready() {
            let exited = self.child.try_wait().unwrap();
            if exited.is_some() && self.read_log(folder).ends_with(ADDRESS_TAKEN) {
                return false;
            }
            if exited.is_some() || start.elapsed() > TIMEOUT {
                let log = self.read_log(folder);
                panic!(
                    "{} is not ready, exit status: {exited:?}, log: {log}",
                    self.name
                );
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Returns whether the readiness check answers with status 200.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/readiness", self.readiness);
        agent()
            .get(url)
            .call()
            .is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends a request for `/q/{id}` with host `h` and a key; panics without a complete
    /// response.
    pub fn call(&self, method: &str, id: &str, key: &str, body: &Value) -> Answer {
        call(&agent(), self.callers, method, id, key, body).unwrap()
    }

    /// Returns the state that the entry host reports for a job; empty if it reports none.
    pub fn state(&self, id: &str) -> String {
        let answer = self.call("GET", id, "k", &Value::Null);
        answer.body["state"].as_str().unwrap_or("").to_owned()
    }

    /// Returns what the process has logged so far.
    pub fn read_log(&self, folder: &Folder) -> String {
        fs::read_to_string(folder.path().join(format!("{}.log", self.name))).unwrap()
    }

    pub fn read_metrics(&self) -> String {
        let url = format!("http://{}/metrics", self.metrics);
        let mut answer = agent().get(url).call().unwrap();
        answer.body_mut().read_to_string().unwrap()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Sends a signal by name, such as TERM, STOP or CONT.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id)
            .status();
        assert!(status.unwrap().success());
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; panics after `TIMEOUT`.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "the process did not exit in time"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; panics after `TIMEOUT`.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "waited for: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the ID of job `number`.
pub fn job_id(number: usize) -> String {
    format!("{number:016x}")
}

/// CPU of each task of [`two_step_job`], in thousandths of a core.
pub const TASK_CPU: u64 = 500;

/// Returns a job of two steps with `count` tasks each; the second step depends on the
/// first.
pub fn two_step_job(count: u32) -> Value {
    json!({"spec": "s", "steps": [
        {"count": count, "cpu": TASK_CPU, "mem-mb": 100, "estimate-ms": 200},
        {"count": count, "cpu": TASK_CPU, "mem-mb": 100, "estimate-ms": 200, "after": [0]},
    ]})
}

/// Sends a request for `/q/{id}` with host `h` to an entry host; returns `None` without a
/// complete response.
pub fn call(
    agent: &Agent,
    callers: SocketAddr,
    method: &str,
    id: &str,
    key: &str,
    body: &Value,
) -> Option<Answer> {
    let request = http::Request::builder()
        .method(method)
        .uri(format!("http://{callers}/q/{id}"))
        .header("host", "h")
        .header("authorization", format!("Bearer {key}"))
        .header("x-deadline-ms", "3000")
        .body(body.to_string())
        .unwrap();
    let mut answer = agent.run(request).ok()?;
    let retry_after = answer.headers().get("retry-after");
    let retry_after = retry_after
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let text = answer.body_mut().read_to_string().ok()?;
    Some(Answer {
        status: answer.status().as_u16(),
        retry_after,
        body: serde_json::from_str(&text).unwrap_or_default(),
    })
}

/// Returns an HTTP client with a timeout of 5 s that returns error statuses as responses.
pub fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(5)))
        .allow_non_standard_methods(true)
        .proxy(None)
        .build()
        .into()
}

/// Returns addresses on which no process listens.
///
/// Their ports are below the range that the system assigns to outgoing connections, which
/// might otherwise take a port between this check and its use. Each process starts at a
/// different offset.
pub fn free_addresses() -> [SocketAddr; 3] {
    [(); 3].map(|()| free_address())
}

fn free_address() -> SocketAddr {
    const PORTS: std::ops::Range<u32> = 12_000..32_000;
    /// Number of ports that a process can take before it reaches those of the next
    /// process.
    const PORTS_PER_PROCESS: u32 = 331;
    static NEXT_OFFSET: AtomicU32 = AtomicU32::new(0);
    loop {
        let next = NEXT_OFFSET.fetch_add(1, Ordering::SeqCst);
        let offset = std::process::id()
            .wrapping_mul(PORTS_PER_PROCESS)
            .wrapping_add(next);
        let port = PORTS.start + offset % PORTS.len() as u32;
        let port = u16::try_from(port).expect("every number in PORTS fits into a port");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}
