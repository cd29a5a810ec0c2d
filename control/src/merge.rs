//! Applies a release note to a configuration.
//!
//! The function is pure: the same rules apply to the notes of both partners in every
//! process, and a note that lost a race is evaluated again against the configuration that
//! won.

mod item_rules;
mod reference_rules;
mod uniqueness_rules;

use std::collections::BTreeSet;

use jujubewall_types::config::Configuration;
use jujubewall_types::id::PartnerName;
use jujubewall_types::note::ReleaseNote;

use crate::change::Action;
use crate::change::Change;
use crate::change::changes;
use crate::clash::Clash;
use crate::clash::ClashReason;
use crate::invariant::Invariant;
use crate::item;
use crate::item::ItemKey;

/// Maximum number of items that one note may change.
pub const MAX_NOTE_ITEMS: usize = 8192;

/// Applies `note` to `configuration`, or returns every reason to refuse it.
///
/// The result has the next revision. The clashes do not name the winning notes, because a
/// configuration does not record which note last wrote an item; see
/// [`crate::snapshot::Snapshot::add_winners`].
pub fn apply(
    configuration: &Configuration,
    note: &ReleaseNote,
) -> Result<Configuration, Vec<Clash>> {
    let changes = changes(note);
    check_size(&changes)?;
    let mut clashes = check_ownership(configuration, &note.partner, &changes);
    if !clashes.is_empty() {
        clashes.extend(item_clashes(&changes));
        return Err(clashes);
    }
    let next = replace_items(configuration, &note.partner, &changes);
    clashes.extend(item_clashes(&changes));
    clashes.extend(reference_rules::clashes(&next, &changes));
    if !clashes.is_empty() {
        return Err(clashes);
    }
    check_other_partners(configuration, &next, &note.partner);
    Ok(next)
}

fn check_size(changes: &[Change]) -> Result<(), Vec<Clash>> {
    let Some(excess) = changes.get(MAX_NOTE_ITEMS) else {
        return Ok(());
    };
    let reason = ClashReason::TooManyItems {
        items: changes.len(),
        limit: MAX_NOTE_ITEMS,
    };
    Err(vec![Clash::new(excess.key.clone(), reason)])
}

fn check_ownership(
    configuration: &Configuration,
    partner: &PartnerName,
    changes: &[Change],
) -> Vec<Clash> {
    let mut seen = BTreeSet::new();
    let mut clashes = Vec::new();
    for change in changes {
        if !seen.insert(&change.key) {
            clashes.push(Clash::new(change.key.clone(), ClashReason::Repeated));
        }
        clashes.extend(ownership_clash(configuration, partner, change));
    }
    clashes
}

fn ownership_clash(
    configuration: &Configuration,
    partner: &PartnerName,
    change: &Change,
) -> Option<Clash> {
    let found = item::find(configuration, &change.key);
    let is_addition = matches!(change.action, Action::Add(_));
    let clash = |reason| Clash::new(change.key.clone(), reason);
    match found {
        Some(owned) if is_addition => Some(clash(ClashReason::Exists).with_owner(owned.owner)),
        Some(owned) if owned.owner != *partner => {
            Some(clash(ClashReason::NotOwned).with_owner(owned.owner))
        }
        None if !is_addition => Some(clash(ClashReason::Missing)),
        _ => None,
    }
}

fn item_clashes(changes: &[Change]) -> Vec<Clash> {
    changes
        .iter()
        .filter_map(Change::after)
        .flat_map(item_rules::clashes)
        .collect()
}

fn replace_items(
    configuration: &Configuration,
    partner: &PartnerName,
    changes: &[Change],
) -> Configuration {
    let mut next = configuration.clone();
    next.revision = configuration.revision.next();
    for change in changes {
        match change.after() {
            Some(item) => item::insert(&mut next, partner.clone(), item.clone()),
            None => item::remove(&mut next, &change.key),
        }
    }
    next
}

fn check_other_partners(before: &Configuration, after: &Configuration, partner: &PartnerName) {
    let untouched =
        item::items_of_others(before, partner).eq(item::items_of_others(after, partner));
    Invariant::OtherPartnerUntouched.check(
        untouched,
        format_args!("a note of partner {partner} changed another partner's item"),
    );
}

/// Lists the keys of the items that a note changes.
pub fn changed_keys(note: &ReleaseNote) -> Vec<ItemKey> {
    changes(note).into_iter().map(|change| change.key).collect()
}
