//! The datagrams of the gossip between gateways: a message, followed by extensions.
//!
//! Gateways of builds without extensions skip what follows the message, and those of later
//! builds skip the kinds of extensions that they do not know.

use serde::Deserialize;
use serde::Serialize;

use super::gossip::GossipMessage;
use super::gossip::MAX_MESSAGE_BYTES;
use super::poison_parts::CrashReport;

/// The most bytes that reports of crashes take in a datagram.
pub const MAX_CRASH_REPORT_BYTES: usize = 400;

/// The kind of the extension that holds reports of crashes.
const CRASH_REPORTS_KIND: u8 = 1;

/// What follows a message. The kind says how the body is to be read.
#[derive(Deserialize, Serialize)]
struct Extension {
    kind: u8,
    body: Vec<u8>,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipDatagram {
    /// The message.
    pub message: GossipMessage,
    /// The reports of crashes.
    pub crashes: Vec<CrashReport>,
    /// The number of extensions of a kind that this build does not know.
    pub unknown_extensions: usize,
    /// Whether some extension could not be read.
    pub is_malformed: bool,
}

/// Encodes a message and reports of crashes. The message is shortened until both fit into
/// one packet.
pub fn encode(
    mut message: GossipMessage,
    crashes: &[CrashReport],
) -> Result<Vec<u8>, postcard::Error> {
    let tail = if crashes.is_empty() {
        Vec::new()
    } else {
        postcard::to_stdvec(&[Extension {
            kind: CRASH_REPORTS_KIND,
            body: postcard::to_stdvec(crashes)?,
        }] as &[Extension])?
    };
    let size = |message: &GossipMessage| {
        postcard::experimental::serialized_size(message).unwrap_or(usize::MAX)
    };
    message.fit(size, MAX_MESSAGE_BYTES.saturating_sub(tail.len()));
    let mut datagram = postcard::to_stdvec(&message)?;
    // What a message cannot drop leaves no room for more.
    if datagram.len() + tail.len() <= MAX_MESSAGE_BYTES {
        datagram.extend_from_slice(&tail);
    }
    Ok(datagram)
}

/// Decodes a datagram. Extensions that cannot be read leave the message as it is.
pub fn decode(datagram: &[u8]) -> Result<GossipDatagram, postcard::Error> {
    let (message, tail) = postcard::take_from_bytes(datagram)?;
    let mut decoded = GossipDatagram {
        message,
        crashes: Vec::new(),
        unknown_extensions: 0,
        is_malformed: false,
    };
    if tail.is_empty() {
        return Ok(decoded);
    }
    let Ok(extensions) = postcard::from_bytes::<Vec<Extension>>(tail) else {
        decoded.is_malformed = true;
        return Ok(decoded);
    };
    for extension in extensions {
        if extension.kind != CRASH_REPORTS_KIND {
            decoded.unknown_extensions += 1;
            continue;
        }
        match postcard::from_bytes::<Vec<CrashReport>>(&extension.body) {
            Ok(crashes) => decoded.crashes.extend(crashes),
            Err(_) => decoded.is_malformed = true,
        }
    }
    Ok(decoded)
}
