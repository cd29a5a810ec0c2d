//! Rules on values that items must not share or on which they must agree.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hash;

use jujubewall_types::admin::ItemKind;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::Owned;
use jujubewall_types::config::Upstream;
use jujubewall_types::config::UpstreamKind;
use jujubewall_types::id::PartnerName;

use crate::clash::Clash;
use crate::clash::ClashReason;
use crate::item::ItemKey;

/// Returns a clash for each changed item that shares or contradicts a value of another item.
pub fn clashes(next: &Configuration, changed: &BTreeSet<&ItemKey>) -> Vec<Clash> {
    let has_changed = |kind| changed.iter().any(|key| key.kind() == kind);
    let mut clashes = Vec::new();
    if has_changed(ItemKind::Account) {
        clashes.extend(shared_account_keys(next, changed));
    }
    if has_changed(ItemKind::Upstream) {
        clashes.extend(shared_addresses(next, changed));
        clashes.extend(contradicted_hosts(next, changed));
        clashes.extend(contradicted_services(next, changed));
    }
    clashes
}

/// A statement of one item about a subject; all items must agree on each subject.
struct Claim<'a, K, V> {
    key: ItemKey,
    owner: &'a PartnerName,
    subject: K,
    statement: V,
}

/// Returns a clash for each changed item whose statement differs from an earlier claim.
///
/// Unchanged items are considered first, so that always a changed item is refused.
fn conflicts<K: Eq + Hash, V: PartialEq>(
    claims: Vec<Claim<'_, K, V>>,
    changed: &BTreeSet<&ItemKey>,
    reason: impl Fn(ItemKey, PartnerName) -> ClashReason,
) -> Vec<Clash> {
    let (changed_claims, unchanged_claims): (Vec<_>, Vec<_>) = claims
        .into_iter()
        .partition(|claim| changed.contains(&claim.key));
    let mut accepted = HashMap::new();
    let mut clashes = Vec::new();
    for claim in unchanged_claims {
        accepted
            .entry(claim.subject)
            .or_insert((claim.key, claim.owner, claim.statement));
    }
    for claim in changed_claims {
        let Some((by, by_owner, statement)) = accepted.get(&claim.subject) else {
            accepted.insert(claim.subject, (claim.key, claim.owner, claim.statement));
            continue;
        };
        if *statement != claim.statement {
            let reason = reason(by.clone(), (*by_owner).clone());
            clashes.push(Clash::new(claim.key, reason));
        }
    }
    clashes
}

fn taken(field: &str) -> impl Fn(ItemKey, PartnerName) -> ClashReason {
    move |by, by_owner| ClashReason::Taken {
        field: field.to_owned(),
        by,
        by_owner,
    }
}

fn contradicts(field: &str) -> impl Fn(ItemKey, PartnerName) -> ClashReason {
    move |by, by_owner| ClashReason::Contradicts {
        field: field.to_owned(),
        by,
        by_owner,
    }
}

fn shared_account_keys(next: &Configuration, changed: &BTreeSet<&ItemKey>) -> Vec<Clash> {
    let mut claims = Vec::new();
    for owned in next.accounts.values() {
        for digest in &owned.item.key_digests {
            claims.push(Claim {
                key: ItemKey::Account(owned.item.name.clone()),
                owner: &owned.owner,
                subject: *digest,
                statement: &owned.item.name,
            });
        }
    }
    conflicts(claims, changed, taken("key_digests"))
}

fn shared_addresses(next: &Configuration, changed: &BTreeSet<&ItemKey>) -> Vec<Clash> {
    let claims = claims(next, |upstream| (upstream.address, &upstream.name));
    conflicts(claims, changed, taken("address"))
}

fn contradicted_hosts(next: &Configuration, changed: &BTreeSet<&ItemKey>) -> Vec<Clash> {
    let claims = claims(next, |upstream| (&upstream.host, &upstream.failure_domain));
    conflicts(claims, changed, contradicts("failure_domain"))
}

fn claims<'a, K, V>(
    next: &'a Configuration,
    claim: impl Fn(&'a Upstream) -> (K, V),
) -> Vec<Claim<'a, K, V>> {
    let from_upstream = |owned: &'a Owned<Upstream>| {
        let (subject, statement) = claim(&owned.item);
        Claim {
            key: ItemKey::Upstream(owned.item.name.clone()),
            owner: &owned.owner,
            subject,
            statement,
        }
    };
    next.upstreams.values().map(from_upstream).collect()
}

/// Checks that all upstreams of a service have the same owner and agree on whether its
/// calls are idempotent.
fn contradicted_services(next: &Configuration, changed: &BTreeSet<&ItemKey>) -> Vec<Clash> {
    let mut claims = Vec::new();
    for owned in next.upstreams.values() {
        if let UpstreamKind::Service(profile) = &owned.item.kind {
            claims.push(Claim {
                key: ItemKey::Upstream(owned.item.name.clone()),
                owner: &owned.owner,
                subject: &profile.service,
                statement: (&owned.owner, profile.idempotent),
            });
        }
    }
    conflicts(claims, changed, contradicts("kind.service"))
}
