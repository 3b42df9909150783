//! Finds new declarations that would move a host to another pool without a drain.

use super::ledger::Ledger;
use super::record::Step;
use crate::fleet::Fleet;

/// A change of a host's pool by new declarations, without a drain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolChange {
    /// Name of the host.
    pub host: String,
    /// Name of the pool that the host currently belongs to.
    pub from: String,
    /// Name of the pool that the new declarations assign it to.
    pub to: String,
}

impl Ledger {
    /// Returns the hosts that the declarations `after` would assign to another pool
    /// before the hosts have been moved there.
    ///
    /// Two entry hosts that use different revisions of the declarations would place such
    /// a host in two pools. Operators have to move the host first and then declare it for
    /// the pool that it serves.
    pub fn undrained_pool_changes(
        &self,
        before: &Fleet,
        after: &Fleet,
    ) -> Vec<PoolChange> {
        let moves = |(_, name, host): (_, &str, &crate::fleet::Host)| {
            let old = before.hosts.get(before.hosts.find(name)?)?;
            let declared = before.pools.name(old.pool)?;
            let record = self.record(name);
            let from = record.map_or(declared, |record| record.pool.as_str());
            let to = after.pools.name(host.pool)?;
            let serves = record.is_none_or(|record| record.step == Step::Serving);
            let is_moved = from == to && serves;
            (declared != to && !is_moved).then(|| PoolChange {
                host: name.to_owned(),
                from: from.to_owned(),
                to: to.to_owned(),
            })
        };
        after.hosts.iter().filter_map(moves).collect()
    }
}
