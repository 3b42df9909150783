//! One request's way: checked, admitted, sent, answered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::header::{self, HeaderName};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rhubarbrill_config::settings::Limits;
use rhubarbrill_core::fleet::DisconnectedPolicy;
use rhubarbrill_core::gate::Submission;
use rhubarbrill_core::verdict::Verdict;
use rhubarbrill_event::Event;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use uuid::Uuid;

use super::body::{self, Own, Passed, Reply};
use super::head::{Head, IDENTITY, Repeat};
use super::once;
use super::problem::{Problem, VERDICT};
use crate::config::Revision;
use crate::control::{Node, Won};
use crate::endpoint::{Answer, Call, Client, Failure, Reason, Reuse};
use crate::engine::Permit;

/// Header that tells an endpoint how long the request may still run, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("rhubarbrill-deadline-ms");
/// Header that tells an endpoint the workspace that the work counts for.
const WORKSPACE: HeaderName = HeaderName::from_static("rhubarbrill-team");

/// When a caller may come back to an entry host that has no room.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When a caller may come back to an entry host that is cut off.
const CUT_OFF_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Pause before a request that was withheld waits for its next start.
const WITHHELD_PAUSE: Duration = Duration::from_millis(50);

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Answers callers' requests.
#[derive(Debug)]
pub struct Service {
    node: Arc<Node>,
    client: Client,
    limits: Limits,
    open: Arc<Semaphore>,
}

/// A request that passed its checks, with all of its body here.
#[derive(Debug)]
struct Admitted {
    head: Head,
    parts: Parts,
    body: Bytes,
    deadline: Instant,
    open: OwnedSemaphorePermit,
}

impl Service {
    /// Returns a service that answers by what the node has in force.
    pub fn new(node: Arc<Node>, client: Client, limits: Limits) -> Self {
        let open = Arc::new(Semaphore::new(limits.max_open as usize));
        Self {
            node,
            client,
            limits,
            open,
        }
    }

    /// Answers one request.
    pub async fn answer(&self, request: Request<Incoming>) -> Response<Reply> {
        let started = Instant::now();
        let revision = self.node.revision();
        let (parts, mut body) = request.into_parts();
        let labels = Head::check(&parts, &revision);
        let outcome = match &labels {
            Ok(head) => {
                self.process(head.clone(), parts, &mut body, &revision)
                    .await
            }
            Err(problem) => Err(problem.clone()),
        };
        let names = labels.ok().map(|head| names(&head, &revision));
        let (mut response, verdict) = match outcome {
            Ok(response) => (response, Verdict::Answered),
            Err(problem) => (self.refuse(&problem, body), problem.verdict()),
        };
        self.node
            .metrics()
            .request(names.as_ref(), verdict, started.elapsed());
        if self.node.is_draining() {
            // The caller's next request goes to another entry host, and not to a
            // connection that is about to close.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn process(
        &self,
        head: Head,
        parts: Parts,
        body: &mut Incoming,
        revision: &Revision,
    ) -> Result<Response<Reply>, Problem> {
        self.check_fresh(&head, revision)?;
        let open = Arc::clone(&self.open)
            .try_acquire_owned()
            .map_err(|_| busy())?;
        let timeout = head
            .timeout
            .unwrap_or(self.limits.default_deadline)
            .min(self.limits.max_deadline);
        let deadline = Instant::now() + timeout;
        let max_bytes = self.limits.max_body_bytes;
        let body = body::read(&parts.headers, body, max_bytes, timeout).await?;
        let admitted = Admitted {
            head,
            parts,
            body,
            deadline,
            open,
        };
        let permit = self.admit(&admitted, revision).await?;
        self.send(admitted, permit).await
    }

    /// Refuses work of workspaces that don't want to be served by an old configuration.
    fn check_fresh(&self, head: &Head, revision: &Revision) -> Result<(), Problem> {
        let workspace = revision.fleet.workspaces.get(head.workspace);
        let refuses = workspace.is_some_and(|workspace| {
            workspace.when_disconnected == DisconnectedPolicy::Refuse
        });
        if refuses && self.node.is_cut_off() {
            return Err(cut_off());
        }
        Ok(())
    }

    async fn admit(
        &self,
        request: &Admitted,
        revision: &Revision,
    ) -> Result<Permit, Problem> {
        let left = request.deadline.saturating_duration_since(Instant::now());
        let ask = Submission {
            workspace: request.head.workspace,
            queue: request.head.queue,
            class: request.head.class,
            deadline: self.node.engine().clock().now() + left,
            repeatable: request.head.repeat == Repeat::Harmless,
        };
        let asked = Instant::now();
        let permit = self.node.engine().admit(ask).await?;
        self.node
            .metrics()
            .wait(&names(&request.head, revision), asked.elapsed());
        Ok(permit)
    }

    /// Sends a request until it is answered or given up on.
    async fn send(
        &self,
        request: Admitted,
        mut permit: Permit,
    ) -> Result<Response<Reply>, Problem> {
        let mut won = None;
        loop {
            let revision = self.node.revision();
            check_key(&request.head, &revision)?;
            if won.is_none() {
                won = self.claim(&request, &revision).await?;
            }
            let sent_at = Instant::now();
            let attempt = self.attempt(&request, &permit, won.as_ref(), &revision);
            let failure = match attempt.await {
                Ok(response) => {
                    return Ok(self.pass(response, permit, sent_at, request.open));
                }
                Err(failure) => failure,
            };
            if failure.reason() == Reason::Withheld {
                // What withholds it, old news or a lapsed lease, takes a moment to pass.
                tokio::time::sleep(WITHHELD_PAUSE).await;
                permit.requeue().await?;
                continue;
            }
            crate::log::event(self.node.log(), Event::RequestFailed, &failure);
            if let Some(won) = &won {
                won.set_sent(!failure.verdict().allows_resend());
            }
            permit
                .retry(failure.verdict())
                .await
                .map_err(|refusal| Problem::from(refusal).detail(failure.to_string()))?;
        }
    }

    /// Claims the identity of a request that must run at most once.
    async fn claim(
        &self,
        request: &Admitted,
        revision: &Revision,
    ) -> Result<Option<Won>, Problem> {
        let Some(identity) = request.head.identity else {
            return Ok(None);
        };
        let workspace = names(&request.head, revision).workspace;
        let left = request.deadline.saturating_duration_since(Instant::now());
        once::claim(&self.node, identity, &workspace, left)
            .await
            .map(Some)
    }

    async fn attempt(
        &self,
        request: &Admitted,
        permit: &Permit,
        won: Option<&Won>,
        revision: &Revision,
    ) -> Result<Response<Answer>, Failure> {
        let attempt = permit.attempt();
        let host = attempt.and_then(|at| Some((at, revision.fleet.hosts.get(at.host)?)));
        let Some((attempt, host)) = host else {
            return Err(Failure::not_run(
                Reason::Connect,
                "host is no longer declared",
            ));
        };
        let timeout = attempt
            .until
            .saturating_since(self.node.engine().clock().now());
        let call = Call {
            address: host.address,
            request: outgoing(request, revision, timeout),
            reuse: reuse(request.head.repeat),
            timeout,
        };
        let may_send = || {
            let may_send = self.node.may_send_to(host.zone) && permit.may_send();
            if let Some(won) = won {
                won.set_sent(may_send);
            }
            may_send
        };
        self.client.send(call, may_send).await
    }

    fn pass(
        &self,
        response: Response<Answer>,
        permit: Permit,
        sent_at: Instant,
        open: OwnedSemaphorePermit,
    ) -> Response<Reply> {
        let (mut parts, answer) = response.into_parts();
        remove_hop_headers(&mut parts.headers);
        let verdict = HeaderValue::from_static(Verdict::Answered.as_str());
        parts.headers.insert(VERDICT, verdict);
        let status = parts.status;
        let log = self.node.log().clone();
        let passed = Passed::new(answer, permit, status, sent_at, log, open);
        Response::from_parts(parts, Reply::Passed(Box::new(passed)))
    }

    fn refuse(&self, problem: &Problem, rest: Incoming) -> Response<Reply> {
        crate::log::event(self.node.log(), problem.event(), problem.reason());
        problem
            .response()
            .map(|body| Reply::Own(Box::new(Own::new(body, rest))))
    }
}

/// The names that a request's metrics carry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Names {
    /// The workspace.
    pub workspace: String,
    /// The queue.
    pub queue: String,
}

fn names(head: &Head, revision: &Revision) -> Names {
    let fleet = &revision.fleet;
    Names {
        workspace: fleet
            .workspaces
            .name(head.workspace)
            .unwrap_or_default()
            .to_owned(),
        queue: fleet.queues.name(head.queue).unwrap_or_default().to_owned(),
    }
}

/// Refuses a request whose key was withdrawn while it waited.
fn check_key(head: &Head, revision: &Revision) -> Result<(), Problem> {
    let Some(access_key) = head.access_key else {
        return Ok(());
    };
    if revision.fleet.access_keys.get(access_key).is_some() {
        return Ok(());
    }
    let detail = "The key was withdrawn while the request waited.";
    Err(Problem::not_run(
        StatusCode::UNAUTHORIZED,
        "key-refused",
        detail,
    ))
}

/// Says which connections may carry a request.
///
/// A connection that has just been used is known to work; one that has been idle may have
/// been closed or forgotten, which leaves a request in doubt that can't be sent again.
const fn reuse(repeat: Repeat) -> Reuse {
    match repeat {
        Repeat::Harmless => Reuse::Idle,
        Repeat::Unknown => Reuse::Recent,
        Repeat::Forbidden => Reuse::Never,
    }
}

fn outgoing(
    request: &Admitted,
    revision: &Revision,
    timeout: Duration,
) -> Request<Full<Bytes>> {
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.parts.method.clone();
    *outgoing.uri_mut() = request.parts.uri.clone();
    let headers = outgoing.headers_mut();
    headers.clone_from(&request.parts.headers);
    remove_hop_headers(headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    let millis = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
    headers.insert(DEADLINE_MS, HeaderValue::from(millis));
    let workspace = revision
        .fleet
        .workspaces
        .name(request.head.workspace)
        .unwrap_or_default();
    if let Ok(workspace) = HeaderValue::from_str(workspace) {
        headers.insert(WORKSPACE, workspace);
    }
    if let Some(identity) = request.head.identity
        && let Ok(value) = HeaderValue::from_str(&Uuid::from(identity).to_string())
    {
        headers.insert(IDENTITY, value);
    }
    outgoing
}

/// Removes headers that concern one connection, also those that `Connection` names.
fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

fn cut_off() -> Problem {
    let detail = "This entry host is cut off and its configuration may be out of date.";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "cut-off", detail)
        .retry_after(CUT_OFF_RETRY_AFTER)
}

fn busy() -> Problem {
    let detail = "This entry host has as many open requests as it may.";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "too-many-open", detail)
        .retry_after(BUSY_RETRY_AFTER)
}
