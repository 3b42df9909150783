//! Processes the requests of callers: validation, admission, sending and the response.

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

use super::at_most_once;
use super::body::{self, LocalReply, ProxiedReply, Reply};
use super::head::{IDEMPOTENCY_KEY, Repeatability, RequestHead};
use super::problem::{Problem, VERDICT};
use crate::config::Revision;
use crate::control::{ClaimGuard, Node};
use crate::endpoint::{Call, Client, Failure, Reason, ResponseBody, Reuse};
use crate::engine::Permit;

/// Header that tells an endpoint how long the request may still run, in milliseconds.
const DEADLINE_MS: HeaderName = HeaderName::from_static("rhubarbrill-deadline-ms");
/// Header that tells an endpoint which workspace the request is accounted to.
const WORKSPACE: HeaderName = HeaderName::from_static("rhubarbrill-team");

/// `Retry-After` of an entry host that has reached its limit of open requests.
const BUSY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// `Retry-After` of an entry host that is disconnected from the store.
const DISCONNECTED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Pause before a request whose permission to send had lapsed is queued again.
const WITHHELD_PAUSE: Duration = Duration::from_millis(50);

/// Hop-by-hop headers, which apply to a single connection.
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

/// Handles requests of callers.
#[derive(Debug)]
pub struct Service {
    node: Arc<Node>,
    client: Client,
    limits: Limits,
    open_requests: Arc<Semaphore>,
}

/// A validated request with its complete body, which is ready for admission.
#[derive(Debug)]
struct CheckedRequest {
    head: RequestHead,
    parts: Parts,
    body: Bytes,
    deadline: Instant,
    open: OwnedSemaphorePermit,
}

impl Service {
    /// Returns a service that uses the active configuration of `node`.
    pub fn new(node: Arc<Node>, client: Client, limits: Limits) -> Self {
        let open_requests = Arc::new(Semaphore::new(limits.max_open as usize));
        Self {
            node,
            client,
            limits,
            open_requests,
        }
    }

    /// Handles one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Reply> {
        let started = Instant::now();
        let revision = self.node.revision();
        let (parts, mut body) = request.into_parts();
        let head = RequestHead::check(&parts, &revision);
        let outcome = match &head {
            Ok(head) => {
                self.process(head.clone(), parts, &mut body, &revision)
                    .await
            }
            Err(problem) => Err(problem.clone()),
        };
        let labels = head.ok().map(|head| request_labels(&head, &revision));
        let (mut response, verdict) = match outcome {
            Ok(response) => (response, Verdict::Answered),
            Err(problem) => (self.refuse(&problem, body), problem.verdict()),
        };
        self.node
            .metrics()
            .record_request(labels.as_ref(), verdict, started.elapsed());
        if self.node.is_draining() {
            // The caller should send its next request to another entry host instead of
            // reusing a connection that is about to close.
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
        response
    }

    async fn process(
        &self,
        head: RequestHead,
        parts: Parts,
        body: &mut Incoming,
        revision: &Revision,
    ) -> Result<Response<Reply>, Problem> {
        self.check_connected(&head, revision)?;
        let open = Arc::clone(&self.open_requests)
            .try_acquire_owned()
            .map_err(|_| busy())?;
        let timeout = head
            .timeout
            .unwrap_or(self.limits.default_deadline)
            .min(self.limits.max_deadline);
        let deadline = Instant::now() + timeout;
        let max_bytes = self.limits.max_body_bytes;
        let body = body::read(&parts.headers, body, max_bytes, timeout).await?;
        let request = CheckedRequest {
            head,
            parts,
            body,
            deadline,
            open,
        };
        let permit = self.admit(&request, revision).await?;
        self.send(request, permit).await
    }

    /// Rejects the request if this entry host is disconnected and the workspace's policy
    /// refuses service by an outdated configuration.
    fn check_connected(
        &self,
        head: &RequestHead,
        revision: &Revision,
    ) -> Result<(), Problem> {
        let workspace = revision.fleet.workspaces.get(head.workspace);
        let refuses = workspace.is_some_and(|workspace| {
            workspace.when_disconnected == DisconnectedPolicy::Refuse
        });
        if refuses && self.node.is_disconnected() {
            return Err(disconnected());
        }
        Ok(())
    }

    async fn admit(
        &self,
        request: &CheckedRequest,
        revision: &Revision,
    ) -> Result<Permit, Problem> {
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let submission = Submission {
            workspace: request.head.workspace,
            queue: request.head.queue,
            class: request.head.class,
            deadline: self.node.engine().clock().now() + remaining,
            repeatable: request.head.repeatability == Repeatability::Idempotent,
        };
        let submitted_at = Instant::now();
        let permit = self.node.engine().admit(submission).await?;
        self.node.metrics().record_wait(
            &request_labels(&request.head, revision),
            submitted_at.elapsed(),
        );
        Ok(permit)
    }

    /// Sends a request, with retries, until it is answered or finally fails.
    async fn send(
        &self,
        request: CheckedRequest,
        mut permit: Permit,
    ) -> Result<Response<Reply>, Problem> {
        let mut claim = None;
        loop {
            let revision = self.node.revision();
            check_key(&request.head, &revision)?;
            if claim.is_none() {
                claim = self.claim(&request, &revision).await?;
            }
            let sent_at = Instant::now();
            let attempt = self.attempt(&request, &permit, claim.as_ref(), &revision);
            let failure = match attempt.await {
                Ok(response) => {
                    return Ok(self.proxy_response(
                        response,
                        permit,
                        sent_at,
                        request.open,
                    ));
                }
                Err(failure) => failure,
            };
            if failure.reason() == Reason::Withheld {
                // The permission lapses because of an outdated ledger or an expired
                // lease, and it takes a moment until it can be granted again.
                tokio::time::sleep(WITHHELD_PAUSE).await;
                permit.requeue().await?;
                continue;
            }
            crate::log::event(self.node.log(), Event::RequestFailed, &failure);
            if let Some(claim) = &claim {
                claim.set_sent(!failure.verdict().allows_resend());
            }
            permit.retry(failure.verdict()).await.map_err(|refusal| {
                Problem::from(refusal).with_detail(failure.to_string())
            })?;
        }
    }

    /// Claims the idempotency key of a request that must run at most once.
    async fn claim(
        &self,
        request: &CheckedRequest,
        revision: &Revision,
    ) -> Result<Option<ClaimGuard>, Problem> {
        let Some(key) = request.head.idempotency_key else {
            return Ok(None);
        };
        let workspace = request_labels(&request.head, revision).workspace;
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        at_most_once::claim(&self.node, key, &workspace, remaining)
            .await
            .map(Some)
    }

    async fn attempt(
        &self,
        request: &CheckedRequest,
        permit: &Permit,
        claim: Option<&ClaimGuard>,
        revision: &Revision,
    ) -> Result<Response<ResponseBody>, Failure> {
        let attempt = permit.attempt();
        let host = attempt
            .and_then(|attempt| Some((attempt, revision.fleet.hosts.get(attempt.host)?)));
        let Some((attempt, host)) = host else {
            return Err(Failure::not_run(
                Reason::Connect,
                "host is no longer declared",
            ));
        };
        let timeout = attempt
            .deadline
            .saturating_since(self.node.engine().clock().now());
        let call = Call {
            address: host.address,
            request: outgoing(request, revision, timeout),
            reuse: reuse(request.head.repeatability),
            timeout,
        };
        let may_send = || {
            let may_send = self.node.may_send_to(host.zone) && permit.may_send();
            if let Some(claim) = claim {
                claim.set_sent(may_send);
            }
            may_send
        };
        self.client.send(call, may_send).await
    }

    fn proxy_response(
        &self,
        response: Response<ResponseBody>,
        permit: Permit,
        sent_at: Instant,
        open: OwnedSemaphorePermit,
    ) -> Response<Reply> {
        let (mut parts, body) = response.into_parts();
        remove_hop_headers(&mut parts.headers);
        let verdict = HeaderValue::from_static(Verdict::Answered.as_str());
        parts.headers.insert(VERDICT, verdict);
        let status = parts.status;
        let log = self.node.log().clone();
        let proxied = ProxiedReply::new(body, permit, status, sent_at, log, open);
        Response::from_parts(parts, Reply::Proxied(Box::new(proxied)))
    }

    fn refuse(&self, problem: &Problem, unread_body: Incoming) -> Response<Reply> {
        crate::log::event(self.node.log(), problem.event(), problem.reason());
        problem
            .response()
            .map(|body| Reply::Local(Box::new(LocalReply::new(body, unread_body))))
    }
}

/// Labels of a request's metrics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestLabels {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the queue.
    pub queue: String,
}

fn request_labels(head: &RequestHead, revision: &Revision) -> RequestLabels {
    let fleet = &revision.fleet;
    RequestLabels {
        workspace: fleet
            .workspaces
            .name(head.workspace)
            .unwrap_or_default()
            .to_owned(),
        queue: fleet.queues.name(head.queue).unwrap_or_default().to_owned(),
    }
}

/// Rejects a request whose access key was revoked while the request waited.
fn check_key(head: &RequestHead, revision: &Revision) -> Result<(), Problem> {
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

/// Returns which connections may carry a request.
///
/// A connection that was used a moment ago is known to work. An idle connection may have
/// been closed or silently dropped, which leaves open whether the request ran, so that a
/// request which is not idempotent can't be sent again.
const fn reuse(repeatability: Repeatability) -> Reuse {
    match repeatability {
        Repeatability::Idempotent => Reuse::Idle,
        Repeatability::Unknown => Reuse::Recent,
        Repeatability::AtMostOnce => Reuse::Never,
    }
}

fn outgoing(
    request: &CheckedRequest,
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
    if let Some(key) = request.head.idempotency_key
        && let Ok(value) = HeaderValue::from_str(&Uuid::from(key).to_string())
    {
        headers.insert(IDEMPOTENCY_KEY, value);
    }
    outgoing
}

/// Removes hop-by-hop headers, including those that the `Connection` header names.
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

fn disconnected() -> Problem {
    let detail = "This entry host is cut off and its configuration may be out of date.";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "cut-off", detail)
        .with_retry_after(DISCONNECTED_RETRY_AFTER)
}

fn busy() -> Problem {
    let detail = "This entry host has as many open requests as it may.";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "too-many-open", detail)
        .with_retry_after(BUSY_RETRY_AFTER)
}
