//! Handling of the requests to the store.

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

use super::faults::{Faults, ResponseFault};
use super::{kv, watch};
use crate::platform::http::{Body, ConnectionClosed, ReceivedRequest, json};

/// gRPC status codes in the error responses of the store.
mod code {
    pub(super) const INVALID_ARGUMENT: i32 = 3;
    pub(super) const NOT_FOUND: i32 = 5;
    pub(super) const UNIMPLEMENTED: i32 = 12;
    pub(super) const UNAVAILABLE: i32 = 14;
}

/// Handles requests with an in-memory store, and injects faults.
#[derive(Debug)]
pub(super) struct RequestHandler {
    memory: Memory,
    faults: Arc<Faults>,
}

/// An error response of the store: the HTTP status, the gRPC status code and a message.
#[derive(Debug)]
pub(super) struct RpcError {
    status: StatusCode,
    code: i32,
    message: String,
}

type HandlerResult = Result<Response<Body>, ConnectionClosed>;

impl RequestHandler {
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

    /// Handles one request.
    pub(super) fn handle(&self, call: &ReceivedRequest) -> HandlerResult {
        let memory = &self.memory;
        let faults = &self.faults;
        match call.path.as_str() {
            path::RANGE => {
                faults.count(|counts| counts.ranges += 1);
                respond(call, |request| {
                    kv::range(memory, &request, faults.stale_by())
                })
            }
            path::PUT => {
                faults.count(|counts| counts.puts += 1);
                self.apply_response_fault(respond(call, |request| {
                    kv::put(memory, request)
                }))
            }
            path::DELETE_RANGE => {
                faults.count(|counts| counts.deletes += 1);
                self.apply_response_fault(respond(call, |request| {
                    kv::delete_range(memory, &request)
                }))
            }
            path::TXN => {
                faults.count(|counts| counts.txns += 1);
                self.apply_response_fault(respond(call, |request| {
                    kv::txn(memory, request)
                }))
            }
            path::LEASE_GRANT => {
                faults.count(|counts| counts.grants += 1);
                self.apply_response_fault(respond(call, |request| self.grant(&request)))
            }
            path::LEASE_KEEP_ALIVE => {
                faults.count(|counts| counts.renewals += 1);
                self.apply_response_fault(respond(call, |request| self.renew(&request)))
            }
            path::LEASE_REVOKE => {
                faults.count(|counts| counts.revokes += 1);
                self.apply_response_fault(respond(call, |request| self.revoke(&request)))
            }
            path::WATCH => match parse(call) {
                Ok(request) => Ok(watch::start(memory, faults, request)),
                Err(rpc_error) => Ok(error_response(&rpc_error)),
            },
            other => Ok(error_response(&RpcError::unimplemented(other))),
        }
    }

    /// Replaces the response to a change according to the injected faults.
    fn apply_response_fault(&self, result: HandlerResult) -> HandlerResult {
        match self.faults.take_response_fault() {
            ResponseFault::None => result,
            ResponseFault::Lose => Err(ConnectionClosed),
            ResponseFault::TimeOut => Ok(error_response(&RpcError {
                status: StatusCode::SERVICE_UNAVAILABLE,
                code: code::UNAVAILABLE,
                message: "etcdserver: request timed out".to_owned(),
            })),
        }
    }

    fn grant(&self, request: &LeaseGrantRequest) -> Result<LeaseGrantResponse, RpcError> {
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
    ) -> Result<KeepAliveMessage, RpcError> {
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
    ) -> Result<LeaseRevokeResponse, RpcError> {
        let lease = Lease(request.id.0);
        if self.memory.ttl(lease).is_none() {
            return Err(RpcError::lease_not_found());
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

impl RpcError {
    pub(super) fn invalid_argument(message: impl Into<String>) -> Self {
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
            message: format!("not implemented: {path}"),
        }
    }
}

impl From<Error> for RpcError {
    fn from(error: Error) -> Self {
        if error.is_not_found() {
            return Self::lease_not_found();
        }
        Self::invalid_argument(error.to_string())
    }
}

fn parse<Req: DeserializeOwned>(call: &ReceivedRequest) -> Result<Req, RpcError> {
    serde_json::from_slice(&call.body)
        .map_err(|error| RpcError::invalid_argument(error.to_string()))
}

fn respond<Req, Resp>(
    call: &ReceivedRequest,
    handler: impl FnOnce(Req) -> Result<Resp, RpcError>,
) -> HandlerResult
where
    Req: DeserializeOwned,
    Resp: Serialize,
{
    Ok(match parse(call).and_then(handler) {
        Ok(response) => json(StatusCode::OK, &response),
        Err(rpc_error) => error_response(&rpc_error),
    })
}

fn error_response(rpc_error: &RpcError) -> Response<Body> {
    let failure = Failure {
        code: rpc_error.code,
        error: rpc_error.message.clone(),
        message: rpc_error.message.clone(),
    };
    json(rpc_error.status, &failure)
}
