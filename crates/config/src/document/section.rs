//! Sections and what they are about.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Properties;

/// What a section declares, in the order in which entries refer to each other.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An availability zone.
    Zone,
    /// A workspace.
    #[serde(rename = "team")]
    Workspace,
    /// A pool of hosts.
    Pool,
    /// An endpoint host.
    Host,
    /// A queue.
    Queue,
    /// An access key.
    Key,
}

impl Kind {
    /// Every kind, in order.
    pub const ALL: [Self; 6] = [
        Self::Zone,
        Self::Workspace,
        Self::Pool,
        Self::Host,
        Self::Queue,
        Self::Key,
    ];

    /// Returns the word that starts a section's title.
    pub const fn keyword(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Workspace => "team",
            Self::Pool => "pool",
            Self::Host => "host",
            Self::Queue => "queue",
            Self::Key => "key",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.keyword())
    }
}

/// Identifies a section: its kind and name.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// What the section declares.
    pub kind: Kind,
    /// Its name, unique among sections of the kind; `TEAM/NAME` for a key.
    pub name: String,
}

impl Id {
    /// Returns the identity of a section.
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.name)
    }
}

/// One section of a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Section {
    /// What the section declares, and its name.
    #[serde(flatten)]
    pub id: Id,
    /// Its keys with their values.
    pub properties: Properties,
}

impl From<(&Id, &Properties)> for Section {
    fn from((id, properties): (&Id, &Properties)) -> Self {
        Self {
            id: id.clone(),
            properties: properties.clone(),
        }
    }
}

impl fmt::Display for Section {
    /// Writes the section as INI.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[{}]", self.id)?;
        for (key, value) in self.properties.iter() {
            writeln!(f, "{key} = {value}")?;
        }
        Ok(())
    }
}
