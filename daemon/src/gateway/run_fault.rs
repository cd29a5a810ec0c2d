//! Why a run ended without completing its stream.

use std::fmt;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::StatusCode;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::layer_path::NoPath;

use crate::gateway::body::HeldBytes;

/// The reason why a run ended without completing its stream.
pub enum RunFault {
    /// There is no path, so nothing was sent.
    NoPath(NoPath),
    /// The request has no time left, so nothing was sent.
    NoTime,
    /// The request may not be sent for this reason, so nothing was.
    Quarantined(&'static str),
    /// The first engine accepted no connection.
    NotConnected(InstanceKey),
    /// An engine stated that the request did not run. Holds the faulty engine, if known.
    NotRun(Option<InstanceKey>),
    /// The run broke off, or was given up.
    Broken(BrokenRun),
    /// The engine ran the request and answered with a failure.
    Failed(Box<FailedAnswer>),
}

/// Why a run broke off.
#[derive(Clone, Copy, Debug)]
pub enum BreakCause {
    /// The connection to the first engine was lost.
    ConnectionLost,
    /// The answer was not one to this request, or its events were not valid.
    BadAnswer,
    /// No event arrived for this time.
    Silent(Duration),
}

impl fmt::Display for BreakCause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConnectionLost => formatter.write_str("connection_lost"),
            Self::BadAnswer => formatter.write_str("bad_answer"),
            Self::Silent(time) => write!(formatter, "silent_{}_ms", time.as_millis()),
        }
    }
}

/// A run that broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun {
    /// Why the run broke off.
    pub cause: BreakCause,
    /// The first engine of the path.
    pub first: InstanceKey,
    /// The faulty engine, if it is known.
    pub at_fault: Option<InstanceKey>,
    /// Whether the run may have produced tokens.
    pub may_have_run: bool,
    /// Whether the run is left for another one although it may still go on. The retry budget
    /// has then been charged for that one.
    pub is_moved: bool,
    /// Whether the connection broke while the run was young.
    pub is_young_loss: bool,
}

/// The answer of an engine that ran the request and failed.
pub struct FailedAnswer {
    /// The first engine of the path.
    pub first: InstanceKey,
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: HeldBytes,
}

impl fmt::Display for RunFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoPath(_) => formatter.write_str("no_path"),
            Self::NoTime => formatter.write_str("no_time"),
            Self::Quarantined(_) => formatter.write_str("quarantined"),
            Self::NotConnected(_) => formatter.write_str("not_connected"),
            Self::NotRun(_) => formatter.write_str("refused"),
            Self::Broken(broken) => broken.cause.fmt(formatter),
            Self::Failed(failed) => write!(formatter, "status_{}", failed.status.as_u16()),
        }
    }
}
