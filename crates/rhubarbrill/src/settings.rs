//! The command line's settings file.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rhubarbrill_config::Report;
use rhubarbrill_config::checked_file::{self, CheckedFile, FieldError, SectionSchema};
use rhubarbrill_config::schema::{Field, Reader, ValueType};
use rhubarbrill_config::settings::{STORE_PREFIX, STORE_TIMEOUT};

/// The sections of the settings file.
pub const SECTIONS: &[SectionSchema] = &[
    SectionSchema {
        title: "store",
        is_required: true,
        fields: &[
            Field::required("urls", ValueType::Urls, "Where the store answers."),
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
                "Operators' address of every entry host.",
            ),
            Field::default(
                "timeout",
                ValueType::Duration,
                "2s",
                "Longest time an entry host may take to answer.",
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
            "File or folder used when none is given, relative to the settings file.",
        )],
    },
    SectionSchema {
        title: "operator",
        is_required: false,
        fields: &[Field::required(
            "name",
            ValueType::Text,
            "Name recorded with each change; otherwise the system's user.",
        )],
    },
];

/// Everything the command line is told.
#[derive(Clone, Debug)]
pub struct Settings {
    pub store: Store,
    pub entries: Entries,
    pub declarations: Option<PathBuf>,
    pub operator: String,
}

/// Where the store is.
#[derive(Clone, Debug)]
pub struct Store {
    pub urls: Vec<String>,
    pub prefix: String,
    pub timeout: Duration,
}

/// Where the entry hosts are.
#[derive(Clone, Debug)]
pub struct Entries {
    pub operators: Vec<SocketAddr>,
    pub timeout: Duration,
    pub patience: Duration,
}

/// Reads a settings file, and returns every mistake in it.
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

fn store(reader: Reader<'_>) -> Result<Store, FieldError> {
    Ok(Store {
        urls: reader.list("urls", |url| Ok(url.to_owned()))?,
        prefix: reader.text("prefix")?.to_owned(),
        timeout: reader.duration("timeout")?,
    })
}

fn entries(reader: Reader<'_>) -> Result<Entries, FieldError> {
    Ok(Entries {
        operators: reader.addresses("operators")?,
        timeout: reader.duration("timeout")?,
        patience: reader.duration("patience")?,
    })
}

fn system_user() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}
