//! The content of an allowance record: the units that each entry host holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Command, Declaration, Evidence, FloorDivision, Rejection};
use crate::member::Member;

/// The allowances of the workspaces of one shard.
///
/// A lowered limit takes effect only once the holders have returned enough units. Until
/// then, the limit in force is the number of units still held, and commands can't raise
/// it, except by declaring a new limit.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    revision: u64,
    confirmations: u64,
    #[serde(rename = "seats")]
    entry_hosts: BTreeMap<String, EntryHost>,
    #[serde(rename = "teams")]
    workspaces: BTreeMap<String, Account>,
}

/// The state of an entry host that outlives a single incarnation of its process.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct EntryHost {
    zone: String,
    /// The incarnation that owns the floors.
    owner: Option<u64>,
    /// The number of the latest confirmation of each borrowing incarnation.
    borrowers: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Account {
    /// The declared limit.
    target: u32,
    /// The units of each entry host, by name.
    holdings: BTreeMap<String, Holding>,
}

/// The units of one workspace that are recorded for one entry host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// Units that don't expire.
    pub floor: u32,
    /// The units lent to each incarnation.
    loans: BTreeMap<u64, u32>,
}

impl Holding {
    /// Returns the number of units lent to an incarnation.
    pub fn loan(&self, incarnation: u64) -> u32 {
        self.loans.get(&incarnation).copied().unwrap_or_default()
    }

    /// Returns the sum of the floor and all loans.
    pub fn total(&self) -> u32 {
        self.loans.values().sum::<u32>() + self.floor
    }
}

impl Account {
    fn held(&self) -> u32 {
        self.holdings.values().map(Holding::total).sum()
    }

    fn ensure_capacity(&self, units: u32) -> Result<(), Rejection> {
        match self.held().checked_add(units) {
            Some(held) if held <= self.target => Ok(()),
            _ => Err(Rejection::AboveLimit),
        }
    }
}

impl Ledger {
    /// Returns the latest configuration revision whose limits were declared.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the limit in force: the greater of the declared limit and the units held.
    pub fn limit(&self, workspace: &str) -> u32 {
        self.target(workspace).max(self.held(workspace))
    }

    /// Returns the declared limit, which the limit in force falls to as units are
    /// returned; zero for an unknown workspace.
    pub fn target(&self, workspace: &str) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(0, |account| account.target)
    }

    /// Returns the sum of all floors and loans of the workspace.
    pub fn held(&self, workspace: &str) -> u32 {
        self.workspaces.get(workspace).map_or(0, Account::held)
    }

    /// Returns the number of units that can be added to floors or loans.
    pub fn free(&self, workspace: &str) -> u32 {
        self.target(workspace).saturating_sub(self.held(workspace))
    }

    /// Returns the units of a workspace that are recorded for an entry host.
    pub fn holding(&self, workspace: &str, entry: &str) -> Option<&Holding> {
        self.workspaces.get(workspace)?.holdings.get(entry)
    }

    /// Returns the names of the declared workspaces, and of the removed ones of which
    /// units are still held.
    pub fn workspaces(&self) -> impl Iterator<Item = &str> {
        self.workspaces.keys().map(String::as_str)
    }

    /// Returns the incarnation that owns an entry host's floors, if any does.
    pub fn owner(&self, entry: &str) -> Option<u64> {
        self.entry_hosts.get(entry)?.owner
    }

    /// Adds every entry host that has a floor in this ledger to a division.
    pub fn add_entry_hosts_to(&self, division: &mut FloorDivision) {
        for (entry, entry_host) in &self.entry_hosts {
            if self.any_holding(entry, |holding| holding.floor > 0) {
                division.add(&entry_host.zone, entry);
            }
        }
    }

    /// Returns each borrowing incarnation with its latest confirmation.
    pub(super) fn borrowers(&self) -> impl Iterator<Item = Evidence> {
        self.entry_hosts.iter().flat_map(|(entry, entry_host)| {
            let loans = entry_host.borrowers.iter();
            loans.map(|(&incarnation, &confirmation)| {
                Evidence::new(entry, incarnation, confirmation)
            })
        })
    }

    /// Applies a command of a member; a rejected command changes nothing.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] when the command breaks one of the ledger's rules.
    pub fn apply(&mut self, member: &Member, command: &Command) -> Result<(), Rejection> {
        match command {
            Command::Adopt => self.adopt(member),
            Command::Release => self.release(member)?,
            Command::Declare(declaration) => self.declare(declaration)?,
            Command::RaiseFloor { workspace, units } => {
                self.raise_floor(member, workspace, *units)?;
            }
            Command::LowerFloor { workspace, units } => {
                self.lower_floor(member, workspace, *units)?;
            }
            Command::Borrow { workspace, units } => {
                self.borrow(member, workspace, *units)?;
            }
            Command::ReturnLoan { workspace, units } => {
                self.return_loan(member, workspace, *units)?;
            }
            Command::ConfirmLoans => self.confirm_loans(member),
            Command::Reclaim(evidence) => self.reclaim(evidence)?,
        }
        self.prune();
        Ok(())
    }

    /// Removes an entry host that will never return, together with its units.
    ///
    /// Call it only when an operator has confirmed that the host is destroyed: a floor
    /// doesn't expire, and nothing else tells a lost entry host from one that is merely
    /// disconnected.
    pub fn retire(&mut self, entry: &str) {
        self.entry_hosts.remove(entry);
        for account in self.workspaces.values_mut() {
            account.holdings.remove(entry);
        }
        self.prune();
    }

    fn adopt(&mut self, member: &Member) {
        let entry_host = self.entry_hosts.entry(member.entry.clone()).or_default();
        entry_host.zone.clone_from(&member.zone);
        entry_host.owner = Some(member.incarnation);
    }

    fn release(&mut self, member: &Member) -> Result<(), Rejection> {
        let entry_host = self.owned_entry_host(member)?;
        entry_host.owner = None;
        self.drop_loans(&member.entry, member.incarnation);
        Ok(())
    }

    fn declare(&mut self, declaration: &Declaration) -> Result<(), Rejection> {
        if declaration.revision <= self.revision {
            return Err(Rejection::Stale);
        }
        self.revision = declaration.revision;
        for account in self.workspaces.values_mut() {
            account.target = 0;
        }
        for limit in &declaration.limits {
            let account = self.workspaces.entry(limit.workspace.clone()).or_default();
            account.target = limit.units;
        }
        Ok(())
    }

    fn raise_floor(
        &mut self,
        member: &Member,
        workspace: &str,
        units: u32,
    ) -> Result<(), Rejection> {
        self.owned_entry_host(member)?;
        self.account(workspace)?.ensure_capacity(units)?;
        self.holding_mut(member, workspace)?.floor += units;
        Ok(())
    }

    fn lower_floor(
        &mut self,
        member: &Member,
        workspace: &str,
        units: u32,
    ) -> Result<(), Rejection> {
        self.owned_entry_host(member)?;
        let holding = self.holding_mut(member, workspace)?;
        holding.floor = holding.floor.checked_sub(units).ok_or(Rejection::NotHeld)?;
        Ok(())
    }

    fn borrow(
        &mut self,
        member: &Member,
        workspace: &str,
        units: u32,
    ) -> Result<(), Rejection> {
        self.account(workspace)?.ensure_capacity(units)?;
        let holding = self.holding_mut(member, workspace)?;
        *holding.loans.entry(member.incarnation).or_default() += units;
        self.confirm_loans(member);
        Ok(())
    }

    fn return_loan(
        &mut self,
        member: &Member,
        workspace: &str,
        units: u32,
    ) -> Result<(), Rejection> {
        let holding = self.holding_mut(member, workspace)?;
        let remaining = holding.loan(member.incarnation).checked_sub(units);
        let remaining = remaining.ok_or(Rejection::NotHeld)?;
        holding.loans.insert(member.incarnation, remaining);
        Ok(())
    }

    fn reclaim(&mut self, evidence: &Evidence) -> Result<(), Rejection> {
        let entry_host = self.entry_hosts.get(evidence.entry());
        let confirmation = entry_host
            .and_then(|entry_host| entry_host.borrowers.get(&evidence.incarnation()));
        if confirmation != Some(&evidence.confirmation()) {
            return Err(Rejection::Confirmed);
        }
        self.drop_loans(evidence.entry(), evidence.incarnation());
        Ok(())
    }

    fn confirm_loans(&mut self, member: &Member) {
        let entry_host = self.entry_hosts.entry(member.entry.clone()).or_default();
        if entry_host.zone.is_empty() {
            entry_host.zone.clone_from(&member.zone);
        }
        self.confirmations += 1;
        entry_host
            .borrowers
            .insert(member.incarnation, self.confirmations);
    }

    fn drop_loans(&mut self, entry: &str, incarnation: u64) {
        for account in self.workspaces.values_mut() {
            if let Some(holding) = account.holdings.get_mut(entry) {
                holding.loans.remove(&incarnation);
            }
        }
        if let Some(entry_host) = self.entry_hosts.get_mut(entry) {
            entry_host.borrowers.remove(&incarnation);
        }
    }

    fn owned_entry_host(&mut self, member: &Member) -> Result<&mut EntryHost, Rejection> {
        self.entry_hosts
            .get_mut(&member.entry)
            .filter(|entry_host| entry_host.owner == Some(member.incarnation))
            .ok_or(Rejection::NotOwner)
    }

    fn account(&mut self, workspace: &str) -> Result<&mut Account, Rejection> {
        self.workspaces
            .get_mut(workspace)
            .ok_or(Rejection::UnknownWorkspace)
    }

    fn holding_mut(
        &mut self,
        member: &Member,
        workspace: &str,
    ) -> Result<&mut Holding, Rejection> {
        let account = self.account(workspace)?;
        Ok(account.holdings.entry(member.entry.clone()).or_default())
    }

    fn any_holding(&self, entry: &str, predicate: impl Fn(&Holding) -> bool) -> bool {
        let holdings = self
            .workspaces
            .values()
            .filter_map(|a| a.holdings.get(entry));
        holdings.into_iter().any(predicate)
    }

    /// Removes empty loans and holdings, workspaces without limit and units, and
    /// borrowers without loans.
    fn prune(&mut self) {
        for account in self.workspaces.values_mut() {
            account.holdings.retain(|_, holding| {
                holding.loans.retain(|_, units| *units > 0);
                holding.total() > 0
            });
        }
        self.workspaces
            .retain(|_, account| account.target > 0 || !account.holdings.is_empty());
        let mut entry_hosts = std::mem::take(&mut self.entry_hosts);
        for (entry, entry_host) in &mut entry_hosts {
            entry_host.borrowers.retain(|&incarnation, _| {
                self.any_holding(entry, |holding| holding.loan(incarnation) > 0)
            });
        }
        self.entry_hosts = entry_hosts;
    }
}
