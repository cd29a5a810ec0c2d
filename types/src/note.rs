//! Release notes, by which operators change the configuration.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::config::Adapter;
use crate::config::ClientAccount;
use crate::config::Model;
use crate::config::Upstream;
use crate::id::AccountName;
use crate::id::AdapterName;
use crate::id::ModelName;
use crate::id::NoteId;
use crate::id::PartnerName;
use crate::id::UpstreamName;

/// Whole items that a note adds or changes.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NoteItems {
    /// The models.
    pub models: Vec<Model>,
    /// The adapters.
    pub adapters: Vec<Adapter>,
    /// The client accounts.
    pub accounts: Vec<ClientAccount>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// Names of items that a note withdraws.
#[derive(Clone, Debug, Default, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct NoteNames {
    /// The models.
    pub models: Vec<ModelName>,
    /// The adapters.
    pub adapters: Vec<AdapterName>,
    /// The client accounts.
    pub accounts: Vec<AccountName>,
    /// The upstreams.
    pub upstreams: Vec<UpstreamName>,
}

/// One partner's change to the configuration.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// The identifier, which makes submitting the note idempotent.
    pub id: NoteId,
    /// The partner that submits the note.
    pub partner: PartnerName,
    /// Items that must not exist yet.
    #[serde(default)]
    pub added: NoteItems,
    /// Items that must exist and are replaced.
    #[serde(default)]
    pub changed: NoteItems,
    /// Items that must exist and are removed.
    #[serde(default)]
    pub withdrawn: NoteNames,
}
