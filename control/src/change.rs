//! Individual item changes of a release note.

use jujubewall_types::digest::Digest;
use jujubewall_types::note::NoteItems;
use jujubewall_types::note::ReleaseNote;

use crate::item::Item;
use crate::item::ItemKey;

/// Action of a note on one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Adds an item that must not exist yet.
    Add(Item),
    /// Replaces an item that must exist.
    Change(Item),
    /// Removes an item that must exist.
    Withdraw,
}

/// A change of one item.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Key of the changed item.
    pub key: ItemKey,
    /// Action on the item.
    pub action: Action,
}

impl Change {
    /// Returns the item after the change; `None` if it is withdrawn.
    pub fn after(&self) -> Option<&Item> {
        match &self.action {
            Action::Add(item) | Action::Change(item) => Some(item),
            Action::Withdraw => None,
        }
    }
}

/// Returns the changes of `note`: first added, then changed, then withdrawn items.
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

/// Computes a digest by which notes with the same content are recognised.
pub fn content_digest(note: &ReleaseNote) -> Digest {
    // Serialization cannot fail: a note is plain data with string keys.
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
