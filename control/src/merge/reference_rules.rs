//! Rules on references between items.

use std::collections::BTreeSet;

use jujubewall_types::config::Assignment;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::Model;
use jujubewall_types::config::Owned;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::PartnerName;

use crate::change::Change;
use crate::clash::Clash;
use crate::clash::ClashReason;
use crate::item::Item;
use crate::item::ItemKey;
use crate::merge::uniqueness_rules;

/// Returns the clashes between the changed items and the rest of `next`.
pub fn clashes(next: &Configuration, changes: &[Change]) -> Vec<Clash> {
    let changed_keys: BTreeSet<&ItemKey> = changes.iter().map(|change| &change.key).collect();
    let mut clashes = Vec::new();
    for change in changes {
        if let Some(item) = change.after() {
            clashes.extend(unresolved_reference(next, item));
        }
        if let ItemKey::Model(model) = &change.key {
            clashes.extend(broken_references(next, model, &changed_keys));
        }
    }
    clashes.extend(uniqueness_rules::clashes(next, &changed_keys));
    clashes
}

/// Returns a clash if a changed item refers to something that is not configured.
fn unresolved_reference(next: &Configuration, item: &Item) -> Option<Clash> {
    let (field, problem) = match item {
        Item::Adapter(adapter) => ("model", missing_model(next, &adapter.model)?),
        Item::Upstream(upstream) => {
            let problem = assignment_problem(next, assignment(upstream)?)?;
            ("kind.engine.assignment", problem)
        }
        Item::Model(_) | Item::Account(_) => return None,
    };
    let reason = ClashReason::Unresolved {
        field: field.to_owned(),
        target: problem,
    };
    Some(Clash::new(item.key(), reason))
}

/// Returns a clash for each unchanged item whose reference to `model` no longer resolves.
fn broken_references(
    next: &Configuration,
    model: &ModelName,
    changed_keys: &BTreeSet<&ItemKey>,
) -> Vec<Clash> {
    let adapters = next.adapters.values().filter_map(|owned| {
        let by = ItemKey::Adapter(owned.item.name.clone());
        let uses = owned.item.model == *model;
        let target = uses.then(|| missing_model(next, model)).flatten()?;
        Some((by, &owned.owner, target))
    });
    let upstreams = next.upstreams.values().filter_map(|owned| {
        let by = ItemKey::Upstream(owned.item.name.clone());
        let used = assignment(&owned.item).filter(|used| used.model == *model)?;
        let target = assignment_problem(next, used)?;
        Some((by, &owned.owner, target))
    });
    adapters
        .chain(upstreams)
        .filter(|(by, _, _)| !changed_keys.contains(by))
        .map(|(by, by_owner, target)| referenced_clash(model, by, by_owner, target))
        .collect()
}

fn referenced_clash(
    model: &ModelName,
    by: ItemKey,
    by_owner: &PartnerName,
    target: String,
) -> Clash {
    let reason = ClashReason::Referenced {
        by,
        by_owner: by_owner.clone(),
        target,
    };
    Clash::new(ItemKey::Model(model.clone()), reason)
}

fn assignment(upstream: &Upstream) -> Option<&Assignment> {
    match &upstream.kind {
        UpstreamKind::Engine(engine) => engine.assignment.as_ref(),
        UpstreamKind::Service(_) => None,
    }
}

fn missing_model(next: &Configuration, name: &ModelName) -> Option<String> {
    let is_missing = !next.models.contains_key(name);
    is_missing.then(|| format!("model {name}"))
}

fn assignment_problem(next: &Configuration, assignment: &Assignment) -> Option<String> {
    let name = &assignment.model;
    let Some(Owned { item: model, .. }) = next.models.get(name) else {
        return Some(format!("model {name}"));
    };
    if !has_version(model, assignment) {
        return Some(format!("version {} of model {name}", assignment.version));
    }
    if assignment.layers.end > model.layer_count {
        let layers = assignment.layers;
        let count = model.layer_count;
        return Some(format!(
            "layers {layers} of model {name}, which has {count}"
        ));
    }
    None
}

fn has_version(model: &Model, assignment: &Assignment) -> bool {
    model
        .versions
        .iter()
        .any(|version| version.name == assignment.version)
}
