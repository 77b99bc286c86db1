//! Transports that track whether any byte of a request has been written, and reject a first write
//! after the request's send deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use hyper::rt::Read;
use hyper::rt::ReadBufCursor;
use hyper::rt::Write;
use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

use crate::clock::mono_now;
use crate::metrics::ByteCounter;
use ggt_core::clock::MonoTime;

/// Tracks one request: whether it has been written, its send deadline and its idle timeout.
#[derive(Debug)]
pub struct SendTracker {
    has_written: AtomicBool,
    /// Deadline for writing the first byte, in milliseconds of the monotonic clock.
    send_deadline: AtomicU64,
    idle_timeout: Duration,
    counter: Option<Arc<ByteCounter>>,
}

impl SendTracker {
    /// Tracks a request whose first byte must be written before `send_deadline`.
    ///
    /// `idle_timeout` bounds each wait for bytes of the reply; `counter` counts the bytes on the socket.
    pub fn new(
        send_deadline: MonoTime,
        idle_timeout: Duration,
        counter: Option<Arc<ByteCounter>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            has_written: AtomicBool::new(false),
            send_deadline: AtomicU64::new(send_deadline.as_millis()),
            idle_timeout,
            counter,
        })
    }

    /// Starts the next request on the connection; its first byte must be written before
    /// `send_deadline`.
    pub fn begin(&self, send_deadline: MonoTime) {
        self.send_deadline.store(send_deadline.as_millis(), Ordering::SeqCst);
        self.has_written.store(false, Ordering::SeqCst);
    }

    /// Whether any byte of the request may have been written.
    pub fn has_written(&self) -> bool {
        self.has_written.load(Ordering::SeqCst)
    }

    /// Records a write, or rejects it if it is the first of a request and the send deadline has
    /// passed.
    fn start_write(&self) -> io::Result<()> {
        if !self.has_written()
            && mono_now().as_millis() >= self.send_deadline.load(Ordering::SeqCst)
        {
            let cause = "the time to send has passed";
            return Err(io::Error::new(io::ErrorKind::TimedOut, cause));
        }
        self.has_written.store(true, Ordering::SeqCst);
        Ok(())
    }
}

/// Wraps each new connection of `ureq` in a [`TrackedTransport`].
#[derive(Debug)]
pub(super) struct TrackingConnector {
    pub(super) tracker: Arc<SendTracker>,
}

impl<In> Connector<In> for TrackingConnector
where
    In: Transport,
{
    type Out = TrackedTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| TrackedTransport { inner, tracker: self.tracker.clone() }))
    }
}

/// A `ureq` transport with a [`SendTracker`].
#[derive(Debug)]
pub(super) struct TrackedTransport<T> {
    inner: T,
    tracker: Arc<SendTracker>,
}

impl<T> Transport for TrackedTransport<T>
where
    T: Transport,
{
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.tracker.start_write().map_err(Error::Io)?;
        if let Some(counter) = &self.tracker.counter {
            counter.add_sent(amount);
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, mut timeout: NextTimeout) -> Result<bool, Error> {
        if *timeout.after > self.tracker.idle_timeout {
            timeout.after = self.tracker.idle_timeout.into();
        }
        let before = self.inner.buffers().input().len();
        let outcome = self.inner.await_input(timeout);
        if let Some(counter) = &self.tracker.counter {
            let after = self.inner.buffers().input().len();
            counter.add_received(after.saturating_sub(before));
        }
        outcome
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

/// A `hyper` connection with a [`SendTracker`].
///
/// It reads nothing before the first byte of a request has been written, so that a reply that
/// arrives early is taken as a reply and not as unexpected data on an idle connection.
pub(super) struct TrackedStream<T> {
    inner: T,
    tracker: Arc<SendTracker>,
}

impl<T> TrackedStream<T> {
    pub(super) fn new(inner: T, tracker: Arc<SendTracker>) -> Self {
        Self { inner, tracker }
    }
}

impl<T> Read for TrackedStream<T>
where
    T: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.tracker.has_written() {
            // `poll_write` wakes the task when the first byte is written.
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T> Write for TrackedStream<T>
where
    T: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.tracker.start_write() {
            return Poll::Ready(Err(e));
        }
        context.waker().wake_by_ref();
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
