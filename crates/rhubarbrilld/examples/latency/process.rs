//! Runs an entry host as a child process, and reads its CPU time and memory use.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use eyre::{Result, WrapErr, eyre};
use rhubarbrill_config::key;

/// Clock ticks per second, the unit of CPU time in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

const SETTINGS: &str = "[entry]\nname = e1\nzone = z1\nlisten = 127.0.0.1:0\n\
    operators = 127.0.0.1:0\npeers-listen = 127.0.0.1:0\n\
    [peers]\nsecret = latency\n[store]\nkind = memory\n\
    [declarations]\npath = fleet.ini\n[log]\nlevel = error\n";

/// A running entry host, which is killed when this value is dropped.
#[derive(Debug)]
pub struct Entry {
    child: Child,
    directory: PathBuf,
    pub address: SocketAddr,
}

impl Entry {
    pub fn start(endpoint: SocketAddr, access_key: &key::Grant) -> Result<Self> {
        let name = format!("rhubarbrill-latency-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory)?;
        std::fs::write(
            directory.join("fleet.ini"),
            declarations(endpoint, access_key),
        )?;
        let settings = directory.join("entry.ini");
        std::fs::write(&settings, SETTINGS)?;
        let mut child = Command::new(daemon_path()?)
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .wrap_err(
                "can't start the daemon; build it first with cargo build --release",
            )?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| eyre!("the output of the daemon is not captured"))?;
        let line = BufReader::new(output).lines().next();
        let line =
            line.ok_or_else(|| eyre!("the daemon ended before it printed its address"))??;
        let address = line.trim_start_matches("callers ").parse()?;
        Ok(Self {
            child,
            directory,
            address,
        })
    }

    /// Returns the CPU time that the process has used in user and kernel mode, in
    /// seconds.
    pub fn cpu_seconds(&self) -> Result<f64> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()))?;
        let fields = text
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace();
        let ticks: u64 = fields
            .skip(11)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Ok(ticks as f64 / TICKS_PER_SECOND)
    }

    /// Returns the size of the resident memory of the process, in KiB.
    pub fn memory_kib(&self) -> Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let value = line.and_then(|line| line.split_whitespace().nth(1));
        value
            .ok_or_else(|| eyre!("the process status has no VmRSS value"))?
            .parse()
            .wrap_err("the VmRSS value is not a number")
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Returns the path of the daemon, which is built into the parent directory of the
/// examples.
fn daemon_path() -> Result<PathBuf> {
    let example = std::env::current_exe()?;
    let directory = example.parent().and_then(|directory| directory.parent());
    Ok(directory
        .ok_or_else(|| eyre!("the path of this program has no parent directory"))?
        .join("rhubarbrilld"))
}

fn declarations(endpoint: SocketAddr, access_key: &key::Grant) -> String {
    let properties: Vec<String> = access_key
        .section
        .properties
        .iter()
        .map(|(name, value)| format!("{name} = {value}"))
        .collect();
    format!(
        "[zone z1]\nregion = south\n[team counter]\nshare = 1\nlimit = 4000\n\
         [pool bench]\nmax-out = 1\nmax-out-per-rack = 1\nmax-out-per-zone = 1\n\
         [queue quotes]\npool = bench\npath = /quotes\nmax-run-time = 60s\n\
         max-waiting = 4000\n\
         [host h1]\npool = bench\nzone = z1\nrack = r1\naddress = {endpoint}\n\
         slots = 2000\nconnections = 2000\n[{}]\n{}\n",
        access_key.section.id,
        properties.join("\n"),
    )
}
