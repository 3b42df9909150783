//! Leadership: which process may take it, by the leader's record, and what a leader may do
//! while the store is away.

use std::time::Duration;

use rhubarbrill_core::job::State;
use rhubarbrill_core::job::leader::{Leader, Vacancy};
use rhubarbrill_core::job::scheduler::Authority;
use rhubarbrill_core::time::Instant;
use rstest::rstest;

mod job_support;

use job_support::{simulation, spec, step};

const SECOND: Duration = Duration::from_secs(1);

fn process(name: &str, nonce: &str, address: Option<&str>) -> Leader {
    Leader {
        name: name.to_owned(),
        nonce: nonce.to_owned(),
        address: address.map(|address| address.parse().expect("a valid address")),
    }
}

/// The leader's record, and what it means for process 2 of host `a` at 10.0.0.1:7000.
struct Case {
    record: Option<Leader>,
    vacancy: Option<Vacancy>,
}

/// Fault pattern: all processes are killed in a burst and restarted at once, the leader
/// among them. Nothing starts until its lease has expired, unless a process of its host
/// recognizes its record.
#[rstest]
#[case::no_record(Case { record: None, vacancy: Some(Vacancy::NoLeader) })]
#[case::earlier_process_of_this_host(Case {
    record: Some(process("a", "1", Some("10.0.0.1:7000"))),
    vacancy: Some(Vacancy::EarlierProcess(7)),
})]
#[case::this_process(Case {
    record: Some(process("a", "2", Some("10.0.0.1:7000"))),
    vacancy: None,
})]
#[case::another_host(Case {
    record: Some(process("b", "1", Some("10.0.0.2:7000"))),
    vacancy: None,
})]
#[case::another_host_that_had_the_address(Case {
    record: Some(process("b", "1", Some("10.0.0.1:7000"))),
    vacancy: None,
})]
#[case::another_address_of_the_host(Case {
    record: Some(process("a", "1", Some("10.0.0.1:7001"))),
    vacancy: None,
})]
#[case::record_without_an_address(Case {
    record: Some(process("a", "1", None)),
    vacancy: None,
})]
fn only_a_process_that_has_certainly_ended_is_replaced(#[case] case: Case) {
    let own = process("a", "2", Some("10.0.0.1:7000"));
    let record = case.record.as_ref().map(|leader| (leader, 7));
    assert_eq!(Vacancy::find(record, &own), case.vacancy);
}

/// Load pattern: the store is away for six seconds of a burst, and its leases pause
/// meanwhile. A leader that ended its term after four seconds would leave the burst without
/// any leader until its own paused lease has expired.
#[rstest]
#[case::lease_is_certain(9_999, Authority::Certain)]
#[case::lease_may_have_expired(10_000, Authority::HoldOnly)]
#[case::last_renewal_that_a_successor_allows_for(14_000, Authority::HoldOnly)]
#[case::successor_may_have_started_the_tasks(14_001, Authority::Suspended)]
#[case::long_outage(100_000, Authority::Suspended)]
fn authority_shrinks_with_the_time_since_the_last_renewal(
    #[case] now_ms: u64,
    #[case] authority: Authority,
) {
    let valid_until = Instant::from_millis(10_000);
    let now = Instant::from_millis(now_ms);
    assert_eq!(Authority::at(now, valid_until, 4 * SECOND), authority);
}

#[test]
fn suspended_leader_sends_nothing_and_continues_afterwards() {
    let mut simulation = simulation(3);
    let id = simulation.submit("a", spec(vec![step(4, 8_000, 20_000)]));
    simulation.run_for(SECOND);
    simulation.authority = Authority::Suspended;
    let (holds, starts) = (simulation.observed.holds, simulation.observed.starts.len());
    simulation.run_for(8 * SECOND);
    assert_eq!(simulation.observed.holds, holds);
    assert_eq!(simulation.observed.starts.len(), starts);
    assert_eq!(simulation.active_run_count(), 0, "the leases have expired");
    simulation.authority = Authority::Certain;
    assert!(simulation.run_until_finished(&id, 30 * SECOND));
    assert_eq!(simulation.state(&id), State::Completed);
}
