//! Watches, streamed as one JSON message per line.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Frame;
use rhubarbrill_edge::store::{Change, Memory, Store as _};
use rhubarbrill_wire::etcd::{
    Event, EventType, Header, KeyValue, WatchCreateRequest, WatchMessage, WatchRequest,
    WatchResponse,
};
use rhubarbrill_wire::{Base64, Int64};
use tokio::sync::mpsc;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use super::faults::Faults;
use super::kv::{self, KeyBounds};
use crate::platform::http::{Body, ConnectionClosed, json};

/// Interval between two checks of whether the watch is still open or muted.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time without events after which a watch that requested progress notifications is sent
/// the current revision.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of messages buffered for one watch.
const MAX_BUFFERED_MESSAGES: usize = 64;

/// Starts a watch and returns the response that streams its messages.
pub(super) fn start(
    memory: &Memory,
    faults: &Arc<Faults>,
    request: WatchRequest,
) -> Response<Body> {
    let create = request.create_request.unwrap_or_default();
    let key_range = match KeyBounds::new(&create.key, &create.range_end) {
        Ok(key_range) => key_range,
        Err(_) => return json(StatusCode::BAD_REQUEST, &WatchMessage::default()),
    };
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_MESSAGES);
    let dropped = faults.watches();
    let body = WatchBody {
        receiver,
        dropped: Box::pin(dropped.clone().cancelled_owned()),
    };
    let feeder = WatchFeeder {
        memory: memory.clone().with_idle_timeout(POLL_INTERVAL),
        faults: Arc::clone(faults),
        key_range,
        dropped,
        sender,
    };
    faults.count(|counts| {
        counts.watches += 1;
        counts.open_watches += 1;
    });
    thread::spawn(move || feeder.run(&create));
    Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "application/json")
        .body(body.boxed())
        .expect("the headers are valid")
}

/// Response body that streams the lines of a watch until the watch is dropped.
struct WatchBody {
    receiver: mpsc::Receiver<Bytes>,
    dropped: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl hyper::body::Body for WatchBody {
    type Data = Bytes;
    type Error = ConnectionClosed;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionClosed>>> {
        if self.dropped.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(ConnectionClosed)));
        }
        let line = self.receiver.poll_recv(context);
        line.map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

/// State of the thread that sends the changes to one watch.
struct WatchFeeder {
    memory: Memory,
    faults: Arc<Faults>,
    key_range: KeyBounds,
    dropped: CancellationToken,
    sender: mpsc::Sender<Bytes>,
}

impl WatchFeeder {
    fn run(self, create: &WatchCreateRequest) {
        let mut last_sent = Instant::now();
        self.send(WatchResponse {
            created: true,
            ..self.response()
        });
        let from = match create.start_revision.to_u64() {
            0 => self.memory.revision() + 1,
            from => from,
        };
        let Ok(mut watch) = self.memory.watch(&self.key_range.prefix, from) else {
            return self.send_canceled();
        };
        while !self.sender.is_closed() && !self.dropped.is_cancelled() {
            if self.faults.muted() {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            let Ok(mut changes) = watch.wait() else {
                return self.send_canceled();
            };
            changes.retain(|change| self.key_range.contains(key(change)));
            let due = create.progress_notify && last_sent.elapsed() >= PROGRESS_INTERVAL;
            if changes.is_empty() && !due {
                continue;
            }
            last_sent = Instant::now();
            self.send(WatchResponse {
                events: changes.into_iter().map(event).collect(),
                ..self.response()
            });
        }
    }

    /// Sends the final message of a watch whose revision has been compacted.
    fn send_canceled(&self) {
        self.send(WatchResponse {
            canceled: true,
            compact_revision: Int64::saturating_from(self.memory.oldest_revision()),
            ..self.response()
        });
    }

    fn response(&self) -> WatchResponse {
        WatchResponse {
            header: Some(Header::at(self.memory.revision())),
            ..WatchResponse::default()
        }
    }

    fn send(&self, response: WatchResponse) {
        let message = WatchMessage {
            error: None,
            result: Some(response),
        };
        let mut line = serde_json::to_vec(&message)
            .expect("types of the wire format serialize to JSON");
        line.push(b'\n');
        // The loop in `run` checks whether the channel is closed.
        let _ = self.sender.blocking_send(line.into());
    }
}

impl Drop for WatchFeeder {
    fn drop(&mut self) {
        self.faults.count(|counts| counts.open_watches -= 1);
    }
}

fn event(change: Change) -> Event {
    match change {
        Change::Put(entry) => Event {
            kv: Some(kv::key_value(entry)),
            type_: EventType::Put,
        },
        Change::Delete { key, revision } => Event {
            kv: Some(KeyValue {
                key: Base64::from(key.as_str()),
                mod_revision: Int64::saturating_from(revision),
                ..KeyValue::default()
            }),
            type_: EventType::Delete,
        },
    }
}

fn key(change: &Change) -> &str {
    match change {
        Change::Put(entry) => &entry.key,
        Change::Delete { key, .. } => key,
    }
}
