//! Reads request bodies within limits of size and time.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use log::warn;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::metrics::Metrics;
use crate::request_memory;
use crate::request_memory::ReadFault;
use crate::request_memory::RequestShare;
use crate::request_memory::SharedRequestMemory;

/// The largest part of a refused body that is read and dropped, so that its sender can read
/// the answer, in bytes.
const MAX_DISCARDED_BYTES: usize = 32 * 1024 * 1024;

/// The time for which a refused body is read and dropped.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

/// The time after which a request that found no memory may be repeated.
const NO_MEMORY_RETRY_MS: u64 = 1_000;

/// About what a header field takes beside its name and value, in bytes: an entry of the header map
/// with two handles.
const FIELD_BYTES: usize = 104;

/// The limits on request bodies.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub max_body_bytes: usize,
    /// The time within which the whole body must arrive.
    pub body_timeout: Duration,
    /// The memory that all bodies of the process share.
    pub memory: Arc<SharedRequestMemory>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
}

/// A request body that is read within limits.
#[derive(Debug)]
pub struct LimitedBody {
    body: Incoming,
    limits: BodyLimits,
    /// What the body takes of the shared memory; `None` after a fault.
    share: Option<RequestShare>,
}

impl LimitedBody {
    /// Wraps the body of the request with `head`.
    pub fn new(body: Incoming, head: &Parts, limits: BodyLimits) -> Self {
        let share = RequestShare::with_head(&limits.memory, head_bytes(head));
        Self {
            body,
            limits,
            share: Some(share),
        }
    }

    /// Reads the whole body; fails if it exceeds a limit. The memory that it takes is held until
    /// this value is dropped.
    pub async fn read(&mut self) -> Result<Bytes, Failure> {
        let Some(share) = &self.share else {
            return Ok(Bytes::new());
        };
        let give_up_at = Instant::now() + self.limits.body_timeout;
        let max_bytes = self.limits.max_body_bytes;
        let read = request_memory::read_body(&mut self.body, share, max_bytes, give_up_at);
        let failure = match timeout_at(give_up_at, read).await {
            Ok(Ok(bytes)) => return Ok(bytes),
            Ok(Err(fault)) => self.failure(fault),
            Err(_) => {
                let limit_ms = self.limits.body_timeout.as_millis();
                Failure::new(
                    ErrorKind::RequestTimeout,
                    format!("the body did not arrive within {limit_ms} ms"),
                )
            }
        };
        self.share = None;
        Err(failure)
    }

    /// Reads and drops the rest of a refused body, up to a bound.
    ///
    /// A connection that is closed with unread data is reset, and the sender would then lose
    /// the answer. If the body was refused because its sender is too slow, or many bodies are
    /// dropped already, nothing is read.
    pub async fn discard(&mut self, reason: &Failure) {
        if reason.kind == ErrorKind::RequestTimeout || self.body.is_end_stream() {
            return;
        }
        let Some(_discarding) = self.limits.memory.try_discard() else {
            self.limits.metrics.count_limit("body_not_discarded");
            return;
        };
        request_memory::discard(&mut self.body, MAX_DISCARDED_BYTES, DISCARD_TIMEOUT).await;
    }

    fn failure(&self, fault: ReadFault) -> Failure {
        match fault {
            ReadFault::TooLarge => Failure::new(
                ErrorKind::BodyTooLarge,
                format!("the body exceeds {} bytes", self.limits.max_body_bytes),
            ),
            ReadFault::Cut => {
                Failure::new(ErrorKind::BadRequest, "the body broke off before its end")
            }
            ReadFault::Stalled => {
                self.note_memory_full("body_stalled");
                Failure::new(
                    ErrorKind::RequestTimeout,
                    "the body stopped before its end while others waited for memory",
                )
            }
            ReadFault::NoMemory => {
                self.note_memory_full("request_memory_full");
                let failure =
                    Failure::new(ErrorKind::Overloaded, "there is no memory for the body");
                failure.with_retry_after_ms(NO_MEMORY_RETRY_MS)
            }
        }
    }

    fn note_memory_full(&self, event: &'static str) {
        self.limits.metrics.count_limit(event);
        warn!(
            "event={event} used={} capacity={}",
            self.limits.memory.used_bytes(),
            self.limits.memory.capacity_bytes()
        );
    }
}

/// Returns what the head of a request takes, in bytes.
fn head_bytes(head: &Parts) -> usize {
    let fields = head.headers.iter();
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + FIELD_BYTES);
    head.uri.path().len() + head.uri.query().map_or(0, str::len) + fields.sum::<usize>()
}

/// Parses a body as a JSON document.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(|error| {
        Failure::new(
            ErrorKind::BadRequest,
            format!("the body is not acceptable: {error}"),
        )
    })
}
