//! Which process may take the leadership, by the leader's record.

use rhubarbrill_core::job::leader::{Leader, Vacancy};
use rstest::rstest;

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
