//! Order by share, catching up after idle time, and freedom from starvation.

use std::time::Duration;

use proptest::prelude::*;
use rhubarbrill_core::fair::{FairQueue, QueuedRequest};
use rhubarbrill_core::fleet::WorkspaceKey;
use rhubarbrill_core::gate::{Class, Ticket};
use rhubarbrill_core::time::Instant;
use slotmap::SlotMap;

const RUN: Duration = Duration::from_secs(1);
const SLOTS: usize = 20;

/// A pool of slots on which every request runs for one second.
struct Pool {
    queue: FairQueue,
    workspaces: Vec<WorkspaceKey>,
    tickets: SlotMap<Ticket, ()>,
    running: Vec<WorkspaceKey>,
    number: u64,
}

impl Pool {
    fn new(shares: &[u32]) -> Self {
        let mut keys: SlotMap<WorkspaceKey, ()> = SlotMap::with_key();
        let workspaces: Vec<WorkspaceKey> =
            shares.iter().map(|_| keys.insert(())).collect();
        let mut queue = FairQueue::default();
        for (&workspace, &share) in workspaces.iter().zip(shares) {
            queue.set_share(workspace, share);
        }
        Self {
            queue,
            workspaces,
            tickets: SlotMap::with_key(),
            running: Vec::new(),
            number: 0,
        }
    }

    fn push_normal(&mut self, workspace: usize, count: usize) {
        self.push(workspace, count, Class::Normal);
    }

    /// Adds requests. Urgent ones are due from the start.
    fn push(&mut self, workspace: usize, count: usize, class: Class) {
        for _ in 0..count {
            let ticket = self.tickets.insert(());
            self.number += 1;
            let waiting = QueuedRequest {
                ticket,
                class,
                number: self.number,
                due: Instant::ZERO,
            };
            self.queue.push(self.workspaces[workspace], waiting);
        }
    }

    /// Finishes the oldest running request and starts the next one, `times` times.
    fn run_turns(&mut self, times: usize) {
        for _ in 0..times {
            if self.running.len() == SLOTS {
                let workspace = self.running.remove(0);
                self.queue.finish(workspace, RUN);
            }
            if let Some(pick) = self.queue.peek(Instant::ZERO) {
                self.queue.start(pick);
                self.running.push(pick.workspace);
            }
        }
    }

    fn running(&self, workspace: usize) -> usize {
        let workspace = self.workspaces[workspace];
        self.running
            .iter()
            .filter(|&&other| other == workspace)
            .count()
    }
}

#[test]
fn running_requests_converge_to_the_shares() {
    struct Case {
        shares: &'static [u32],
        running: &'static [usize],
    }
    let cases = [
        Case {
            shares: &[1, 1],
            running: &[10, 10],
        },
        Case {
            shares: &[3, 1],
            running: &[15, 5],
        },
        Case {
            shares: &[5, 3, 2],
            running: &[10, 6, 4],
        },
    ];
    for case in cases {
        let mut pool = Pool::new(case.shares);
        (0..case.shares.len()).for_each(|workspace| pool.push_normal(workspace, 400));
        pool.run_turns(200);
        let running: Vec<_> = (0..case.shares.len())
            .map(|workspace| pool.running(workspace))
            .collect();
        assert_eq!(running, case.running, "{:?}", case.shares);
    }
}

#[test]
fn a_returning_workspace_gets_every_freed_slot_until_it_has_its_share() {
    let mut pool = Pool::new(&[1, 1]);
    pool.push_normal(0, 1_000);
    pool.run_turns(500);
    assert_eq!(
        pool.running(0),
        20,
        "unused slots go to the waiting workspace"
    );
    pool.push_normal(1, 100);
    pool.run_turns(10);
    assert_eq!(pool.running(1), 10);
    pool.run_turns(60);
    assert_eq!(pool.running(1), 10);
}

#[test]
fn a_share_below_one_slot_is_served_in_the_long_run() {
    let mut pool = Pool::new(&[1_000, 1]);
    pool.push_normal(0, 5_000);
    pool.push_normal(1, 100);
    let before = pool.queue.requests_ahead(pool.workspaces[1], Class::Normal);
    pool.run_turns(4_004);
    let served = before - pool.queue.requests_ahead(pool.workspaces[1], Class::Normal);
    assert!((3..=6).contains(&served), "{served} of 4004");
    assert_eq!(
        starts_without_used_slot_time(&[1_000, 1], 4_004)[1],
        0,
        "ranking by running requests alone starves it"
    );
}

/// Returns the starts of each workspace if the one with the least running work per share
/// goes first, regardless of used slot time.
fn starts_without_used_slot_time(shares: &[u32], times: usize) -> Vec<u32> {
    let mut running: Vec<usize> = Vec::new();
    let mut starts = vec![0; shares.len()];
    for _ in 0..times {
        if running.len() == SLOTS {
            running.remove(0);
        }
        let rank = |workspace: usize| {
            let count = running.iter().filter(|&&other| other == workspace).count();
            f64::from(count as u32 + 1) / f64::from(shares[workspace])
        };
        let next = (0..shares.len())
            .min_by(|&a, &b| rank(a).total_cmp(&rank(b)))
            .unwrap();
        running.push(next);
        starts[next] += 1;
    }
    starts
}

#[test]
fn due_urgent_requests_take_at_most_three_of_four_starts() {
    let mut pool = Pool::new(&[1_000, 1]);
    pool.push_normal(0, 100);
    pool.push(1, 100, Class::Urgent);
    pool.run_turns(SLOTS);
    assert_eq!((pool.running(0), pool.running(1)), (5, 15));
}

/// The first workspace has ten requests running at another entry host. A part of remote
/// work is extrapolated from local work, so the first ten starts compensate for most of
/// it. Slot time used at the other entry host accounts for the rest.
#[test]
fn work_at_other_entry_hosts_is_charged() {
    struct Case {
        remote: u32,
        used: Duration,
        expected: (usize, usize),
    }
    let cases = [
        (0, Duration::ZERO, (5, 5)),
        (10, Duration::ZERO, (2, 8)),
        (10, 30 * RUN, (0, 10)),
    ]
    .map(|(remote, used, expected)| Case {
        remote,
        used,
        expected,
    });
    for case in cases {
        let mut pool = Pool::new(&[1, 1]);
        pool.push_normal(0, 100);
        pool.push_normal(1, 100);
        pool.queue.set_entry_hosts(2);
        let workspace = pool.workspaces[0];
        pool.queue
            .update_remote_running(workspace, 0, case.remote, case.used);
        pool.run_turns(10);
        let running = (pool.running(0), pool.running(1));
        assert_eq!(running, case.expected, "{} running elsewhere", case.remote);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn no_workspace_starves(shares in prop::collection::vec(1..200_u32, 2..6)) {
        let mut pool = Pool::new(&shares);
        (0..shares.len()).for_each(|workspace| pool.push_normal(workspace, 3_000));
        pool.run_turns(2_000);
        let sum: u32 = shares.iter().sum();
        for (index, &share) in shares.iter().enumerate() {
            let left = pool.queue.requests_ahead(pool.workspaces[index], Class::Normal);
            let started = f64::from(3_000 - left);
            let fair = 2_000.0 * f64::from(share) / f64::from(sum);
            prop_assert!((started - fair).abs() <= 20.0, "{} of {}", started, fair);
        }
    }
}
