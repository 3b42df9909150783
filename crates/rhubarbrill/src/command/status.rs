//! `status`: prints the revision in force at each entry host, usage by workspace, and
//! waves.

use std::collections::BTreeMap;
use std::fmt;

use eyre::Result;
use serde::Serialize;

use crate::entry_hosts::{self, PollResult, Wave, Workspace};
use crate::exit::Exit;
use crate::output::Output;
use crate::settings::Settings;
use crate::store::Registry;

#[derive(Debug, Serialize)]
struct StatusReport {
    /// Newest accepted revision; omitted if it couldn't be read from the store.
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted: Option<u64>,
    entries: Vec<PollResult>,
    /// Usage by workspace, summed over all entry hosts that responded.
    #[serde(rename = "teams")]
    workspaces: Vec<Workspace>,
    waves: Vec<Wave>,
}

pub fn run(settings: &Settings) -> Result<Output> {
    let accepted = Registry::open(settings)?.newest_revision();
    let entries = entry_hosts::poll(&settings.entries);
    let is_complete = entries.iter().all(|result| result.status.is_some());
    let exit = match (&accepted, is_complete) {
        (Err(_), _) => Exit::Unknown,
        (Ok(_), false) => Exit::Unconfirmed,
        (Ok(_), true) => Exit::Done,
    };
    let report = StatusReport {
        workspaces: workspaces(&entries),
        waves: waves(&entries),
        accepted: accepted.ok(),
        entries,
    };
    Ok(Output::new(exit, &report))
}

/// Sums usage by workspace over the entry hosts; limits and shares are those of the
/// newest revision.
fn workspaces(entries: &[PollResult]) -> Vec<Workspace> {
    let mut workspaces: BTreeMap<&str, Workspace> = BTreeMap::new();
    for workspace in statuses_by_revision(entries).flat_map(|status| &status.workspaces) {
        let sum = workspaces.entry(&workspace.name).or_default();
        *sum = Workspace {
            name: workspace.name.clone(),
            running: sum.running + workspace.running,
            waiting: sum.waiting + workspace.waiting,
            share: workspace.share,
            limit: workspace.limit,
            floor: sum.floor + workspace.floor,
            loan: sum.loan + workspace.loan,
        };
    }
    workspaces.into_values().collect()
}

/// Returns the progress of each wave as reported by the entry host with the newest
/// revision.
fn waves(entries: &[PollResult]) -> Vec<Wave> {
    let waves = statuses_by_revision(entries).flat_map(|status| &status.waves);
    let newest: BTreeMap<&str, &Wave> =
        waves.map(|wave| (wave.name.as_str(), wave)).collect();
    newest.into_values().cloned().collect()
}

fn statuses_by_revision(
    entries: &[PollResult],
) -> impl Iterator<Item = &entry_hosts::Status> {
    let mut statuses: Vec<_> = entries
        .iter()
        .filter_map(|entry| entry.status.as_ref())
        .collect();
    statuses.sort_by_key(|status| status.revision);
    statuses.into_iter()
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.accepted {
            Some(revision) => writeln!(f, "accepted revision: {revision}")?,
            None => writeln!(f, "accepted revision: the store gives no answer")?,
        }
        for result in &self.entries {
            write_entry(f, result)?;
        }
        for workspace in &self.workspaces {
            writeln!(
                f,
                "team {}: running {} of {}, waiting {}, share {}, units {} owned and {} lent",
                workspace.name,
                workspace.running,
                workspace.limit,
                workspace.waiting,
                workspace.share,
                workspace.floor,
                workspace.loan
            )?;
        }
        for wave in &self.waves {
            writeln!(
                f,
                "wave {}: {}, {} of {} hosts",
                wave.name, wave.state, wave.done, wave.total
            )?;
        }
        Ok(())
    }
}

fn write_entry(f: &mut fmt::Formatter<'_>, result: &PollResult) -> fmt::Result {
    let Some(status) = &result.status else {
        let error = result.error.as_deref().unwrap_or_default();
        return writeln!(f, "entry {}: no answer: {error}", result.operators);
    };
    let store = if status.store_reachable {
        ""
    } else {
        ", store unreachable"
    };
    let draining = if status.draining { ", draining" } else { "" };
    writeln!(
        f,
        "entry {} in {}: revision {}{store}{draining}",
        status.entry, status.zone, status.revision
    )
}
