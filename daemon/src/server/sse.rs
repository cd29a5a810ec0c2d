//! Bodies of server-sent events.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::server::answer::AnswerBody;

/// The media type of a stream of events.
pub const EVENT_STREAM: &str = "text/event-stream";

/// The text of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// A body whose parts arrive over a channel.
struct ChannelBody {
    parts: mpsc::Receiver<Bytes>,
}

impl Body for ChannelBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.parts
            .poll_recv(context)
            .map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
    }
}

/// Creates a body of the parts that arrive over a channel.
pub fn channel_body(parts: mpsc::Receiver<Bytes>) -> AnswerBody {
    ChannelBody { parts }.boxed()
}

/// Encodes an event that contains a JSON document.
pub fn event(document: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(document).unwrap_or_default();
    text_event(&json)
}

/// Encodes an event that contains a text of one line.
pub fn text_event(text: &str) -> Bytes {
    Bytes::from(format!("data: {text}\n\n"))
}
