//! A watch over a streamed answer.

use std::collections::VecDeque;
use std::fmt;
use std::io::{self, BufReader, Read};

use rhubarbrill_wire::etcd::{Event, EventType, WatchMessage, WatchResponse};
use serde_json::StreamDeserializer;
use serde_json::de::IoRead;
use ureq::{Body, BodyReader};

use super::failure;
use crate::store::calls::Watching;
use crate::store::{Change, Effect, Error};

/// A watch on a [`Gateway`](super::Gateway).
pub struct Watch {
    messages: StreamDeserializer<'static, IoRead<BufReader<Stream>>, WatchMessage>,
    pending: VecDeque<Change>,
    ended: bool,
    watching: Watching,
}

impl Watch {
    pub(super) fn new(body: Body, watching: Watching) -> Self {
        let stream = Stream(body.into_reader());
        let reader = IoRead::new(BufReader::new(stream));
        Self {
            messages: StreamDeserializer::new(reader),
            pending: VecDeque::new(),
            ended: false,
            watching,
        }
    }

    /// Waits for the next message; returns none after the idle bound.
    fn receive(&mut self) -> Option<Result<WatchResponse, Error>> {
        let message = match self.messages.next() {
            Some(Ok(message)) => message,
            Some(Err(error))
                if error.io_error_kind() == Some(io::ErrorKind::TimedOut) =>
            {
                return None;
            }
            Some(Err(error)) => return Some(Err(failed(error))),
            None => return Some(Err(failed("watch closed by the store"))),
        };
        Some(match (message.result, message.error) {
            (Some(response), _) => ending(response),
            (None, Some(failure)) => Err(failure::classify(
                failure.grpc_code,
                Effect::None,
                failure.message,
            )),
            (None, None) => Err(Error::malformed(Effect::None, "empty watch message")),
        })
    }
}

impl Iterator for Watch {
    type Item = Result<Change, Error>;

    fn next(&mut self) -> Option<Self::Item> {
        loop {
            if let Some(change) = self.pending.pop_front() {
                return Some(Ok(change));
            }
            if self.ended {
                return None;
            }
            match self.receive() {
                // Messages without events begin a watch, or tell progress.
                Some(Ok(response)) => {
                    self.pending.extend(response.events.into_iter().map(change));
                }
                Some(Err(error)) => {
                    self.ended = true;
                    self.watching.fail();
                    return Some(Err(error));
                }
                None => self.ended = true,
            }
        }
    }
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch")
            .field("pending", &self.pending)
            .field("ended", &self.ended)
            .finish_non_exhaustive()
    }
}

/// A body whose timeout shows as such in the kind of its error.
struct Stream(BodyReader<'static>);

impl Read for Stream {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer).map_err(|error| {
            let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
            match inner {
                Some(ureq::Error::Timeout(_)) => io::ErrorKind::TimedOut.into(),
                _ => error,
            }
        })
    }
}

/// Returns the response, or the error that it ends the watch with.
fn ending(response: WatchResponse) -> Result<WatchResponse, Error> {
    let oldest = response.compact_revision.0;
    if oldest > 0 {
        return Err(Error::compacted(format!("oldest kept is {oldest}")));
    }
    if response.canceled {
        return Err(failed(response.cancel_reason));
    }
    Ok(response)
}

fn change(event: Event) -> Change {
    let found = event.kv.unwrap_or_default();
    match event.type_ {
        EventType::Put => Change::Put(super::entry(found)),
        EventType::Delete => Change::Delete {
            revision: found.mod_revision.to_u64(),
            key: super::text(found.key),
        },
    }
}

fn failed(context: impl fmt::Display) -> Error {
    Error::unreachable(Effect::None, context.to_string())
}
