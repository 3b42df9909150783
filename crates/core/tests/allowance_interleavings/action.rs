//! The actions of which interleavings consist.

use proptest::prelude::*;

use super::{HOSTS, LONGEST_RUN_MS, WORKSPACES};

/// How the pending swaps of an entry host reach the store, and whether they are answered.
#[derive(Clone, Copy, Debug)]
pub enum Delivery {
    Answered,
    RequestLost,
    ReplyLost,
    /// No answer arrives, and the swap may reach the store later.
    Delayed,
}

#[derive(Clone, Copy, Debug)]
pub enum Action {
    Advance(u64),
    Plan(usize, u32),
    Deliver(usize, Delivery),
    DeliverDelayed(usize),
    /// Occupies units for a number of requests, without sending them yet.
    Start(usize, usize, u32),
    /// Sends every unsent request that has a unit.
    Send(usize, u64),
    /// Makes live processes renew their lease, swap and occupy their units, with a burst
    /// of requests on one of them.
    Tick(usize, u64, Delivery),
    /// Sends the unsent requests of the entry host's oldest live process, which may have
    /// been replaced.
    SendFromReplaced(usize, u64),
    Abandon(usize),
    Renew(usize, bool),
    Pause(usize, u64),
    Kill(usize),
    Replace,
    Configure(usize),
    Limit(usize, u32),
}

pub fn action() -> impl Strategy<Value = Action> {
    let host = 0..HOSTS;
    let delivery = prop_oneof![
        3 => Just(Delivery::Answered),
        1 => Just(Delivery::RequestLost),
        1 => Just(Delivery::ReplyLost),
        1 => Just(Delivery::Delayed),
    ];
    let workspace = 0..WORKSPACES.len();
    prop_oneof![
        12 => (host.clone(), 1..=LONGEST_RUN_MS, delivery.clone())
            .prop_map(|(h, ms, d)| Action::Tick(h, ms, d)),
        4 => (1..900_u64).prop_map(Action::Advance),
        4 => (host.clone(), 0..12_u32).prop_map(|(h, n)| Action::Plan(h, n)),
        4 => (host.clone(), delivery).prop_map(|(h, d)| Action::Deliver(h, d)),
        1 => (0..8_usize).prop_map(Action::DeliverDelayed),
        9 => (host.clone(), workspace.clone(), 1..5_u32)
            .prop_map(|(h, w, n)| Action::Start(h, w, n)),
        9 => (host.clone(), 1..=LONGEST_RUN_MS).prop_map(|(h, ms)| Action::Send(h, ms)),
        2 => (host.clone(), 1..=LONGEST_RUN_MS)
            .prop_map(|(h, ms)| Action::SendFromReplaced(h, ms)),
        2 => host.clone().prop_map(Action::Abandon),
        4 => (host.clone(), any::<bool>()).prop_map(|(h, ok)| Action::Renew(h, ok)),
        3 => (host.clone(), 100..20_000_u64).prop_map(|(h, ms)| Action::Pause(h, ms)),
        2 => host.clone().prop_map(Action::Kill),
        3 => Just(Action::Replace),
        2 => host.prop_map(Action::Configure),
        1 => (workspace, 4..16_u32).prop_map(|(w, n)| Action::Limit(w, n)),
    ]
}
