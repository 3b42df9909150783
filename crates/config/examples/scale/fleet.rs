//! Generates the declarations of a fleet of 8,100 hosts.

use std::fmt::Write as _;

const ZONES: usize = 19;
const WORKSPACES: usize = 300;
const POOLS: usize = 160;
const HOSTS: usize = 8_100;
const HOSTS_PER_RACK: usize = 16;

/// Returns the declarations as INI text.
pub fn declarations() -> String {
    let mut text = String::new();
    for zone in 0..ZONES {
        let _ = writeln!(text, "[zone zone-{zone}]\nregion = region-{}", zone % 7);
    }
    for workspace in 0..WORKSPACES {
        let _ = writeln!(
            text,
            "[team team-{workspace}]\nshare = {}\nlimit = 400",
            1 + workspace % 9
        );
    }
    for pool in 0..POOLS {
        let _ = writeln!(
            text,
            "[pool pool-{pool}]\nmax-out = 10%\nmax-out-per-rack = 8\nmax-out-per-zone = 9\n\
             [queue queue-{pool}]\npool = pool-{pool}\npath = /service-{pool}\n\
             max-run-time = 30s\nmax-waiting = 500"
        );
    }
    for host in 0..HOSTS {
        let (high, low) = (host / 250, host % 250 + 1);
        let _ = writeln!(
            text,
            "[host host-{host}]\npool = pool-{}\nzone = zone-{}\nrack = rack-{}\n\
             address = 10.0.{high}.{low}:8080\nslots = 8\nconnections = 64",
            host % POOLS,
            host / HOSTS_PER_RACK % ZONES,
            host / HOSTS_PER_RACK,
        );
    }
    text
}
