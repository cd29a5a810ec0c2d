//! An HTTP/1 connection of a client, whose limit on the size of heads may change while it is open.

use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::gateway::activity::ActiveBody;
use crate::gateway::activity::ConnectionActivity;
use crate::gateway::head_meter::HeadMeter;
use crate::metered_socket::MeteredSocket;

/// The smallest buffer for a request's head that the HTTP library allows, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8_192;

type ClientSocket = MeteredSocket<Rc<HeadMeter>>;

type HttpConnection<S> = http1::Connection<TokioIo<ClientSocket>, S>;

/// A connection of a client.
///
/// The HTTP library fixes the size of its buffer, which limits heads, when it begins to serve a
/// socket. Between two requests, the socket is therefore handed to a new instance of it if the
/// limit has changed; the client notices nothing.
pub struct ClientConnection<S: HttpService<Incoming>> {
    /// `None` only while the socket is handed on.
    http: Option<HttpConnection<S>>,
    max_head_bytes: usize,
    activity: Rc<ConnectionActivity>,
    is_closing: bool,
}

impl<S> ClientConnection<S>
where
    S: HttpService<Incoming, ResBody = ActiveBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    /// Begins to serve a socket that has just been accepted. `activity` counts the requests that
    /// `service` gets.
    pub fn new(
        stream: TcpStream,
        service: S,
        activity: Rc<ConnectionActivity>,
        max_head_bytes: usize,
    ) -> Self {
        let socket = MeteredSocket::new(stream, Rc::clone(activity.head()));
        Self {
            http: Some(serve(socket, service, max_head_bytes)),
            max_head_bytes,
            activity,
            is_closing: false,
        }
    }

    /// Closes the connection after the request in progress, if there is one.
    pub fn graceful_shutdown(&mut self) {
        self.is_closing = true;
        if let Some(http) = &mut self.http {
            Pin::new(http).graceful_shutdown();
        }
    }

    /// Advances the connection. Heads that begin from now on may have `max_head_bytes`.
    pub fn poll(
        &mut self,
        max_head_bytes: usize,
        context: &mut Context<'_>,
    ) -> Poll<hyper::Result<()>> {
        if max_head_bytes != self.max_head_bytes && self.can_hand_on() {
            self.hand_on(max_head_bytes);
        }
        match &mut self.http {
            Some(http) => Pin::new(http).poll(context),
            None => Poll::Ready(Ok(())),
        }
    }

    /// Returns whether the library holds nothing but what it has read of the next head: no request
    /// is in progress or partly read, and all answers are written.
    fn can_hand_on(&self) -> bool {
        !self.is_closing
            && self.activity.is_between_requests()
            && !self.activity.head().is_write_blocked()
    }

    fn hand_on(&mut self, max_head_bytes: usize) {
        let Some(http) = self.http.take() else {
            return;
        };
        let parts = http.into_parts();
        let mut socket = parts.io.into_inner();
        socket.unread(parts.read_buf);
        self.http = Some(serve(socket, parts.service, max_head_bytes));
        self.max_head_bytes = max_head_bytes;
    }
}

fn serve<S>(socket: ClientSocket, service: S, max_head_bytes: usize) -> HttpConnection<S>
where
    S: HttpService<Incoming, ResBody = ActiveBody>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
{
    http1::Builder::new()
        .header_read_timeout(None)
        // Parts of answers are copied into one buffer. Queued as they are, small ones would keep
        // the larger buffers alive into which they were read.
        .writev(false)
        .max_buf_size(max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service)
}
