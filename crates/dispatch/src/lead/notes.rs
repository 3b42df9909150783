//! Writes the scheduler's notes to the log.

use std::time::Duration;

use rhubarbrill_core::job::scheduler::SchedulerEvent;
use rhubarbrill_core::job::scheduler::interference::Change;
use rhubarbrill_core::job::{Departure, RunEnd, TaskName};
use rhubarbrill_event::Event;
use slog::o;

use crate::clock::millis;
use crate::event;
use crate::node::Node;

/// Logs the decisions that the scheduler noted.
pub(super) fn write<P>(node: &Node<P>, events: Vec<SchedulerEvent>) {
    for event in events {
        log(node, event);
    }
}

fn log<P>(node: &Node<P>, scheduler_event: SchedulerEvent) {
    let out = &node.log;
    match scheduler_event {
        SchedulerEvent::Placed {
            name,
            number,
            endpoint,
            free_cpu,
            clock_age,
        } => {
            let run = run(&name, number, endpoint, "");
            let fields = o!(
                "free_cpu" => free_cpu,
                "clock_age_ms" => millis(clock_age),
                run
            );
            event::log(out, Event::RunPlaced, fields);
        }
        SchedulerEvent::NotStarted {
            name,
            number,
            endpoint,
            reason,
        } => event::log(
            out,
            Event::RunNotStarted,
            run(&name, number, endpoint, reason),
        ),
        SchedulerEvent::Adopted {
            name,
            number,
            endpoint,
        } => event::log(out, Event::RunAdopted, run(&name, number, endpoint, "")),
        SchedulerEvent::Stopping {
            name,
            number,
            endpoint,
            reason,
        } => event::log(
            out,
            Event::RunStopping,
            run(&name, number, endpoint, reason),
        ),
        SchedulerEvent::Ended {
            name,
            number,
            endpoint,
            end,
        } => ended(node, &name, number, endpoint, end),
        SchedulerEvent::Gone {
            name,
            number,
            endpoint,
            reason,
            departure,
            age,
            confirmed,
        } => {
            let departure = departure.map_or("", Departure::as_str);
            node.metrics.run_gone(departure);
            let fields = run(&name, number, endpoint, reason);
            let fields = o!(
                "departure" => departure,
                "age_ms" => millis(age),
                "confirmed" => confirmed,
                fields,
            );
            event::log(out, Event::RunGone, fields);
        }
        SchedulerEvent::Suspected { name, history } => {
            let fields = o!(
                "job" => name.job.clone(),
                "task" => name.to_string(),
                "crashes" => history.crashes,
                "early" => history.is_early,
                "score_millinats" => history.score,
            );
            event::log(out, Event::TaskSuspected, fields);
        }
        SchedulerEvent::Excluded {
            job,
            pool,
            path,
            left,
            occupancy,
            capacity,
            reason,
        } => {
            let fields = o!(
                "job" => job,
                "pool" => pool,
                "path_ms" => millis(path),
                "left_ms" => millis(left),
                "occupancy_ms" => millis(occupancy),
                "capacity_cpu" => capacity.cpu,
                "reason" => reason,
            );
            event::log(out, Event::JobInfeasible, fields);
        }
        SchedulerEvent::Received { job, age } => {
            let fields = o!("job" => job, "age_ms" => millis(age));
            event::log(out, Event::JobReceived, fields);
        }
        SchedulerEvent::Finished { job, state, reason } => {
            let state = format!("{state:?}");
            let fields = o!("job" => job, "state" => state, "reason" => reason);
            event::log(out, Event::JobFinished, fields);
        }
        SchedulerEvent::EndpointUp {
            endpoint,
            pool,
            born,
        } => {
            let fields = o!("endpoint" => endpoint, "pool" => pool, "born" => born);
            event::log(out, Event::EndpointUp, fields);
        }
        SchedulerEvent::EndpointLost {
            endpoint,
            reason,
            runs,
        } => {
            let fields = o!("endpoint" => endpoint, "reason" => reason, "runs" => runs);
            event::log(out, Event::EndpointLost, fields);
        }
        SchedulerEvent::EndpointResized {
            endpoint,
            earlier,
            capacity,
            used,
            age,
        } => {
            let fields = o!(
                "endpoint" => endpoint,
                "earlier" => format!("{earlier:?}"),
                "capacity" => format!("{capacity:?}"),
                "used" => format!("{used:?}"),
                "age_ms" => age.map(millis),
            );
            event::log(out, Event::EndpointResized, fields);
        }
        SchedulerEvent::EndpointRestarted {
            endpoint,
            lost,
            undecided,
            reply_age,
        } => {
            let fields = o!(
                "endpoint" => endpoint,
                "lost" => lost,
                "undecided" => undecided,
                "reply_age_ms" => reply_age.map(millis),
            );
            event::log(out, Event::EndpointRestarted, fields);
        }
        SchedulerEvent::AcknowledgementUnanswered {
            endpoint,
            born,
            acknowledged,
        } => {
            let fields = o!(
                "endpoint" => endpoint,
                "born" => born,
                "acknowledged" => acknowledged,
            );
            event::log(out, Event::AcknowledgementUnanswered, fields);
        }
        SchedulerEvent::EndpointRegained { endpoint } => {
            event::log(out, Event::EndpointRegained, o!("endpoint" => endpoint));
        }
        SchedulerEvent::PolicyAnswered {
            job,
            step,
            asked,
            allowed,
        } => {
            let outcome = if allowed.is_some() {
                "answered"
            } else {
                "no answer"
            };
            let fields = o!(
                "job" => job,
                "step" => step,
                "asked" => asked,
                "allowed" => allowed.unwrap_or(0),
                "outcome" => outcome,
            );
            event::log(out, Event::PolicyRuled, fields);
        }
        SchedulerEvent::Preempting { job, runs, lost } => {
            let fields = o!("job" => job, "runs" => runs, "lost_core_ms" => lost);
            event::log(out, Event::RunsPreempted, fields);
        }
        SchedulerEvent::ZoneEvacuating { zone, progress } => {
            let fields = o!(
                "zone" => zone,
                "tasks" => progress.tasks,
                "long_running" => progress.long_running,
            );
            event::log(out, Event::ZoneEvacuating, fields);
        }
        SchedulerEvent::ZoneEvacuated { zone, age } => {
            let age_ms = millis(age);
            let fields = o!("zone" => zone, "age_ms" => age_ms);
            event::log(out, Event::ZoneEvacuated, fields);
        }
        SchedulerEvent::ZoneReturned { zone } => {
            event::log(out, Event::ZoneReturned, o!("zone" => zone));
        }
        SchedulerEvent::ZoneUnknown { zone } => {
            event::log(out, Event::ZoneUnknown, o!("zone" => zone));
        }
        SchedulerEvent::EveryZoneEvacuated { zones } => {
            event::log(out, Event::EveryZoneEvacuated, o!("zones" => zones));
        }
        SchedulerEvent::EndpointCold {
            endpoint,
            remaining,
        } => {
            let cold_ms = millis(remaining);
            let fields = o!("endpoint" => endpoint, "cold_ms" => cold_ms);
            event::log(out, Event::EndpointCold, fields);
        }
        SchedulerEvent::RunLimitChanged {
            endpoint,
            limit,
            run_time_percent,
            failure_percent,
            runs,
        } => {
            let fields = o!(
                "endpoint" => endpoint,
                "limit" => limit.as_str(),
                "run_time_percent" => run_time_percent,
                "failure_percent" => failure_percent,
                "runs" => runs,
            );
            event::log(out, Event::RunLimitChanged, fields);
        }
        SchedulerEvent::DemandPattern {
            pool,
            change,
            period,
            correlation_percent,
            onset_in,
            height,
            confirmations,
        } => {
            let fields = o!(
                "pool" => pool,
                "change" => change.as_str(),
                "period_ms" => millis(period),
                "correlation_percent" => correlation_percent,
                "onset_in_ms" => millis(onset_in),
                "height_cpu" => height.cpu,
                "confirmations" => confirmations,
            );
            event::log(out, Event::DemandPattern, fields);
        }
        SchedulerEvent::LearningStarts { feature, term } => {
            let fields = o!("feature" => feature.as_str(), "term" => term);
            event::log(out, Event::LearningStarts, fields);
        }
        SchedulerEvent::RunTimesLearned {
            queue,
            mean_percent,
            high_percent,
            runs,
            age,
        } => {
            let fields = o!(
                "queue" => queue,
                "mean_percent" => mean_percent,
                "high_percent" => high_percent,
                "runs" => runs,
                "age_ms" => millis(age),
            );
            event::log(out, Event::RunTimesLearned, fields);
        }
        SchedulerEvent::InterferenceReset => {
            node.metrics.interference_pairs(0);
            event::log(out, Event::InterferenceReset, o!());
        }
        SchedulerEvent::PairChanged { change, known } => {
            pair_changed(node, change, known);
        }
        SchedulerEvent::PlacedBesideHarm {
            job,
            image,
            endpoint,
            harm_percent,
            report_age,
        } => {
            let fields = o!(
                "job" => job,
                "image" => image,
                "endpoint" => endpoint,
                "harm_percent" => harm_percent,
                "report_age_ms" => age_millis(report_age),
            );
            event::log(out, Event::RunPlacedBesideHarm, fields);
        }
        SchedulerEvent::Separating {
            name,
            number,
            endpoint,
            destination,
            harm_percent,
            pace_percent,
            report_age,
        } => {
            let fields = o!(
                "destination" => destination,
                "harm_percent" => harm_percent,
                "pace_percent" => pace_percent,
                "report_age_ms" => age_millis(report_age),
                run(&name, number, endpoint, ""),
            );
            event::log(out, Event::RunSeparated, fields);
        }
        SchedulerEvent::HostMoves {
            host,
            from,
            to,
            needed,
            held,
        } => {
            let fields = o!(
                "host" => host,
                "from" => from,
                "to" => to,
                "needed_cpu" => needed.cpu,
                "held_cpu" => held.cpu,
                "needed_memory_mb" => needed.memory_mb,
                "held_memory_mb" => held.memory_mb,
            );
            event::log(out, Event::HostMoves, fields);
        }
        SchedulerEvent::FleetShortage {
            is_short,
            needed,
            held,
        } => {
            let fields = o!(
                "state" => if is_short { "short" } else { "covered" },
                "needed_cpu" => needed.cpu,
                "held_cpu" => held.cpu,
                "needed_memory_mb" => needed.memory_mb,
                "held_memory_mb" => held.memory_mb,
            );
            event::log(out, Event::FleetShortage, fields);
        }
        SchedulerEvent::HostMaintained { host, wave } => {
            event::log(
                out,
                Event::HostMaintained,
                o!("host" => host, "wave" => wave),
            );
        }
    }
}

fn pair_changed<P>(node: &Node<P>, change: Change, known: usize) {
    node.metrics
        .interference_pairs(u64::try_from(known).unwrap_or(u64::MAX));
    match change {
        Change::Found {
            pair,
            harm_percent,
            with,
            without,
        } => {
            let fields = o!(
                "aggressor" => pair.aggressor,
                "victim" => pair.victim,
                "harm_percent" => harm_percent,
                "reports_with" => with,
                "reports_without" => without,
                "known_pairs" => known,
            );
            event::log(&node.log, Event::InterferencePairFound, fields);
        }
        Change::Forgotten { pair, reason } => {
            let fields = o!(
                "aggressor" => pair.aggressor,
                "victim" => pair.victim,
                "reason" => reason.as_str(),
                "known_pairs" => known,
            );
            event::log(&node.log, Event::InterferencePairForgotten, fields);
        }
    }
}

/// Returns an age in milliseconds for the log; empty if it is unknown.
fn age_millis(age: Option<Duration>) -> String {
    age.map_or_else(String::new, |age| age.as_millis().to_string())
}

fn ended<P>(node: &Node<P>, name: &TaskName, number: u64, endpoint: String, end: RunEnd) {
    node.metrics.run_ended(end.as_str());
    let fields = run(name, number, endpoint, end.as_str());
    event::log(&node.log, Event::RunEnded, fields);
}

fn run(
    name: &TaskName,
    number: u64,
    endpoint: String,
    reason: &'static str,
) -> slog::OwnedKV<impl slog::SendSyncRefUnwindSafeKV + 'static> {
    o!(
        "job" => name.job.clone(),
        "task" => name.to_string(),
        "run" => number,
        "endpoint" => endpoint,
        "reason" => reason,
    )
}
