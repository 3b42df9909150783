//! The platform's store as the settings name it.

use eyre::Result;
use rhubarbrill_config::settings::{self, StoreKind};
use rhubarbrill_edge::store::{Any, Gateway, Memory, Prefixed};
use std::time::Duration;

/// The platform's store, below the fleet's prefix.
pub type FleetStore = Prefixed<Any>;

/// Time without a sign of life after which a watch ends and the record is read again.
const WATCH_IDLE: Duration = Duration::from_secs(2);

/// Returns the store that the settings name; nothing is sent yet.
///
/// # Errors
///
/// Fails when no address is given.
pub fn open(settings: &settings::Store) -> Result<FleetStore> {
    let any = match &settings.kind {
        StoreKind::Etcd(urls) => {
            let gateway = Gateway::try_new(urls.iter().cloned())?
                .with_timeout(settings.timeout)
                .with_idle(WATCH_IDLE);
            Any::Gateway(gateway)
        }
        StoreKind::Memory => Any::Memory(Memory::new().with_idle(WATCH_IDLE)),
    };
    Ok(Prefixed::new(any, settings.prefix.clone()))
}
