//! Entry host processes, and the folders for their files.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time that a graceful stop may take in these tests.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_FOLDER: AtomicU32 = AtomicU32::new(0);

/// A folder in the temporary directory that is removed when dropped.
#[derive(Debug)]
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("rhubarbrill-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Returns the text of a file; empty if it can't be read.
    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap_or_default()
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// A running `rhubarbrilld` process, which is killed when dropped. Its addresses are
/// those of the listeners for callers, operators and peers.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

impl Daemon {
    /// Starts an entry host with the given settings and waits until it prints the
    /// addresses of its listeners.
    pub fn start(folder: &Folder, name: &str, settings: &str) -> Self {
        let path = folder.write(&format!("{name}.ini"), settings);
        let log = fs::File::create(folder.path().join(format!("{name}.log"))).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rhubarbrilld"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let mut address = |label: &str| {
            let line = lines.next().unwrap_or_else(|| {
                let log = fs::read_to_string(folder.path().join(format!("{name}.log")));
                panic!("{name} did not start: {}", log.unwrap_or_default())
            });
            let line = line.unwrap();
            line.strip_prefix(label).unwrap().trim().parse().unwrap()
        };
        let (callers, operators, peers) =
            (address("callers"), address("operators"), address("peers"));
        Self {
            child,
            callers,
            operators,
            peers,
        }
    }

    /// Returns the operators' status document; null if it cannot be read.
    pub fn status(&self) -> serde_json::Value {
        let text =
            super::call::get_operator_page(self.operators, "/status").unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }

    /// Polls the status until it meets a condition; panics after `START_TIMEOUT`.
    pub fn wait_for(&self, what: &str, condition: impl Fn(&serde_json::Value) -> bool) {
        let start = Instant::now();
        loop {
            let status = self.status();
            if condition(&status) {
                return;
            }
            assert!(
                start.elapsed() < START_TIMEOUT,
                "waited for {what}: {status}"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns whether the readiness page says `yes`.
    pub fn is_ready(&self) -> bool {
        super::call::get_operator_page(self.operators, "/ready")
            .is_ok_and(|text| text == "yes\n")
    }

    /// Sends a signal by name, such as TERM, STOP or CONT.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success());
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits; panics after `STOP_TIMEOUT`.
    pub fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(
                start.elapsed() < STOP_TIMEOUT,
                "the process did not exit in time"
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
