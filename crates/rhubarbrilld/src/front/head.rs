//! Parses and validates the head of a request.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Version, header};
use rhubarbrill_config::key;
use rhubarbrill_core::claim::IdempotencyKey;
use rhubarbrill_core::fleet::{Access, AccessKeyKey, QueueKey, WorkspaceKey};
use rhubarbrill_core::gate::Class;
use uuid::Uuid;

use super::problem::Problem;
use crate::config::Revision;

/// Header with the priority class: `urgent` or `normal`.
pub(super) const CLASS: &str = "rhubarbrill-class";
/// Header that tells whether the request may safely run more than once: `yes` or `no`.
pub(super) const IDEMPOTENT: &str = "rhubarbrill-idempotent";
/// Header with the idempotency key, a UUID of version 7.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header with the time for which the caller waits, in milliseconds.
pub(super) const TIMEOUT_MS: &str = "rhubarbrill-timeout-ms";

/// `Retry-After` of an entry host that has no configuration yet.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The validated head of a request.
#[derive(Clone, Debug)]
pub(super) struct RequestHead {
    /// The queue that the path selects.
    pub(super) queue: QueueKey,
    /// The workspace that the request is accounted to.
    pub(super) workspace: WorkspaceKey,
    /// The access key that authenticated the request; `None` for an open queue without a
    /// key.
    pub(super) access_key: Option<AccessKeyKey>,
    /// The priority class of the request.
    pub(super) class: Class,
    /// How long the caller waits; `None` if the caller doesn't specify it.
    pub(super) timeout: Option<Duration>,
    /// Whether the request may run more than once.
    pub(super) repeatability: Repeatability,
    /// The idempotency key; set only for a request that must run at most once.
    pub(super) idempotency_key: Option<IdempotencyKey>,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Repeatability {
    /// Running the request again is harmless.
    Idempotent,
    /// Running the request again may do harm. It is sent again only if no part of it has
    /// run.
    Unknown,
    /// The request must not run twice, even if the caller sends it again.
    AtMostOnce,
}

impl RequestHead {
    /// Validates the head of a request against the active configuration.
    pub(super) fn check(parts: &Parts, revision: &Revision) -> Result<Self, Problem> {
        check_protocol(parts)?;
        if revision.fleet.revision == 0 {
            return Err(not_ready());
        }
        let path = parts.uri.path();
        let queue = revision.queue_for_path(path).ok_or_else(|| {
            let detail = format!("No queue is declared for {path}.");
            Problem::not_run(StatusCode::NOT_FOUND, "queue-unknown", detail)
        })?;
        let (workspace, access_key) = authenticate(&parts.headers, revision, queue)?;
        let repeatability = repeatability(parts)?;
        Ok(Self {
            queue,
            workspace,
            access_key,
            class: class(&parts.headers)?,
            timeout: timeout(&parts.headers)?,
            repeatability,
            idempotency_key: idempotency_key(&parts.headers, repeatability)?,
        })
    }
}

fn check_protocol(parts: &Parts) -> Result<(), Problem> {
    // Only HTTP/1.1 is accepted: without chunked encoding, a truncated response can't be
    // distinguished from a complete one.
    if parts.version != Version::HTTP_11 {
        let status = StatusCode::HTTP_VERSION_NOT_SUPPORTED;
        return Err(Problem::not_run(status, "http-version", "Use HTTP/1.1."));
    }
    if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
        let detail = "CONNECT and upgrades aren't passed on.";
        return Err(Problem::not_run(
            StatusCode::NOT_IMPLEMENTED,
            "upgrade",
            detail,
        ));
    }
    if parts.headers.get_all(header::HOST).iter().count() != 1 {
        return Err(bad_request("A request carries one Host header."));
    }
    Ok(())
}

fn authenticate(
    headers: &HeaderMap,
    revision: &Revision,
    queue: QueueKey,
) -> Result<(WorkspaceKey, Option<AccessKeyKey>), Problem> {
    let fleet = &revision.fleet;
    let access = fleet.queues.get(queue).map(|queue| queue.access);
    let Some(value) = single_header(headers, header::AUTHORIZATION.as_str())? else {
        return match access {
            Some(Access::Open(workspace)) => Ok((workspace, None)),
            _ => Err(unauthorized(
                "The queue asks for a key: Authorization: Bearer KEY.",
            )),
        };
    };
    let token = value
        .to_str()
        .ok()
        .and_then(|text| text.strip_prefix("Bearer "));
    let token = token.ok_or_else(|| unauthorized("Only Bearer keys are understood."))?;
    let unknown = || unauthorized("The key isn't known, or was withdrawn.");
    let access_key = key::verify(fleet, token.trim()).ok_or_else(unknown)?;
    let workspace = fleet
        .access_keys
        .get(access_key)
        .ok_or_else(unknown)?
        .workspace;
    Ok((workspace, Some(access_key)))
}

fn class(headers: &HeaderMap) -> Result<Class, Problem> {
    match text_header(headers, CLASS)? {
        None | Some("normal") => Ok(Class::Normal),
        Some("urgent") => Ok(Class::Urgent),
        Some(other) => Err(bad_request(format!(
            "{CLASS} is urgent or normal, not {other:?}."
        ))),
    }
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Problem> {
    let Some(value) = text_header(headers, TIMEOUT_MS)? else {
        return Ok(None);
    };
    match value.parse::<u64>() {
        Ok(millis) if millis > 0 => Ok(Some(Duration::from_millis(millis))),
        _ => Err(bad_request(format!(
            "{TIMEOUT_MS} is a number of milliseconds, not {value:?}."
        ))),
    }
}

/// Determines whether the request may run more than once. Methods that RFC 9110 defines
/// as idempotent may, unless the caller says otherwise.
fn repeatability(parts: &Parts) -> Result<Repeatability, Problem> {
    match text_header(&parts.headers, IDEMPOTENT)? {
        Some("yes") => Ok(Repeatability::Idempotent),
        Some("no") => Ok(Repeatability::AtMostOnce),
        Some(other) => Err(bad_request(format!(
            "{IDEMPOTENT} is yes or no, not {other:?}."
        ))),
        None if parts.method.is_idempotent() => Ok(Repeatability::Idempotent),
        None => Ok(Repeatability::Unknown),
    }
}

fn idempotency_key(
    headers: &HeaderMap,
    repeatability: Repeatability,
) -> Result<Option<IdempotencyKey>, Problem> {
    let Some(value) = text_header(headers, IDEMPOTENCY_KEY)? else {
        return Ok(None);
    };
    if repeatability != Repeatability::AtMostOnce {
        return Ok(None);
    }
    let uuid = Uuid::parse_str(value.trim_matches('"')).ok();
    let key = uuid.and_then(|uuid| IdempotencyKey::try_new(uuid).ok());
    let detail = "With rhubarbrill-idempotent: no, idempotency-key is a version 7 UUID.";
    key.map(Some).ok_or_else(|| bad_request(detail))
}

fn text_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Problem> {
    let Some(value) = single_header(headers, name)? else {
        return Ok(None);
    };
    value
        .to_str()
        .map(Some)
        .map_err(|_| bad_request(format!("{name} isn't plain text.")))
}

fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a HeaderValue>, Problem> {
    let mut values = headers.get_all(name).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(bad_request(format!("{name} is given twice.")));
    }
    Ok(first)
}

fn not_ready() -> Problem {
    let detail = "This entry host has no configuration yet.";
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-ready", detail)
        .with_retry_after(NOT_READY_RETRY_AFTER)
}

fn bad_request(detail: impl Into<String>) -> Problem {
    Problem::not_run(StatusCode::BAD_REQUEST, "bad-request", detail)
}

fn unauthorized(detail: &str) -> Problem {
    Problem::not_run(StatusCode::UNAUTHORIZED, "key-refused", detail)
}
