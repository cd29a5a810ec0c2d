//! Where a gateway would send a request now, and why.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::id::AccountName;
use crate::id::FailureDomainName;
use crate::id::ServiceName;
use crate::layer::LayerRange;

/// The path of the document on a gateway's metrics address.
pub const EXPLAIN_PATH: &str = "/explain";

/// Where a request would go now, and why.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The version of the configuration in force.
    pub config_version: u64,
    /// The name of the route.
    pub route: SmolStr,
    /// The service; of several that share the route, the first one.
    pub service: ServiceName,
    /// The account for which the request was explained.
    pub account: Option<AccountName>,
    /// The rank of the request.
    pub rank: u32,
    /// What would become of the request.
    pub outcome: ExplainedOutcome,
    /// The upstreams of the service: those that would be used, then the others by cost.
    pub candidates: Vec<ExplainedCandidate>,
    /// The number of upstreams that are left out to bound the document.
    pub omitted: usize,
}

/// What would become of a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainedOutcome {
    /// The request would be sent at once.
    Sent(Vec<ExplainedPart>),
    /// The request would be refused or rejected.
    Rejected {
        /// The status of the answer.
        status: u16,
        /// The reason in the answer.
        reason: SmolStr,
        /// The time after which its client would be told to retry.
        retry_after_ms: Option<u64>,
    },
}

/// An upstream to which a request would be sent.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedPart {
    /// The upstream.
    pub upstream: SmolStr,
    /// The layers that it would run.
    pub layers: Option<LayerRange>,
}

/// An upstream of the service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ExplainedCandidate {
    /// The upstream.
    pub upstream: SmolStr,
    /// Its failure domain.
    pub domain: FailureDomainName,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// The cost by which it is compared: seconds for all of its layers, or calls for each slot.
    pub cost: Option<f64>,
    /// The requests that all gateways are expected to have in flight there.
    pub expected_requests: u32,
    /// The requests that it would take besides, or begin the paths of.
    pub free_slots: u32,
    /// The tokens of context that its free memory holds, for all of its layers.
    pub free_context_tokens: Option<u64>,
    /// The requests a second that the gateway starts there while others can take requests;
    /// `None` if the upstream is not paced.
    pub starts_per_s: Option<f64>,
    /// Why it is not used, or used only if nothing else is left.
    pub exclusions: Vec<Exclusion>,
}

/// Why an upstream is not used.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Exclusion {
    /// What the gateway believes of the upstream.
    pub belief: SmolStr,
    /// Whether the upstream is still used if nothing else is left.
    pub is_last_resort: bool,
    /// How long the gateway has believed this, if that is known.
    pub age_ms: Option<u64>,
    /// When the belief ends by itself, if it does.
    pub ends_in_ms: Option<u64>,
}
