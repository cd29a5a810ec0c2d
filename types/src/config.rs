//! The configuration that release notes build up.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::digest::Digest;
use crate::id::AcceleratorName;
use crate::id::AccountName;
use crate::id::AdapterName;
use crate::id::FailureDomainName;
use crate::id::HostName;
use crate::id::ModelName;
use crate::id::PartnerName;
use crate::id::Revision;
use crate::id::ServiceName;
use crate::id::UpstreamName;
use crate::id::VersionName;
use crate::layer::LayerRange;

/// One version of a model's weights.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelVersion {
    /// The name of the version.
    pub name: VersionName,
    /// The size of one layer's weights in the weight store.
    pub layer_bytes: u64,
}

/// A model that callers can ask for.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// The name that callers use.
    pub name: ModelName,
    /// The number of layers, each of which runs once for each token.
    pub layer_count: u32,
    /// The version that new requests use.
    pub active_version: VersionName,
    /// The versions that may be loaded.
    #[schemars(with = "Vec<ModelVersion>")]
    pub versions: SmallVec<[ModelVersion; 2]>,
    /// The longest prompt that is accepted.
    pub max_prompt_tokens: u32,
    /// The longest answer that is given.
    pub max_answer_tokens: u32,
}

impl Model {
    /// Returns the versions that requests may use, the active one first.
    pub fn versions_by_preference(&self) -> impl Iterator<Item = VersionName> {
        let others = self.versions.iter().map(|version| &version.name);
        let others = others.filter(|version| **version != self.active_version);
        [&self.active_version].into_iter().chain(others).cloned()
    }
}

/// An adapter that refines one model.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// The name that callers use.
    pub name: AdapterName,
    /// The model that it refines.
    pub model: ModelName,
    /// The size of the adapter in the weight store.
    pub size_bytes: u64,
}

/// A client account and its limits.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// The name of the account.
    pub name: AccountName,
    /// The SHA-256 digests of the keys that are valid now.
    #[schemars(with = "Vec<Digest>")]
    pub key_digests: SmallVec<[Digest; 2]>,
    /// The share of a contended resource, relative to other accounts.
    pub weight: u32,
    /// The number of requests that may be in flight in the whole fleet.
    pub max_in_flight: u32,
    /// The rate of requests that is allowed.
    pub requests_per_s: u32,
}

/// What an engine holds: one range of layers of one version of a model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// The model.
    pub model: ModelName,
    /// The version of the weights.
    pub version: VersionName,
    /// The layers.
    pub layers: LayerRange,
}

/// A model engine's properties.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EngineProfile {
    /// The kind of accelerator.
    pub accelerator: AcceleratorName,
    /// Whether the engine itself refuses an order with an old fencing number.
    pub checks_fencing: bool,
    /// The number of layers that fit into its memory.
    pub max_layers: u32,
    /// The number of token-layers that it computes a second when decoding.
    pub decode_token_layers_per_s: u64,
    /// The number of token-layers that it computes a second when prefilling.
    pub prefill_token_layers_per_s: u64,
    /// The assignment that the operator fixes; without one the plan decides.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub assignment: Option<Assignment>,
}

/// A plain service's properties.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceProfile {
    /// The service that the upstream offers.
    pub service: ServiceName,
    /// Whether its calls may be repeated.
    pub idempotent: bool,
}

/// What kind of process an upstream is.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine(EngineProfile),
    /// A plain service.
    Service(ServiceProfile),
}

/// One upstream and where it is reached.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The name of the upstream.
    pub name: UpstreamName,
    /// The host that it runs on.
    pub host: HostName,
    /// The failure domain of that host.
    pub failure_domain: FailureDomainName,
    /// The address at which the agent reaches it.
    pub address: SocketAddr,
    /// The address of the agent beside it.
    pub agent_address: SocketAddr,
    /// What it is.
    pub kind: UpstreamKind,
}

/// An item together with the partner that owns it.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Owned<T> {
    /// The partner whose notes may change the item.
    pub owner: PartnerName,
    /// The item.
    pub item: T,
}

/// The whole configuration at one revision.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// The revision, which rises with each accepted note.
    pub revision: Revision,
    /// The models by name.
    pub models: BTreeMap<ModelName, Owned<Model>>,
    /// The adapters by name.
    pub adapters: BTreeMap<AdapterName, Owned<Adapter>>,
    /// The client accounts by name.
    pub accounts: BTreeMap<AccountName, Owned<ClientAccount>>,
    /// The upstreams by name.
    pub upstreams: BTreeMap<UpstreamName, Owned<Upstream>>,
}
