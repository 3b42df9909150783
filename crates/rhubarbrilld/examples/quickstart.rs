//! Runs an entry host and two endpoints in one process, and shows an accepted request, a
//! rejected request, and requests while a host is being drained.
//!
//! Run it with `cargo run --example quickstart`.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::{Result, eyre};
use rhubarbrill_config::{key, settings};
use rhubarbrill_core::maintenance::{Command, Reason, Selection};
use rhubarbrill_standin::endpoint::{Endpoint, Options};
use rhubarbrilld::control::Node;
use rhubarbrilld::log;
use rhubarbrilld::run::Daemon;

const SETTINGS: &str = "[entry]\nname = e1\nzone = z1\nlisten = 127.0.0.1:0\n\
    operators = 127.0.0.1:0\npeers-listen = 127.0.0.1:0\n\
    [peers]\nsecret = quickstart\n[store]\nkind = memory\n\
    [declarations]\npath = fleet.ini\n[log]\nlevel = warning\n";

const WAVE: &str = "quickstart";

fn main() -> Result<()> {
    let endpoints = ["h1", "h2"]
        .map(|name| Endpoint::start(Options::new(name).work(Duration::from_millis(20))));
    let access_key = key::grant("counter", "till")
        .map_err(|error| eyre!("can't create an access key: {error}"))?;
    let directory = TempDirectory::new()?;
    let declarations = declarations(&endpoints, &access_key);
    println!("Declarations:\n\n{declarations}");
    directory.write("fleet.ini", &declarations)?;
    let path = directory.write("entry.ini", SETTINGS)?;
    let settings = settings::read(path)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let log = log::logger(&settings.log, "e1", "z1");
        let daemon = Daemon::start(settings, log).await?;
        demonstrate(&daemon, &access_key.token).await?;
        daemon.stop().await
    })
}

/// Sends requests with and without a key and while a host drains, and prints the
/// responses.
async fn demonstrate(daemon: &Daemon, token: &str) -> Result<()> {
    let callers = daemon.callers();
    println!("A request with a key:");
    send_request(callers, Some(token), "size 52, yellow gold").await?;
    println!("\nThe same request without a key:");
    send_request(callers, None, "size 52, yellow gold").await?;
    println!("\nHost h1 drains; the next requests go to h2:");
    drain(daemon.node(), "h1")?;
    for _ in 0..3 {
        send_request(callers, Some(token), "clasp").await?;
    }
    Ok(())
}

/// Begins to drain a host as part of a maintenance wave, so that it gets no new requests.
fn drain(node: &Node, host: &str) -> Result<()> {
    let (mut ledger, fleet) =
        node.with_applied(|applied| (applied.ledger().clone(), applied.fleet().clone()));
    let start = Command::StartWave {
        wave: WAVE.into(),
        selection: Selection::Hosts([host.to_owned()].into()),
        finish_by: None,
    };
    let reason = Reason::Wave { wave: WAVE.into() };
    let drain = Command::BeginDrain {
        host: host.into(),
        reason,
    };
    for command in [start, drain] {
        ledger
            .apply(&fleet, ledger.generation(), &command)
            .map_err(|refusal| eyre!("the ledger refused the command: {refusal:?}"))?;
    }
    node.apply(|applied| applied.replace_ledger(ledger))?;
    Ok(())
}

async fn send_request(
    address: SocketAddr,
    token: Option<&str>,
    body: &'static str,
) -> Result<()> {
    let token = token.map(str::to_owned);
    tokio::task::spawn_blocking(move || {
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        let mut request = agent.post(format!("http://{address}/quotes"));
        if let Some(token) = token {
            request = request.header("Authorization", format!("Bearer {token}"));
        }
        let mut response = request.send(body)?;
        let headers = response.headers();
        let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let verdict = header("rhubarbrill-verdict").unwrap_or("-").to_owned();
        let endpoint = header("x-endpoint").unwrap_or("-").to_owned();
        let status = response.status();
        let body = response.body_mut().read_to_string()?;
        println!("  {status} verdict={verdict} endpoint={endpoint}\n  {body}");
        Ok(())
    })
    .await?
}

fn declarations(endpoints: &[Endpoint], access_key: &key::Grant) -> String {
    let mut text = String::from(
        "[zone z1]\nregion = south\n\n[team counter]\nshare = 1\nlimit = 16\n\n\
         [pool bench]\nmax-out = 1\nmax-out-per-rack = 1\nmax-out-per-zone = 1\n\n\
         [queue quotes]\npool = bench\npath = /quotes\nmax-run-time = 5s\n\
         max-waiting = 100\n\n",
    );
    for endpoint in endpoints {
        // Writing to a `String` never fails.
        let _ = write!(
            text,
            "[host {}]\npool = bench\nzone = z1\nrack = r1\naddress = {}\nslots = 8\n\
             connections = 64\n\n",
            endpoint.name(),
            endpoint.address(),
        );
    }
    let _ = writeln!(text, "[{}]", access_key.section.id);
    for (name, value) in access_key.section.properties.iter() {
        let _ = writeln!(text, "{name} = {value}");
    }
    text
}

/// A temporary directory that is removed when this value is dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new() -> Result<Self> {
        let name = format!("rhubarbrill-quickstart-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }

    fn write(&self, name: &str, text: &str) -> Result<PathBuf> {
        let path = self.0.join(name);
        std::fs::write(&path, text)?;
        Ok(path)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // If the removal fails, the directory is left to the system's cleanup of
        // temporary files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
