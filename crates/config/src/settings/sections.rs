//! Conversion of each section of the settings file to its type.

use std::fs;
use std::path::Path;

use super::{
    Declarations, Entry, Format, Hosts, Level, Limits, Log, Peers, Secret, Store,
    StoreKind,
};
use crate::checked_file::FieldError;
use crate::schema::Reader;

pub(super) fn entry(reader: Reader<'_>) -> Result<Entry, FieldError> {
    let entry = Entry {
        name: reader.text("name")?.to_owned(),
        zone: reader.text("zone")?.to_owned(),
        listen: reader.address("listen")?,
        operators: reader.address("operators")?,
        peers_listen: reader.address("peers-listen")?,
        advertise: match reader.get("advertise") {
            Some(_) => Some(reader.address("advertise")?),
            None => None,
        },
    };
    if entry.advertised().ip().is_unspecified() {
        let message = "required, since peers-listen is an unspecified address";
        return Err(FieldError::new("advertise", message));
    }
    Ok(entry)
}

pub(super) fn peers(reader: Reader<'_>, folder: &Path) -> Result<Peers, FieldError> {
    let secret = match (reader.get("secret-file"), reader.get("secret")) {
        (Some(path), None) => read_secret(&folder.join(path))?,
        (None, Some(text)) => text.to_owned(),
        (Some(_), Some(_)) => {
            return Err(FieldError::new(
                "secret",
                "give secret-file or secret, not both",
            ));
        }
        (None, None) => return Err(FieldError::new("secret-file", "missing key")),
    };
    Ok(Peers {
        addresses: reader.addresses("addresses")?,
        secret: Secret(secret),
        heartbeat: reader.duration("heartbeat")?,
        stale_after: reader.duration("stale-after")?,
    })
}

/// Reads a secret from a file, without surrounding white space.
fn read_secret(path: &Path) -> Result<String, FieldError> {
    let displayed = path.display();
    let text = fs::read_to_string(path).map_err(|error| {
        FieldError::new("secret-file", format!("{displayed} can't be read: {error}"))
    })?;
    match text.trim() {
        "" => Err(FieldError::new(
            "secret-file",
            format!("{displayed} is empty"),
        )),
        secret => Ok(secret.to_owned()),
    }
}

pub(super) fn store(reader: Reader<'_>) -> Result<Store, FieldError> {
    let urls: Vec<String> = reader.list("urls", |url| Ok(url.to_owned()))?;
    let kind = match (reader.text("kind")?, urls.is_empty()) {
        ("memory", true) => StoreKind::Memory,
        ("memory", false) => return Err(FieldError::new("urls", "only for kind = etcd")),
        (_, true) => return Err(FieldError::new("urls", "required for kind = etcd")),
        (_, false) => StoreKind::Etcd(urls),
    };
    let store = Store {
        kind,
        prefix: reader.text("prefix")?.to_owned(),
        timeout: reader.duration("timeout")?,
        lease: reader.duration("lease")?,
    };
    if store.lease <= store.timeout {
        return Err(FieldError::new("lease", "must be longer than timeout"));
    }
    Ok(store)
}

pub(super) fn declarations(
    reader: Reader<'_>,
    folder: &Path,
) -> Result<Declarations, FieldError> {
    Ok(Declarations {
        path: folder.join(reader.text("path")?),
    })
}

pub(super) fn limits(reader: Reader<'_>) -> Result<Limits, FieldError> {
    let limits = Limits {
        max_body_bytes: reader.size("max-body")?,
        max_open: reader.count("max-open")?,
        header_timeout: reader.duration("header-timeout")?,
        max_header_bytes: reader.size("max-header")?,
        drain_timeout: reader.duration("drain-timeout")?,
        default_deadline: reader.duration("default-deadline")?,
        max_deadline: reader.duration("max-deadline")?,
    };
    if limits.default_deadline > limits.max_deadline {
        return Err(FieldError::new(
            "default-deadline",
            "must not be later than max-deadline",
        ));
    }
    Ok(limits)
}

pub(super) fn log(reader: Reader<'_>) -> Result<Log, FieldError> {
    Ok(Log {
        format: match reader.text("format")? {
            "json" => Format::Json,
            _ => Format::Human,
        },
        level: match reader.text("level")? {
            "error" => Level::Error,
            "warning" => Level::Warning,
            "debug" => Level::Debug,
            "trace" => Level::Trace,
            _ => Level::Info,
        },
    })
}

pub(super) fn hosts(reader: Reader<'_>) -> Result<Hosts, FieldError> {
    Ok(Hosts {
        url: reader.text("url")?.to_owned(),
        interval: reader.duration("interval")?,
    })
}
