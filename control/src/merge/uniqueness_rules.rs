//! Values that two items must not share, or on which they must agree.

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

/// Lists the changed items that share or contradict a value of another item.
pub fn clashes(next: &Configuration, changed: &BTreeSet<&ItemKey>) -> Vec<Clash> {
    let touches = |kind| changed.iter().any(|key| key.kind() == kind);
    let mut clashes = Vec::new();
    if touches(ItemKind::Account) {
        clashes.extend(shared_account_keys(next, changed));
    }
    if touches(ItemKind::Upstream) {
        clashes.extend(shared_addresses(next, changed));
        clashes.extend(contradicted_hosts(next, changed));
        clashes.extend(contradicted_services(next, changed));
    }
    clashes
}

/// A claim by one item on a value.
struct Claim<'a, K, V> {
    key: ItemKey,
    owner: &'a PartnerName,
    subject: K,
    statement: V,
}

/// Finds the changed items whose claim on a subject differs from an earlier one.
///
/// Unchanged items come first, so that the changed one is always the one refused.
fn conflicts<K: Eq + Hash, V: PartialEq>(
    claims: Vec<Claim<'_, K, V>>,
    changed: &BTreeSet<&ItemKey>,
    reason: impl Fn(ItemKey, PartnerName) -> ClashReason,
) -> Vec<Clash> {
    let (late, early): (Vec<_>, Vec<_>) = claims
        .into_iter()
        .partition(|claim| changed.contains(&claim.key));
    let mut first = HashMap::new();
    let mut clashes = Vec::new();
    for claim in early {
        first
            .entry(claim.subject)
            .or_insert((claim.key, claim.owner, claim.statement));
    }
    for claim in late {
        let Some((by, by_owner, statement)) = first.get(&claim.subject) else {
            first.insert(claim.subject, (claim.key, claim.owner, claim.statement));
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

/// A service has one owner and one answer to whether its calls may be repeated.
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
