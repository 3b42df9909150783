//! HTTP calls with failover between several addresses of the store.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, Body};

use super::failure;
use crate::http::agent;
use crate::store::calls::{ActiveWatch, CallCounter, CallKind};
use crate::store::{CallCounts, Effect, Error};

/// Maximum size of a response body, in bytes; a longer one is an error.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// Whether a call that got no response may be sent again to another address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Retry {
    /// Always, since the call changes nothing.
    ReadOnly,
    /// Always, since sending the call twice has the same effect as sending it once.
    Idempotent,
    /// Only if the call can't have been received.
    IfUnsent,
}

/// Parameters of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) path: &'static str,
    pub(super) kind: CallKind,
    pub(super) retry: Retry,
    /// Maximum time for the attempts at all addresses together.
    pub(super) timeout: Duration,
}

/// Sends calls to the address that responded last, and to the next ones if that fails and
/// a retry is safe.
#[derive(Debug)]
pub(super) struct Client {
    addresses: Vec<StoreAddress>,
    preferred: AtomicUsize,
    counter: Arc<CallCounter>,
}

/// An address of the store with its connection pool.
#[derive(Debug)]
struct StoreAddress {
    address: String,
    agent: Mutex<Agent>,
}

/// Timeouts of one attempt.
#[derive(Clone, Copy, Debug)]
struct Timeouts {
    connect: Duration,
    total: Duration,
}

impl Client {
    pub(super) fn new(addresses: Vec<String>) -> Self {
        let addresses = addresses.into_iter().map(StoreAddress::new).collect();
        Self {
            addresses,
            preferred: AtomicUsize::new(0),
            counter: Arc::default(),
        }
    }

    pub(super) fn call_counts(&self) -> CallCounts {
        self.counter.snapshot()
    }

    /// Makes a call whose response is a single message.
    pub(super) fn call<Req, Resp>(&self, call: Call, request: &Req) -> Result<Resp, Error>
    where
        Req: Serialize,
        Resp: DeserializeOwned,
    {
        let body = serialize(request)?;
        let effect = call.retry.effect();
        let response_body = self.try_addresses(call, |address, timeouts| {
            address.exchange(call.path, &body, timeouts, effect)
        })?;
        serde_json::from_slice(&response_body)
            .map_err(|error| Error::malformed(effect, error.to_string()))
    }

    /// Makes a call whose response is an unbounded stream of messages.
    ///
    /// Reading the returned body fails after `idle_timeout` without data.
    pub(super) fn stream<Req>(
        &self,
        call: Call,
        request: &Req,
        idle_timeout: Duration,
    ) -> Result<(Body, ActiveWatch), Error>
    where
        Req: Serialize,
    {
        let body = serialize(request)?;
        let response_body = self.try_addresses(call, |address, timeouts| {
            address.open_stream(call.path, &body, timeouts, idle_timeout)
        })?;
        Ok((response_body, self.counter.start_watch()))
    }

    fn try_addresses<T>(
        &self,
        call: Call,
        send: impl Fn(&StoreAddress, Timeouts) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + call.timeout;
        let first = self.preferred.load(Ordering::Relaxed);
        let count = self.addresses.len();
        let mut step = 0;
        let mut effect = Effect::None;
        loop {
            let index = (first + step) % count;
            let remaining = deadline.saturating_duration_since(Instant::now());
            let timeouts = call.retry.timeouts(remaining, count - step);
            self.counter.record_call(call.kind);
            let error = match send(&self.addresses[index], timeouts) {
                Ok(response) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(response);
                }
                Err(error) => error,
            };
            self.counter.record_failure();
            if error.effect() == Effect::Unknown {
                effect = Effect::Unknown;
            }
            if !error.is_unreachable() {
                return Err(error.with_effect(effect));
            }
            step += 1;
            self.preferred
                .store((first + step) % count, Ordering::Relaxed);
            let safe = call.retry != Retry::IfUnsent || effect == Effect::None;
            if step == count || !safe {
                return Err(error.with_effect(effect));
            }
        }
    }
}

impl Retry {
    /// Returns the effect that a sent call may have had if its response is missing.
    const fn effect(self) -> Effect {
        match self {
            Self::ReadOnly => Effect::None,
            Self::Idempotent | Self::IfUnsent => Effect::Unknown,
        }
    }

    /// Returns the timeouts of an attempt when `addresses` addresses are left, including
    /// the one to be tried.
    fn timeouts(self, remaining: Duration, addresses: usize) -> Timeouts {
        let share = remaining / u32::try_from(addresses).unwrap_or(u32::MAX);
        Timeouts {
            // Shorter than the total, so that a connect timeout shows that nothing was
            // sent.
            connect: share / 2,
            total: match self {
                Self::ReadOnly | Self::Idempotent => share,
                Self::IfUnsent => remaining,
            },
        }
    }
}

impl StoreAddress {
    fn new(address: String) -> Self {
        Self {
            address,
            agent: Mutex::new(agent()),
        }
    }

    /// Sends a request and reads the whole response body.
    fn exchange(
        &self,
        path: &str,
        body: &[u8],
        timeouts: Timeouts,
        effect: Effect,
    ) -> Result<Vec<u8>, Error> {
        let result = self.post(path, body, timeouts).and_then(|mut response| {
            let status = response.status().as_u16();
            let limited = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES);
            Ok((status, limited.read_to_vec()?))
        });
        match result {
            Ok((200, response_body)) => Ok(response_body),
            Ok((status, response_body)) => {
                Err(failure::from_status(status, &response_body, effect))
            }
            Err(error) => {
                self.discard_connections();
                Err(failure::from_transport(&error, effect))
            }
        }
    }

    fn post(
        &self,
        path: &str,
        body: &[u8],
        timeouts: Timeouts,
    ) -> Result<ureq::http::Response<Body>, ureq::Error> {
        let agent = self.lock().clone();
        agent
            .post(format!("{}{path}", self.address))
            .config()
            .timeout_connect(Some(timeouts.connect))
            .timeout_global(Some(timeouts.total))
            .build()
            .content_type("application/json")
            .send(body)
    }

    /// Sends a request on a separate connection and returns the response body unread.
    fn open_stream(
        &self,
        path: &str,
        body: &[u8],
        timeouts: Timeouts,
        idle_timeout: Duration,
    ) -> Result<Body, Error> {
        let response = agent()
            .post(format!("{}{path}", self.address))
            .config()
            .timeout_connect(Some(timeouts.connect))
            .timeout_recv_response(Some(timeouts.total))
            .timeout_per_read(Some(idle_timeout))
            .build()
            .content_type("application/json")
            .send(body)
            .map_err(|error| failure::from_transport(&error, Effect::None))?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status == 200 {
            return Ok(body);
        }
        let response_body = body.read_to_vec().unwrap_or_default();
        Err(failure::from_status(status, &response_body, Effect::None))
    }

    /// Discards the pooled connections, which may be dead like the one that just failed.
    fn discard_connections(&self) {
        *self.lock() = agent();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn serialize<Req: Serialize>(request: &Req) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(request).map_err(|error| Error::refused(error.to_string()))
}
