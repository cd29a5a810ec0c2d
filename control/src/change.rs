//! The single changes that a release note consists of.

use jujubewall_types::digest::Digest;
use jujubewall_types::note::NoteItems;
use jujubewall_types::note::ReleaseNote;

use crate::item::Item;
use crate::item::ItemKey;

/// What a note does with one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Adds an item that must not exist yet.
    Add(Item),
    /// Replaces an item that must exist.
    Change(Item),
    /// Removes an item that must exist.
    Withdraw,
}

/// One change of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The item that changes.
    pub key: ItemKey,
    /// What happens to it.
    pub action: Action,
}

impl Change {
    /// Returns the item as it is after the change.
    pub fn after(&self) -> Option<&Item> {
        match &self.action {
            Action::Add(item) | Action::Change(item) => Some(item),
            Action::Withdraw => None,
        }
    }
}

/// Lists the changes of `note`: added, changed, then withdrawn items.
pub fn changes(note: &ReleaseNote) -> Vec<Change> {
    let added = items(&note.added).into_iter().map(|item| Change {
        key: item.key(),
        action: Action::Add(item),
    });
    let changed = items(&note.changed).into_iter().map(|item| Change {
        key: item.key(),
        action: Action::Change(item),
    });
    let withdrawn = withdrawn_keys(note).into_iter().map(|key| Change {
        key,
        action: Action::Withdraw,
    });
    added.chain(changed).chain(withdrawn).collect()
}

/// Computes the digest that tells whether two notes have the same content.
pub fn content_digest(note: &ReleaseNote) -> Digest {
    // A note is plain data with text keys, which JSON can always express.
    let bytes = serde_json::to_vec(note).unwrap_or_default();
    Digest::of(&bytes)
}

fn items(items: &NoteItems) -> Vec<Item> {
    let models = items.models.iter().cloned().map(Item::Model);
    let adapters = items.adapters.iter().cloned().map(Item::Adapter);
    let accounts = items.accounts.iter().cloned().map(Item::Account);
    let upstreams = items.upstreams.iter().cloned().map(Item::Upstream);
    models
        .chain(adapters)
        .chain(accounts)
        .chain(upstreams)
        .collect()
}

fn withdrawn_keys(note: &ReleaseNote) -> Vec<ItemKey> {
    let names = &note.withdrawn;
    let models = names.models.iter().cloned().map(ItemKey::Model);
    let adapters = names.adapters.iter().cloned().map(ItemKey::Adapter);
    let accounts = names.accounts.iter().cloned().map(ItemKey::Account);
    let upstreams = names.upstreams.iter().cloned().map(ItemKey::Upstream);
    models
        .chain(adapters)
        .chain(accounts)
        .chain(upstreams)
        .collect()
}
