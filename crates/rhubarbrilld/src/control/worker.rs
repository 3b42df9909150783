//! Threads for blocking calls.

use std::io;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

/// Time between two checks whether a sleeping thread is cancelled.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A thread for blocking calls.
#[derive(Debug)]
pub struct Worker {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts a thread. `run` should return soon after its token is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the operating system can't create a thread.
    pub fn start(
        name: &'static str,
        run: impl FnOnce() + Send + 'static,
    ) -> io::Result<Self> {
        let builder = std::thread::Builder::new().name(name.to_owned());
        let thread = builder.spawn(run)?;
        Ok(Self { name, thread })
    }

    /// Waits until the thread has ended.
    ///
    /// # Errors
    ///
    /// Returns the thread's name if it panicked.
    pub fn join(self) -> Result<(), &'static str> {
        self.thread.join().map_err(|_| self.name)
    }
}

/// Sleeps for `pause`, or until cancelled.
pub fn sleep(pause: Duration, cancel: &CancellationToken) {
    let mut remaining = pause;
    while !remaining.is_zero() && !cancel.is_cancelled() {
        let slice = remaining.min(CANCEL_POLL_INTERVAL);
        std::thread::sleep(slice);
        remaining -= slice;
    }
}
