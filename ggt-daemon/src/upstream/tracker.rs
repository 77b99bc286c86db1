//! Transports that track whether any byte of a request has been written, and reject a first write
//! after the request's send deadline.

use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use snafu::Snafu;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use ureq::Error;
use ureq::unversioned::transport::Buffers;
use ureq::unversioned::transport::ConnectionDetails;
use ureq::unversioned::transport::Connector;
use ureq::unversioned::transport::NextTimeout;
use ureq::unversioned::transport::Transport;

use crate::clock::mono_now;
use crate::metrics::ByteCounter;
use ggt_core::clock::MonoTime;

/// Maximum number of bytes that a target may send before the head of its reply is complete, interim replies
/// included. The head itself is limited by the read buffer, of which up to two may hold the beginning of the body.
const MAX_HEAD_BYTES: u64 = 256 * 1024;

/// A target has sent too many bytes that are no head of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no reply within {received_bytes} bytes"))]
pub struct HeadTooLong {
    /// Bytes that it has sent.
    pub received_bytes: u64,
}

/// Tracks one request: whether it has been written, what was received since, its send deadline and its idle timeout.
#[derive(Debug)]
pub struct SendTracker {
    has_written: AtomicBool,
    /// Whether the head of the reply has arrived.
    has_head: AtomicBool,
    /// Bytes received since the request began.
    received_bytes: AtomicU64,
    /// Bytes written since the request began.
    written_bytes: AtomicU64,
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
            has_head: AtomicBool::new(false),
            received_bytes: AtomicU64::new(0),
            written_bytes: AtomicU64::new(0),
            send_deadline: AtomicU64::new(send_deadline.as_millis()),
            idle_timeout,
            counter,
        })
    }

    /// Starts the next request on the connection; its first byte must be written before
    /// `send_deadline`.
    pub fn begin(&self, send_deadline: MonoTime) {
        self.send_deadline.store(send_deadline.as_millis(), Ordering::SeqCst);
        self.has_head.store(false, Ordering::SeqCst);
        self.received_bytes.store(0, Ordering::SeqCst);
        self.written_bytes.store(0, Ordering::SeqCst);
        self.has_written.store(false, Ordering::SeqCst);
    }

    /// Records that the head of the reply has arrived.
    pub fn record_head(&self) {
        self.has_head.store(true, Ordering::SeqCst);
    }

    /// Bytes that have been received since the request began.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::SeqCst)
    }

    /// Bytes that have been written since the request began.
    pub fn written_bytes(&self) -> u64 {
        self.written_bytes.load(Ordering::SeqCst)
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(length)) = written {
            self.written_bytes.fetch_add(*length as u64, Ordering::SeqCst);
        }
    }

    fn record_read(&self, length: usize) {
        self.received_bytes.fetch_add(length as u64, Ordering::SeqCst);
    }

    /// Whether more bytes may be read, or the target has sent too many without the head of a reply.
    fn start_read(&self) -> io::Result<()> {
        let received_bytes = self.received_bytes();
        if received_bytes < MAX_HEAD_BYTES || self.has_head.load(Ordering::SeqCst) {
            return Ok(());
        }
        Err(io::Error::new(io::ErrorKind::InvalidData, HeadTooLong { received_bytes }))
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

/// A TCP stream of a `hyper` connection with a [`SendTracker`].
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

impl<T> AsyncRead for TrackedStream<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.tracker.has_written() {
            // `poll_write` wakes the task when the first byte is written.
            return Poll::Pending;
        }
        self.tracker.start_read()?;
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.tracker.record_read(buffer.filled().len() - filled_before);
        Poll::Ready(Ok(()))
    }
}

impl<T> AsyncWrite for TrackedStream<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.tracker.start_write()?;
        context.waker().wake_by_ref();
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.tracker.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.tracker.start_write()?;
        context.waker().wake_by_ref();
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.tracker.record_write(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
