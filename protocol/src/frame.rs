//! Frames of one connection.

use serde::Deserialize;
use serde::Serialize;

use crate::hello::Hello;
use crate::message::Message;

/// Anything that is written to a connection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Frame {
    /// Introduces the sender; the first frame of each side.
    Hello(Box<Hello>),
    /// Asks for a [`Frame::Pong`] over the same connection.
    Ping {
        /// Matches the answer to the question.
        sequence: u64,
    },
    /// Answers a [`Frame::Ping`].
    Pong {
        /// The number of the question.
        sequence: u64,
    },
    /// Carries a message.
    Message(Box<Message>),
}
