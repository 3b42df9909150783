//! A watch that reads a streamed response.

use std::collections::VecDeque;
use std::fmt;
use std::io::{self, BufReader, Read};

use rhubarbrill_wire::etcd::{Event, EventType, WatchMessage, WatchResponse};
use serde_json::StreamDeserializer;
use serde_json::de::IoRead;
use ureq::{Body, BodyReader};

use super::failure;
use crate::store::calls::ActiveWatch;
use crate::store::{Change, Effect, Error};

/// An open watch on a [`Gateway`](super::Gateway).
pub struct Watch {
    messages: StreamDeserializer<'static, IoRead<BufReader<BodyStream>>, WatchMessage>,
    pending: VecDeque<Change>,
    ended: bool,
    active_watch: ActiveWatch,
}

impl Watch {
    pub(super) fn new(body: Body, active_watch: ActiveWatch) -> Self {
        let stream = BodyStream(body.into_reader());
        let reader = IoRead::new(BufReader::new(stream));
        Self {
            messages: StreamDeserializer::new(reader),
            pending: VecDeque::new(),
            ended: false,
            active_watch,
        }
    }

    /// Waits for the next message; returns `None` after the idle timeout.
    fn receive(&mut self) -> Option<Result<WatchResponse, Error>> {
        let message = match self.messages.next() {
            Some(Ok(message)) => message,
            Some(Err(error))
                if error.io_error_kind() == Some(io::ErrorKind::TimedOut) =>
            {
                return None;
            }
            Some(Err(error)) => return Some(Err(stream_error(error))),
            None => return Some(Err(stream_error("the store closed the watch"))),
        };
        Some(match (message.result, message.error) {
            (Some(response), _) => check_response(response),
            (None, Some(failure)) => Err(failure::classify(
                failure.grpc_code,
                Effect::None,
                failure.message,
            )),
            (None, None) => Err(Error::malformed(
                Effect::None,
                "watch message without a result or an error",
            )),
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
                // A message without events confirms the watch or reports its progress.
                Some(Ok(response)) => {
                    self.pending
                        .extend(response.events.into_iter().map(to_change));
                }
                Some(Err(error)) => {
                    self.ended = true;
                    self.active_watch.record_failure();
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

/// Response body that reports a read timeout as [`io::ErrorKind::TimedOut`].
struct BodyStream(BodyReader<'static>);

impl Read for BodyStream {
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

/// Returns the response, or an error if it reports a compacted revision or a canceled
/// watch.
fn check_response(response: WatchResponse) -> Result<WatchResponse, Error> {
    let oldest = response.compact_revision.0;
    if oldest > 0 {
        return Err(Error::compacted(format!(
            "the oldest available revision is {oldest}"
        )));
    }
    if response.canceled {
        return Err(stream_error(response.cancel_reason));
    }
    Ok(response)
}

fn to_change(event: Event) -> Change {
    let found = event.kv.unwrap_or_default();
    match event.type_ {
        EventType::Put => Change::Put(super::to_entry(found)),
        EventType::Delete => Change::Delete {
            revision: found.mod_revision.to_u64(),
            key: super::decode_key(found.key),
        },
    }
}

fn stream_error(context: impl fmt::Display) -> Error {
    Error::unreachable(Effect::None, context.to_string())
}
