//! Requests of callers: routing, authentication and dispatch.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, HOST};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use rhubarbrill_core::job::Configuration;
use rhubarbrill_core::job::configuration::Queue;
use rhubarbrill_core::job::record::State;
use rhubarbrill_event::Event;
use slog::o;

use super::Answer;
use super::cancel::{self, CancelOutcome};
use super::lookup::{self, LookupOutcome};
use super::submit;
use crate::metrics::Labels;
use crate::node::Node;
use crate::platform::{Bodies, Platform};
use crate::{clock, event};

/// `Retry-After` of an entry host that has no configuration yet.
const STARTING_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` of a cancellation of an unknown job beyond the limit.
const TOMBSTONE_RETRY: Duration = Duration::from_secs(1);

/// Deadline of a request whose caller sets none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);

/// Part of a caller's deadline that is reserved for returning the response.
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Header in which callers state their deadline, in milliseconds.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Length of a job ID, in hexadecimal digits.
const ID_DIGITS: usize = 16;

/// Answers the HTTP requests of callers.
#[derive(Debug)]
pub struct Service<P> {
    node: Rc<Node<P>>,
}

/// A request whose queue and workspace have been determined.
#[derive(Debug)]
pub(super) struct Call {
    pub(super) queue: Queue,
    pub(super) workspace: Option<String>,
    /// API key that the caller presented, if the queue requires one.
    pub(super) key: Option<String>,
    /// Job ID; empty if the request is about the queue itself.
    pub(super) id: String,
    /// Time within which the request must be answered.
    pub(super) timeout: Duration,
    max_body_bytes: usize,
    kind: &'static str,
}

impl<P: Platform> Service<P> {
    /// Returns a service that answers from the state of `node`.
    pub const fn new(node: Rc<Node<P>>) -> Self {
        Self { node }
    }

    /// Handles one request, and logs and counts its outcome.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let began = clock::now();
        let (head, body) = request.into_parts();
        let call = self.call(&head.method, head.uri.path(), &head.headers);
        let (call, answer) = match call {
            Ok(call) => {
                let answer = self.execute(&head.method, &call, body).await;
                (Some(call), answer)
            }
            Err(answer) => (None, answer),
        };
        let latency = clock::now().saturating_since(began);
        self.report(&head, call.as_ref(), &answer, latency);
        answer.into_response(self.node.platform.bodies().media_type())
    }

    /// Routes and authenticates a request. Returns the refusal as the error.
    fn call(
        &self,
        method: &Method,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<Call, Answer> {
        let Some(configuration) = self.node.configuration() else {
            let answer =
                self.refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
            return Err(answer.with_retry_after(STARTING_RETRY));
        };
        let host = headers
            .get(HOST)
            .and_then(|host| host.to_str().ok())
            .unwrap_or("");
        let host = host.split(':').next().unwrap_or(host);
        let Some(queue) = configuration.route(host, path) else {
            return Err(self.refuse(StatusCode::NOT_FOUND, "no such queue"));
        };
        let key = presented_key(headers).filter(|_| !queue.public);
        let workspace = self.workspace(&configuration, queue, key)?;
        let id = path[queue.prefix.len()..].to_ascii_lowercase();
        let kind = match *method {
            Method::POST => "submit",
            Method::GET if id.is_empty() => "pending",
            Method::GET => "state",
            Method::DELETE => "cancel",
            _ => {
                return Err(
                    self.refuse(StatusCode::METHOD_NOT_ALLOWED, "method not known")
                );
            }
        };
        let is_id =
            id.len() == ID_DIGITS && id.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_id && kind != "pending" {
            return Err(self.refuse(StatusCode::NOT_FOUND, "no job's identity"));
        }
        Ok(Call {
            queue: queue.clone(),
            workspace,
            key: key.map(str::to_owned),
            id,
            timeout: timeout(headers),
            max_body_bytes: configuration.max_body_bytes,
            kind,
        })
    }

    fn workspace(
        &self,
        configuration: &Configuration,
        queue: &Queue,
        key: Option<&str>,
    ) -> Result<Option<String>, Answer> {
        if queue.public {
            return Ok(None);
        }
        let holder = key.and_then(|key| configuration.workspace_by_key(key));
        match holder {
            Some(workspace) => Ok(Some(workspace.name.clone())),
            None => Err(self.refuse(StatusCode::UNAUTHORIZED, "key not known")),
        }
    }

    async fn execute(&self, method: &Method, call: &Call, body: Incoming) -> Answer {
        match *method {
            Method::POST => self.submit(call, body).await,
            Method::DELETE => self.cancel(call).await,
            _ if call.id.is_empty() => self.pending(call),
            _ => self.state(call).await,
        }
    }

    async fn submit(&self, call: &Call, body: Incoming) -> Answer {
        let limited = Limited::new(body, call.max_body_bytes);
        let body = match tokio::time::timeout(call.timeout, limited.collect()).await {
            Err(_) => {
                return self.refuse(StatusCode::REQUEST_TIMEOUT, "body not in time");
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return self.refuse(StatusCode::PAYLOAD_TOO_LARGE, "body too large");
            }
            Ok(Err(_)) => return self.refuse(StatusCode::BAD_REQUEST, "body cut short"),
            Ok(Ok(body)) => body.to_bytes(),
        };
        let spec = match self.node.platform.bodies().job(&body) {
            Ok(spec) => spec,
            Err(reason) => return self.reject_job(call, &reason),
        };
        let max_record_bytes = self.node.settings.max_record_bytes;
        let checked = spec
            .check()
            .and_then(|()| spec.check_size(max_record_bytes));
        if let Err(error) = checked {
            return self.reject_job(call, &error.to_string());
        }
        submit::submit(&self.node, call, spec).await
    }

    fn reject_job(&self, call: &Call, reason: &str) -> Answer {
        let fields = o!("job" => call.id.clone(), "reason" => reason.to_owned());
        event::log(&self.node.log, Event::JobUnreadable, fields);
        Answer::new(StatusCode::BAD_REQUEST, "invalid job")
            .with_body(self.node.platform.bodies().refusal(reason))
    }

    async fn cancel(&self, call: &Call) -> Answer {
        match cancel::cancel(&self.node, call).await {
            CancelOutcome::Done => Answer::new(StatusCode::OK, "cancelled"),
            CancelOutcome::NoSuchJob => self.refuse(StatusCode::GONE, "no such job"),
            CancelOutcome::TooMany => self
                .refuse(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "not cancelled: too many cancellations of unknown jobs",
                )
                .with_retry_after(TOMBSTONE_RETRY),
            CancelOutcome::Unknown => {
                self.refuse(StatusCode::GATEWAY_TIMEOUT, "the store didn't answer")
            }
        }
    }

    async fn state(&self, call: &Call) -> Answer {
        match lookup::look_up(&self.node, call).await {
            LookupOutcome::Found(state) => self.state_answer(state),
            LookupOutcome::NoSuchJob => self.refuse(StatusCode::GONE, "no such job"),
            LookupOutcome::Unknown => {
                self.refuse(StatusCode::GATEWAY_TIMEOUT, "the store didn't answer")
            }
        }
    }

    fn state_answer(&self, state: State) -> Answer {
        let reason = self.wait_reason().filter(|_| state == State::Queued);
        let body = self.node.platform.bodies().state(state, reason);
        Answer::new(StatusCode::OK, "state returned").with_body(body)
    }

    /// Returns why no job starts, if that is the case.
    fn wait_reason(&self) -> Option<&'static str> {
        let view = self.node.view.borrow();
        view.pending
            .no_zone
            .then_some("every zone is being evacuated")
    }

    fn pending(&self, call: &Call) -> Answer {
        let reason = self.wait_reason();
        let queues = &self.node.view.borrow().pending.queues;
        let waiting = queues.get(&call.queue.name).copied().unwrap_or(0);
        let body = self.node.platform.bodies().pending(waiting, reason);
        Answer::new(StatusCode::OK, "pending count returned").with_body(body)
    }

    fn refuse(&self, status: StatusCode, reason: &'static str) -> Answer {
        Answer::new(status, reason).with_body(self.node.platform.bodies().refusal(reason))
    }

    fn report(
        &self,
        head: &http::request::Parts,
        call: Option<&Call>,
        answer: &Answer,
        latency: Duration,
    ) {
        let labels = Labels {
            queue: call.map_or("", |call| &call.queue.name),
            workspace: call
                .and_then(|call| call.workspace.as_deref())
                .unwrap_or(""),
            kind: call.map_or("refused", |call| call.kind),
        };
        let status = answer.status.as_u16();
        self.node.metrics.request(&labels, status, latency);
        let is_read =
            matches!(labels.kind, "state" | "pending") && answer.status.is_success();
        if is_read {
            // Successful reads involve no decision and aren't logged.
            return;
        }
        let age = self.node.store_age(clock::now()).unwrap_or(Duration::MAX);
        let view = self.node.view.borrow();
        let version = view.configuration.as_ref().map_or(0, |held| held.version);
        let fields = o!(
            "job" => call.map_or_else(String::new, |call| call.id.clone()),
            "store_age_ms" => clock::millis(age),
            "method" => head.method.to_string(),
            "path" => head.uri.path().to_owned(),
            "queue" => labels.queue.to_owned(),
            "workspace" => labels.workspace.to_owned(),
            "status" => status,
            "reason" => answer.reason,
            "retry_after_s" => answer.retry_after.map_or(0, |delay| delay.as_secs()),
            "latency_ms" => clock::millis(latency),
            "configuration" => version,
            "as_of" => view.as_of(),
        );
        event::log(&self.node.log, Event::RequestAnswered, fields);
    }
}

/// Returns the bearer token of the `Authorization` header, which holds the API key.
fn presented_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn timeout(headers: &HeaderMap) -> Duration {
    let deadline = headers
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis);
    deadline.saturating_sub(DEADLINE_MARGIN)
}
