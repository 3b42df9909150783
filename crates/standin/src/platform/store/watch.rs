//! Watches, streamed as one JSON message a line.

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
use super::kv::{self, Selection};
use crate::platform::http::{Body, Broken, json};

/// Time between two looks at whether the caller is still there.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time without events after which a watch that asked for it is told the revision.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// Messages in flight to one watch.
const MESSAGES_IN_FLIGHT: usize = 64;

/// Begins a watch and returns the answer that streams its messages.
pub(super) fn start(
    memory: &Memory,
    faults: &Arc<Faults>,
    request: WatchRequest,
) -> Response<Body> {
    let create = request.create_request.unwrap_or_default();
    let selection = match Selection::new(&create.key, &create.range_end) {
        Ok(selection) => selection,
        Err(_) => return json(StatusCode::BAD_REQUEST, &WatchMessage::default()),
    };
    let (sender, receiver) = mpsc::channel(MESSAGES_IN_FLIGHT);
    let dropped = faults.watches();
    let lines = Lines {
        receiver,
        dropped: Box::pin(dropped.clone().cancelled_owned()),
    };
    let feed = Feed {
        memory: memory.clone().with_idle_timeout(LOOK_INTERVAL),
        faults: Arc::clone(faults),
        selection,
        dropped,
        sender,
    };
    faults.count(|counts| {
        counts.watches += 1;
        counts.watching += 1;
    });
    thread::spawn(move || feed.run(&create));
    Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "application/json")
        .body(lines.boxed())
        .expect("the headers are valid")
}

/// The lines of a watch, until it is dropped.
struct Lines {
    receiver: mpsc::Receiver<Bytes>,
    dropped: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl hyper::body::Body for Lines {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        if self.dropped.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Err(Broken)));
        }
        let line = self.receiver.poll_recv(context);
        line.map(|line| line.map(|line| Ok(Frame::data(line))))
    }
}

/// The thread that feeds one watch.
struct Feed {
    memory: Memory,
    faults: Arc<Faults>,
    selection: Selection,
    dropped: CancellationToken,
    sender: mpsc::Sender<Bytes>,
}

impl Feed {
    fn run(self, create: &WatchCreateRequest) {
        let mut told = Instant::now();
        self.tell(WatchResponse {
            created: true,
            ..self.response()
        });
        let from = match create.start_revision.to_u64() {
            0 => self.memory.revision() + 1,
            from => from,
        };
        let Ok(mut watch) = self.memory.watch(&self.selection.prefix, from) else {
            return self.cancel();
        };
        while !self.sender.is_closed() && !self.dropped.is_cancelled() {
            if self.faults.muted() {
                thread::sleep(LOOK_INTERVAL);
                continue;
            }
            let Ok(mut changes) = watch.wait() else {
                return self.cancel();
            };
            changes.retain(|change| self.selection.contains(key(change)));
            let due = create.progress_notify && told.elapsed() >= PROGRESS_INTERVAL;
            if changes.is_empty() && !due {
                continue;
            }
            told = Instant::now();
            self.tell(WatchResponse {
                events: changes.into_iter().map(event).collect(),
                ..self.response()
            });
        }
    }

    /// Ends the watch, as its revision is no longer kept.
    fn cancel(&self) {
        self.tell(WatchResponse {
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

    fn tell(&self, response: WatchResponse) {
        let message = WatchMessage {
            error: None,
            result: Some(response),
        };
        let mut line = serde_json::to_vec(&message).expect("border types can be written");
        line.push(b'\n');
        // A closed channel shows in the loop.
        let _ = self.sender.blocking_send(line.into());
    }
}

impl Drop for Feed {
    fn drop(&mut self) {
        self.faults.count(|counts| counts.watching -= 1);
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
