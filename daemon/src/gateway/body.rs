//! The body type of answers to clients.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use http_body_util::BodyExt as _;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use jujubewall_routing::fleet::answer_memory::AnswerShare;
use log::info;
use thiserror::Error;

use crate::gateway::state::Gateway;

/// The error that ends an answer's body before it is complete, so that the client notices.
#[derive(Debug, Error)]
#[error("the answer cannot be completed")]
pub struct AnswerCut;

type Parts = Pin<Box<dyn Stream<Item = Result<Bytes, AnswerCut>>>>;

/// The largest part of a body that is handed to the library at a time. What it has not written
/// yet is not counted as held.
pub const MAX_PART_BYTES: usize = 8 * 1024;

/// Bytes of an answer, with the share of the memory that they take.
pub struct HeldBytes {
    bytes: Bytes,
    _share: Option<AnswerShare>,
}

impl HeldBytes {
    /// Creates bytes that a share accounts for.
    pub const fn new(bytes: Bytes, share: AnswerShare) -> Self {
        Self {
            bytes,
            _share: Some(share),
        }
    }

    /// Takes the next bytes, at most [`MAX_PART_BYTES`]; `None` if all have been taken.
    ///
    /// Parts are copied, so that one that is not written yet does not keep all bytes.
    pub fn next_part(&mut self) -> Option<Bytes> {
        if self.bytes.len() <= MAX_PART_BYTES {
            let rest = std::mem::take(&mut self.bytes);
            return (!rest.is_empty()).then_some(rest);
        }
        let part = self.bytes.split_to(MAX_PART_BYTES);
        Some(Bytes::copy_from_slice(&part))
    }
}

/// Reads the body of an answer to the request `id`, up to a size and as far as there is memory
/// for it; `None` if it is larger or breaks off.
pub async fn read_held(
    gateway: &Gateway,
    id: &str,
    mut body: Incoming,
    max_bytes: usize,
) -> Option<HeldBytes> {
    let mut share = gateway.answer_share();
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        buffer.extend_from_slice(&data);
        if buffer.len() > max_bytes {
            info!("event=answer_too_large id={id} max_bytes={max_bytes}");
            return None;
        }
        if !share.try_hold(buffer.capacity()) {
            gateway.note_answer_memory_full(id, buffer.len());
            return None;
        }
    }
    Some(HeldBytes::new(buffer.freeze(), share))
}

/// The body of an answer.
pub enum ReplyBody {
    /// Bytes that are known in advance.
    Whole(HeldBytes),
    /// Parts that are passed on as they arrive.
    Parts(Parts),
}

impl ReplyBody {
    /// Creates a body of the gateway's own bytes.
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(HeldBytes {
            bytes,
            _share: None,
        })
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.get_mut() {
            Self::Whole(held) => Poll::Ready(held.next_part().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Parts(parts) => {
                let part = parts.as_mut().poll_next(context);
                part.map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(held) if held.bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(held) => SizeHint::with_exact(held.bytes.len() as u64),
            Self::Parts(_) => SizeHint::default(),
        }
    }
}
