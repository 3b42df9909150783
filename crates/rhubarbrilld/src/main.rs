//! `rhubarbrilld`: the entry daemon.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use argh::FromArgs;
use eyre::{Result, WrapErr};
use rhubarbrill_config::{features, settings};
use rhubarbrill_event::Event;
use rhubarbrilld::log;
use rhubarbrilld::run::Daemon;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// Exit code for invalid arguments or settings.
const EXIT_INVALID_SETTINGS: u8 = 1;
/// Exit code for a failure at startup or at run time.
const EXIT_FAILED: u8 = 4;

/// Number of runtime threads that serve requests.
const WORKER_THREADS: usize = 2;

/// Admits, queues, routes and answers requests on a shared fleet of endpoints.
#[derive(Debug, FromArgs)]
struct Args {
    /// settings file in INI
    #[argh(option)]
    settings: Option<PathBuf>,
    /// run jobs on the users' platform, with the settings file that the environment names
    #[argh(switch)]
    platform: bool,
    /// file in INI that switches scheduling features on, with --platform
    #[argh(option)]
    features: Option<PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match (&args.settings, args.platform) {
        (Some(_), false) if args.features.is_some() => {
            eprintln!("specify --features FILE only with --platform");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
        (Some(path), false) => run_requests(path, args.check),
        (None, true) => run_jobs(args.features.as_deref(), args.check),
        (Some(_), true) | (None, false) => {
            eprintln!("specify either --settings FILE or --platform");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Runs jobs on the users' platform.
fn run_jobs(features: Option<&Path>, check: bool) -> ExitCode {
    let path = rhubarbrill_platform::settings::path();
    let mut node = match rhubarbrill_platform::settings::read(&path) {
        Ok(node) => node,
        Err(error) => return report_settings_error(error),
    };
    if let Some(path) = features {
        node.settings.features = match features::read(path) {
            Ok(features) => features,
            Err(report) => return report_settings_error(report),
        };
    }
    if check {
        println!("{}: no mistakes", path.display());
        return ExitCode::SUCCESS;
    }
    exit_code(serve_jobs(node))
}

fn serve_jobs(node: rhubarbrill_platform::settings::Node) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started")?;
    runtime.block_on(async {
        let stopping = CancellationToken::new();
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut hangup = signal(SignalKind::hangup())?;
        let log = log::to_stdout(&node.settings.name, &node.settings.zone);
        let platform = rhubarbrill_platform::Platform::new(&node);
        let run = rhubarbrill_dispatch::run(
            platform,
            node.settings,
            log.clone(),
            stopping.clone(),
        );
        let mut run = std::pin::pin!(run);
        loop {
            tokio::select! {
                ended = &mut run => return ended,
                _ = terminate.recv() => stopping.cancel(),
                _ = interrupt.recv() => stopping.cancel(),
                // The addresses and limits of a process don't change while it runs.
                _ = hangup.recv() => log::event(&log, Event::SettingsReread, "no change"),
            }
        }
    })
}

fn report_settings_error(error: impl std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    let event = Event::SettingsRefused;
    eprintln!("event {}: {}", event.number(), event.meaning());
    ExitCode::from(EXIT_INVALID_SETTINGS)
}

fn exit_code(ended: Result<()>) -> ExitCode {
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("rhubarbrilld: {report:#}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Serves requests with the settings file at `path`.
fn run_requests(path: &Path, check: bool) -> ExitCode {
    let settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(report) => return report_settings_error(report),
    };
    if check {
        println!("{}: no mistakes", path.display());
        return ExitCode::SUCCESS;
    }
    exit_code(serve_requests(settings))
}

fn serve_requests(settings: settings::Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .wrap_err("the runtime can't be started")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let log = log::logger(&settings.log, &settings.entry.name, &settings.entry.zone);
        let daemon = Daemon::start(settings, log).await?;
        println!("callers {}", daemon.callers());
        println!("operators {}", daemon.operators());
        println!("peers {}", daemon.node().address());
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.node().replaced() => {}
        }
        daemon.stop().await
    })
}
