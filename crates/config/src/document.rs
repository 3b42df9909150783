//! Documents: the canonical content of configuration revisions.

mod delta;
mod digest;
mod fleet;
mod properties;
mod section;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

pub use delta::Delta;
pub use digest::Digest;
pub use properties::Properties;
pub use section::{Id, Kind, Section};

/// The sections of one configuration revision, ordered by kind and name.
///
/// A document doesn't record the files and lines that its sections were read from.
/// Equal documents have equal digests, however their sections were spread over files.
///
/// # Example
///
/// ```
/// use rhubarbrill_config::document::{Document, Id, Kind, Properties, Section};
///
/// let mut new = Document::default();
/// new.insert(Section {
///     id: Id::new(Kind::Zone, "z1"),
///     properties: [("region", "south")].into_iter().collect(),
/// });
/// let old = Document::default();
/// let delta = old.diff(&new);
/// let mut updated = old.clone();
/// updated.apply(&delta);
/// assert_eq!(updated, new);
/// assert_eq!(updated.digest(), new.digest());
/// ```
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<Section>", into = "Vec<Section>")]
pub struct Document {
    sections: BTreeMap<Id, Properties>,
}

impl Document {
    /// Inserts a section, or replaces the section with the same kind and name.
    pub fn insert(&mut self, section: Section) {
        self.sections.insert(section.id, section.properties);
    }

    /// Removes a section if it exists.
    pub fn remove(&mut self, id: &Id) {
        self.sections.remove(id);
    }

    /// Returns the properties of a section, or `None` if it isn't declared.
    pub fn get(&self, id: &Id) -> Option<&Properties> {
        self.sections.get(id)
    }

    /// Returns the sections in order of kind and name.
    pub fn iter(&self) -> impl Iterator<Item = (&Id, &Properties)> {
        self.sections.iter()
    }

    /// Returns the sections of one kind, in order of name.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&str, &Properties)> {
        self.sections
            .range(Id::new(kind, "")..)
            .take_while(move |(id, _)| id.kind == kind)
            .map(|(id, properties)| (id.name.as_str(), properties))
    }

    /// Returns the number of sections.
    pub fn len(&self) -> usize {
        self.sections.len()
    }

    /// Returns whether the document has no sections.
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }

    /// Returns the delta that turns this document into `new`.
    pub fn diff(&self, new: &Self) -> Delta {
        let changed = |id: &Id, properties| self.sections.get(id) != Some(properties);
        let upserts = new
            .sections
            .iter()
            .filter(|(id, properties)| changed(id, properties))
            .map(Section::from)
            .collect();
        let removals = self
            .sections
            .keys()
            .filter(|id| !new.sections.contains_key(id))
            .cloned()
            .collect();
        Delta { upserts, removals }
    }

    /// Returns the delta that undoes `delta`.
    ///
    /// This must be called before `delta` is applied to this document.
    pub fn inverse(&self, delta: &Delta) -> Delta {
        let mut inverse = Delta::default();
        let changed = delta.upserts.iter().map(|section| &section.id);
        for id in changed.chain(&delta.removals) {
            match self.sections.get(id) {
                Some(properties) => inverse.upserts.push(Section::from((id, properties))),
                None => inverse.removals.push(id.clone()),
            }
        }
        inverse
    }

    /// Applies a delta: removes its removals, then inserts its upserts.
    pub fn apply(&mut self, delta: &Delta) {
        for id in &delta.removals {
            self.remove(id);
        }
        for section in &delta.upserts {
            self.insert(section.clone());
        }
    }

    /// Returns the SHA-256 of the kind, name and properties of all sections.
    ///
    /// Each text is preceded by its length, and each section ends with an empty text, so
    /// that different documents have different hash inputs.
    pub fn digest(&self) -> Digest {
        let mut hash = Sha256::new();
        let mut field = |text: &str| {
            hash.update((text.len() as u64).to_be_bytes());
            hash.update(text);
        };
        for (id, properties) in &self.sections {
            field(id.kind.keyword());
            field(&id.name);
            for (key, value) in properties.iter() {
                field(key);
                field(value);
            }
            field("");
        }
        Digest(hash.finalize().into())
    }
}

impl From<Vec<Section>> for Document {
    fn from(sections: Vec<Section>) -> Self {
        let mut document = Self::default();
        for section in sections {
            document.insert(section);
        }
        document
    }
}

impl From<Document> for Vec<Section> {
    fn from(document: Document) -> Self {
        document
            .sections
            .into_iter()
            .map(|(id, properties)| Section { id, properties })
            .collect()
    }
}
