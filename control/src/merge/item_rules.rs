//! Validation rules for a single item.

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

/// Maximum number of layers of a model.
pub const MAX_LAYERS: u32 = 16_384;

/// Maximum number of versions of one model.
pub const MAX_VERSIONS: usize = 16;

/// Maximum number of keys of one account that are valid at the same time.
pub const MAX_ACCOUNT_KEYS: usize = 8;

/// Returns the invalid fields of `item`, regardless of the rest of the configuration.
pub fn clashes(item: &Item) -> Vec<Clash> {
    let mut collector = ClashCollector::new(item.key());
    match item {
        Item::Model(model) => check_model(model, &mut collector),
        Item::Adapter(adapter) => check_adapter(adapter, &mut collector),
        Item::Account(account) => check_account(account, &mut collector),
        Item::Upstream(upstream) => check_upstream(upstream, &mut collector),
    }
    collector.clashes
}

/// Collects the clashes of one item.
struct ClashCollector {
    key: ItemKey,
    clashes: Vec<Clash>,
}

impl ClashCollector {
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

fn check_model(model: &Model, collector: &mut ClashCollector) {
    collector.require_positive("layer_count", model.layer_count.into());
    if model.layer_count > MAX_LAYERS {
        collector.push("layer_count", format!("must be at most {MAX_LAYERS}"));
    }
    collector.require_positive("max_prompt_tokens", model.max_prompt_tokens.into());
    collector.require_positive("max_answer_tokens", model.max_answer_tokens.into());
    check_versions(model, collector);
}

fn check_versions(model: &Model, collector: &mut ClashCollector) {
    let names = || model.versions.iter().map(|version| &version.name);
    collector.require_count("versions", model.versions.len(), MAX_VERSIONS);
    collector.require_distinct("versions", names());
    for (index, version) in model.versions.iter().enumerate() {
        let field = format!("versions[{index}].layer_bytes");
        collector.require_positive(&field, version.layer_bytes);
    }
    if !names().any(|name| *name == model.active_version) {
        collector.push("active_version", "must be one of the versions");
    }
}

fn check_adapter(adapter: &Adapter, collector: &mut ClashCollector) {
    collector.require_positive("size_bytes", adapter.size_bytes);
}

fn check_account(account: &ClientAccount, collector: &mut ClashCollector) {
    collector.require_count("key_digests", account.key_digests.len(), MAX_ACCOUNT_KEYS);
    collector.require_distinct("key_digests", account.key_digests.iter());
    collector.require_positive("weight", account.weight.into());
    collector.require_positive("max_in_flight", account.max_in_flight.into());
    collector.require_positive("requests_per_s", account.requests_per_s.into());
}

fn check_upstream(upstream: &Upstream, collector: &mut ClashCollector) {
    if upstream.address.port() == 0 {
        collector.push("address", "must name a port");
    }
    if upstream.agent_address.port() == 0 {
        collector.push("agent_address", "must name a port");
    }
    if let UpstreamKind::Engine(engine) = &upstream.kind {
        check_engine(engine, collector);
    }
}

fn check_engine(engine: &EngineProfile, collector: &mut ClashCollector) {
    collector.require_positive("kind.engine.max_layers", engine.max_layers.into());
    let decode = engine.decode_token_layers_per_s;
    collector.require_positive("kind.engine.decode_token_layers_per_s", decode);
    let prefill = engine.prefill_token_layers_per_s;
    collector.require_positive("kind.engine.prefill_token_layers_per_s", prefill);
    let Some(assignment) = &engine.assignment else {
        return;
    };
    if assignment.layers.is_empty() {
        collector.push("kind.engine.assignment.layers", "must hold a layer");
    }
    if assignment.layers.len() > engine.max_layers {
        collector.push(
            "kind.engine.assignment.layers",
            format!("must hold at most max_layers = {}", engine.max_layers),
        );
    }
}
