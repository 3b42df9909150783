//! Readiness for the balancer, and metrics for operators.

use std::rc::Rc;

use http::StatusCode;

use super::Answer;
use crate::edge::{Bodies, Platform};
use crate::listener::Listener;
use crate::node::Node;

/// Answers the balancer and readers of metrics until the process ends.
pub async fn serve_status<P: Platform>(node: Rc<Node<P>>, listener: Listener) {
    let media_type = node.platform.bodies().media_type();
    let never = tokio_util::sync::CancellationToken::new();
    let answer = move |request: http::Request<hyper::body::Incoming>| {
        let node = Rc::clone(&node);
        async move {
            if request.uri().path() == "/metrics" {
                return metrics(&node).into_response("text/plain; version=0.0.4");
            }
            let status = if node.is_ready() {
                StatusCode::OK
            } else {
                StatusCode::SERVICE_UNAVAILABLE
            };
            Answer::new(status, "readiness").into_response(media_type)
        }
    };
    listener.run(answer, never, std::time::Duration::ZERO).await;
}

fn metrics<P: Platform>(node: &Node<P>) -> Answer {
    match node.metrics.render() {
        Ok(text) => Answer::new(StatusCode::OK, "metrics").with_body(text),
        Err(error) => Answer::new(StatusCode::INTERNAL_SERVER_ERROR, "metrics")
            .with_body(error.to_string().into_bytes()),
    }
}
