//! `status`: the revision in force at each entry host, usage, and waves.

use std::collections::BTreeMap;
use std::fmt;

use eyre::Result;
use serde::Serialize;

use crate::answer::Answer;
use crate::entries::{self, Polled, Wave, Workspace};
use crate::exit::Exit;
use crate::settings::Settings;
use crate::store::Registry;

#[derive(Debug, Serialize)]
struct Overview {
    /// Newest accepted revision; left out when the store gives no answer.
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted: Option<u64>,
    entries: Vec<Polled>,
    /// Usage over all entry hosts that answer.
    #[serde(rename = "teams")]
    workspaces: Vec<Workspace>,
    waves: Vec<Wave>,
}

pub fn run(settings: &Settings) -> Result<Answer> {
    let accepted = Registry::open(settings)?.newest();
    let entries = entries::poll(&settings.entries);
    let is_whole = entries.iter().all(|polled| polled.status.is_some());
    let exit = match (&accepted, is_whole) {
        (Err(_), _) => Exit::Unknown,
        (Ok(_), false) => Exit::Unconfirmed,
        (Ok(_), true) => Exit::Done,
    };
    let overview = Overview {
        workspaces: workspaces(&entries),
        waves: waves(&entries),
        accepted: accepted.ok(),
        entries,
    };
    Ok(Answer::new(exit, &overview))
}

/// Adds usage up; limits and shares are those of the newest revision.
fn workspaces(entries: &[Polled]) -> Vec<Workspace> {
    let mut workspaces: BTreeMap<&str, Workspace> = BTreeMap::new();
    for workspace in by_revision(entries).flat_map(|status| &status.workspaces) {
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

/// Returns each wave as the entry host with the newest revision shows it.
fn waves(entries: &[Polled]) -> Vec<Wave> {
    let waves = by_revision(entries).flat_map(|status| &status.waves);
    let newest: BTreeMap<&str, &Wave> =
        waves.map(|wave| (wave.name.as_str(), wave)).collect();
    newest.into_values().cloned().collect()
}

fn by_revision(entries: &[Polled]) -> impl Iterator<Item = &entries::Status> {
    let mut statuses: Vec<_> = entries
        .iter()
        .filter_map(|entry| entry.status.as_ref())
        .collect();
    statuses.sort_by_key(|status| status.revision);
    statuses.into_iter()
}

impl fmt::Display for Overview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.accepted {
            Some(revision) => writeln!(f, "accepted revision: {revision}")?,
            None => writeln!(f, "accepted revision: the store gives no answer")?,
        }
        for polled in &self.entries {
            write_entry(f, polled)?;
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

fn write_entry(f: &mut fmt::Formatter<'_>, polled: &Polled) -> fmt::Result {
    let Some(status) = &polled.status else {
        let error = polled.error.as_deref().unwrap_or_default();
        return writeln!(f, "entry {}: no answer: {error}", polled.operators);
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
