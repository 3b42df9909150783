//! Serves one connection to an endpoint.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::log::OpenConnection;
use super::service::Service;

/// Bytes to send after the response that is being written, beyond its `Content-Length`.
pub(super) type TrailingBytes = Arc<Mutex<Bytes>>;

/// Serves one connection until it closes or `token` is cancelled.
pub(super) async fn run(
    service: Arc<Service>,
    _open_connection: OpenConnection,
    stream: TcpStream,
    token: CancellationToken,
) {
    let trailing_bytes = TrailingBytes::default();
    let io = TokioIo::new(TrailingBytesStream {
        stream,
        trailing_bytes: Arc::clone(&trailing_bytes),
    });
    let handler = service_fn(move |request| {
        let service = Arc::clone(&service);
        let trailing_bytes = Arc::clone(&trailing_bytes);
        async move { service.handle(request, &trailing_bytes).await }
    });
    let connection = http1::Builder::new().serve_connection(io, handler);
    tokio::select! {
        () = token.cancelled() => {}
        // A connection error is visible to the caller and in the log of requests.
        _ = connection => {}
    }
}

/// A TCP stream that writes the trailing bytes after a response, when it is flushed.
#[derive(Debug)]
struct TrailingBytesStream {
    stream: TcpStream,
    trailing_bytes: TrailingBytes,
}

impl AsyncRead for TrailingBytesStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TrailingBytesStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let mut trailing_bytes = this
            .trailing_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        while trailing_bytes.has_remaining() {
            let written =
                ready!(Pin::new(&mut this.stream).poll_write(context, &trailing_bytes))?;
            trailing_bytes.advance(written);
        }
        Pin::new(&mut this.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
