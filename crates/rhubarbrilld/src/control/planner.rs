//! Plans maintenance: reads the ledger, gathers evidence, and applies the commands that
//! are due.
//!
//! One entry host at a time is the planner, which only saves work. Safety doesn't depend
//! on it: the ledger validates every command again in the compare-and-swap that writes
//! it.

mod drain;
mod host_list;
mod ledger_events;
mod outage;
mod probe;
mod suspect;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rhubarbrill_config::settings::Hosts;
use rhubarbrill_core::fleet::Fleet;
use rhubarbrill_core::maintenance::{Command, Ledger};
use rhubarbrill_core::member::Member;
use rhubarbrill_core::wave::{self, Estimate};
use rhubarbrill_edge::Error;
use rhubarbrill_edge::record::Backoff;
use rhubarbrill_edge::store::Store;
use rhubarbrill_registry::maintenance::{self, Written};
use tokio_util::sync::CancellationToken;

use super::membership::{self, MemberRecord};
use super::{FleetStore, Node, worker};
use drain::Drains;
use host_list::HostList;
use outage::Outages;
use suspect::Suspects;

/// Longest time between two planning steps.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two planning steps while hosts are out of service.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two checks for newer versions or cancellation while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(200);
const SWAP_RETRIES: u32 = 4;

/// Plans maintenance while this entry host is the planner.
#[derive(Debug)]
pub struct Planner {
    node: Arc<Node>,
    store: Arc<FleetStore>,
    list: HostList,
    term: Option<Term>,
}

/// What the planner has observed since this entry host became the planner.
#[derive(Debug)]
struct Term {
    drains: Drains,
    suspects: Suspects,
    /// The latest ledger whose changes were logged.
    logged: Ledger,
}

impl Planner {
    /// Returns a planner that has not read anything yet.
    pub fn new(node: Arc<Node>, store: Arc<FleetStore>, hosts: Option<Hosts>) -> Self {
        Self {
            node,
            store,
            list: HostList::new(hosts),
            term: None,
        }
    }

    /// Executes one planning step: reads the ledger and applies the commands that are
    /// due.
    ///
    /// # Errors
    ///
    /// Fails if the store doesn't answer or gives an invalid answer.
    pub fn step(&mut self) -> Result<(), Error> {
        self.list.refresh(&self.node);
        if !self.node.is_planner() {
            self.term = None;
            return Ok(());
        }
        let ledger = maintenance::read(self.store.as_ref())?;
        let members = self.members()?;
        self.observe(&ledger, &members);
        let revision = self.node.revision();
        let commands = self.due_commands(&ledger, &revision.fleet);
        if commands.is_empty() {
            return Ok(());
        }
        self.apply(&ledger, &revision.fleet, &commands)
    }

    fn observe(&mut self, ledger: &Ledger, members: &BTreeSet<Member>) {
        let now = self.node.engine().clock().now();
        let term = self.term.get_or_insert_with(|| Term {
            drains: Drains::inherit(ledger, now),
            suspects: Suspects::default(),
            logged: ledger.clone(),
        });
        term.drains.observe(ledger, members, now);
        term.suspects.observe(&self.node, ledger, now);
        term.log_changes(&self.node, ledger);
    }

    fn due_commands(&self, ledger: &Ledger, fleet: &Fleet) -> Vec<Command> {
        let Some(term) = &self.term else {
            return Vec::new();
        };
        let now = self.node.engine().clock().now();
        let outages = Outages {
            ledger,
            fleet,
            list: &self.list,
            suspects: &term.suspects,
            now,
        };
        let mut commands = outages.due_commands();
        commands.extend(term.drains.confirmations(&self.node, now));
        commands.extend(wave::Planner.next(ledger, fleet, &Estimate::default()));
        commands
    }

    fn apply(
        &mut self,
        ledger: &Ledger,
        fleet: &Fleet,
        commands: &[Command],
    ) -> Result<(), Error> {
        let backoff = Backoff::new(FIRST_BACKOFF, MAX_BACKOFF, SWAP_RETRIES);
        let store = self.store.as_ref();
        let seen = ledger.generation();
        let answer = maintenance::change(store, backoff, fleet, seen, commands)?;
        for (command, decision) in commands.iter().zip(&answer.decisions) {
            slog::debug!(self.node.log(), "planned"; "command" => ?command,
                "decision" => ?decision);
        }
        match answer.written {
            Written::Ledger(ledger) => self.apply_ledger(*ledger),
            Written::Nothing => {}
            // The next step reads the ledger and so learns whether the write took effect.
            Written::Unknown(error) => return Err(error),
        }
        Ok(())
    }

    fn apply_ledger(&mut self, ledger: Ledger) {
        if let Some(term) = &mut self.term {
            term.log_changes(&self.node, &ledger);
        }
        if ledger.generation() > self.node.versions().1 {
            // Another source may already have applied this ledger or a newer one.
            let _ = self.node.apply(|applied| applied.replace_ledger(ledger));
        }
    }

    /// Returns the entry hosts with a member record in the store and the live peers.
    fn members(&self) -> Result<BTreeSet<Member>, Error> {
        let listing = self.store.list(membership::PREFIX)?;
        let records = listing.entries.iter().filter_map(|entry| {
            let record: MemberRecord = serde_json::from_slice(&entry.value).ok()?;
            Some(record.member)
        });
        let mut members: BTreeSet<Member> = records.collect();
        members.insert(self.node.member().clone());
        let now = self.node.engine().clock().now();
        self.node.roster(|roster| {
            members.extend(roster.live(now).map(|peer| peer.member.clone()));
        });
        Ok(members)
    }

    /// Waits until the next step is due, or until the applied configuration or ledger
    /// changes.
    fn wait(&self, cancel: &CancellationToken) {
        let before = self.node.versions();
        let busy = self.node.with_applied(|applied| {
            let mut records = applied.ledger().records();
            records.any(|(_, record)| !record.step.accepts())
        });
        let mut remaining = match busy {
            true => BUSY_INTERVAL,
            false => IDLE_INTERVAL.min(self.list.interval()),
        };
        while !remaining.is_zero()
            && !cancel.is_cancelled()
            && self.node.versions() == before
        {
            worker::sleep(POLL_INTERVAL, cancel);
            remaining = remaining.saturating_sub(POLL_INTERVAL);
        }
    }
}

/// Plans maintenance until cancelled.
pub fn run(
    node: Arc<Node>,
    store: Arc<FleetStore>,
    hosts: Option<Hosts>,
    cancel: &CancellationToken,
) {
    let mut planner = Planner::new(node, store, hosts);
    while !cancel.is_cancelled() {
        if let Err(error) = planner.step() {
            slog::debug!(planner.node.log(), "planning step failed"; "error" => %error);
        }
        planner.wait(cancel);
    }
}
