//! Which call gets which answer.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode};
use rhubarbrill_edge::store::{Error, Lease, Memory, Store as _};
use rhubarbrill_wire::Int64;
use rhubarbrill_wire::etcd::{
    Failure, Header, KeepAliveMessage, LeaseGrantRequest, LeaseGrantResponse,
    LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest,
    LeaseRevokeResponse, path,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::faults::{Fate, Faults};
use super::{kv, watch};
use crate::platform::http::{Body, Broken, Call, json};

/// Status codes of gRPC that the store answers with.
mod code {
    pub(super) const INVALID_ARGUMENT: i32 = 3;
    pub(super) const NOT_FOUND: i32 = 5;
    pub(super) const UNIMPLEMENTED: i32 = 12;
    pub(super) const UNAVAILABLE: i32 = 14;
}

/// Answers calls out of a store in memory.
#[derive(Debug)]
pub(super) struct Answerer {
    memory: Memory,
    faults: Arc<Faults>,
}

/// A call that the store refuses.
#[derive(Debug)]
pub(super) struct Refusal {
    status: StatusCode,
    code: i32,
    message: String,
}

type Answer = Result<Response<Body>, Broken>;

impl Answerer {
    pub(super) fn new(memory: Memory) -> Self {
        Self {
            memory,
            faults: Arc::default(),
        }
    }

    pub(super) fn memory(&self) -> &Memory {
        &self.memory
    }

    pub(super) fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Answers one call.
    pub(super) fn answer(&self, call: &Call) -> Answer {
        let memory = &self.memory;
        let faults = &self.faults;
        match call.path.as_str() {
            path::RANGE => {
                faults.count(|counts| counts.ranges += 1);
                reply(call, |request| kv::range(memory, &request, faults.stale()))
            }
            path::PUT => {
                faults.count(|counts| counts.puts += 1);
                self.change(reply(call, |request| kv::put(memory, request)))
            }
            path::DELETE_RANGE => {
                faults.count(|counts| counts.deletes += 1);
                self.change(reply(call, |request| kv::delete_range(memory, &request)))
            }
            path::TXN => {
                faults.count(|counts| counts.txns += 1);
                self.change(reply(call, |request| kv::txn(memory, request)))
            }
            path::LEASE_GRANT => {
                faults.count(|counts| counts.grants += 1);
                self.change(reply(call, |request| self.grant(&request)))
            }
            path::LEASE_KEEP_ALIVE => {
                faults.count(|counts| counts.renewals += 1);
                self.change(reply(call, |request| self.renew(&request)))
            }
            path::LEASE_REVOKE => {
                faults.count(|counts| counts.revokes += 1);
                self.change(reply(call, |request| self.revoke(&request)))
            }
            path::WATCH => match parse(call) {
                Ok(request) => Ok(watch::start(memory, faults, request)),
                Err(refusal) => Ok(refuse(&refusal)),
            },
            other => Ok(refuse(&Refusal::unimplemented(other))),
        }
    }

    /// Lets a change's answer go, or withholds it.
    fn change(&self, answer: Answer) -> Answer {
        match self.faults.take_fate() {
            Fate::Sent => answer,
            Fate::Lost => Err(Broken),
            Fate::TimedOut => Ok(refuse(&Refusal {
                status: StatusCode::SERVICE_UNAVAILABLE,
                code: code::UNAVAILABLE,
                message: "etcdserver: request timed out".to_owned(),
            })),
        }
    }

    fn grant(&self, request: &LeaseGrantRequest) -> Result<LeaseGrantResponse, Refusal> {
        let ttl = Duration::from_secs(request.ttl.to_u64());
        let lease = self.memory.grant(ttl)?;
        Ok(LeaseGrantResponse {
            error: String::new(),
            header: Some(self.header()),
            id: Int64(lease.0),
            ttl: request.ttl,
        })
    }

    fn renew(
        &self,
        request: &LeaseKeepAliveRequest,
    ) -> Result<KeepAliveMessage, Refusal> {
        let lease = Lease(request.id.0);
        let ttl = if self.memory.renew(lease)? {
            self.memory.ttl(lease).unwrap_or_default()
        } else {
            Duration::ZERO
        };
        let result = LeaseKeepAliveResponse {
            header: Some(self.header()),
            id: request.id,
            ttl: Int64::saturating_from(ttl.as_secs()),
        };
        Ok(KeepAliveMessage {
            error: None,
            result: Some(result),
        })
    }

    fn revoke(
        &self,
        request: &LeaseRevokeRequest,
    ) -> Result<LeaseRevokeResponse, Refusal> {
        let lease = Lease(request.id.0);
        if self.memory.ttl(lease).is_none() {
            return Err(Refusal::lease_not_found());
        }
        self.memory.revoke(lease)?;
        Ok(LeaseRevokeResponse {
            header: Some(self.header()),
        })
    }

    fn header(&self) -> Header {
        Header::at(self.memory.revision())
    }
}

impl Refusal {
    pub(super) fn invalid(message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_REQUEST,
            code: code::INVALID_ARGUMENT,
            message: message.into(),
        }
    }

    fn lease_not_found() -> Self {
        Self {
            status: StatusCode::NOT_FOUND,
            code: code::NOT_FOUND,
            message: "etcdserver: requested lease not found".to_owned(),
        }
    }

    fn unimplemented(path: &str) -> Self {
        Self {
            status: StatusCode::NOT_IMPLEMENTED,
            code: code::UNIMPLEMENTED,
            message: format!("not served here: {path}"),
        }
    }
}

impl From<Error> for Refusal {
    fn from(error: Error) -> Self {
        if error.is_not_found() {
            return Self::lease_not_found();
        }
        Self::invalid(error.to_string())
    }
}

fn parse<Q: DeserializeOwned>(call: &Call) -> Result<Q, Refusal> {
    serde_json::from_slice(&call.body)
        .map_err(|error| Refusal::invalid(error.to_string()))
}

fn reply<Q, A>(call: &Call, answer: impl FnOnce(Q) -> Result<A, Refusal>) -> Answer
where
    Q: DeserializeOwned,
    A: Serialize,
{
    Ok(match parse(call).and_then(answer) {
        Ok(answer) => json(StatusCode::OK, &answer),
        Err(refusal) => refuse(&refusal),
    })
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    let failure = Failure {
        code: refusal.code,
        error: refusal.message.clone(),
        message: refusal.message.clone(),
    };
    json(refusal.status, &failure)
}
