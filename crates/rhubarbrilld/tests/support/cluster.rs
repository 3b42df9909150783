//! Entry hosts of several zones with a store, as processes.

use std::fmt::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Command, Output};

use rhubarbrill_standin::platform::Store;

use super::daemon::{Daemon, Folder};
use super::fleet::Fleet;
use super::links::{self, Links};

pub const SECRET: &str = "only-for-tests";

/// A store, endpoints, and entry hosts of several zones.
#[derive(Debug)]
pub struct Cluster {
    pub fleet: Fleet,
    pub store: Store,
    pub daemons: Vec<Daemon>,
    pub folder: Folder,
    /// The places of the daemons, in the same order.
    pub places: Vec<Place>,
    /// What a linked cluster's processes reach each other through.
    pub links: Links,
    /// Settings of every entry host beyond the usual ones.
    pub extra: String,
}

/// Where an entry host stands, and where it reaches the store.
#[derive(Clone, Debug)]
pub struct Place {
    pub entry: String,
    pub zone: String,
    pub store_url: String,
    pub lease: &'static str,
    pub listen: SocketAddr,
    pub peers_listen: SocketAddr,
    pub advertise: Option<SocketAddr>,
    /// Peers to ask while the store is down.
    pub seeds: Vec<SocketAddr>,
    pub extra: String,
}

/// Any free port of 127.0.0.1.
const ANY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

impl Place {
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
             [peers]\nsecret = {SECRET}\nheartbeat = 200ms\nstale-after = 3s\n{}\
             [store]\nkind = etcd\nurls = {}\ntimeout = 1s\nlease = {}\n{}",
            self.entry,
            self.zone,
            self.listen,
            self.peers_listen,
            advertise.unwrap_or_default(),
            seeds,
            self.store_url,
            self.lease,
            self.extra,
        )
    }
}

impl Cluster {
    /// Starts `entries` entry hosts in each zone, and applies the fleet's declarations.
    pub fn start(fleet: Fleet, zones: &[&str], entries: u32) -> Self {
        Self::start_at(fleet, zones, entries, "", Self::place)
    }

    /// Starts a cluster whose entry hosts have further settings.
    pub fn start_with(fleet: Fleet, zones: &[&str], entries: u32, extra: &str) -> Self {
        Self::start_at(fleet, zones, entries, extra, Self::place)
    }

    /// Starts entry hosts whose ways to the store and to peers can be cut.
    pub fn start_linked(fleet: Fleet, zones: &[&str], entries: u32) -> Self {
        Self::start_at(fleet, zones, entries, "", Self::linked_place)
    }

    fn start_at(
        fleet: Fleet,
        zones: &[&str],
        entries: u32,
        extra: &str,
        place: fn(&mut Self, &str, &str) -> Place,
    ) -> Self {
        let mut cluster = Self {
            fleet,
            store: Store::start(),
            daemons: Vec::new(),
            folder: Folder::new(),
            places: Vec::new(),
            links: Links::default(),
            extra: extra.to_owned(),
        };
        let applied = cluster.apply();
        assert!(applied.status.success(), "{applied:?}");
        for zone in zones {
            for number in 1..=entries {
                let place = place(&mut cluster, &format!("{zone}-e{number}"), zone);
                cluster.daemons.push(cluster.run(&place));
                cluster.places.push(place);
            }
        }
        cluster.wait_for_peers();
        cluster
    }

    pub fn place(&mut self, entry: &str, zone: &str) -> Place {
        Place {
            entry: entry.into(),
            zone: zone.into(),
            store_url: self.store.url(),
            lease: "6s",
            listen: ANY,
            peers_listen: ANY,
            advertise: None,
            seeds: Vec::new(),
            extra: self.extra.clone(),
        }
    }

    /// Returns a place with a short lease behind links, at addresses that stay the same
    /// when its process is started again.
    pub fn linked_place(&mut self, entry: &str, zone: &str) -> Place {
        let store = self.links.store(zone, self.store.address());
        let peers_listen = links::free_address();
        Place {
            store_url: format!("http://{store}"),
            lease: "2s",
            listen: links::free_address(),
            peers_listen,
            advertise: Some(self.links.peer(peers_listen)),
            ..self.place(entry, zone)
        }
    }

    /// Starts a process at a place.
    pub fn run(&self, place: &Place) -> Daemon {
        Daemon::start(&self.folder, &place.entry, &place.settings())
    }

    /// Kills an entry host's process, and starts another in its place that knows where
    /// its peers answer.
    pub fn restart(&mut self, index: usize) {
        let advertised = self.places.iter().filter_map(|place| place.advertise);
        self.places[index].seeds = advertised.collect();
        self.daemons[index].kill();
        self.daemons[index] = self.run(&self.places[index]);
    }

    /// Starts another process under an entry host's name, and returns the former one.
    pub fn replace(&mut self, index: usize) -> Daemon {
        let Place { entry, zone, .. } = self.places[index].clone();
        self.places[index] = self.linked_place(&entry, &zone);
        let fresh = self.run(&self.places[index]);
        std::mem::replace(&mut self.daemons[index], fresh)
    }

    /// Waits until every entry host knows every other.
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

    /// Waits until every entry host has a revision in force.
    pub fn wait_for_revision(&self, revision: u64) {
        for daemon in &self.daemons {
            daemon.wait_for("the revision", |status| {
                status["revision"]
                    .as_u64()
                    .is_some_and(|held| held >= revision)
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

    /// Accepts the fleet's declarations as they stand, with the real command line.
    pub fn apply(&self) -> Output {
        let declarations = self.folder.write("fleet.ini", &self.fleet.declarations);
        let path = declarations.display().to_string();
        self.rhubarbrill(&["apply", &path])
    }

    /// Runs the operators' command line.
    pub fn rhubarbrill(&self, arguments: &[&str]) -> Output {
        self.operate("ann", arguments)
    }

    /// Runs the command line for an operator of that name.
    pub fn operate(&self, name: &str, arguments: &[&str]) -> Output {
        let mut settings = self.operator_settings();
        writeln!(settings, "[operator]\nname = {name}").unwrap();
        let settings = self
            .folder
            .write(&format!("operator-{name}.ini"), &settings);
        Command::new(binary())
            .arg("--settings")
            .arg(settings)
            .args(arguments)
            .output()
            .expect("the command line is built with the workspace")
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

/// Returns the command line's program, which stands beside the daemon's.
fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_rhubarbrilld")).with_file_name("rhubarbrill")
}
