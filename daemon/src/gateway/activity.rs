//! Whether a client's connection is in use.

use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use tokio::time::Instant;

use crate::gateway::body::AnswerCut;
use crate::gateway::body::ReplyBody;
use crate::gateway::head_meter::HeadMeter;

/// The requests in progress on a connection, and since when there are none.
pub struct ConnectionActivity {
    requests: Cell<usize>,
    /// The requests whose bodies have not been read to their ends, also if they were answered.
    unread_bodies: Cell<usize>,
    idle_since: Cell<Instant>,
    head: Rc<HeadMeter>,
}

impl ConnectionActivity {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(head: Rc<HeadMeter>) -> Self {
        Self {
            requests: Cell::new(0),
            unread_bodies: Cell::new(0),
            idle_since: Cell::new(Instant::now()),
            head,
        }
    }

    /// Returns whether no request is in progress.
    pub fn is_idle(&self) -> bool {
        self.requests.get() == 0
    }

    /// Returns the meter of what the connection holds of heads.
    pub const fn head(&self) -> &Rc<HeadMeter> {
        &self.head
    }

    /// Returns whether no request is in progress, and all that came have been read completely.
    pub fn is_between_requests(&self) -> bool {
        self.is_idle() && self.unread_bodies.get() == 0
    }

    /// Waits until the connection, on which no request is in progress, has to give way to
    /// others.
    pub async fn evicted(&self) {
        loop {
            self.head.evicted().await;
            if self.is_idle() {
                return;
            }
        }
    }

    /// Returns since when no request is in progress; now if one is.
    pub fn idle_since(&self) -> Instant {
        if self.requests.get() > 0 {
            return Instant::now();
        }
        self.idle_since.get()
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.requests.set(self.requests.get() + 1);
        self.head.end_head();
        ActiveRequest {
            activity: Rc::clone(self),
        }
    }
}

/// Counts a request as in progress on its connection until it is dropped.
pub struct ActiveRequest {
    activity: Rc<ConnectionActivity>,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let activity = &self.activity;
        activity
            .requests
            .set(activity.requests.get().saturating_sub(1));
        activity.idle_since.set(Instant::now());
        if activity.is_idle() {
            activity.head.end_request();
        }
    }
}

/// The body of a request, whose connection knows whether it has been read to its end.
pub struct RequestBody {
    body: Incoming,
    activity: Rc<ConnectionActivity>,
    has_ended: bool,
}

impl RequestBody {
    /// Joins a body with the connection that it arrives over.
    pub fn new(body: Incoming, activity: &Rc<ConnectionActivity>) -> Self {
        let has_ended = body.is_end_stream();
        if !has_ended {
            let unread = &activity.unread_bodies;
            unread.set(unread.get() + 1);
        }
        Self {
            body,
            activity: Rc::clone(activity),
            has_ended,
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() && !std::mem::replace(&mut self.has_ended, true) {
            let unread = &self.activity.unread_bodies;
            unread.set(unread.get() - 1);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// The body of an answer, with whose end its request ends.
pub struct ActiveBody {
    body: ReplyBody,
    _request: ActiveRequest,
}

impl ActiveBody {
    /// Joins a body with the request that it answers.
    pub const fn new(body: ReplyBody, request: ActiveRequest) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for ActiveBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
