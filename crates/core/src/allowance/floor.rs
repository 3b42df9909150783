//! How a limit is divided into floors.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::fnv1a;

/// Entry hosts by availability zone, among which floors are divided.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::allowance::Division;
///
/// let mut division = Division::default();
/// division.add("z1", "z1-a");
/// division.add("z1", "z1-b");
/// division.add("z2", "z2-a");
/// let floors = ["z1-a", "z1-b", "z2-a"].map(|entry| division.floor("t", 8, entry));
/// assert_eq!(floors, [2, 2, 4]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Division {
    zones: BTreeMap<String, BTreeSet<String>>,
}

impl Division {
    /// Adds an entry host.
    pub fn add(&mut self, zone: &str, entry: &str) {
        let entries = self.zones.entry(zone.to_owned()).or_default();
        entries.insert(entry.to_owned());
    }

    /// Returns one entry host's part of `units`, first divided by zone, then within it.
    ///
    /// Parts add up to `units` exactly. Which parts are larger by one depends on the
    /// workspace's name, so that small workspaces don't all get their floor at the same
    /// place.
    pub fn floor(&self, workspace: &str, units: u32, entry: &str) -> u32 {
        let mut floors = self.floors(workspace, units);
        floors
            .find(|(name, _)| *name == entry)
            .map_or(0, |(_, floor)| floor)
    }

    /// Returns every entry host with its part of `units`.
    pub fn floors(
        &self,
        workspace: &str,
        units: u32,
    ) -> impl Iterator<Item = (&str, u32)> {
        let turn = fnv1a(workspace.as_bytes());
        let zones = self.zones.values().enumerate();
        zones.flat_map(move |(zone, entries)| {
            let in_zone = part(units, self.zones.len(), zone, turn);
            let names = entries.iter().enumerate();
            names.map(move |(position, name)| {
                (name.as_str(), part(in_zone, entries.len(), position, turn))
            })
        })
    }
}

/// Returns the part of `units` at `position` of `parts`, with the remainder spread from
/// position `turn` on.
fn part(units: u32, parts: usize, position: usize, turn: u64) -> u32 {
    let parts = u64::try_from(parts).unwrap_or(1).max(1);
    let position = u64::try_from(position).unwrap_or_default();
    let place = (position + turn % parts) % parts;
    let extra = u32::from(place < u64::from(units) % parts);
    u32::try_from(u64::from(units) / parts).unwrap_or(units) + extra
}
