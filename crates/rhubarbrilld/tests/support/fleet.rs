//! Stand-in endpoints with the declarations of their fleet.

use std::fmt::Write;
use std::time::Duration;

use rhubarbrill_config::key;
use rhubarbrill_standin::Tally;
use rhubarbrill_standin::endpoint::{Endpoint, Options};

/// A workspace to declare, with its share of the fleet and its limit of concurrent
/// requests.
#[derive(Clone, Copy, Debug)]
pub struct Workspace {
    pub name: &'static str,
    pub share: u32,
    pub limit: u32,
}

/// Running endpoints, the declarations that name them, and a token for each workspace, in
/// the order in which the workspaces were given.
#[derive(Debug)]
pub struct Fleet {
    pub endpoints: Vec<Endpoint>,
    pub tally: Tally,
    pub tokens: Vec<String>,
    pub declarations: String,
}

impl Fleet {
    /// Starts `hosts` endpoints in each zone and declares one pool and two queues:
    /// `quotes`, which needs a key, and `walk-in`, which is open and belongs to the first
    /// workspace.
    pub fn start(workspaces: &[Workspace], zones: &[&str], hosts: u32) -> Self {
        let tally = Tally::default();
        let mut endpoints = Vec::new();
        let mut text = String::from(
            "[pool bench]\nmax-out = 1\nmax-out-per-rack = 1\nmax-out-per-zone = 1\n\n\
             [queue quotes]\npool = bench\npath = /quotes\nmax-run-time = 5s\n\
             max-waiting = 200\n\n\
             [queue walk-in]\npool = bench\npath = /walk-in\nopen = yes\n",
        );
        writeln!(
            text,
            "team = {}\nmax-run-time = 5s\nmax-waiting = 200\n",
            workspaces[0].name
        )
        .unwrap();
        for zone in zones {
            writeln!(text, "[zone {zone}]\nregion = south\n").unwrap();
            for number in 1..=hosts {
                let name = format!("{zone}-h{number}");
                let options = Options::new(&name)
                    .tally(&tally)
                    .work(Duration::from_millis(5));
                let endpoint = Endpoint::start(options);
                writeln!(
                    text,
                    "[host {name}]\npool = bench\nzone = {zone}\nrack = {zone}-r1\n\
                     address = {}\nslots = 8\nconnections = 64\n",
                    endpoint.address(),
                )
                .unwrap();
                endpoints.push(endpoint);
            }
        }
        let mut tokens = Vec::new();
        for workspace in workspaces {
            writeln!(
                text,
                "[team {}]\nshare = {}\nlimit = {}\n",
                workspace.name, workspace.share, workspace.limit
            )
            .unwrap();
            let grant = key::grant(workspace.name, "till").unwrap();
            writeln!(text, "[{}]", grant.section.id).unwrap();
            for (name, value) in grant.section.properties.iter() {
                writeln!(text, "{name} = {value}").unwrap();
            }
            text.push('\n');
            tokens.push(grant.token);
        }
        Self {
            endpoints,
            tally,
            tokens,
            declarations: text,
        }
    }
}
