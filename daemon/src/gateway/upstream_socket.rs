//! A socket to an upstream that ends an answer whose head does not end.
//!
//! The HTTP library bounds a single head, but not the interim answers before it, and it goes on
//! reading them as fast as they arrive.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The bytes that may arrive until the head of an answer is complete, with the interim answers
/// before it and with what is read of its body at the same time.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// The reason for ending a connection whose answer's head does not end.
#[derive(Debug, Error)]
#[error("the answer has no head within {MAX_HEAD_BYTES} bytes")]
struct HeadTooLarge;

/// How many bytes may still arrive before the head of an answer is complete; `None` while a
/// body is read.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit {
    left_bytes: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Begins to wait for the head of an answer.
    pub fn begin_head(&self) {
        self.left_bytes.set(Some(MAX_HEAD_BYTES));
    }

    /// Records that the head is complete.
    pub fn end_head(&self) {
        self.left_bytes.set(None);
    }
}

/// A connected socket.
#[derive(Debug)]
pub struct UpstreamSocket {
    stream: TcpStream,
    limit: HeadLimit,
}

impl UpstreamSocket {
    /// Creates a socket whose reads obey a limit.
    pub const fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read_bytes = buffer.filled().len() - before;
        if let Some(left_bytes) = self.limit.left_bytes.get() {
            let Some(left_bytes) = left_bytes.checked_sub(read_bytes) else {
                return Poll::Ready(Err(io::Error::other(HeadTooLarge)));
            };
            self.limit.left_bytes.set(Some(left_bytes));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
