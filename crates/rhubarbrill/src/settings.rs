//! Settings file of the command line.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rhubarbrill_config::Report;
use rhubarbrill_config::checked_file::{self, CheckedFile, FieldError, SectionSchema};
use rhubarbrill_config::schema::{Field, Reader, ValueType};
use rhubarbrill_config::settings::{STORE_PREFIX, STORE_TIMEOUT};

/// Sections and keys of the settings file, with the texts for its documentation.
pub const SECTIONS: &[SectionSchema] = &[
    SectionSchema {
        title: "store",
        is_required: true,
        fields: &[
            Field::required("urls", ValueType::Urls, "Base URLs of the store."),
            STORE_PREFIX,
            STORE_TIMEOUT,
        ],
    },
    SectionSchema {
        title: "entries",
        is_required: false,
        fields: &[
            Field::optional(
                "operators",
                ValueType::Addresses,
                "Operator address of every entry host.",
            ),
            Field::default(
                "timeout",
                ValueType::Duration,
                "2s",
                "Timeout of a status request to an entry host.",
            ),
            Field::default(
                "patience",
                ValueType::Duration,
                "30s",
                "Longest time to wait for entry hosts to confirm a revision.",
            ),
        ],
    },
    SectionSchema {
        title: "declarations",
        is_required: false,
        fields: &[Field::required(
            "path",
            ValueType::Text,
            "Default file or folder of declarations, relative to the settings file.",
        )],
    },
    SectionSchema {
        title: "operator",
        is_required: false,
        fields: &[Field::required(
            "name",
            ValueType::Text,
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
    let mut file = CheckedFile::new(path, &checked_file::load(path)?, SECTIONS);
    let store = file.read_section("store", store);
    let entries = file.read_section("entries", entries);
    let folder = path.parent().unwrap_or(Path::new(""));
    let declarations = file.read_optional_section("declarations", |reader| {
        Ok(folder.join(reader.text("path")?))
    });
    let operator = file
        .read_optional_section("operator", |reader| Ok(reader.text("name")?.to_owned()));
    let settings = store.zip(entries).map(|(store, entries)| Settings {
        store,
        entries,
        declarations,
        operator: operator.unwrap_or_else(system_user),
    });
    file.finish(settings)
}

fn store(reader: Reader<'_>) -> Result<StoreSettings, FieldError> {
    Ok(StoreSettings {
        urls: reader.list("urls", |url| Ok(url.to_owned()))?,
        prefix: reader.text("prefix")?.to_owned(),
        timeout: reader.duration("timeout")?,
    })
}

fn entries(reader: Reader<'_>) -> Result<EntryHostSettings, FieldError> {
    Ok(EntryHostSettings {
        operators: reader.addresses("operators")?,
        timeout: reader.duration("timeout")?,
        patience: reader.duration("patience")?,
    })
}

fn system_user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}
