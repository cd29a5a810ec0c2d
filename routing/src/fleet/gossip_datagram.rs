//! The datagrams of the gossip between gateways: a message, followed by extensions.
//!
//! Gateways of builds without extensions skip what follows the message, and those of later
//! builds skip the kinds of extensions that they do not know.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::gossip::GossipMessage;
use super::gossip::MAX_MESSAGE_BYTES;
use super::poison_parts::CrashReport;
use super::poison_requests::RequestCrashReport;

/// The most bytes that reports of prompt parts in crashes take in a datagram.
pub const MAX_CRASH_REPORT_BYTES: usize = 400;

/// The most bytes that reports of requests in crashes take in a datagram.
pub const MAX_REQUEST_REPORT_BYTES: usize = 300;

/// The kind of the extension that holds reports of prompt parts in crashes.
const CRASH_REPORTS_KIND: u8 = 1;

/// The kind of the extension that holds reports of requests in crashes.
const REQUEST_REPORTS_KIND: u8 = 2;

/// The kind of the extension that holds the ages of the store's answers.
const ANSWER_AGES_KIND: u8 = 3;

/// What follows a message. The kind says how the body is to be read.
#[derive(Deserialize, Serialize)]
struct Extension {
    kind: u8,
    body: Vec<u8>,
}

/// What one gateway tells another about crashes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CrashReports {
    /// The prompt parts in each crash.
    pub parts: Vec<CrashReport>,
    /// The crashes of each request.
    pub requests: Vec<RequestCrashReport>,
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct GossipDatagram {
    /// The message.
    pub message: GossipMessage,
    /// The reports of crashes.
    pub reports: CrashReports,
    /// The number of extensions of a kind that this build does not know.
    pub unknown_extensions: usize,
    /// Whether some extension could not be read.
    pub is_malformed: bool,
}

/// Encodes a message and reports of crashes. The message is shortened until both fit into
/// one packet.
pub fn encode(
    mut message: GossipMessage,
    reports: &CrashReports,
) -> Result<Vec<u8>, postcard::Error> {
    let mut extensions = Vec::new();
    if !message.answer_ages.is_empty() {
        extensions.push(Extension {
            kind: ANSWER_AGES_KIND,
            body: postcard::to_stdvec(&message.answer_ages)?,
        });
    }
    if !reports.parts.is_empty() {
        extensions.push(Extension {
            kind: CRASH_REPORTS_KIND,
            body: postcard::to_stdvec(&reports.parts)?,
        });
    }
    if !reports.requests.is_empty() {
        extensions.push(Extension {
            kind: REQUEST_REPORTS_KIND,
            body: postcard::to_stdvec(&reports.requests)?,
        });
    }
    let tail = if extensions.is_empty() {
        Vec::new()
    } else {
        postcard::to_stdvec(&extensions)?
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
        reports: CrashReports::default(),
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
        let reports = &mut decoded.reports;
        let is_readable = match extension.kind {
            CRASH_REPORTS_KIND => extend(&mut reports.parts, &extension.body),
            REQUEST_REPORTS_KIND => extend(&mut reports.requests, &extension.body),
            // Claims that were dropped to fit leave the last ages without one.
            ANSWER_AGES_KIND => extend(&mut decoded.message.answer_ages, &extension.body),
            _ => {
                decoded.unknown_extensions += 1;
                continue;
            }
        };
        decoded.is_malformed |= !is_readable;
    }
    Ok(decoded)
}

/// Appends the reports that a body holds; returns whether it can be read.
fn extend<T: DeserializeOwned>(reports: &mut Vec<T>, body: &[u8]) -> bool {
    postcard::from_bytes::<Vec<T>>(body)
        .map(|more| reports.extend(more))
        .is_ok()
}
