//! Configuration items of every kind behind one type.

use std::fmt;

use jujubewall_types::admin::ItemKind;
use jujubewall_types::admin::ItemRef;
use jujubewall_types::config::Adapter;
use jujubewall_types::config::ClientAccount;
use jujubewall_types::config::Configuration;
use jujubewall_types::config::Model;
use jujubewall_types::config::Owned;
use jujubewall_types::config::Upstream;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::AdapterName;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::PartnerName;
use jujubewall_types::id::UpstreamName;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// The kind and name of an item, which identify it.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemKey {
    /// Key of a model.
    Model(ModelName),
    /// Key of an adapter.
    Adapter(AdapterName),
    /// Key of a client account.
    Account(AccountName),
    /// Key of an upstream.
    Upstream(UpstreamName),
}

impl ItemKey {
    /// Returns the kind of the item.
    pub const fn kind(&self) -> ItemKind {
        match self {
            Self::Model(_) => ItemKind::Model,
            Self::Adapter(_) => ItemKind::Adapter,
            Self::Account(_) => ItemKind::Account,
            Self::Upstream(_) => ItemKind::Upstream,
        }
    }

    /// Returns the name of the item without its kind.
    pub fn name(&self) -> &str {
        match self {
            Self::Model(name) => name.as_str(),
            Self::Adapter(name) => name.as_str(),
            Self::Account(name) => name.as_str(),
            Self::Upstream(name) => name.as_str(),
        }
    }
}

impl From<&ItemKey> for ItemRef {
    fn from(key: &ItemKey) -> Self {
        Self {
            kind: key.kind(),
            name: SmolStr::new(key.name()),
        }
    }
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind(), self.name())
    }
}

/// An item of any kind.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Item {
    /// A model.
    Model(Model),
    /// An adapter.
    Adapter(Adapter),
    /// A client account.
    Account(ClientAccount),
    /// An upstream.
    Upstream(Upstream),
}

impl Item {
    /// Returns the key of the item.
    pub fn key(&self) -> ItemKey {
        match self {
            Self::Model(item) => ItemKey::Model(item.name.clone()),
            Self::Adapter(item) => ItemKey::Adapter(item.name.clone()),
            Self::Account(item) => ItemKey::Account(item.name.clone()),
            Self::Upstream(item) => ItemKey::Upstream(item.name.clone()),
        }
    }
}

/// Returns a copy of the item with `key` and its owner, if the item exists.
pub fn find(configuration: &Configuration, key: &ItemKey) -> Option<Owned<Item>> {
    match key {
        ItemKey::Model(name) => clone_item(configuration.models.get(name), Item::Model),
        ItemKey::Adapter(name) => clone_item(configuration.adapters.get(name), Item::Adapter),
        ItemKey::Account(name) => clone_item(configuration.accounts.get(name), Item::Account),
        ItemKey::Upstream(name) => clone_item(configuration.upstreams.get(name), Item::Upstream),
    }
}

/// Adds or replaces an item.
pub fn insert(configuration: &mut Configuration, owner: PartnerName, item: Item) {
    match item {
        Item::Model(item) => {
            let name = item.name.clone();
            configuration.models.insert(name, Owned { owner, item });
        }
        Item::Adapter(item) => {
            let name = item.name.clone();
            configuration.adapters.insert(name, Owned { owner, item });
        }
        Item::Account(item) => {
            let name = item.name.clone();
            configuration.accounts.insert(name, Owned { owner, item });
        }
        Item::Upstream(item) => {
            let name = item.name.clone();
            configuration.upstreams.insert(name, Owned { owner, item });
        }
    }
}

/// Removes an item if it exists.
pub fn remove(configuration: &mut Configuration, key: &ItemKey) {
    match key {
        ItemKey::Model(name) => drop(configuration.models.remove(name)),
        ItemKey::Adapter(name) => drop(configuration.adapters.remove(name)),
        ItemKey::Account(name) => drop(configuration.accounts.remove(name)),
        ItemKey::Upstream(name) => drop(configuration.upstreams.remove(name)),
    }
}

fn clone_item<T: Clone>(found: Option<&Owned<T>>, into_item: fn(T) -> Item) -> Option<Owned<Item>> {
    let owned = found?;
    Some(Owned {
        owner: owned.owner.clone(),
        item: into_item(owned.item.clone()),
    })
}

/// A borrowed item of any kind with its owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BorrowedItem<'a> {
    /// A model.
    Model(&'a Owned<Model>),
    /// An adapter.
    Adapter(&'a Owned<Adapter>),
    /// A client account.
    Account(&'a Owned<ClientAccount>),
    /// An upstream.
    Upstream(&'a Owned<Upstream>),
}

/// Returns an iterator over every item that does not belong to `partner`.
pub fn items_of_others<'a>(
    configuration: &'a Configuration,
    partner: &'a PartnerName,
) -> impl Iterator<Item = BorrowedItem<'a>> {
    let models = not_owned_by(configuration.models.values(), partner).map(BorrowedItem::Model);
    let adapters =
        not_owned_by(configuration.adapters.values(), partner).map(BorrowedItem::Adapter);
    let accounts =
        not_owned_by(configuration.accounts.values(), partner).map(BorrowedItem::Account);
    let upstreams =
        not_owned_by(configuration.upstreams.values(), partner).map(BorrowedItem::Upstream);
    models.chain(adapters).chain(accounts).chain(upstreams)
}

fn not_owned_by<'a, T: 'a>(
    items: impl Iterator<Item = &'a Owned<T>>,
    partner: &'a PartnerName,
) -> impl Iterator<Item = &'a Owned<T>> {
    items.filter(move |owned| owned.owner != *partner)
}
