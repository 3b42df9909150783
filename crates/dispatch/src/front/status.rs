//! Readiness for the load balancer, and the internal port for metrics and forwarded
//! requests.

use std::rc::Rc;
use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use super::{Answer, forwarding, hand_over};
use crate::listener::Listener;
use crate::node::Node;
use crate::platform::{Bodies, Platform};

/// Answers readiness checks of the load balancer until the process ends.
pub async fn serve_readiness<P: Platform>(node: Rc<Node<P>>, listener: Listener) {
    let media_type = node.platform.bodies().media_type();
    let answer = move |_: Request<Incoming>| {
        let status = if node.is_ready() {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        async move { Answer::new(status, "readiness").into_response(media_type) }
    };
    listener
        .run(answer, CancellationToken::new(), Duration::ZERO)
        .await;
}

/// Answers metrics scrapes and forwarded requests of other entry hosts until the process
/// ends.
pub async fn serve_internal<P: Platform>(node: Rc<Node<P>>, listener: Listener) {
    let answer = move |request: Request<Incoming>| {
        let node = Rc::clone(&node);
        async move {
            if request.uri().path() == "/metrics" {
                return metrics(&node).into_response("text/plain; version=0.0.4");
            }
            let unknown = || Answer::new(StatusCode::NOT_FOUND, "no such path");
            let (method, path) =
                (request.method().clone(), request.uri().path().to_owned());
            let answer = match hand_over::answer(&node, &method, &path, request).await {
                Ok(answer) => Some(answer),
                Err(request) => forwarding::answer(&node, request).await,
            };
            answer
                .unwrap_or_else(unknown)
                .into_response("application/json")
        }
    };
    listener
        .run(answer, CancellationToken::new(), Duration::ZERO)
        .await;
}

fn metrics<P: Platform>(node: &Node<P>) -> Answer {
    match node.metrics.render() {
        Ok(text) => Answer::new(StatusCode::OK, "metrics").with_body(text),
        Err(error) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "metrics")
            .with_body(error.to_string().into_bytes()),
    }
}
