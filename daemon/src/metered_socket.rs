//! A client's socket that reports what is read from it and written to it.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Counts the bytes of a connection.
pub trait Meter {
    /// Counts bytes that were read; none at the end of the connection. An error ends the
    /// connection.
    fn on_read(&self, bytes: usize) -> io::Result<()>;

    /// Counts bytes that were written.
    fn on_written(&self, bytes: usize);

    /// Records that the peer has not taken what was written before, so that a write has to wait.
    fn on_write_blocked(&self) {}
}

/// The socket of a connection.
#[derive(Debug)]
pub struct MeteredSocket<M> {
    stream: TcpStream,
    meter: M,
    /// Bytes that are read again before others, and were counted.
    unread: Bytes,
}

impl<M: Meter> MeteredSocket<M> {
    /// Creates a socket whose bytes `meter` counts.
    pub const fn new(stream: TcpStream, meter: M) -> Self {
        Self {
            stream,
            meter,
            unread: Bytes::new(),
        }
    }

    /// Takes back bytes that were read last, which are read again first.
    pub fn unread(&mut self, bytes: Bytes) {
        if self.unread.is_empty() {
            self.unread = bytes;
        } else if !bytes.is_empty() {
            self.unread = [bytes, std::mem::take(&mut self.unread)].concat().into();
        }
    }

    fn count_written(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => self.meter.on_written(bytes),
            Poll::Ready(Err(_)) => {}
            Poll::Pending => self.meter.on_write_blocked(),
        }
        written
    }
}

impl<M: Meter + Unpin> AsyncRead for MeteredSocket<M> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unread.is_empty() {
            let len = self.unread.len().min(buffer.remaining());
            buffer.put_slice(&self.unread.split_to(len));
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.meter.on_read(buffer.filled().len() - before))
    }
}

impl<M: Meter + Unpin> AsyncWrite for MeteredSocket<M> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.count_written(written)
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
