//! What may happen next.

use proptest::prelude::*;

use super::{HOSTS, LONGEST_RUN_MS, WORKSPACES};

/// How the swaps that a host has under way end.
#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answered,
    LostBefore,
    LostAfter,
    /// No answer came, and the swap may reach the store later.
    Late,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Advance(u64),
    Plan(usize, u32),
    Deliver(usize, Fate),
    DeliverLate(usize),
    /// Occupies units for some requests that aren't sent yet.
    Start(usize, usize, u32),
    /// Sends every request that has a unit.
    Send(usize, u64),
    /// Live processes renew, swap and fill their units; one of them has a burst.
    Tick(usize, u64, Fate),
    /// Processes that were replaced send what they had occupied units for.
    SendStale(usize, u64),
    GiveUp(usize),
    Renew(usize, bool),
    Pause(usize, u64),
    Kill(usize),
    Replace,
    Configure(usize),
    Limit(usize, u32),
}

pub fn action() -> impl Strategy<Value = Action> {
    let host = 0..HOSTS;
    let fate = prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::LostBefore),
        1 => Just(Fate::LostAfter),
        1 => Just(Fate::Late),
    ];
    let workspace = 0..WORKSPACES.len();
    prop_oneof![
        12 => (host.clone(), 1..=LONGEST_RUN_MS, fate.clone())
            .prop_map(|(h, d, f)| Action::Tick(h, d, f)),
        4 => (1..900_u64).prop_map(Action::Advance),
        4 => (host.clone(), 0..12_u32).prop_map(|(h, n)| Action::Plan(h, n)),
        4 => (host.clone(), fate).prop_map(|(h, f)| Action::Deliver(h, f)),
        1 => (0..8_usize).prop_map(Action::DeliverLate),
        9 => (host.clone(), workspace.clone(), 1..5_u32)
            .prop_map(|(h, t, n)| Action::Start(h, t, n)),
        9 => (host.clone(), 1..=LONGEST_RUN_MS).prop_map(|(h, d)| Action::Send(h, d)),
        2 => (host.clone(), 1..=LONGEST_RUN_MS).prop_map(|(h, d)| Action::SendStale(h, d)),
        2 => host.clone().prop_map(Action::GiveUp),
        4 => (host.clone(), any::<bool>()).prop_map(|(h, ok)| Action::Renew(h, ok)),
        3 => (host.clone(), 100..20_000_u64).prop_map(|(h, d)| Action::Pause(h, d)),
        2 => host.clone().prop_map(Action::Kill),
        3 => Just(Action::Replace),
        2 => host.prop_map(Action::Configure),
        1 => (workspace, 4..16_u32).prop_map(|(t, n)| Action::Limit(t, n)),
    ]
}
