//! Sections and their identities.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Properties;

/// What a section declares.
///
/// The kinds are ordered by reference: a section refers only to sections of earlier
/// kinds.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// An availability zone, which names its region.
    Zone,
    /// A workspace, with its share and limit; written as `team`.
    #[serde(rename = "team")]
    Workspace,
    /// A pool of hosts, with its maintenance budget.
    Pool,
    /// A host that runs an endpoint; belongs to a pool and an availability zone.
    Host,
    /// A queue, which selects requests by path and sends them to a pool.
    Queue,
    /// An access key of a workspace.
    Key,
}

impl Kind {
    /// All kinds, in order.
    pub const ALL: [Self; 6] = [
        Self::Zone,
        Self::Workspace,
        Self::Pool,
        Self::Host,
        Self::Queue,
        Self::Key,
    ];

    /// Returns the first word of the section title, such as `team`.
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

/// The kind and name that identify a section.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Id {
    /// What the section declares.
    pub kind: Kind,
    /// Name, unique among sections of the kind; `TEAM/NAME` for an access key.
    pub name: String,
}

impl Id {
    /// Returns an identity; the name isn't checked.
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
    /// Kind and name of the section.
    #[serde(flatten)]
    pub id: Id,
    /// Keys and values of the section.
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
