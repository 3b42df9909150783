//! The command line beside a stand-in store and stand-in entry hosts.

#![allow(dead_code, reason = "each test file uses a part")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rhubarbrill_standin::platform;
use rhubarbrilld::operator::{Server, Status, StatusSource, Workspace};

/// A folder with settings and declarations, a store, and two entry hosts.
pub struct Bench {
    pub folder: PathBuf,
    pub store: platform::Store,
    pub entries: Vec<Entry>,
}

/// An entry host that only shows a status.
pub struct Entry {
    state: Arc<State>,
    _server: Server,
}

struct State(Mutex<Status>);

/// What a run of the command line left.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl StatusSource for State {
    fn is_live(&self) -> bool {
        true
    }

    fn is_ready(&self) -> bool {
        true
    }

    fn status(&self) -> Status {
        self.0.lock().unwrap().clone()
    }

    fn metrics(&self) -> eyre::Result<String> {
        Ok(String::new())
    }
}

impl Entry {
    fn start(name: &str) -> (Self, SocketAddr) {
        let workspace = Workspace {
            name: "counter".into(),
            running: 3,
            waiting: 1,
            share: 3,
            limit: 24,
            floor: 10,
            loan: 2,
        };
        let state = Arc::new(State(Mutex::new(Status {
            entry: name.into(),
            zone: "north-1".into(),
            incarnation: 1,
            revision: 0,
            ledger: 0,
            store_reachable: true,
            relay: false,
            draining: false,
            open: 0,
            peers: Vec::new(),
            workspaces: vec![workspace],
            waves: Vec::new(),
        })));
        let address = "127.0.0.1:0".parse().unwrap();
        let server = Server::start(address, Arc::clone(&state)).unwrap();
        let address = server.address();
        let entry = Self {
            state,
            _server: server,
        };
        (entry, address)
    }

    /// Lets the entry host show this revision as in force.
    pub fn show(&self, revision: u64) {
        self.state.0.lock().unwrap().revision = revision;
    }
}

impl Bench {
    /// Starts everything, with a copy of the example declarations.
    pub fn start(name: &str) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("rhubarbrill-{name}-{id}"));
        fs::create_dir_all(folder.join("fleet/teams")).unwrap();
        let store = platform::Store::start();
        let (first, a) = Entry::start("e1");
        let (second, b) = Entry::start("e2");
        let settings = format!(
            "[store]\nurls = {}\ntimeout = 500ms\n[entries]\noperators = {a}, {b}\n\
             patience = 300ms\n[declarations]\npath = fleet\n[operator]\nname = ann\n",
            store.url()
        );
        fs::write(folder.join("rhubarbrill.ini"), settings).unwrap();
        let bench = Self {
            folder,
            store,
            entries: vec![first, second],
        };
        bench.copy_examples();
        bench
    }

    fn copy_examples(&self) {
        let examples =
            concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/declarations");
        for folder in ["", "teams"] {
            let listing = fs::read_dir(format!("{examples}/{folder}")).unwrap();
            for file in listing.map(Result::unwrap) {
                if file.path().is_file() {
                    let to = self
                        .folder
                        .join("fleet")
                        .join(folder)
                        .join(file.file_name());
                    fs::copy(file.path(), to).unwrap();
                }
            }
        }
    }

    /// Replaces text in a declaration file.
    pub fn edit(&self, file: &str, from: &str, to: &str) {
        let path = self.folder.join("fleet").join(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{file} has no {from:?}");
        fs::write(path, text.replacen(from, to, 1)).unwrap();
    }

    /// Runs the command line in the folder.
    pub fn run(&self, line: &str) -> Run {
        let output = self.command(line).output().unwrap();
        Run {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Runs the command line, and kills it after a while.
    pub fn kill(&self, line: &str, after: Duration) {
        let mut child = self.command(line).spawn().unwrap();
        std::thread::sleep(after);
        child.kill().unwrap();
        child.wait().unwrap();
    }

    fn command(&self, line: &str) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_rhubarbrill"));
        command
            .args(line.split_whitespace())
            .current_dir(&self.folder)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        command
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A command, and what it must print.
pub struct Step {
    line: &'static str,
    code: i32,
    /// Parts of the output; those after `!` must be on the standard error.
    shown: &'static [&'static str],
    /// What happens before the command runs.
    before: fn(&Bench),
}

/// Returns a command with its exit code and parts of its output.
pub const fn step(line: &'static str, code: i32, shown: &'static [&'static str]) -> Step {
    Step {
        line,
        code,
        shown,
        before: |_| {},
    }
}

impl Step {
    /// Lets something happen before the command runs.
    pub const fn before(self, before: fn(&Bench)) -> Self {
        Self { before, ..self }
    }
}

/// Runs the steps one after the other.
pub fn play(bench: &Bench, steps: &[Step]) {
    for step in steps {
        (step.before)(bench);
        let run = bench.run(step.line);
        let fits = step.shown.iter().all(|part| match part.strip_prefix('!') {
            Some(part) => run.err.contains(part),
            None => run.out.contains(part),
        });
        assert!(run.code == step.code && fits, "{}: {run:#?}", step.line);
    }
}
