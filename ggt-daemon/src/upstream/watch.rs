//! Transports that know whether any byte has left, and let none leave too late.

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

/// Follows one call: whether it has left, until when it may leave and how long it may be silent.
#[derive(Debug)]
pub struct CallWatch {
    has_left: AtomicBool,
    /// The deadline of the first byte, in milliseconds of the monotonic clock.
    send_by: AtomicU64,
    idle: Duration,
    counter: Option<Arc<ByteCounter>>,
}

impl CallWatch {
    /// Watches a call whose first byte must leave before `send_by`.
    ///
    /// `idle` bounds each wait for bytes of the reply; `counter` counts bytes on the socket.
    pub fn new(send_by: MonoTime, idle: Duration, counter: Option<Arc<ByteCounter>>) -> Arc<Self> {
        Arc::new(Self {
            has_left: AtomicBool::new(false),
            send_by: AtomicU64::new(send_by.as_millis()),
            idle,
            counter,
        })
    }

    /// Begins a call on the connection; its first byte must leave before `send_by`.
    pub fn begin(&self, send_by: MonoTime) {
        self.send_by.store(send_by.as_millis(), Ordering::SeqCst);
        self.has_left.store(false, Ordering::SeqCst);
    }

    /// Whether any byte of the request may have left.
    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::SeqCst)
    }

    /// Lets bytes leave, the first of them only before the deadline.
    fn permit(&self) -> io::Result<()> {
        if !self.has_left() && mono_now().as_millis() >= self.send_by.load(Ordering::SeqCst) {
            let cause = "the time to send has passed";
            return Err(io::Error::new(io::ErrorKind::TimedOut, cause));
        }
        self.has_left.store(true, Ordering::SeqCst);
        Ok(())
    }
}

/// Puts a [`CallWatch`] on each connection.
#[derive(Debug)]
pub(super) struct WatchConnector {
    pub(super) watch: Arc<CallWatch>,
}

impl<In> Connector<In> for WatchConnector
where
    In: Transport,
{
    type Out = WatchTransport<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(|inner| WatchTransport { inner, watch: self.watch.clone() }))
    }
}

/// A transport under watch.
#[derive(Debug)]
pub(super) struct WatchTransport<T> {
    inner: T,
    watch: Arc<CallWatch>,
}

impl<T> Transport for WatchTransport<T>
where
    T: Transport,
{
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.inner.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.watch.permit().map_err(Error::Io)?;
        if let Some(counter) = &self.watch.counter {
            counter.add_sent(amount);
        }
        self.inner.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, mut timeout: NextTimeout) -> Result<bool, Error> {
        if *timeout.after > self.watch.idle {
            timeout.after = self.watch.idle.into();
        }
        let before = self.inner.buffers().input().len();
        let outcome = self.inner.await_input(timeout);
        if let Some(counter) = &self.watch.counter {
            let after = self.inner.buffers().input().len();
            counter.add_received(after.saturating_sub(before));
        }
        outcome
    }

    fn is_open(&mut self) -> bool {
        self.inner.is_open()
    }
}

/// A connection under watch.
///
/// It reads nothing before the first byte of a request has left, so that an answer that comes too
/// early is read as an answer and not as a fault of an idle connection.
pub(super) struct WatchStream<T> {
    inner: T,
    watch: Arc<CallWatch>,
}

impl<T> WatchStream<T> {
    pub(super) fn new(inner: T, watch: Arc<CallWatch>) -> Self {
        Self { inner, watch }
    }
}

impl<T> Read for WatchStream<T>
where
    T: Read + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.watch.has_left() {
            // The write that lets the first byte leave polls the connection again.
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl<T> Write for WatchStream<T>
where
    T: Write + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Err(e) = self.watch.permit() {
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
