//! Checks that involve several keys or several sections.

use std::collections::BTreeMap;

use super::sections::{DeclaredSections, LocatedSection};
use crate::document::{Id, Kind};
use crate::mistake::nearest;
use crate::schema::{self, ValueType};
use crate::{Mistake, key, unit};

/// Adds the mistakes in sections whose titles are valid.
pub(super) fn check_all(declared: &DeclaredSections, mistakes: &mut Vec<Mistake>) {
    for (id, section) in &declared.sections {
        mistakes.extend(undeclared_references(declared, id, section));
        mistakes.extend(invalid_combinations(id, section));
    }
    mistakes.extend(duplicate_addresses(declared));
    mistakes.extend(overlapping_paths(declared));
    mistakes.extend(zero_budgets(declared));
}

/// Returns references to sections that aren't declared.
fn undeclared_references(
    declared: &DeclaredSections,
    id: &Id,
    section: &LocatedSection,
) -> Vec<Mistake> {
    let mut mistakes = Vec::new();
    for field in schema::fields(id.kind) {
        let (ValueType::Reference(kind), Some(name)) =
            (field.value, section.get(field.key))
        else {
            continue;
        };
        mistakes.extend(
            undeclared(declared, kind, name).map(|(message, hint)| {
                section.mistake(id, field.key, message).hint(hint)
            }),
        );
    }
    if let (Kind::Key, Ok(workspace)) = (id.kind, key::workspace_of(&id.name)) {
        mistakes.extend(undeclared(declared, Kind::Workspace, workspace).map(
            |(message, hint)| {
                Mistake::new(&section.file, section.line, message)
                    .section(&id.to_string())
                    .hint(hint)
            },
        ));
    }
    mistakes
}

/// Returns the message and the hint if there is no section of this kind and name.
fn undeclared(
    declared: &DeclaredSections,
    kind: Kind,
    name: &str,
) -> Option<(String, Option<String>)> {
    if declared.sections.contains_key(&Id::new(kind, name)) {
        return None;
    }
    let names = declared.of_kind(kind).map(|(id, _)| id.name.as_str());
    let hint = nearest(name, names).map(|near| format!("did you mean {near}?"));
    Some((format!("{kind} {name:?} is not declared"), hint))
}

/// Returns keys of one section that contradict each other.
fn invalid_combinations(id: &Id, section: &LocatedSection) -> Vec<Mistake> {
    let is_open = section.get("open") == Some("yes");
    match (id.kind, section.get("team")) {
        (Kind::Queue, None) if is_open => {
            let message = "missing key".to_owned();
            let hint = "an open queue needs the team that its requests are accounted to"
                .to_owned();
            vec![section.mistake(id, "team", message).hint(Some(hint))]
        }
        (Kind::Queue, Some(_)) if !is_open => {
            let message = "only an open queue has a team".to_owned();
            let hint = "set open = yes, or remove team".to_owned();
            vec![section.mistake(id, "team", message).hint(Some(hint))]
        }
        (Kind::Host, _) => too_few_connections(id, section).into_iter().collect(),
        _ => Vec::new(),
    }
}

/// Returns a mistake if a host has fewer connections than slots.
///
/// A request holds one connection, so slots beyond the connections could never be used.
fn too_few_connections(id: &Id, section: &LocatedSection) -> Option<Mistake> {
    let slots = unit::count(section.get("slots")?).ok()?;
    let connections = unit::count(section.get("connections")?).ok()?;
    if connections >= slots {
        return None;
    }
    let message = format!("fewer connections ({connections}) than slots ({slots})");
    let hint = "each running request holds one connection".to_owned();
    Some(section.mistake(id, "connections", message).hint(Some(hint)))
}

/// Returns hosts that share an address with another host.
fn duplicate_addresses(declared: &DeclaredSections) -> Vec<Mistake> {
    let mut first: BTreeMap<&str, &Id> = BTreeMap::new();
    let mut mistakes = Vec::new();
    for (id, section) in declared.of_kind(Kind::Host) {
        let Some(address) = section.get("address") else {
            continue;
        };
        match first.get(address) {
            Some(other) => {
                let message = format!("{address} is already the address of [{other}]");
                mistakes.push(section.mistake(id, "address", message));
            }
            None => drop(first.insert(address, id)),
        }
    }
    mistakes
}

/// Returns queues whose path equals, contains or lies below the path of another queue.
fn overlapping_paths(declared: &DeclaredSections) -> Vec<Mistake> {
    let queues: Vec<(&str, &Id, &LocatedSection)> = declared
        .of_kind(Kind::Queue)
        .filter_map(|(id, section)| Some((section.get("path")?, id, section)))
        .collect();
    let mut mistakes = Vec::new();
    for (index, &(path, id, section)) in queues.iter().enumerate() {
        for &(other, other_id, _) in &queues[..index] {
            if covers(path, other) || covers(other, path) {
                let message = format!("{path} overlaps {other} of [{other_id}]");
                mistakes.push(section.mistake(id, "path", message));
            }
        }
    }
    mistakes
}

/// Returns whether the prefix `path` matches all requests that `other` matches.
fn covers(path: &str, other: &str) -> bool {
    match other.strip_prefix(path) {
        Some(rest) => path == "/" || rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Returns budgets of zero hosts in pools that have hosts.
///
/// Under such a budget, no host of the pool could ever be taken out for maintenance.
fn zero_budgets(declared: &DeclaredSections) -> Vec<Mistake> {
    let mut hosts: BTreeMap<&str, u32> = BTreeMap::new();
    for (_, section) in declared.of_kind(Kind::Host) {
        if let Some(pool) = section.get("pool") {
            *hosts.entry(pool).or_default() += 1;
        }
    }
    let mut mistakes = Vec::new();
    for (id, section) in declared.of_kind(Kind::Pool) {
        let Some(&total) = hosts.get(id.name.as_str()) else {
            continue;
        };
        for key in ["max-out", "max-out-per-rack", "max-out-per-zone"] {
            let amount = section
                .get(key)
                .and_then(|text| unit::count_or_percent(text).ok());
            let Some(0) = amount.map(|amount| amount.resolve(total)) else {
                continue;
            };
            let message = format!("allows 0 of {total} hosts, so none can be maintained");
            let hint =
                format!("use at least 1, or at least {}%", 100_u32.div_ceil(total));
            mistakes.push(section.mistake(id, key, message).hint(Some(hint)));
        }
    }
    mistakes
}
