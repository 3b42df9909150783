//! Calls to one of several addresses.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::{Agent, Body};

use super::failure;
use crate::http::agent;
use crate::store::calls::{Counter, Kind, Watching};
use crate::store::{Calls, Effect, Error};

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 256 << 20;

/// Whether a call that got no answer may be sent again, to another address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Repeat {
    /// It changes nothing.
    Read,
    /// It changes something, and sending it twice does the same as once.
    Safe,
    /// Only if it can't have been received.
    Never,
}

/// How a call is made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Call {
    pub(super) path: &'static str,
    pub(super) kind: Kind,
    pub(super) repeat: Repeat,
    /// Longest time over all addresses.
    pub(super) timeout: Duration,
}

/// Sends calls to the address that answered last, and on to the next where that is safe.
#[derive(Debug)]
pub(super) struct Client {
    targets: Vec<Target>,
    preferred: AtomicUsize,
    counter: Arc<Counter>,
}

#[derive(Debug)]
struct Target {
    address: String,
    agent: Mutex<Agent>,
}

/// Time bounds of one try.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    connect: Duration,
    whole: Duration,
}

impl Client {
    pub(super) fn new(addresses: Vec<String>) -> Self {
        let targets = addresses.into_iter().map(Target::new).collect();
        Self {
            targets,
            preferred: AtomicUsize::new(0),
            counter: Arc::default(),
        }
    }

    pub(super) fn calls(&self) -> Calls {
        self.counter.calls()
    }

    /// Makes a call that is answered by one message.
    pub(super) fn call<Q, A>(&self, call: Call, request: &Q) -> Result<A, Error>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let body = encode(request)?;
        let effect = call.repeat.effect();
        let answer = self.try_targets(call, |target, bounds| {
            target.exchange(call.path, &body, bounds, effect)
        })?;
        serde_json::from_slice(&answer)
            .map_err(|error| Error::malformed(effect, error.to_string()))
    }

    /// Makes a call that is answered by messages without end.
    pub(super) fn stream<Q>(
        &self,
        call: Call,
        request: &Q,
        idle: Duration,
    ) -> Result<(Body, Watching), Error>
    where
        Q: Serialize,
    {
        let body = encode(request)?;
        let answer = self.try_targets(call, |target, bounds| {
            target.open(call.path, &body, bounds, idle)
        })?;
        Ok((answer, self.counter.watching()))
    }

    fn try_targets<T>(
        &self,
        call: Call,
        send: impl Fn(&Target, Bounds) -> Result<T, Error>,
    ) -> Result<T, Error> {
        let deadline = Instant::now() + call.timeout;
        let first = self.preferred.load(Ordering::Relaxed);
        let count = self.targets.len();
        let mut step = 0;
        let mut effect = Effect::None;
        loop {
            let index = (first + step) % count;
            let left = deadline.saturating_duration_since(Instant::now());
            let bounds = call.repeat.bounds(left, count - step);
            self.counter.count(call.kind);
            let error = match send(&self.targets[index], bounds) {
                Ok(answer) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(answer);
                }
                Err(error) => error,
            };
            self.counter.count_failure();
            if error.effect() == Effect::Unknown {
                effect = Effect::Unknown;
            }
            if !error.is_unreachable() {
                return Err(error.with_effect(effect));
            }
            step += 1;
            self.preferred
                .store((first + step) % count, Ordering::Relaxed);
            let safe = call.repeat != Repeat::Never || effect == Effect::None;
            if step == count || !safe {
                return Err(error.with_effect(effect));
            }
        }
    }
}

impl Repeat {
    /// Returns what a call may have done when its answer is missing.
    const fn effect(self) -> Effect {
        match self {
            Self::Read => Effect::None,
            Self::Safe | Self::Never => Effect::Unknown,
        }
    }

    /// Returns the bounds of a try with `targets` addresses to go.
    fn bounds(self, left: Duration, targets: usize) -> Bounds {
        let part = left / u32::try_from(targets).unwrap_or(u32::MAX);
        Bounds {
            // Short of the whole, so that a timeout tells whether anything was sent.
            connect: part / 2,
            whole: match self {
                Self::Read | Self::Safe => part,
                Self::Never => left,
            },
        }
    }
}

impl Target {
    fn new(address: String) -> Self {
        Self {
            address,
            agent: Mutex::new(agent()),
        }
    }

    /// Sends a request and reads the whole answer.
    fn exchange(
        &self,
        path: &str,
        body: &[u8],
        bounds: Bounds,
        effect: Effect,
    ) -> Result<Vec<u8>, Error> {
        let result = self.post(path, body, bounds).and_then(|mut response| {
            let status = response.status().as_u16();
            let limited = response.body_mut().with_config().limit(MAX_ANSWER_BYTES);
            Ok((status, limited.read_to_vec()?))
        });
        match result {
            Ok((200, answer)) => Ok(answer),
            Ok((status, answer)) => Err(failure::of_status(status, &answer, effect)),
            Err(error) => {
                self.reset();
                Err(failure::of_transport(&error, effect))
            }
        }
    }

    fn post(
        &self,
        path: &str,
        body: &[u8],
        bounds: Bounds,
    ) -> Result<ureq::http::Response<Body>, ureq::Error> {
        let agent = self.lock().clone();
        agent
            .post(format!("{}{path}", self.address))
            .config()
            .timeout_connect(Some(bounds.connect))
            .timeout_global(Some(bounds.whole))
            .build()
            .content_type("application/json")
            .send(body)
    }

    /// Sends a request on a connection of its own and returns the answer unread.
    fn open(
        &self,
        path: &str,
        body: &[u8],
        bounds: Bounds,
        idle: Duration,
    ) -> Result<Body, Error> {
        let response = agent()
            .post(format!("{}{path}", self.address))
            .config()
            .timeout_connect(Some(bounds.connect))
            .timeout_recv_response(Some(bounds.whole))
            .timeout_per_read(Some(idle))
            .build()
            .content_type("application/json")
            .send(body)
            .map_err(|error| failure::of_transport(&error, Effect::None))?;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        if status == 200 {
            return Ok(body);
        }
        let answer = body.read_to_vec().unwrap_or_default();
        Err(failure::of_status(status, &answer, Effect::None))
    }

    /// Lets go of the idle connections, which may have gone silent like the failed one.
    fn reset(&self) {
        *self.lock() = agent();
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Agent> {
        self.agent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encode<Q: Serialize>(request: &Q) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(request).map_err(|error| Error::refused(error.to_string()))
}
