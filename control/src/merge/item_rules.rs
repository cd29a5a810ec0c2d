//! Rules that an item meets by itself.

use std::collections::BTreeSet;

use jujubewall_types::config::Adapter;
use jujubewall_types::config::ClientAccount;
use jujubewall_types::config::EngineProfile;
use jujubewall_types::config::Model;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;

use crate::clash::Clash;
use crate::clash::ClashReason;
use crate::item::Item;
use crate::item::ItemKey;

/// The largest number of layers that a model may have.
pub const MAX_LAYERS: u32 = 16_384;

/// The largest number of versions of one model that may be loaded.
pub const MAX_VERSIONS: usize = 16;

/// The largest number of keys that are valid for one account at a time.
pub const MAX_ACCOUNT_KEYS: usize = 8;

/// Lists what is wrong with `item` whatever else is configured.
pub fn clashes(item: &Item) -> Vec<Clash> {
    let mut faults = Faults::new(item.key());
    match item {
        Item::Model(model) => check_model(model, &mut faults),
        Item::Adapter(adapter) => check_adapter(adapter, &mut faults),
        Item::Account(account) => check_account(account, &mut faults),
        Item::Upstream(upstream) => check_upstream(upstream, &mut faults),
    }
    faults.clashes
}

/// Collects the faults of one item.
struct Faults {
    key: ItemKey,
    clashes: Vec<Clash>,
}

impl Faults {
    fn new(key: ItemKey) -> Self {
        Self {
            key,
            clashes: Vec::new(),
        }
    }

    fn push(&mut self, field: &str, problem: impl Into<String>) {
        let reason = ClashReason::Invalid {
            field: field.to_owned(),
            problem: problem.into(),
        };
        self.clashes.push(Clash::new(self.key.clone(), reason));
    }

    fn require_positive(&mut self, field: &str, value: u64) {
        if value == 0 {
            self.push(field, "must be above 0");
        }
    }

    fn require_count(&mut self, field: &str, count: usize, limit: usize) {
        if count == 0 {
            self.push(field, "must not be empty");
        }
        if count > limit {
            self.push(field, format!("must hold at most {limit} entries"));
        }
    }

    fn require_distinct<T: Ord>(&mut self, field: &str, values: impl Iterator<Item = T>) {
        let mut seen = BTreeSet::new();
        for value in values {
            if !seen.insert(value) {
                self.push(field, "must not repeat an entry");
                return;
            }
        }
    }
}

fn check_model(model: &Model, faults: &mut Faults) {
    faults.require_positive("layer_count", model.layer_count.into());
    if model.layer_count > MAX_LAYERS {
        faults.push("layer_count", format!("must be at most {MAX_LAYERS}"));
    }
    faults.require_positive("max_prompt_tokens", model.max_prompt_tokens.into());
    faults.require_positive("max_answer_tokens", model.max_answer_tokens.into());
    check_versions(model, faults);
}

fn check_versions(model: &Model, faults: &mut Faults) {
    let names = || model.versions.iter().map(|version| &version.name);
    faults.require_count("versions", model.versions.len(), MAX_VERSIONS);
    faults.require_distinct("versions", names());
    for (index, version) in model.versions.iter().enumerate() {
        let field = format!("versions[{index}].layer_bytes");
        faults.require_positive(&field, version.layer_bytes);
    }
    if !names().any(|name| *name == model.active_version) {
        faults.push("active_version", "must be one of the versions");
    }
}

fn check_adapter(adapter: &Adapter, faults: &mut Faults) {
    faults.require_positive("size_bytes", adapter.size_bytes);
}

fn check_account(account: &ClientAccount, faults: &mut Faults) {
    faults.require_count("key_digests", account.key_digests.len(), MAX_ACCOUNT_KEYS);
    faults.require_distinct("key_digests", account.key_digests.iter());
    faults.require_positive("weight", account.weight.into());
    faults.require_positive("max_in_flight", account.max_in_flight.into());
    faults.require_positive("requests_per_s", account.requests_per_s.into());
}

fn check_upstream(upstream: &Upstream, faults: &mut Faults) {
    if upstream.address.port() == 0 {
        faults.push("address", "must name a port");
    }
    if upstream.agent_address.port() == 0 {
        faults.push("agent_address", "must name a port");
    }
    if let UpstreamKind::Engine(engine) = &upstream.kind {
        check_engine(engine, faults);
    }
}

fn check_engine(engine: &EngineProfile, faults: &mut Faults) {
    faults.require_positive("kind.engine.max_layers", engine.max_layers.into());
    let decode = engine.decode_token_layers_per_s;
    faults.require_positive("kind.engine.decode_token_layers_per_s", decode);
    let prefill = engine.prefill_token_layers_per_s;
    faults.require_positive("kind.engine.prefill_token_layers_per_s", prefill);
    let Some(assignment) = &engine.assignment else {
        return;
    };
    if assignment.layers.is_empty() {
        faults.push("kind.engine.assignment.layers", "must hold a layer");
    }
    if assignment.layers.len() > engine.max_layers {
        faults.push(
            "kind.engine.assignment.layers",
            format!("must hold at most max_layers = {}", engine.max_layers),
        );
    }
}
