//! Tests the host list reader against a stale, slow or faulty list.

use std::time::{Duration, SystemTime};

use rhubarbrill_edge::hosts::{Reader, State};
use rhubarbrill_standin::platform::{Down, Hosts};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_millis(300);

fn hosts_and_reader() -> (Hosts, Reader) {
    let hosts = Hosts::start();
    hosts.set("h1", "127.0.0.1:1".parse().unwrap(), State::Live);
    hosts.set("h2", "[::1]:2".parse().unwrap(), State::Leaving);
    hosts.set("h3", "127.0.0.1:3".parse().unwrap(), State::Gone);
    let reader = Reader::new(hosts.url()).with_timeout(TIMEOUT);
    (hosts, reader)
}

/// A fault of the list, the number of hosts read (`None` if the read fails), and the
/// number of entries that can't be parsed.
#[rstest]
#[case::plain(|_: &Hosts| {}, Some(3), 0)]
#[case::removed(|hosts: &Hosts| hosts.remove("h2"), Some(2), 0)]
#[case::no_address(|hosts: &Hosts| hosts.set_raw("h4", "h4:80", State::Live), Some(3), 1)]
#[case::slow(|hosts: &Hosts| hosts.set_delay(TIMEOUT / 3), Some(3), 0)]
#[case::too_slow(|hosts: &Hosts| hosts.set_delay(TIMEOUT * 2), None, 0)]
#[case::hangs(|hosts: &Hosts| hosts.set_down(Some(Down::Hang)), None, 0)]
#[case::refuses(|hosts: &Hosts| hosts.set_down(Some(Down::Refuse)), None, 0)]
#[case::unknown_state(|hosts: &Hosts| hosts.set_response(Some(
    r#"{"as_of":1,"hosts":[{"name":"h1","address":"127.0.0.1:1","state":"melting"},
    {"name":"h2","address":"127.0.0.1:2","state":"live","rack":"r1"}]}"#)), Some(1), 1)]
#[case::empty(|hosts: &Hosts| hosts.set_response(Some(r#"{"as_of":1,"hosts":[]}"#)),
    Some(0), 0)]
#[case::no_hosts(|hosts: &Hosts| hosts.set_response(Some(r#"{"as_of":1}"#)), None, 0)]
#[case::not_json(|hosts: &Hosts| hosts.set_response(Some("<html>")), None, 0)]
fn reads_list_under_faults(
    #[case] fault: fn(&Hosts),
    #[case] readable: Option<usize>,
    #[case] unreadable: usize,
) {
    let (hosts, reader) = hosts_and_reader();
    reader.read().unwrap();
    fault(&hosts);
    let listing = reader.read().ok();
    assert_eq!(
        listing.as_ref().map(|listing| listing.hosts.len()),
        readable
    );
    assert_eq!(listing.map_or(0, |listing| listing.unreadable), unreadable);
}

#[test]
fn stale_list_reports_its_age() {
    let (hosts, reader) = hosts_and_reader();
    let lag = Duration::from_millis(200);
    std::thread::sleep(lag);
    hosts.set_lag(lag);
    hosts.set("h1", "127.0.0.1:1".parse().unwrap(), State::Leaving);
    let listing = reader.read().unwrap();
    assert_eq!(listing.hosts[0].state, State::Live);
    let age = SystemTime::now().duration_since(listing.as_of).unwrap();
    assert!(age >= lag);
    std::thread::sleep(lag);
    assert_eq!(reader.read().unwrap().hosts[0].state, State::Leaving);
    assert_eq!(hosts.calls(), 2);
}
