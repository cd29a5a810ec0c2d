//! The documents of the HTTP interface.
//!
//! A call to an engine is a `POST` of one [`EngineCall`] to [`ENGINE_PATH`],
//! answered with status 200 by a `Result<EngineReply, EngineRefusal>`, both in
//! the postcard format. A call to a plain service keeps its own method, path
//! and body; [`REQUEST_ID_HEADER`] names the request, and a reply with
//! [`OUTCOME_HEADER`] set to `not_run` is a refusal.

use jujubewall_types::id::Attempt;
use jujubewall_types::id::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::engine::CacheEvent;
use crate::engine::CacheExport;
use crate::engine::EngineOrder;
use crate::engine::EngineOutput;
use crate::engine::EngineStatus;
use crate::engine::EngineStep;
use crate::engine::LoadReport;
use crate::error::UpstreamError;

/// The path of an engine.
pub const ENGINE_PATH: &str = "/v1/engine";
/// The header that names the request at a plain service.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The header by which a plain service tells that it did not run a call.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// A call to an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EngineCall {
    /// Runs one step.
    Run(EngineStep),
    /// Discards a KV cache.
    Release {
        /// The request.
        request: RequestId,
        /// The highest attempt to discard.
        attempt: Attempt,
    },
    /// Exports a KV cache.
    ExportCache {
        /// The request.
        request: RequestId,
    },
    /// Imports a KV cache.
    ImportCache {
        /// The request.
        request: RequestId,
        /// The attempt that goes on with the cache.
        attempt: Attempt,
        /// The cache.
        cache: CacheExport,
    },
    /// Reads the load report.
    Load,
    /// Reads cache events.
    CacheEvents {
        /// The highest sequence number that the caller knows.
        after: u64,
    },
    /// Reads what the engine holds.
    Status,
    /// Gives an order.
    Order(EngineOrder),
}

/// An engine's reply.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EngineReply {
    /// The result of a step.
    Output(EngineOutput),
    /// The call has nothing to return.
    Empty,
    /// An exported KV cache.
    Cache(CacheExport),
    /// The load report.
    Load(LoadReport),
    /// Cache events.
    CacheEvents(Vec<CacheEvent>),
    /// What the engine holds.
    Status(EngineStatus),
}

/// An engine's refusal; the call did not run.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EngineRefusal {
    /// The call is not possible.
    Refused(String),
    /// The order carries an old fencing number.
    Fenced,
}

impl From<EngineRefusal> for UpstreamError {
    fn from(refusal: EngineRefusal) -> Self {
        match refusal {
            EngineRefusal::Refused(text) => Self::Refused(text),
            EngineRefusal::Fenced => Self::Fenced,
        }
    }
}
