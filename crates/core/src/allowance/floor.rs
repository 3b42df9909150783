//! Divides the limit of a workspace into the floors of the entry hosts.

use std::collections::{BTreeMap, BTreeSet};

use crate::hash::fnv1a;

/// The entry hosts among which floors are divided, by availability zone.
///
/// Units are divided evenly among the zones, then within each zone among its entry hosts.
///
/// # Example
///
/// ```
/// use rhubarbrill_core::allowance::FloorDivision;
///
/// let mut division = FloorDivision::default();
/// division.add("z1", "z1-a");
/// division.add("z1", "z1-b");
/// division.add("z2", "z2-a");
/// let floors = ["z1-a", "z1-b", "z2-a"].map(|entry| division.floor("t", 8, entry));
/// assert_eq!(floors, [2, 2, 4]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FloorDivision {
    zones: BTreeMap<String, BTreeSet<String>>,
}

impl FloorDivision {
    /// Adds an entry host to its availability zone.
    pub fn add(&mut self, zone: &str, entry: &str) {
        let entries = self.zones.entry(zone.to_owned()).or_default();
        entries.insert(entry.to_owned());
    }

    /// Returns one entry host's floor of `units`, or zero for an unknown entry host.
    ///
    /// The floors add up to `units` exactly. Which of them are larger by one depends on a
    /// hash of the workspace's name, so that the floors of small workspaces don't all
    /// fall on the same entry hosts.
    pub fn floor(&self, workspace: &str, units: u32, entry: &str) -> u32 {
        let mut floors = self.floors(workspace, units);
        floors
            .find(|(name, _)| *name == entry)
            .map_or(0, |(_, floor)| floor)
    }

    /// Returns every entry host with its floor of `units`.
    pub fn floors(
        &self,
        workspace: &str,
        units: u32,
    ) -> impl Iterator<Item = (&str, u32)> {
        let offset = fnv1a(workspace.as_bytes());
        let zones = self.zones.values().enumerate();
        zones.flat_map(move |(zone, entries)| {
            let in_zone = part(units, self.zones.len(), zone, offset);
            let names = entries.iter().enumerate();
            names.map(move |(position, name)| {
                (
                    name.as_str(),
                    part(in_zone, entries.len(), position, offset),
                )
            })
        })
    }
}

/// Returns the part of `units` at `position` when divided into `parts`.
///
/// The remainder goes to one block of adjacent positions, rotated by `offset`.
fn part(units: u32, parts: usize, position: usize, offset: u64) -> u32 {
    let parts = u64::try_from(parts).unwrap_or(1).max(1);
    let position = u64::try_from(position).unwrap_or_default();
    let rotated = (position + offset % parts) % parts;
    let extra = u32::from(rotated < u64::from(units) % parts);
    u32::try_from(u64::from(units) / parts).unwrap_or(units) + extra
}
