//! Follows the operator's configuration and the upstreams' entries in the store.
//!
//! Every gateway reads both once at start. From then on, only the gateways chosen by
//! `jujubewall_routing::fleet::follower_election` watch the store, and the others fetch changes
//! from them.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::site::CONFIG_KEY;
use jujubewall_platform::site::INSTANCE_PREFIX;
use jujubewall_platform::site::config::decode_config;
use jujubewall_platform::site::registry::decode_instance;
use jujubewall_platform::site::store::Item;
use jujubewall_platform::site::store::ItemChange;
use jujubewall_platform::site::store::Watched;
use jujubewall_routing::fleet::entry_bounds::BATCH_PAUSE;
use jujubewall_routing::fleet::entry_bounds::SYNC_INTERVAL;
use jujubewall_routing::fleet::store_answers::Topic;
use jujubewall_routing::fleet::store_timing::MAX_RETRY_PAUSE;
use jujubewall_routing::fleet::store_timing::MIN_RETRY_PAUSE;
use jujubewall_routing::fleet::store_timing::PROBE_WAIT;
use jujubewall_routing::fleet::store_timing::ROLE_POLL_INTERVAL;
use jujubewall_routing::fleet::store_timing::WATCH_OVERDUE;
use jujubewall_routing::fleet::store_timing::follower_answer_age;
use jujubewall_routing::fleet::store_timing::watch_wait;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::StoreEra;
use jujubewall_types::id::StorePosition;
use log::info;
use log::warn;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::gateway::state::Gateway;

/// Follows the items under one prefix of the store.
trait Follower {
    /// Returns the prefix.
    fn prefix(&self) -> &'static str;
    /// Returns what is followed.
    fn topic(&self) -> Topic;
    /// Returns the metric event that counts list calls.
    fn list_event(&self) -> &'static str;
    /// Returns the metric event that counts watch calls.
    fn watch_event(&self) -> &'static str;
    /// Applies the list of all items, read at `position`.
    fn on_list(&self, gateway: &Gateway, items: Vec<Item>, position: StorePosition);
    /// Called when this gateway stops following changes.
    fn on_stopped(&self, gateway: &Gateway);
    /// Applies one change, made in the store's era `era`.
    fn on_change(&self, gateway: &Gateway, change: ItemChange, era: StoreEra);
    /// Returns once peers have had newer items for a while.
    async fn wait_until_behind(&self, gateway: &Gateway);
}

/// Starts to follow the store.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("follow_config", |gateway| follow(gateway, ConfigFollower));
    gateway.spawn_loop("follow_entries", |gateway| {
        follow(gateway, InstanceFollower)
    });
    gateway.spawn_loop("forget_missing", remove_absent);
}

/// Where a gateway has got to with the items under one prefix.
struct Cursor {
    /// The position from which to watch; `None` to list all items.
    position: Option<StorePosition>,
    /// When all items were last listed.
    listed_at: Instant,
    /// When the last change arrived.
    changed_at: Instant,
    /// Whether the last call failed, so that it is unknown whether the store answers.
    has_failed: bool,
}

async fn follow(gateway: Rc<Gateway>, follower: impl Follower + 'static) {
    let mut pause = MIN_RETRY_PAUSE;
    let mut cursor = Cursor {
        position: None,
        listed_at: Instant::now(),
        changed_at: Instant::now(),
        has_failed: false,
    };
    let mut has_tried = false;
    loop {
        if has_tried && !gateway.peers.follows() {
            cursor.position = None;
            follower.on_stopped(&gateway);
            let began = gateway.peers.began_to_follow.notified();
            let _ = timeout(ROLE_POLL_INTERVAL, began).await;
            continue;
        }
        has_tried = true;
        let result = match cursor.position {
            None => list(&gateway, &follower, &mut cursor).await,
            Some(after) => watch(&gateway, &follower, after, &mut cursor).await,
        };
        cursor.has_failed = result.is_err();
        match result {
            Ok(next) => {
                cursor.position = next;
                pause = MIN_RETRY_PAUSE;
            }
            Err(failure) => {
                warn!(
                    "event=store_call_failed prefix={} reason=\"{failure}\" link={:?}",
                    follower.prefix(),
                    gateway.store_belief().link()
                );
                gateway.metrics.count("store_call_failed");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

async fn list(
    gateway: &Gateway,
    follower: &impl Follower,
    cursor: &mut Cursor,
) -> Result<Option<StorePosition>, PlatformError> {
    let store = gateway.store();
    cursor.listed_at = Instant::now();
    let list = store.list(follower.prefix()).await;
    gateway.record_store_call(&list, cursor.listed_at);
    gateway.apply_store_era(store.era());
    let list = list?;
    cursor.changed_at = Instant::now();
    gateway.metrics.count(follower.list_event());
    // Before the items are applied, since it shows whether missing ones may be rewritten.
    gateway.record_store_read(follower.topic(), cursor.listed_at);
    follower.on_list(gateway, list.items, list.watch_from);
    Ok(Some(list.watch_from))
}

/// Watches for changes; returns the position to continue from, or `None` to list anew.
async fn watch(
    gateway: &Gateway,
    follower: &impl Follower,
    after: StorePosition,
    cursor: &mut Cursor,
) -> Result<Option<StorePosition>, PlatformError> {
    let wait = if cursor.has_failed {
        PROBE_WAIT
    } else {
        let followers = gateway.peers.follower_counts().served + 1;
        let rank = gateway.peers.follower_rank();
        watch_wait(rank, followers, cursor.changed_at.elapsed())
    };
    let watched = tokio::select! {
        () = stopped_following(gateway) => return Ok(None),
        () = era_changed(gateway, after.era) => return Ok(None),
        () = era_settled(gateway, cursor.listed_at) => return Ok(None),
        watched = watch_over_live_connection(gateway, follower, after, wait) => watched,
        // The watch is behind what peers know; listing anew gets the missed changes.
        () = follower.wait_until_behind(gateway) => {
            info!("event=watch_behind prefix={}", follower.prefix());
            gateway.store().abandon_connections();
            // The store may no longer answer; until it has, peers provide the changes.
            follower.on_stopped(gateway);
            return Ok(None);
        }
    };
    gateway.apply_store_era(gateway.store().era());
    match watched? {
        Watched::Changes(changes, next) => {
            gateway.record_store_read(follower.topic(), Instant::now());
            let has_changes = !changes.is_empty();
            for change in changes {
                follower.on_change(gateway, change, next.era);
            }
            if has_changes {
                cursor.changed_at = Instant::now();
                sleep(BATCH_PAUSE).await;
            }
            Ok(Some(next))
        }
        Watched::HistoryLost => {
            info!(
                "event=history_lost prefix={} after={after}",
                follower.prefix()
            );
            Ok(None)
        }
    }
}

/// Watches for changes. If the watch does not end in time, or the newest answer to any gateway
/// is too old, watches on a new connection beside it, since its own one may have gone silent,
/// and returns what ends first.
async fn watch_over_live_connection(
    gateway: &Gateway,
    follower: &impl Follower,
    after: StorePosition,
    wait: Duration,
) -> Result<Watched, PlatformError> {
    let store = gateway.store();
    let call = async |wait: Duration| {
        gateway.metrics.count(follower.watch_event());
        let begun_at = Instant::now();
        let watched = store.watch(follower.prefix(), after, wait).await;
        gateway.record_store_call(&watched, begun_at);
        watched
    };
    let first = call(wait);
    tokio::pin!(first);
    tokio::select! {
        watched = &mut first => return watched,
        () = sleep(wait + WATCH_OVERDUE) => {
            info!(
                "event=watch_overdue prefix={} wait_ms={}",
                follower.prefix(),
                wait.as_millis()
            );
            gateway.metrics.count("watch_overdue");
        }
        () = answers_overdue(gateway, follower.topic()), if wait > PROBE_WAIT => {
            gateway.metrics.count("answers_overdue");
        }
    }
    store.abandon_connections();
    tokio::select! {
        watched = first => watched,
        watched = call(PROBE_WAIT) => watched,
    }
}

/// Returns once it is this gateway's turn to ask the store, since the newest answer to any
/// gateway is too old.
async fn answers_overdue(gateway: &Gateway, topic: Topic) {
    loop {
        gateway.weigh_store_answers();
        let answered_at = gateway.store_belief().answers().answered_at(topic);
        // Without any answer, the own first read is under way.
        let since = answered_at.unwrap_or_else(Instant::now);
        let due_at = since + follower_answer_age(gateway.peers.follower_rank());
        if answered_at.is_some() && due_at <= Instant::now() {
            return;
        }
        sleep_until(due_at).await;
    }
}

/// Returns once the store has begun an era after `era`.
async fn era_changed(gateway: &Gateway, era: StoreEra) {
    while gateway.instances_position().era <= era {
        sleep(ROLE_POLL_INTERVAL).await;
    }
}

/// Returns once upstreams have rewritten their entries in a new era, if the entries were
/// last listed before that; never returns otherwise.
async fn era_settled(gateway: &Gateway, listed_at: Instant) {
    let settled_at = gateway.store_belief().era_settled_at();
    match settled_at {
        Some(at) if listed_at < at => sleep_until(at).await,
        _ => std::future::pending().await,
    }
}

/// Returns once this gateway no longer follows the store.
async fn stopped_following(gateway: &Gateway) {
    while gateway.peers.follows() {
        sleep(ROLE_POLL_INTERVAL).await;
    }
}

/// The follower of the operator's configuration.
struct ConfigFollower;

impl Follower for ConfigFollower {
    fn prefix(&self) -> &'static str {
        CONFIG_KEY
    }

    fn topic(&self) -> Topic {
        Topic::Config
    }

    fn list_event(&self) -> &'static str {
        "store_list_config"
    }

    fn watch_event(&self) -> &'static str {
        "store_watch_config"
    }

    fn on_list(&self, gateway: &Gateway, items: Vec<Item>, position: StorePosition) {
        for item in items {
            self.on_change(gateway, ItemChange::Written(item), position.era);
        }
    }

    fn on_stopped(&self, _gateway: &Gateway) {}

    fn on_change(&self, gateway: &Gateway, change: ItemChange, _era: StoreEra) {
        let ItemChange::Written(item) = change else {
            return;
        };
        if item.key != CONFIG_KEY {
            return;
        }
        match decode_config(&item.value) {
            Ok(config) => gateway.apply_config(config, "store"),
            Err(failure) => {
                warn!(
                    "event=config_unreadable revision={} reason=\"{failure}\"",
                    item.revision
                );
                gateway.metrics.count("config_unreadable");
            }
        }
    }

    /// Never returns: a newer configuration is fetched from the peers themselves.
    async fn wait_until_behind(&self, _gateway: &Gateway) {
        std::future::pending::<()>().await;
    }
}

/// The follower of the upstreams' entries.
struct InstanceFollower;

impl Follower for InstanceFollower {
    fn prefix(&self) -> &'static str {
        INSTANCE_PREFIX
    }

    fn topic(&self) -> Topic {
        Topic::Entries
    }

    fn list_event(&self) -> &'static str {
        "store_list_entries"
    }

    fn watch_event(&self) -> &'static str {
        "store_watch_entries"
    }

    fn on_list(&self, gateway: &Gateway, items: Vec<Item>, position: StorePosition) {
        let StorePosition { era, revision } = position;
        for item in &items {
            let revision = item.revision;
            gateway.advance_instances_position(StorePosition { era, revision });
        }
        gateway.entry_log_mut().restart(revision);
        let is_settling = gateway.store_belief().is_era_settling(Instant::now());
        let instances = items
            .iter()
            .filter_map(|item| decode(gateway, item))
            // In a new era the store may return entries that are some seconds old, so the
            // known state of an upstream instance that still runs takes precedence.
            .map(|instance| match gateway.instances().by_id(&instance.id) {
                Some(known) if is_settling && known.is_same_incarnation(&instance) => {
                    known.instance.clone()
                }
                _ => instance,
            })
            .collect();
        replace_instances(gateway, instances, "store");
    }

    fn on_stopped(&self, gateway: &Gateway) {
        gateway.entry_log_mut().stop();
    }

    fn on_change(&self, gateway: &Gateway, change: ItemChange, era: StoreEra) {
        let position = |revision| StorePosition { era, revision };
        match change {
            ItemChange::Written(item) => {
                record_change(gateway, &item.key, position(item.revision));
                match decode(gateway, &item) {
                    Some(instance) => upsert(gateway, instance),
                    None => remove_key(gateway, &item.key),
                }
            }
            ItemChange::Removed(key, revision) => {
                record_change(gateway, &key, position(revision));
                remove_key(gateway, &key);
            }
        }
    }

    async fn wait_until_behind(&self, gateway: &Gateway) {
        let mut behind_since: Option<Instant> = None;
        loop {
            sleep(SYNC_INTERVAL).await;
            if !gateway
                .peers
                .has_newer_instances(gateway.instances_position())
            {
                behind_since = None;
                continue;
            }
            let since = *behind_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= gateway.entry_bounds().max_behind() {
                return;
            }
        }
    }
}

/// Records the position of a change, for this gateway and for peers that fetch changes
/// from it.
fn record_change(gateway: &Gateway, key: &str, position: StorePosition) {
    gateway.advance_instances_position(position);
    if let Some(id) = key.strip_prefix(INSTANCE_PREFIX) {
        gateway.entry_log_mut().note(position.revision, id);
    }
}

fn decode(gateway: &Gateway, item: &Item) -> Option<Instance> {
    match decode_instance(&item.key, &item.value) {
        Ok(instance) => Some(instance),
        Err(failure) => {
            warn!(
                "event=entry_unreadable key={} revision={} reason=\"{failure}\"",
                item.key.escape_debug(),
                item.revision
            );
            gateway.metrics.count("entry_unreadable");
            None
        }
    }
}

/// Replaces all upstreams' entries; upstreams without an entry are removed.
pub fn replace_instances(gateway: &Gateway, instances: Vec<Instance>, source: &str) {
    let ids: HashSet<SmolStr> = instances
        .iter()
        .map(|instance| instance.id.clone())
        .collect();
    for instance in instances {
        upsert(gateway, instance);
    }
    let missing: Vec<SmolStr> = gateway
        .instances()
        .iter()
        .filter(|(_, tracked)| !ids.contains(&tracked.instance.id))
        .map(|(_, tracked)| tracked.instance.id.clone())
        .collect();
    if !gateway.is_synced() {
        info!("event=instances count={} source={source}", ids.len());
    }
    for id in missing {
        remove_upstream(gateway, &id);
    }
    gateway.set_synced();
}

/// Applies changes of upstreams' entries that were fetched from a peer.
pub fn change_instances(gateway: &Gateway, changed: Vec<Instance>, gone: &[SmolStr]) {
    for instance in changed {
        upsert(gateway, instance);
    }
    for id in gone {
        remove_upstream(gateway, id);
    }
}

fn upsert(gateway: &Gateway, instance: Instance) {
    gateway.absences_mut().on_entry(&instance.id);
    let is_change = gateway
        .instances()
        .by_id(&instance.id)
        .is_none_or(|known| known.instance != instance);
    if !is_change {
        return;
    }
    info!(
        "event=upstream id={} service={} address={} state={} layers={} born={}",
        instance.id,
        instance.service,
        instance.address,
        match instance.state {
            InstanceState::Ready => "ready",
            InstanceState::Draining => "draining",
        },
        instance
            .layers
            .map_or_else(|| "none".to_owned(), |layers| layers.to_string()),
        instance.born_unix_ms
    );
    gateway.instances_mut().upsert(instance, Instant::now());
}

fn remove_key(gateway: &Gateway, key: &str) {
    if let Some(id) = key.strip_prefix(INSTANCE_PREFIX) {
        remove_upstream(gateway, id);
    }
}

/// Removes an upstream, at once or, if it may still rewrite its entry, after that time.
fn remove_upstream(gateway: &Gateway, id: &str) {
    let now = Instant::now();
    let rewriting_until = gateway.store_belief().rewriting_until(now);
    if let Some(until) = rewriting_until {
        info!(
            "event=upstream_kept id={id} for_ms={}",
            (until - now).as_millis()
        );
        gateway.absences_mut().keep(id, until);
        return;
    }
    if let Some(gone) = gateway.instances_mut().depart(id, now) {
        info!("event=upstream_gone id={id} address={}", gone.address);
    }
}

/// Removes upstreams that have not rewritten their entries in time, or whose entries are gone
/// for most of the gateways that follow the store.
async fn remove_absent(gateway: Rc<Gateway>) {
    loop {
        sleep(SYNC_INTERVAL).await;
        let now = Instant::now();
        if gateway.store_belief().is_away() {
            continue;
        }
        let mut absent = gateway.absences_mut().take_overdue(now);
        if is_absence_confirmed(&gateway) && gateway.store_belief_mut().end_rewriting(now) {
            let confirmed = gateway.absences_mut().take_all();
            info!("event=absence_confirmed count={}", confirmed.len());
            gateway.metrics.count("absence_confirmed");
            absent.extend(confirmed);
        }
        for id in absent {
            remove_upstream(&gateway, &id);
        }
    }
}

/// Returns whether most of the peers that the store answers know the entries that are
/// missing here as gone.
fn is_absence_confirmed(gateway: &Gateway) -> bool {
    let absences = gateway.absences_mut();
    if absences.missing().next().is_none() {
        return false;
    }
    let instances = gateway.instances();
    let digest = instances.entries_digest_without(absences.missing());
    gateway.peers.most_followers_have(digest)
}
