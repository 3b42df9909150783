//! Applies documents and deltas to a typed fleet.

use std::collections::BTreeSet;

use rhubarbrill_core::fleet::{
    Access, AccessKey, Budget, DisconnectedPolicy, Fleet, Host, Pool, PoolKey, Queue,
    Workspace, WorkspaceKey, Zone, ZoneKey,
};

use super::{Delta, Document, Id, Kind, Properties};
use crate::schema::{self, Reader};
use crate::{Error, key, unit};

impl Document {
    /// Updates `fleet` to the content of this document.
    ///
    /// Entries whose names remain declared keep their arena keys.
    ///
    /// # Errors
    ///
    /// Fails if a section is invalid or refers to an undeclared name; `fleet` is then
    /// unchanged.
    pub fn update_fleet(&self, fleet: &mut Fleet, revision: u64) -> Result<(), Error> {
        let delta = Delta {
            upserts: self.iter().map(Into::into).collect(),
            removals: undeclared_entries(self, fleet),
        };
        self.apply_delta_to_fleet(&delta, fleet, revision)
    }

    /// Applies `delta` to `fleet`, after `delta` was applied to this document.
    ///
    /// The cost is proportional to the size of the delta, except for pools whose budget
    /// is a percentage: when a host of such a pool changes, its hosts are counted again.
    ///
    /// # Errors
    ///
    /// Fails if a section is invalid or refers to an undeclared name; `fleet` is then
    /// unchanged.
    pub fn apply_delta_to_fleet(
        &self,
        delta: &Delta,
        fleet: &mut Fleet,
        revision: u64,
    ) -> Result<(), Error> {
        self.check(delta)?;
        let resized = resized_pools(delta, fleet);
        for section in &delta.upserts {
            upsert(fleet, &section.id, &section.properties)?;
        }
        for id in delta.removals.iter().rev() {
            remove(fleet, id);
        }
        self.update_budgets(fleet, resized)?;
        fleet.revision = revision;
        Ok(())
    }

    /// Checks all changed sections, so that `fleet` stays unchanged on failure.
    fn check(&self, delta: &Delta) -> Result<(), Error> {
        for section in &delta.upserts {
            let location = section.id.to_string();
            self.check_section(&section.id, &section.properties)
                .map_err(|error| error.at(&location))?;
        }
        Ok(())
    }

    /// Checks the keys, values and references of one section.
    fn check_section(&self, id: &Id, properties: &Properties) -> Result<(), Error> {
        let reader = Reader::new(schema::fields(id.kind), properties);
        for field in schema::fields(id.kind) {
            let Some(text) = reader.get(field.key) else {
                if field.presence == schema::Presence::Required {
                    return Err(Error::missing(field.key));
                }
                continue;
            };
            field
                .value
                .check(text)
                .map_err(|error| error.at(field.key))?;
            if let schema::ValueType::Reference(kind) = field.value {
                self.check_declared(kind, text)?;
            }
        }
        match id.kind {
            Kind::Key => {
                self.check_declared(Kind::Workspace, key::workspace_of(&id.name)?)
            }
            Kind::Queue if reader.flag("open")? => reader.text("team").map(drop),
            _ => Ok(()),
        }
    }

    fn check_declared(&self, kind: Kind, name: &str) -> Result<(), Error> {
        let id = Id::new(kind, name);
        match self.get(&id) {
            Some(_) => Ok(()),
            None => Err(Error::dangling(id.to_string())),
        }
    }

    /// Updates the budgets of pools; percentages are computed from the number of hosts.
    fn update_budgets(
        &self,
        fleet: &mut Fleet,
        pools: BTreeSet<String>,
    ) -> Result<(), Error> {
        for name in pools {
            let Some(properties) = self.get(&Id::new(Kind::Pool, name.as_str())) else {
                continue;
            };
            let mut pool = pool(properties)?;
            if let unit::CountOrPercent::Percent(_) = max_out(properties)? {
                let hosts = count_hosts(fleet, pool_key(fleet, &name)?);
                pool.budget.max_out = max_out(properties)?.resolve(hosts);
            }
            fleet.pools.upsert(&name, pool);
        }
        Ok(())
    }
}

/// Returns the entries of `fleet` that `document` doesn't declare, to be removed.
fn undeclared_entries(document: &Document, fleet: &Fleet) -> Vec<Id> {
    let names = |kind| -> Vec<&str> {
        match kind {
            Kind::Zone => fleet.zones.iter().map(|(_, name, _)| name).collect(),
            Kind::Workspace => fleet.workspaces.iter().map(|(_, name, _)| name).collect(),
            Kind::Pool => fleet.pools.iter().map(|(_, name, _)| name).collect(),
            Kind::Host => fleet.hosts.iter().map(|(_, name, _)| name).collect(),
            Kind::Queue => fleet.queues.iter().map(|(_, name, _)| name).collect(),
            Kind::Key => fleet.access_keys.iter().map(|(_, name, _)| name).collect(),
        }
    };
    Kind::ALL
        .into_iter()
        .flat_map(|kind| names(kind).into_iter().map(move |name| Id::new(kind, name)))
        .filter(|id| document.get(id).is_none())
        .collect()
}

/// Returns the pools whose hosts or budgets are changed by a delta.
///
/// This must be called before the delta is applied to `fleet`, as a host that moves or is
/// removed also changes its previous pool.
fn resized_pools(delta: &Delta, fleet: &Fleet) -> BTreeSet<String> {
    let mut pools = BTreeSet::new();
    for section in &delta.upserts {
        match section.id.kind {
            Kind::Pool => pools.extend([section.id.name.clone()]),
            Kind::Host => pools.extend(section.properties.get("pool").map(str::to_owned)),
            Kind::Zone | Kind::Workspace | Kind::Queue | Kind::Key => {}
        }
    }
    let changed = delta.upserts.iter().map(|section| &section.id);
    for id in changed.chain(&delta.removals) {
        if id.kind == Kind::Host {
            pools.extend(pool_of(fleet, &id.name));
        }
    }
    pools
}

fn pool_of(fleet: &Fleet, host: &str) -> Option<String> {
    let host = fleet.hosts.get(fleet.hosts.find(host)?)?;
    fleet.pools.name(host.pool).map(str::to_owned)
}

fn count_hosts(fleet: &Fleet, pool: PoolKey) -> u32 {
    let hosts = fleet.hosts.iter().filter(|(_, _, host)| host.pool == pool);
    u32::try_from(hosts.count()).unwrap_or(u32::MAX)
}

fn upsert(fleet: &mut Fleet, id: &Id, properties: &Properties) -> Result<(), Error> {
    let name = id.name.as_str();
    match id.kind {
        Kind::Zone => drop(fleet.zones.upsert(name, zone(properties)?)),
        Kind::Workspace => drop(fleet.workspaces.upsert(name, workspace(properties)?)),
        Kind::Pool => drop(fleet.pools.upsert(name, pool(properties)?)),
        Kind::Host => drop(fleet.hosts.upsert(name, host(fleet, properties)?)),
        Kind::Queue => drop(fleet.queues.upsert(name, queue(fleet, properties)?)),
        Kind::Key => drop(
            fleet
                .access_keys
                .upsert(name, access_key(fleet, id, properties)?),
        ),
    }
    Ok(())
}

fn remove(fleet: &mut Fleet, id: &Id) {
    let name = id.name.as_str();
    match id.kind {
        Kind::Zone => drop(fleet.zones.remove(name)),
        Kind::Workspace => drop(fleet.workspaces.remove(name)),
        Kind::Pool => drop(fleet.pools.remove(name)),
        Kind::Host => drop(fleet.hosts.remove(name)),
        Kind::Queue => drop(fleet.queues.remove(name)),
        Kind::Key => drop(fleet.access_keys.remove(name)),
    }
}

fn zone(properties: &Properties) -> Result<Zone, Error> {
    let reader = Reader::new(schema::fields(Kind::Zone), properties);
    Ok(Zone {
        region: reader.text("region")?.to_owned(),
    })
}

fn workspace(properties: &Properties) -> Result<Workspace, Error> {
    let reader = Reader::new(schema::fields(Kind::Workspace), properties);
    Ok(Workspace {
        share: reader.count("share")?,
        limit: reader.count("limit")?,
        when_disconnected: match reader.text("when-cut-off")? {
            "refuse" => DisconnectedPolicy::Refuse,
            _ => DisconnectedPolicy::Serve,
        },
    })
}

/// Returns the budget of a pool as declared, a count or a percentage.
fn max_out(properties: &Properties) -> Result<unit::CountOrPercent, Error> {
    Reader::new(schema::fields(Kind::Pool), properties).count_or_percent("max-out")
}

/// Returns a pool; a budget that is a percentage is zero until the hosts are counted.
fn pool(properties: &Properties) -> Result<Pool, Error> {
    let reader = Reader::new(schema::fields(Kind::Pool), properties);
    Ok(Pool {
        budget: Budget {
            max_out: max_out(properties)?.resolve(0),
            max_out_per_rack: reader.count("max-out-per-rack")?,
            max_out_per_zone: reader.count("max-out-per-zone")?,
        },
        spare: reader.flag("spare")?,
    })
}

fn host(fleet: &Fleet, properties: &Properties) -> Result<Host, Error> {
    let reader = Reader::new(schema::fields(Kind::Host), properties);
    Ok(Host {
        pool: pool_key(fleet, reader.text("pool")?)?,
        zone: zone_key(fleet, reader.text("zone")?)?,
        rack: reader.text("rack")?.to_owned(),
        address: reader.address("address")?,
        slots: reader.count("slots")?,
        connections: reader.count("connections")?,
    })
}

fn queue(fleet: &Fleet, properties: &Properties) -> Result<Queue, Error> {
    let reader = Reader::new(schema::fields(Kind::Queue), properties);
    let access = if reader.flag("open")? {
        Access::Open(workspace_key(fleet, reader.text("team")?)?)
    } else {
        Access::Keyed
    };
    Ok(Queue {
        pool: pool_key(fleet, reader.text("pool")?)?,
        path: reader.text("path")?.to_owned(),
        access,
        max_run_time: reader.duration("max-run-time")?,
        stops_on_close: reader.flag("stops-on-close")?,
        max_waiting: reader.count("max-waiting")?,
    })
}

fn access_key(
    fleet: &Fleet,
    id: &Id,
    properties: &Properties,
) -> Result<AccessKey, Error> {
    let reader = Reader::new(schema::fields(Kind::Key), properties);
    let digest = reader.hex("digest")?;
    Ok(AccessKey {
        workspace: workspace_key(fleet, key::workspace_of(&id.name)?)?,
        salt: reader.hex("salt")?,
        digest: digest
            .try_into()
            .map_err(|_| Error::invalid("digest is not 32 bytes long"))?,
    })
}

fn pool_key(fleet: &Fleet, name: &str) -> Result<PoolKey, Error> {
    fleet
        .pools
        .find(name)
        .ok_or_else(|| Error::dangling(format!("pool {name}")))
}

fn workspace_key(fleet: &Fleet, name: &str) -> Result<WorkspaceKey, Error> {
    fleet
        .workspaces
        .find(name)
        .ok_or_else(|| Error::dangling(format!("team {name}")))
}

fn zone_key(fleet: &Fleet, name: &str) -> Result<ZoneKey, Error> {
    fleet
        .zones
        .find(name)
        .ok_or_else(|| Error::dangling(format!("zone {name}")))
}
