//! `events`: explains the event numbers that occur in the logs.

use std::fmt;

use eyre::Result;
use rhubarbrill_event::Event;
use serde::Serialize;

use crate::args::Events;
use crate::exit::Exit;
use crate::output::{Output, Refusal};

#[derive(Debug, Serialize)]
struct EventList {
    events: Vec<EventDescription>,
}

#[derive(Debug, Serialize)]
struct EventDescription {
    number: u16,
    name: &'static str,
    severity: &'static str,
    meaning: &'static str,
    advice: &'static str,
}

impl From<Event> for EventDescription {
    fn from(event: Event) -> Self {
        Self {
            number: event.number(),
            name: event.name(),
            severity: event.severity().as_str(),
            meaning: event.meaning(),
            advice: event.advice(),
        }
    }
}

impl fmt::Display for EventList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for event in &self.events {
            writeln!(f, "{} {} ({})", event.number, event.name, event.severity)?;
            writeln!(f, "    {}", event.meaning)?;
            writeln!(f, "    What to do: {}", event.advice)?;
        }
        Ok(())
    }
}

pub fn run(args: &Events) -> Result<Output> {
    let events: Vec<Event> = match args.number {
        None => Event::ALL.to_vec(),
        Some(number) => match Event::find(number) {
            Some(event) => vec![event],
            None => {
                return Err(Refusal(format!("no event has the number {number}")).into());
            }
        },
    };
    let events = events.into_iter().map(EventDescription::from).collect();
    Ok(Output::new(Exit::Done, &EventList { events }))
}
