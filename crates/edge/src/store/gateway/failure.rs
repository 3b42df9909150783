//! Maps failures of calls to errors, with the effect that a call may have had.

use rhubarbrill_wire::etcd::Failure;

use crate::store::{Effect, Error};

/// gRPC status codes that tell whether a call may have had an effect.
mod code {
    pub(super) const INVALID_ARGUMENT: i32 = 3;
    pub(super) const NOT_FOUND: i32 = 5;
    pub(super) const PERMISSION_DENIED: i32 = 7;
    pub(super) const RESOURCE_EXHAUSTED: i32 = 8;
    pub(super) const FAILED_PRECONDITION: i32 = 9;
    pub(super) const OUT_OF_RANGE: i32 = 11;
    pub(super) const UNIMPLEMENTED: i32 = 12;
    pub(super) const UNAUTHENTICATED: i32 = 16;
}

/// Returns the error for a failure that the store reported.
///
/// `effect` is the effect to assume unless the code rules one out.
pub(super) fn classify(grpc_code: i32, effect: Effect, message: String) -> Error {
    match grpc_code {
        code::NOT_FOUND => Error::not_found(message),
        code::OUT_OF_RANGE => Error::compacted(message),
        // The store is out of space or overloaded; a later attempt may succeed.
        code::RESOURCE_EXHAUSTED => Error::unreachable(Effect::None, message),
        code::INVALID_ARGUMENT
        | code::PERMISSION_DENIED
        | code::FAILED_PRECONDITION
        | code::UNIMPLEMENTED
        | code::UNAUTHENTICATED => Error::refused(message),
        _ => Error::unreachable(effect, message),
    }
}

/// Returns the error for a response with a status other than 200.
pub(super) fn from_status(status: u16, body: &[u8], effect: Effect) -> Error {
    let failure = serde_json::from_slice::<Failure>(body);
    match failure {
        Ok(failure) if !failure.message.is_empty() => {
            classify(failure.code, effect, failure.message)
        }
        Ok(failure) if !failure.error.is_empty() => {
            classify(failure.code, effect, failure.error)
        }
        // An intermediary, such as a proxy, may have responded in place of the store.
        _ => Error::unreachable(effect, format!("HTTP status {status}")),
    }
}

/// Returns the error for a call that got no complete response.
///
/// `effect` is the effect to assume if the request may have been sent.
pub(super) fn from_transport(error: &ureq::Error, effect: Effect) -> Error {
    let effect = if fails_before_sending(error) {
        Effect::None
    } else {
        effect
    };
    Error::unreachable(effect, error.to_string())
}

/// Returns whether an error can only occur before the first byte of the request is sent.
fn fails_before_sending(error: &ureq::Error) -> bool {
    use std::io::ErrorKind;
    use ureq::{Error, Timeout};
    match error {
        Error::BadUri(_)
        | Error::ConnectionFailed
        | Error::HostNotFound
        | Error::Http(_)
        | Error::Timeout(Timeout::Connect | Timeout::Resolve) => true,
        Error::Io(error) => matches!(
            error.kind(),
            ErrorKind::AddrNotAvailable | ErrorKind::ConnectionRefused
        ),
        _ => false,
    }
}
