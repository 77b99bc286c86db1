//! TCP stream wrapper for traffic metrics.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::metrics::ByteCounter;

/// TCP stream that counts the bytes it sends and receives.
pub(super) struct CountedStream {
    inner: TcpStream,
    counter: Arc<ByteCounter>,
}

impl CountedStream {
    pub(super) fn new(inner: TcpStream, counter: Arc<ByteCounter>) -> Self {
        Self { inner, counter }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let outcome = Pin::new(&mut self.inner).poll_read(context, buffer);
        self.counter.add_received(buffer.filled().len() - before);
        outcome
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let outcome = Pin::new(&mut self.inner).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = outcome {
            self.counter.add_sent(written);
        }
        outcome
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
