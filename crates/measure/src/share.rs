//! Measures share distance, waiting times and refusals under bursty demand.

use std::time::Duration;

use argh::FromArgs;
use rhubarbrill_core::gate::Class;

use crate::demand::{self, Request};
use crate::deployment::{Deployment, ENTRY_HOSTS, Site};
use crate::simulation::{Policy, Settings, Simulation};
use crate::stats::Stats;

/// measure share distance, waiting times and refused requests under bursts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "share")]
pub struct Args {
    /// seed of the demand and of the random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// deployment to measure, magnolia or vestfjord; both by default
    #[argh(option)]
    site: Option<Site>,
    /// duration of the demand in seconds
    #[argh(option, default = "480")]
    seconds: u64,
    /// fraction of its pool's slots that a queue's mean demand occupies
    #[argh(option, default = "0.4")]
    load: f64,
    /// milliseconds between usage reports; 0 for none
    #[argh(option, default = "1000")]
    heartbeat: u64,
    /// milliseconds from the sending of a usage report to its arrival
    #[argh(option, default = "50")]
    lag: u64,
    /// one host of each pool fails every request quickly, from a third of the time on
    #[argh(switch)]
    failing_hosts: bool,
    /// one host of each pool has half of its declared slots
    #[argh(switch)]
    small_hosts: bool,
    /// disable slot loans between entry hosts
    #[argh(switch)]
    no_loans: bool,
    /// also print each workspace's deviation from its fair allocation
    #[argh(switch, long = "teams")]
    workspaces: bool,
}

/// Prints the results of every policy for each selected deployment.
pub fn run(args: &Args) {
    let sites = match args.site {
        Some(site) => vec![site],
        None => Site::ALL.to_vec(),
    };
    for site in sites {
        print_site(args, site);
    }
}

fn print_site(args: &Args, site: Site) {
    let settings = Settings {
        seed: args.seed,
        heartbeat: Duration::from_millis(args.heartbeat),
        report_lag: Duration::from_millis(args.lag),
        loans: !args.no_loans,
        failing_hosts: args.failing_hosts,
        small_hosts: args.small_hosts,
    };
    let multi_entry = Deployment::new(site, ENTRY_HOSTS);
    let single_entry = Deployment::new(site, 1);
    let requests = demand::generate_requests(
        &multi_entry,
        args.seed,
        args.load,
        Duration::from_secs(args.seconds),
    );
    let measure = |deployment: &Deployment, requests: &[Request], policy| {
        Simulation::new(deployment, requests, policy, settings).run()
    };
    println!(
        "\n{}: {} requests, seed {}\n",
        site.name(),
        requests.len(),
        args.seed
    );
    println!(
        "| policy | share distance | idle | urgent p50 | urgent p99 | normal p50 | normal p99 \
         | refused urgent | refused normal | refused | late | failed | queued at endpoint |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    let gate_stats = measure(&multi_entry, &requests, Policy::Gate);
    let single_entry_stats = measure(&single_entry, &requests, Policy::Gate);
    let fifo_stats = measure(&multi_entry, &requests, Policy::Fifo);
    print_row("ours", &gate_stats);
    print_row("one entry host", &single_entry_stats);
    print_row("naive", &fifo_stats);
    let urgent = |request: &&Request| request.class == Class::Urgent;
    let urgent_requests: Vec<Request> = requests.iter().filter(urgent).copied().collect();
    let central_stats = measure(&single_entry, &requests, Policy::Central);
    let urgent_only_stats = measure(&single_entry, &urgent_requests, Policy::Central);
    print_row("central", &central_stats);
    print_bound(&urgent_only_stats);
    print_report_rates(args, &gate_stats);
    if args.workspaces {
        print_workspaces(&[
            ("ours", &gate_stats),
            ("one entry host", &single_entry_stats),
            ("naive", &fifo_stats),
        ]);
    }
}

fn print_row(name: &str, stats: &Stats) {
    let urgent = stats.class_summary(Class::Urgent);
    let normal = stats.class_summary(Class::Normal);
    println!(
        "| {name} | {:.4} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        stats.share_distance(),
        format_percent(stats.idle_fraction()),
        format_seconds(urgent.p50),
        format_seconds(urgent.p99),
        format_seconds(normal.p50),
        format_seconds(normal.p99),
        format_percent(urgent.refused),
        format_percent(normal.refused),
        format_percent(stats.fraction_of_requests(stats.refused_count())),
        format_percent(stats.fraction_of_requests(stats.expired)),
        format_percent(stats.fraction_of_requests(stats.failed)),
        format_percent(stats.fraction_of_requests(stats.queued_at_endpoint)),
    );
}

/// Prints a lower bound for every policy, from a run of the urgent requests alone.
///
/// Share distance and idle slots are at best zero, and the bound doesn't cover normal
/// requests.
fn print_bound(urgent_only_stats: &Stats) {
    let urgent = urgent_only_stats.class_summary(Class::Urgent);
    println!(
        "| bound | 0 | 0 | {} | {} | - | - | {} | - | - | - | 0 | 0 |",
        format_seconds(urgent.p50),
        format_seconds(urgent.p99),
        format_percent(urgent.refused),
    );
}

/// Prints the mean rates of usage reports, their rows and loans for each entry host.
fn print_report_rates(args: &Args, stats: &Stats) {
    let entry_host_secs = (args.seconds * ENTRY_HOSTS as u64) as f64;
    println!(
        "\nReports of each entry host: {:.2} a second, {:.1} rows and {:.1} loans a second.",
        stats.reports as f64 / entry_host_secs,
        stats.report_rows as f64 / entry_host_secs,
        stats.loans as f64 / entry_host_secs,
    );
}

/// Prints the signed deviation of each workspace from its fair allocation.
fn print_workspaces(rows: &[(&str, &Stats)]) {
    println!("\n| policy | team 1 | team 2 | team 3 | team 4 | team 5 | team 6 |");
    println!("|---|---|---|---|---|---|---|");
    for (name, stats) in rows {
        let columns: Vec<String> = stats
            .workspace_deviations()
            .into_iter()
            .map(|distance| format!("{distance:+.3}"))
            .collect();
        println!("| {name} | {} |", columns.join(" | "));
    }
}

fn format_seconds(duration: Duration) -> String {
    format!("{:.3} s", duration.as_secs_f64())
}

fn format_percent(fraction: f64) -> String {
    format!("{:.2} %", fraction * 100.0)
}
