//! Runs the command line against a stand-in store and stand-in entry hosts.

#![allow(dead_code, reason = "each test binary uses only some items")]

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rhubarbrill_standin::platform;
use rhubarbrilld::operator::{Server, Status, StatusSource, Workspace};

/// A temporary folder with settings and declarations, a store, and two entry hosts.
pub struct TestEnv {
    pub folder: PathBuf,
    pub store: platform::Store,
    pub entries: Vec<FakeEntryHost>,
}

/// An entry host that only serves its status.
pub struct FakeEntryHost {
    state: Arc<State>,
    _server: Server,
}

struct State(Mutex<Status>);

/// Exit code and output of one run of the command line.
#[derive(Debug)]
pub struct CommandOutput {
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

impl FakeEntryHost {
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

    /// Sets the revision that the entry host reports as in force.
    pub fn set_revision(&self, revision: u64) {
        self.state.0.lock().unwrap().revision = revision;
    }
}

impl TestEnv {
    /// Starts the store and the entry hosts, with a copy of the example declarations.
    pub fn start(name: &str) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("rhubarbrill-{name}-{id}"));
        fs::create_dir_all(folder.join("fleet/teams")).unwrap();
        let store = platform::Store::start();
        let (first, a) = FakeEntryHost::start("e1");
        let (second, b) = FakeEntryHost::start("e2");
        let settings = format!(
            "[store]\nurls = {}\ntimeout = 500ms\n[entries]\noperators = {a}, {b}\n\
             patience = 300ms\n[declarations]\npath = fleet\n[operator]\nname = ann\n",
            store.url()
        );
        fs::write(folder.join("rhubarbrill.ini"), settings).unwrap();
        let env = Self {
            folder,
            store,
            entries: vec![first, second],
        };
        env.copy_examples();
        env
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

    /// Replaces the first occurrence of `from` in a declaration file.
    pub fn edit(&self, file: &str, from: &str, to: &str) {
        let path = self.folder.join("fleet").join(file);
        let text = fs::read_to_string(&path).unwrap();
        assert!(text.contains(from), "{file} has no {from:?}");
        fs::write(path, text.replacen(from, to, 1)).unwrap();
    }

    /// Runs the command line in the temporary folder.
    pub fn run(&self, line: &str) -> CommandOutput {
        let output = self.command(line).output().unwrap();
        CommandOutput {
            code: output.status.code().unwrap(),
            out: String::from_utf8(output.stdout).unwrap(),
            err: String::from_utf8(output.stderr).unwrap(),
        }
    }

    /// Starts the command line and kills it after the given time.
    pub fn run_and_kill(&self, line: &str, after: Duration) {
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

impl Drop for TestEnv {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A command with its expected exit code and output.
pub struct Step {
    line: &'static str,
    code: i32,
    /// Texts that standard output must contain, or standard error if they start with `!`.
    expected_output: &'static [&'static str],
    /// Action that runs before the command.
    before: fn(&TestEnv),
}

/// Returns a step that expects an exit code and parts of the output.
pub const fn step(
    line: &'static str,
    code: i32,
    expected_output: &'static [&'static str],
) -> Step {
    Step {
        line,
        code,
        expected_output,
        before: |_| {},
    }
}

impl Step {
    /// Sets an action that runs before the command.
    pub const fn before(self, before: fn(&TestEnv)) -> Self {
        Self { before, ..self }
    }
}

/// Runs the steps in order, and asserts the exit code and output of each.
pub fn run_steps(env: &TestEnv, steps: &[Step]) {
    for step in steps {
        (step.before)(env);
        let run = env.run(step.line);
        let is_expected =
            step.expected_output
                .iter()
                .all(|part| match part.strip_prefix('!') {
                    Some(part) => run.err.contains(part),
                    None => run.out.contains(part),
                });
        assert!(
            run.code == step.code && is_expected,
            "{}: {run:#?}",
            step.line
        );
    }
}
