//! A socket to an upstream that ends an answer whose head does not end, and that can outlive its
//! HTTP connection.
//!
//! The HTTP library bounds a single head, but not the interim answers before it, and it goes on
//! reading them as fast as they arrive. It also drops the socket as soon as nobody waits for the
//! answer.

use std::cell::Cell;
use std::cell::RefCell;
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
use tokio::sync::oneshot;

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

/// Takes over the open socket of an HTTP connection when the connection is dropped.
#[derive(Clone, Debug, Default)]
pub struct SocketTakeover {
    receiver: Rc<RefCell<Option<oneshot::Sender<TcpStream>>>>,
}

impl SocketTakeover {
    /// Returns a receiver of the socket. It fails if the HTTP connection has been dropped before.
    pub fn request(&self) -> oneshot::Receiver<TcpStream> {
        let (sender, receiver) = oneshot::channel();
        self.receiver.replace(Some(sender));
        receiver
    }
}

/// A connected socket.
#[derive(Debug)]
pub struct UpstreamSocket {
    /// The socket, which is there until this is dropped.
    stream: Option<TcpStream>,
    limit: HeadLimit,
    takeover: SocketTakeover,
}

impl Drop for UpstreamSocket {
    fn drop(&mut self) {
        let receiver = self.takeover.receiver.take();
        if let (Some(receiver), Some(stream)) = (receiver, self.stream.take()) {
            // Without a receiver the socket is closed.
            let _ = receiver.send(stream);
        }
    }
}

impl UpstreamSocket {
    /// Creates a socket whose reads obey a limit, and which may be taken over.
    pub const fn new(stream: TcpStream, limit: HeadLimit, takeover: SocketTakeover) -> Self {
        Self {
            stream: Some(stream),
            limit,
            takeover,
        }
    }

    fn stream(&mut self) -> io::Result<Pin<&mut TcpStream>> {
        let stream = self.stream.as_mut().map(Pin::new);
        stream.ok_or_else(|| io::ErrorKind::NotConnected.into())
    }
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(self.stream()?.poll_read(context, buffer))?;
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
        self.stream()?.poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.stream()?.poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        let stream = self.stream.as_ref();
        stream.is_some_and(AsyncWrite::is_write_vectored)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.stream()?.poll_shutdown(context)
    }
}
