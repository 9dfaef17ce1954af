//! Stream that stops reading after a number of bytes.

use std::io::Error;
use std::io::Result;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering::Relaxed;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Bytes that may still be read from a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadAllowance {
    left: Arc<AtomicUsize>,
}

/// Stream whose reads fail once its allowance is used up.
///
/// Limits on the decoded head and body do not cover all bytes that a peer can make a host read: interim replies, chunk
/// sizes and trailers may go on without end.
#[derive(Debug)]
pub(crate) struct MeteredStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl ReadAllowance {
    /// Allows this many more bytes.
    pub(crate) fn set(&self, bytes: usize) {
        self.left.store(bytes, Relaxed);
    }

    fn take(&self, bytes: usize) -> bool {
        let left = self.left.load(Relaxed);
        self.left.store(left.saturating_sub(bytes), Relaxed);
        bytes <= left
    }
}

impl<S> MeteredStream<S> {
    pub(crate) fn new(stream: S, allowance: ReadAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for MeteredStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if self.allowance.take(buffer.filled().len() - before) {
            return read;
        }
        Poll::Ready(Err(Error::other("the target sent more bytes than a reply may have")))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
