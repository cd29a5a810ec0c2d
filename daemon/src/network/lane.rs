//! Streams of frames inside one connection.
//!
//! Frames of one lane keep their order and wait for one another. Control
//! traffic has its own lane so that answers never delay it, and a large frame
//! travels on a stream of its own.

use bytes::Bytes;
use bytes::BytesMut;
use jujubewall_protocol::codec::MAX_FRAME_BYTES;
use jujubewall_protocol::codec::check_len;
use jujubewall_protocol::frame::Frame;
use jujubewall_protocol::message::Message;
use quinn::RecvStream;
use quinn::SendStream;

use crate::network::error::NetworkError;

/// The length of the number in front of each frame, in bytes.
const PREFIX_BYTES: usize = 4;

/// The length from which a frame gets a stream of its own, in bytes.
const BULK_FRAME_BYTES: usize = 64 * 1024;

/// The stream that a frame travels on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lane {
    /// Handshake, liveness, membership and configuration.
    Control,
    /// Answers and calls.
    Data,
    /// One large frame.
    Bulk,
}

impl Lane {
    /// Returns the lane for an encoded frame.
    pub fn of(frame: &Frame, len: usize) -> Self {
        if len >= BULK_FRAME_BYTES {
            return Self::Bulk;
        }
        let Frame::Message(message) = frame else {
            return Self::Control;
        };
        match **message {
            Message::Stream(_) | Message::Call(_) => Self::Data,
            Message::Member(_) | Message::Config(_) | Message::Limit(_) | Message::Report(_) => {
                Self::Control
            }
        }
    }
}

/// Writes one encoded frame.
pub async fn write_frame(stream: &mut SendStream, body: Bytes) -> Result<(), NetworkError> {
    let len = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let mut buffer = BytesMut::with_capacity(PREFIX_BYTES + body.len());
    buffer.extend_from_slice(&len.to_be_bytes());
    buffer.extend_from_slice(&body);
    stream
        .write_chunk(buffer.freeze())
        .await
        .map_err(|error| NetworkError::Closed(error.to_string()))
}

/// Reads one encoded frame; `None` tells that the stream ended between two frames.
pub async fn read_frame(stream: &mut RecvStream) -> Result<Option<Bytes>, NetworkError> {
    let mut prefix = [0; PREFIX_BYTES];
    match stream.read_exact(&mut prefix).await {
        Ok(()) => {}
        Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
        Err(error) => return Err(NetworkError::Closed(error.to_string())),
    }
    let len = usize::try_from(u32::from_be_bytes(prefix)).unwrap_or(MAX_FRAME_BYTES + 1);
    check_len(len)?;
    let mut body = BytesMut::zeroed(len);
    stream
        .read_exact(&mut body)
        .await
        .map_err(|error| NetworkError::Closed(error.to_string()))?;
    Ok(Some(body.freeze()))
}
