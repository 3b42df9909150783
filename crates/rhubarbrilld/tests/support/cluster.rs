//! Clusters of entry host processes in several availability zones, with a store.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};

use rhubarbrill_standin::platform::Store;

use super::daemon::{Daemon, Folder};
use super::fleet::Fleet;
use super::links::{self, Links};

/// The shared secret with which the entry hosts authenticate to each other.
pub const PEER_SECRET: &str = "only-for-tests";

/// A store, endpoints, and entry hosts of several zones.
#[derive(Debug)]
pub struct Cluster {
    pub fleet: Fleet,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub folder: Folder,
    /// The configuration of each daemon, in the order of `daemons`.
    pub entry_configs: Vec<EntryConfig>,
    /// The links through which the processes of a linked cluster reach the store and each
    /// other; empty otherwise.
    pub links: Links,
    /// Additional settings text for every entry host.
    pub extra_settings: String,
}

/// The settings of an entry host that differ between tests and daemons.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    pub entry: String,
    pub zone: String,
    pub store_url: String,
    /// The lease in the store, as a setting such as "6s".
    pub lease: &'static str,
    pub listen: SocketAddr,
    pub peers_listen: SocketAddr,
    /// The address that peers are told to use, if it differs from `peers_listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of peers to contact while the store is unavailable.
    pub seeds: Vec<SocketAddr>,
    pub extra_settings: String,
}

/// Lets the system choose a free port of 127.0.0.1.
const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl EntryConfig {
    /// Returns the text of the settings file.
    pub fn settings(&self) -> String {
        let advertise = self.advertise.map(|at| format!("advertise = {at}\n"));
        let seeds: Vec<String> = self.seeds.iter().map(ToString::to_string).collect();
        let seeds = match seeds.as_slice() {
            [] => String::new(),
            seeds => format!("addresses = {}\n", seeds.join(", ")),
        };
        format!(
            "[entry]\nname = {}\nzone = {}\nlisten = {}\n\
             operators = 127.0.0.1:0\npeers-listen = {}\n{}\
             [peers]\nsecret = {PEER_SECRET}\nheartbeat = 200ms\nstale-after = 3s\n{}\
             [store]\nkind = etcd\nurls = {}\ntimeout = 1s\nlease = {}\n{}",
            self.entry,
            self.zone,
            self.listen,
            self.peers_listen,
            advertise.unwrap_or_default(),
            seeds,
            self.store_url,
            self.lease,
            self.extra_settings,
        )
    }
}

impl Cluster {
    /// Applies the fleet's declarations and starts `entries` entry hosts in each zone.
    pub fn start(fleet: Fleet, zones: &[&str], entries: u32) -> Self {
        Self::start_entries(fleet, zones, entries, "", Self::entry_config)
    }

    /// Starts a cluster whose entry hosts have additional settings.
    pub fn start_with(
        fleet: Fleet,
        zones: &[&str],
        entries: u32,
        extra_settings: &str,
    ) -> Self {
        Self::start_entries(fleet, zones, entries, extra_settings, Self::entry_config)
    }

    /// Starts a cluster whose entry hosts reach the store and their peers through links
    /// that tests can cut.
    pub fn start_linked(fleet: Fleet, zones: &[&str], entries: u32) -> Self {
        Self::start_entries(fleet, zones, entries, "", Self::linked_entry_config)
    }

    fn start_entries(
        fleet: Fleet,
        zones: &[&str],
        entries: u32,
        extra_settings: &str,
        entry_config: fn(&mut Self, &str, &str) -> EntryConfig,
    ) -> Self {
        let mut cluster = Self {
            fleet,
            store: Store::start(),
            daemons: Vec::new(),
            folder: Folder::new(),
            entry_configs: Vec::new(),
            links: Links::default(),
            extra_settings: extra_settings.to_owned(),
        };
        let applied = cluster.apply();
        assert!(applied.status.success(), "{applied:?}");
        for zone in zones {
            for number in 1..=entries {
                let entry_config =
                    entry_config(&mut cluster, &format!("{zone}-e{number}"), zone);
                cluster.daemons.push(cluster.run(&entry_config));
                cluster.entry_configs.push(entry_config);
            }
        }
        cluster.wait_for_peers();
        cluster
    }

    /// Returns the default configuration: a lease of 6 s and ports chosen by the system.
    pub fn entry_config(&mut self, entry: &str, zone: &str) -> EntryConfig {
        EntryConfig {
            entry: entry.into(),
            zone: zone.into(),
            store_url: self.store.url(),
            lease: "6s",
            listen: ANY_PORT,
            peers_listen: ANY_PORT,
            advertise: None,
            seeds: Vec::new(),
            extra_settings: self.extra_settings.clone(),
        }
    }

    /// Returns a configuration with a lease of 2 s that uses links and has fixed
    /// addresses, which stay the same when the process is restarted.
    pub fn linked_entry_config(&mut self, entry: &str, zone: &str) -> EntryConfig {
        let store = self.links.store_address(zone, self.store.address());
        let peers_listen = links::free_address();
        EntryConfig {
            store_url: format!("http://{store}"),
            lease: "2s",
            listen: links::free_address(),
            peers_listen,
            advertise: Some(self.links.add_peer(peers_listen)),
            ..self.entry_config(entry, zone)
        }
    }

    /// Starts an entry host process with a configuration.
    pub fn run(&self, entry_config: &EntryConfig) -> Daemon {
        Daemon::start(&self.folder, &entry_config.entry, &entry_config.settings())
    }

    /// Kills an entry host's process and starts a new one with the same configuration,
    /// which also knows the addresses of its peers.
    pub fn restart(&mut self, index: usize) {
        let advertised = self
            .entry_configs
            .iter()
            .filter_map(|entry_config| entry_config.advertise);
        self.entry_configs[index].seeds = advertised.collect();
        self.daemons[index].kill();
        self.daemons[index] = self.run(&self.entry_configs[index]);
    }

    /// Starts another process under the name of an entry host whose process still exists,
    /// and returns the previous process.
    pub fn replace(&mut self, index: usize) -> Daemon {
        let EntryConfig { entry, zone, .. } = self.entry_configs[index].clone();
        self.entry_configs[index] = self.linked_entry_config(&entry, &zone);
        let replacement = self.run(&self.entry_configs[index]);
        std::mem::replace(&mut self.daemons[index], replacement)
    }

    /// Waits until every entry host lists all others as peers.
    pub fn wait_for_peers(&self) {
        let others = self.daemons.len() - 1;
        for daemon in &self.daemons {
            daemon.wait_for("peers", |status| {
                status["peers"]
                    .as_array()
                    .is_some_and(|peers| peers.len() == others)
            });
        }
    }

    /// Waits until every entry host has the given revision, or a newer one, in force.
    pub fn wait_for_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            daemon.wait_for("the revision", |status| {
                status["revision"]
                    .as_u64()
                    .is_some_and(|current| current >= revision)
            });
        }
    }

    /// Waits until every entry host holds units of every workspace.
    pub fn wait_for_units(&self) {
        for daemon in &self.daemons {
            daemon.wait_for("units", |status| {
                let workspaces = status["teams"].as_array();
                workspaces.is_some_and(|workspaces| {
                    !workspaces.is_empty()
                        && workspaces.iter().all(|workspace| workspace["floor"] != 0)
                })
            });
        }
    }

    /// Returns the status and the log of every entry host, for the message of a failed
    /// test.
    pub fn diagnostics(&self) -> String {
        let mut text = String::new();
        for (daemon, config) in self.daemons.iter().zip(&self.entry_configs) {
            let log = self.folder.read(&format!("{}.log", config.entry));
            let status = daemon.status();
            writeln!(text, "{}: {status}\n{log}", config.entry).unwrap();
        }
        text
    }

    /// Applies the current declarations of the fleet with the operators' command line.
    pub fn apply(&self) -> Output {
        let declarations = self.folder.write("fleet.ini", &self.fleet.declarations);
        let path = declarations.display().to_string();
        self.run_cli(&["apply", &path])
    }

    /// Runs the operators' command line as operator `ann`.
    pub fn run_cli(&self, arguments: &[&str]) -> Output {
        self.run_cli_as("ann", arguments)
    }

    /// Runs the operators' command line as the named operator.
    pub fn run_cli_as(&self, name: &str, arguments: &[&str]) -> Output {
        let mut settings = self.operator_settings();
        writeln!(settings, "[operator]\nname = {name}").unwrap();
        let settings = self
            .folder
            .write(&format!("operator-{name}.ini"), &settings);
        Command::new(cli_path())
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .output()
            .expect("the command line must have been built with the Cargo workspace")
    }

    fn operator_settings(&self) -> String {
        let mut text = format!("[store]\nurls = {}\n", self.store.url());
        let addresses: Vec<String> = self
            .daemons
            .iter()
            .map(|daemon| daemon.operators.to_string())
            .collect();
        if !addresses.is_empty() {
            writeln!(text, "[entries]\noperators = {}", addresses.join(", ")).unwrap();
        }
        text
    }
}

/// Returns the path of the `rhubarbrill` binary, which is in the same folder as the
/// daemon's.
fn cli_path() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_rhubarbrilld")).with_file_name("rhubarbrill")
}
