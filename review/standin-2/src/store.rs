//! The platform's store, by its published protocol.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Message;
use crate::json;
use crate::json::Json;
use crate::json::quote;
use crate::json::to_base64;

const HISTORY: Duration = Duration::from_secs(20);
const MIN_TTL_MS: u64 = 1_000;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
    at: Instant,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// The revision up to which the history is no longer held.
    forgotten: u64,
    leases: HashMap<u64, (u64, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &[u8], lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_vec(), revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        let at = Instant::now();
        self.history.push_back(Change { key: key.to_owned(), revision, item: Some(item), at });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let (revision, at) = (self.revision, Instant::now());
            self.history.push_back(Change { key: key.to_owned(), revision, item: None, at });
        }
    }
}

/// How the store treats one machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mood {
    Well,
    /// It answers every call with this status and does nothing.
    Refuse(u16),
}

/// The way of one machine to the store.
pub struct Door {
    pub mood: Mutex<Mood>,
    /// The last watch or list that was served here.
    pub read_at: Mutex<Option<Instant>>,
    /// The last renewal of a lease that was served here.
    pub renewed_at: Mutex<Option<Instant>>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let state = State { revision: 100, forgotten: 100, ..State::default() };
        let store = Arc::new(Self { state: Mutex::new(state), changed: Condvar::new() });
        let reaper = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                reaper.reap();
            }
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn reap(&self) {
        let mut state = self.state();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            end_lease(&mut state, lease);
        }
        while state.history.front().is_some_and(|change| now - change.at > HISTORY) {
            if let Some(change) = state.history.pop_front() {
                state.forgotten = change.revision;
            }
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Writes a key, as the operator or a runner does. Returns when it was acknowledged.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.state().put(key, value.as_bytes(), 0);
        self.changed.notify_all();
        Instant::now()
    }

    /// Removes a key, as a runner does or its silence.
    pub fn remove(&self, key: &str) -> Instant {
        self.state().remove(key);
        self.changed.notify_all();
        Instant::now()
    }

    /// Serves calls at an address of one machine.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> Arc<Door> {
        let door = Arc::new(Door {
            mood: Mutex::new(Mood::Well),
            read_at: Mutex::new(None),
            renewed_at: Mutex::new(None),
        });
        let (store, own) = (Arc::clone(self), Arc::clone(&door));
        http::serve(listener, move |call, _| {
            if let Mood::Refuse(status) = *own.mood.lock().unwrap() {
                return Some(answer(status, "{}"));
            }
            thread::sleep(Duration::from_millis(2));
            if matches!(call.path(), "/v1/kv-watch" | "/v1/kv-range") {
                *own.read_at.lock().unwrap() = Some(Instant::now());
            }
            if call.path().starts_with("/v1/kv-keep/") {
                *own.renewed_at.lock().unwrap() = Some(Instant::now());
            }
            Some(store.call(call, &own))
        });
        door
    }

    fn call(&self, call: &Message, door: &Door) -> Answer {
        let path = call.path();
        match (call.method(), path) {
            ("GET", "/v1/kv-key") => {
                let key = call.query("key").unwrap_or_default();
                let state = self.state();
                match state.items.get(&key) {
                    Some(item) => answer(200, &item_json(&key, item)),
                    None => answer(404, "{}"),
                }
            }
            ("GET", "/v1/kv-range") => {
                let prefix = call.query("path_prefix").unwrap_or_default();
                let after = call.query("after").unwrap_or_default();
                let state = self.state();
                let mut items = Vec::new();
                let mut has_more = false;
                for (key, item) in &state.items {
                    if !key.starts_with(&prefix) || (!after.is_empty() && *key <= after) {
                        continue;
                    }
                    if items.len() == 500 {
                        has_more = true;
                        break;
                    }
                    items.push(item_json(key, item));
                }
                let (items, revision) = (items.join(","), state.revision);
                answer(
                    200,
                    &format!(
                        "{{\"items\":[{items}],\"has_more\":{has_more},\"store_revision\":{revision}}}"
                    ),
                )
            }
            ("GET", "/v1/kv-watch") => self.watch(call, door),
            ("POST", "/v1/kv-txn") => self.transaction(&call.body),
            ("POST", "/v1/kv-lease") => {
                let ttl = json::parse(&call.body).and_then(|body| body.number("ttl_ms"));
                let ttl = (ttl.unwrap_or(0.0) as u64).max(MIN_TTL_MS);
                let mut state = self.state();
                state.last_lease += 1;
                let lease = state.last_lease;
                let end = Instant::now() + Duration::from_millis(ttl);
                state.leases.insert(lease, (ttl, end));
                answer(200, &format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            (method, path) => {
                let id = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
                let mut state = self.state();
                let Some(lease) = id.filter(|id| state.leases.contains_key(id)) else {
                    return answer(404, "{}");
                };
                if method == "POST" && path.starts_with("/v1/kv-keep/") {
                    if let Some((ttl, end)) = state.leases.get_mut(&lease) {
                        *end = Instant::now() + Duration::from_millis(*ttl);
                    }
                } else if method == "DELETE" && path.starts_with("/v1/kv-lease-end/") {
                    end_lease(&mut state, lease);
                } else {
                    return answer(404, "{}");
                }
                answer(200, "{}")
            }
        }
    }

    fn watch(&self, call: &Message, door: &Door) -> Answer {
        let prefix = call.query("path_prefix").unwrap_or_default();
        let number = |name| call.query(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let (after, wait_ms) = (number("after"), number("wait_ms"));
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state();
        loop {
            if let Mood::Refuse(status) = *door.mood.lock().unwrap() {
                return answer(status, "{}");
            }
            if after < state.forgotten {
                return answer(410, "{}");
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|change| change.revision > after && change.key.starts_with(&prefix))
                .map(|change| match &change.item {
                    Some(item) => item_json(&change.key, item),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        quote(&change.key),
                        change.revision
                    ),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                return answer(
                    200,
                    &format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            state = self.changed.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transaction(&self, body: &[u8]) -> Answer {
        let Some(call) = json::parse(body) else {
            return answer(400, "{}");
        };
        let mut state = self.state();
        let writes = call.list("writes");
        let is_foreign = writes.iter().any(|write| {
            let key = write.text("key").unwrap_or_default();
            key.starts_with("op/") || key.starts_with("servers/")
        });
        if is_foreign {
            return answer(403, "{}");
        }
        let lease_of = |write: &Json| write.number("lease").unwrap_or(0.0) as u64;
        let has_leases = writes
            .iter()
            .all(|write| lease_of(write) == 0 || state.leases.contains_key(&lease_of(write)));
        if !has_leases {
            return answer(404, "{}");
        }
        let mut found = Vec::new();
        let mut fits = true;
        for row in call.list("expected") {
            let key = row.text("key").unwrap_or_default();
            let wanted = row.number("revision").unwrap_or(0.0) as u64;
            let item = state.items.get(key);
            fits &= item.map_or(0, |item| item.revision) == wanted;
            found.extend(item.map(|item| item_json(key, item)));
        }
        if !fits {
            return answer(412, &format!("{{\"items\":[{}]}}", found.join(",")));
        }
        for write in writes {
            let key = write.text("key").unwrap_or_default();
            let value = json::from_base64(write.text("value").unwrap_or_default());
            state.put(key, &value, lease_of(write));
        }
        for key in call.list("remove") {
            if let Json::Text(key) = key {
                state.remove(key);
            }
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_all();
        answer(200, &format!("{{\"revision\":{revision}}}"))
    }
}

fn end_lease(state: &mut State, lease: u64) {
    state.leases.remove(&lease);
    let keys: Vec<String> = state
        .items
        .iter()
        .filter(|(_, item)| item.lease == lease)
        .map(|(key, _)| key.clone())
        .collect();
    for key in keys {
        state.remove(&key);
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn answer(status: u16, body: &str) -> Answer {
    Answer::new(status, body).with("Content-Type", "application/json")
}
