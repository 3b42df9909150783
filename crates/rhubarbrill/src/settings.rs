//! Settings file of the command line.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rhubarbrill_config::Report;
use rhubarbrill_config::form::{self, Fault, Form, Table};
use rhubarbrill_config::schema::{Field, Reader, Value};
use rhubarbrill_config::settings::{STORE_PREFIX, STORE_TIMEOUT};

/// Sections and keys of the settings file, with the texts for its documentation.
pub const TABLES: &[Table] = &[
    Table {
        title: "store",
        is_required: true,
        fields: &[
            Field::required("urls", Value::Urls, "Base URLs of the store."),
            STORE_PREFIX,
            STORE_TIMEOUT,
        ],
    },
    Table {
        title: "entries",
        is_required: false,
        fields: &[
            Field::optional(
                "operators",
                Value::Addresses,
                "Operator address of every entry host.",
            ),
            Field::default(
                "timeout",
                Value::Duration,
                "2s",
                "Timeout of a status request to an entry host.",
            ),
            Field::default(
                "patience",
                Value::Duration,
                "30s",
                "Longest time to wait for entry hosts to confirm a revision.",
            ),
        ],
    },
    Table {
        title: "declarations",
        is_required: false,
        fields: &[Field::required(
            "path",
            Value::Text,
            "Default file or folder of declarations, relative to the settings file.",
        )],
    },
    Table {
        title: "operator",
        is_required: false,
        fields: &[Field::required(
            "name",
            Value::Text,
            "Name recorded as the author of each change; defaults to the system user.",
        )],
    },
];

/// Parsed settings of the command line.
#[derive(Clone, Debug)]
pub struct Settings {
    pub store: StoreSettings,
    pub entries: EntryHostSettings,
    pub declarations: Option<PathBuf>,
    pub operator: String,
}

/// Connection to the store.
#[derive(Clone, Debug)]
pub struct StoreSettings {
    pub urls: Vec<String>,
    pub prefix: String,
    pub timeout: Duration,
}

/// Addresses of the entry hosts, and how long to wait for them.
#[derive(Clone, Debug)]
pub struct EntryHostSettings {
    pub operators: Vec<SocketAddr>,
    pub timeout: Duration,
    pub patience: Duration,
}

/// Reads a settings file; fails with a report of every mistake in it.
pub fn read(path: &Path) -> Result<Settings, Report> {
    let mut form = Form::new(path, &form::load(path)?, TABLES);
    let store = form.typed("store", store);
    let entries = form.typed("entries", entries);
    let folder = path.parent().unwrap_or(Path::new(""));
    let declarations = form.optional("declarations", |reader| {
        Ok(folder.join(reader.text("path")?))
    });
    let operator =
        form.optional("operator", |reader| Ok(reader.text("name")?.to_owned()));
    let settings = store.zip(entries).map(|(store, entries)| Settings {
        store,
        entries,
        declarations,
        operator: operator.unwrap_or_else(system_user),
    });
    form.finish(settings)
}

fn store(reader: Reader<'_>) -> Result<StoreSettings, Fault> {
    Ok(StoreSettings {
        urls: reader.list("urls", |url| Ok(url.to_owned()))?,
        prefix: reader.text("prefix")?.to_owned(),
        timeout: reader.duration("timeout")?,
    })
}

fn entries(reader: Reader<'_>) -> Result<EntryHostSettings, Fault> {
    Ok(EntryHostSettings {
        operators: reader.addresses("operators")?,
        timeout: reader.duration("timeout")?,
        patience: reader.duration("patience")?,
    })
}

fn system_user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}
