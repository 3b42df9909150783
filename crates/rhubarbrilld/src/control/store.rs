//! Opens the store that the settings select.

use eyre::Result;
use rhubarbrill_config::settings::{self, StoreKind};
use rhubarbrill_edge::store::{AnyStore, Gateway, Memory, Prefixed};
use std::time::Duration;

/// The store, restricted to the key prefix of the fleet.
pub type FleetStore = Prefixed<AnyStore>;

/// Idle time after which a watch ends and the record is read again.
const WATCH_IDLE: Duration = Duration::from_secs(2);

/// Opens the store that the settings select. Nothing is sent to it yet.
///
/// # Errors
///
/// Fails if the settings contain no address of the store.
pub fn open(settings: &settings::Store) -> Result<FleetStore> {
    let any = match &settings.kind {
        StoreKind::Etcd(urls) => {
            let gateway = Gateway::try_new(urls.iter().cloned())?
                .with_timeout(settings.timeout)
                .with_idle_timeout(WATCH_IDLE);
            AnyStore::Gateway(gateway)
        }
        StoreKind::Memory => {
            AnyStore::Memory(Memory::new().with_idle_timeout(WATCH_IDLE))
        }
    };
    Ok(Prefixed::new(any, settings.prefix.clone()))
}
