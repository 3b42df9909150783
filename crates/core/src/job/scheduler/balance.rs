//! The balance of a pool: the capacity that its work needs and the capacity that it holds.

use crate::job::Resource;

/// The work that a pool's capacity is weighed against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Scope {
    /// Long-running tasks and jobs that can still meet their deadlines, including those
    /// that are expected to arrive.
    InTime,
    /// All work, of which late jobs count in part.
    All,
}

/// Capacity that a pool needs and holds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Balance {
    pub(super) needed: Resource,
    pub(super) needed_in_time: Resource,
    pub(super) held: Resource,
    /// The part of `needed_in_time` for long-running tasks and for running tasks.
    pub(super) firm: Resource,
}

impl Balance {
    /// Returns the capacity that the work of a scope needs.
    pub(super) const fn needed(&self, scope: Scope) -> Resource {
        match scope {
            Scope::InTime => self.needed_in_time,
            Scope::All => self.needed,
        }
    }

    /// Returns the share of the needed capacity that the pool holds, in thousandths, in
    /// the dimension that is covered least.
    pub(super) fn coverage_permille(&self, scope: Scope) -> u64 {
        let covered = |held: u64, needed: u64| {
            (held * 1_000).checked_div(needed).unwrap_or(u64::MAX)
        };
        let needed = self.needed(scope);
        covered(self.held.cpu, needed.cpu)
            .min(covered(self.held.memory_mb, needed.memory_mb))
            .min(covered(self.held.gpu, needed.gpu))
    }

    /// Returns whether the pool holds less than it needs.
    pub(super) const fn is_short(&self, scope: Scope) -> bool {
        !self.needed(scope).is_at_most(&self.held)
    }

    /// Returns whether the pool still holds what it needs after a host with `capacity`
    /// has left.
    pub(super) fn can_spare(&self, scope: Scope, capacity: &Resource) -> bool {
        capacity.fits(&self.needed(scope), &self.held)
    }

    /// Returns the needed capacity in order of precedence: for long-running and running
    /// tasks, for other work in time, and for late work.
    pub(super) fn layers(&self) -> [Resource; 3] {
        let mut in_time = self.needed_in_time;
        in_time.subtract(&self.firm);
        let mut late = self.needed;
        late.subtract(&self.needed_in_time);
        [self.firm, in_time, late]
    }

    /// Sets the needed capacity from its parts in order of precedence.
    pub(super) const fn set_layers(&mut self, [firm, in_time, late]: [Resource; 3]) {
        self.firm = firm;
        self.needed_in_time = firm;
        self.needed_in_time.add(&in_time);
        self.needed = self.needed_in_time;
        self.needed.add(&late);
    }

    /// Raises the needed capacity of both scopes to at least `amount`.
    pub(super) fn raise(&mut self, amount: &Resource) {
        self.needed = self.needed.max(amount);
        self.needed_in_time = self.needed_in_time.max(amount);
    }
}
