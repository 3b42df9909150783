//! The content of one store record: who holds which units.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Command, Declaration, Division, Evidence, Rejection};
use crate::member::Member;

/// Allowances of the workspaces of one shard.
///
/// A lowered limit is in force only once holders have returned units; until then the
/// limit in force is what is still held. Commands never let it rise again meanwhile.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ledger {
    revision: u64,
    confirmations: u64,
    seats: BTreeMap<String, Seat>,
    #[serde(rename = "teams")]
    workspaces: BTreeMap<String, Account>,
}

/// What is known of an entry host across its incarnations.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Seat {
    zone: String,
    owner: Option<u64>,
    /// For each borrowing incarnation, the number of its newest confirmation.
    borrowers: BTreeMap<u64, u64>,
}

#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Account {
    target: u32,
    holdings: BTreeMap<String, Holding>,
}

/// Units of one workspace recorded for one entry host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// Units without expiry.
    pub floor: u32,
    loans: BTreeMap<u64, u32>,
}

impl Holding {
    /// Returns the units lent to an incarnation.
    pub fn loan(&self, incarnation: u64) -> u32 {
        self.loans.get(&incarnation).copied().unwrap_or_default()
    }

    /// Returns the units of the floor and of all loans.
    pub fn total(&self) -> u32 {
        self.loans.values().sum::<u32>() + self.floor
    }
}

impl Account {
    fn held(&self) -> u32 {
        self.holdings.values().map(Holding::total).sum()
    }

    fn take(&self, units: u32) -> Result<(), Rejection> {
        match self.held().checked_add(units) {
            Some(held) if held <= self.target => Ok(()),
            _ => Err(Rejection::AboveLimit),
        }
    }
}

impl Ledger {
    /// Returns the newest configuration revision whose limits were declared.
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the limit in force: the declared one, or what is held while that is more.
    pub fn limit(&self, workspace: &str) -> u32 {
        self.target(workspace).max(self.held(workspace))
    }

    /// Returns the declared limit, which the limit in force sinks to.
    pub fn target(&self, workspace: &str) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(0, |account| account.target)
    }

    /// Returns the sum of all floors and loans of the workspace.
    pub fn held(&self, workspace: &str) -> u32 {
        self.workspaces.get(workspace).map_or(0, Account::held)
    }

    /// Returns the units that can still be claimed or borrowed.
    pub fn free(&self, workspace: &str) -> u32 {
        self.target(workspace).saturating_sub(self.held(workspace))
    }

    /// Returns what is recorded for an entry host.
    pub fn holding(&self, workspace: &str, entry: &str) -> Option<&Holding> {
        self.workspaces.get(workspace)?.holdings.get(entry)
    }

    /// Returns the names of the workspaces, declared ones and removed ones that still
    /// hold.
    pub fn workspaces(&self) -> impl Iterator<Item = &str> {
        self.workspaces.keys().map(String::as_str)
    }

    /// Returns the incarnation that owns an entry host's floors.
    pub fn owner(&self, entry: &str) -> Option<u64> {
        self.seats.get(entry)?.owner
    }

    /// Adds every entry host that has a floor here to a division.
    pub fn divide(&self, division: &mut Division) {
        for (entry, seat) in &self.seats {
            if self.any_holding(entry, |holding| holding.floor > 0) {
                division.add(&seat.zone, entry);
            }
        }
    }

    /// Returns each borrowing incarnation with its newest confirmation.
    pub(super) fn borrowers(&self) -> impl Iterator<Item = Evidence> {
        self.seats.iter().flat_map(|(entry, seat)| {
            let loans = seat.borrowers.iter();
            loans.map(|(&incarnation, &stamp)| Evidence::new(entry, incarnation, stamp))
        })
    }

    /// Carries out a member's command, or changes nothing.
    ///
    /// # Errors
    ///
    /// Returns the [`Rejection`] when the command would break a rule.
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
            Command::GiveBack { workspace, units } => {
                self.give_back(member, workspace, *units)?;
            }
            Command::Reassert => self.confirm(member),
            Command::TakeBack(evidence) => self.take_back(evidence)?,
        }
        self.prune();
        Ok(())
    }

    /// Removes an entry host that will never come back, with all it holds.
    ///
    /// Only for an operator's word that the host is destroyed: a floor has no expiry, so
    /// nothing else can tell a lost entry host from one that is cut off.
    pub fn retire(&mut self, entry: &str) {
        self.seats.remove(entry);
        for account in self.workspaces.values_mut() {
            account.holdings.remove(entry);
        }
        self.prune();
    }

    fn adopt(&mut self, member: &Member) {
        let seat = self.seats.entry(member.entry.clone()).or_default();
        seat.zone.clone_from(&member.zone);
        seat.owner = Some(member.incarnation);
    }

    fn release(&mut self, member: &Member) -> Result<(), Rejection> {
        let seat = self.owned_seat(member)?;
        seat.owner = None;
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
        self.owned_seat(member)?;
        self.account(workspace)?.take(units)?;
        self.holding_mut(member, workspace)?.floor += units;
        Ok(())
    }

    fn lower_floor(
        &mut self,
        member: &Member,
        workspace: &str,
        units: u32,
    ) -> Result<(), Rejection> {
        self.owned_seat(member)?;
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
        self.account(workspace)?.take(units)?;
        let holding = self.holding_mut(member, workspace)?;
        *holding.loans.entry(member.incarnation).or_default() += units;
        self.confirm(member);
        Ok(())
    }

    fn give_back(
        &mut self,
        member: &Member,
        workspace: &str,
        units: u32,
    ) -> Result<(), Rejection> {
        let holding = self.holding_mut(member, workspace)?;
        let left = holding.loan(member.incarnation).checked_sub(units);
        let left = left.ok_or(Rejection::NotHeld)?;
        holding.loans.insert(member.incarnation, left);
        Ok(())
    }

    fn take_back(&mut self, evidence: &Evidence) -> Result<(), Rejection> {
        let seat = self.seats.get(evidence.entry());
        let stamp = seat.and_then(|seat| seat.borrowers.get(&evidence.incarnation()));
        if stamp != Some(&evidence.stamp()) {
            return Err(Rejection::Confirmed);
        }
        self.drop_loans(evidence.entry(), evidence.incarnation());
        Ok(())
    }

    fn confirm(&mut self, member: &Member) {
        let seat = self.seats.entry(member.entry.clone()).or_default();
        if seat.zone.is_empty() {
            seat.zone.clone_from(&member.zone);
        }
        self.confirmations += 1;
        seat.borrowers
            .insert(member.incarnation, self.confirmations);
    }

    fn drop_loans(&mut self, entry: &str, incarnation: u64) {
        for account in self.workspaces.values_mut() {
            if let Some(holding) = account.holdings.get_mut(entry) {
                holding.loans.remove(&incarnation);
            }
        }
        if let Some(seat) = self.seats.get_mut(entry) {
            seat.borrowers.remove(&incarnation);
        }
    }

    fn owned_seat(&mut self, member: &Member) -> Result<&mut Seat, Rejection> {
        self.seats
            .get_mut(&member.entry)
            .filter(|seat| seat.owner == Some(member.incarnation))
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

    fn any_holding(&self, entry: &str, test: impl Fn(&Holding) -> bool) -> bool {
        let holdings = self
            .workspaces
            .values()
            .filter_map(|a| a.holdings.get(entry));
        holdings.into_iter().any(test)
    }

    /// Drops what says nothing: empty loans, empty holdings, removed workspaces.
    fn prune(&mut self) {
        for account in self.workspaces.values_mut() {
            account.holdings.retain(|_, holding| {
                holding.loans.retain(|_, units| *units > 0);
                holding.total() > 0
            });
        }
        self.workspaces
            .retain(|_, account| account.target > 0 || !account.holdings.is_empty());
        let mut seats = std::mem::take(&mut self.seats);
        for (entry, seat) in &mut seats {
            seat.borrowers.retain(|&incarnation, _| {
                self.any_holding(entry, |holding| holding.loan(incarnation) > 0)
            });
        }
        self.seats = seats;
    }
}
