//! Share distance, waits and refusals under bursts.

use std::time::Duration;

use argh::FromArgs;
use rhubarbrill_core::gate::Class;

use crate::demand::{self, Request};
use crate::deployment::{Deployment, ENTRY_HOSTS, Site};
use crate::stats::Stats;
use crate::world::{Policy, Settings, World};

/// measure share distance, waits to start and refused work under bursts
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "share")]
pub struct Args {
    /// seed of the demand and of random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// one deployment, magnolia or vestfjord; both by default
    #[argh(option)]
    site: Option<Site>,
    /// seconds of demand
    #[argh(option, default = "480")]
    seconds: u64,
    /// part of its pool that a queue's mean demand occupies
    #[argh(option, default = "0.4")]
    load: f64,
    /// milliseconds between reports of usage; 0 for none
    #[argh(option, default = "1000")]
    heartbeat: u64,
    /// milliseconds that a report takes
    #[argh(option, default = "50")]
    lag: u64,
    /// one host of each pool fails everything, fast, from a third of the time on
    #[argh(switch)]
    failing_hosts: bool,
    /// one host of each pool has half of the slots it declares
    #[argh(switch)]
    small_hosts: bool,
    /// without loans of slots between entry hosts
    #[argh(switch)]
    no_loans: bool,
    /// add the distance of each team
    #[argh(switch, long = "teams")]
    workspaces: bool,
}

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
    let many = Deployment::new(site, ENTRY_HOSTS);
    let one = Deployment::new(site, 1);
    let requests = demand::generate_requests(
        &many,
        args.seed,
        args.load,
        Duration::from_secs(args.seconds),
    );
    let measure = |deployment: &Deployment, requests: &[Request], policy| {
        World::new(deployment, requests, policy, settings).run()
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
    let ours = measure(&many, &requests, Policy::Gate);
    let single = measure(&one, &requests, Policy::Gate);
    let naive = measure(&many, &requests, Policy::Fifo);
    print_row("ours", &ours);
    print_row("one entry host", &single);
    print_row("naive", &naive);
    let urgent = |request: &&Request| request.class == Class::Urgent;
    let urgent_calls: Vec<Request> = requests.iter().filter(urgent).copied().collect();
    let all = measure(&one, &requests, Policy::Central);
    let alone = measure(&one, &urgent_calls, Policy::Central);
    print_row("central", &all);
    print_bound(&alone);
    print_reports(args, &ours);
    if args.workspaces {
        print_workspaces(&[
            ("ours", &ours),
            ("one entry host", &single),
            ("naive", &naive),
        ]);
    }
}

fn print_row(name: &str, stats: &Stats) {
    let urgent = stats.class(Class::Urgent);
    let normal = stats.class(Class::Normal);
    println!(
        "| {name} | {:.4} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} |",
        stats.distance(),
        percent(stats.idle()),
        seconds(urgent.p50),
        seconds(urgent.p99),
        seconds(normal.p50),
        seconds(normal.p99),
        percent(urgent.refused),
        percent(normal.refused),
        percent(stats.part(stats.refused_count())),
        percent(stats.part(stats.expired)),
        percent(stats.part(stats.failed)),
        percent(stats.part(stats.queued_at_endpoint)),
    );
}

/// Prints what no policy can beat, from a run of urgent work alone.
fn print_bound(alone: &Stats) {
    let urgent = alone.class(Class::Urgent);
    println!(
        "| bound | 0 | 0 | {} | {} | - | - | {} | - | - | - | 0 | 0 |",
        seconds(urgent.p50),
        seconds(urgent.p99),
        percent(urgent.refused),
    );
}

fn print_reports(args: &Args, stats: &Stats) {
    let spans = (args.seconds * ENTRY_HOSTS as u64) as f64;
    println!(
        "\nReports of each entry host: {:.2} a second, {:.1} rows and {:.1} loans a second.",
        stats.reports as f64 / spans,
        stats.report_rows as f64 / spans,
        stats.loans as f64 / spans,
    );
}

fn print_workspaces(rows: &[(&str, &Stats)]) {
    println!("\n| policy | team 1 | team 2 | team 3 | team 4 | team 5 | team 6 |");
    println!("|---|---|---|---|---|---|---|");
    for (name, stats) in rows {
        let cells: Vec<String> = stats
            .workspace_distances()
            .into_iter()
            .map(|distance| format!("{distance:+.3}"))
            .collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
}

fn seconds(span: Duration) -> String {
    format!("{:.3} s", span.as_secs_f64())
}

fn percent(part: f64) -> String {
    format!("{:.2} %", part * 100.0)
}
