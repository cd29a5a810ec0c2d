//! A stand-in for the metadata store of the users' platform.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::http_server::HttpHandler;
use crate::http_server::ServerAnswer;
use crate::http_server::ServerHandle;
use crate::http_server::json_reply;
use crate::http_server::serve_http;

/// The items that one page of a range holds; small, so that tests meet several pages.
const PAGE_ITEMS: usize = 5;

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StoreMood {
    /// Calls are answered.
    #[default]
    Well,
    /// Calls are refused with this status, and nothing is done.
    Refusing(u16),
    /// Connections are closed without a reply, and nothing is done.
    Closing,
    /// Writes are done, and their replies are lost.
    LosingReplies,
    /// Calls are never answered.
    Silent,
}

impl StoreMood {
    /// Returns what becomes of a call that is not served; `None` if calls are served.
    pub(crate) async fn unserved_answer(self) -> Option<ServerAnswer> {
        match self {
            Self::Refusing(status) => Some(json_reply(status, &json!({}))),
            Self::Closing => Some(ServerAnswer::Closed),
            Self::Silent => std::future::pending().await,
            Self::Well | Self::LosingReplies => None,
        }
    }
}

#[derive(Clone)]
struct StoredItem {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct StoredLease {
    ttl_ms: u64,
    end: Instant,
}

/// What comes back of a store that is restored.
#[derive(Clone, Default)]
struct Copy {
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    removals: Vec<(u64, String)>,
    last_lease: u64,
}

#[derive(Default)]
struct State {
    mood: StoreMood,
    era: u64,
    copy: Copy,
    revision: u64,
    items: BTreeMap<String, StoredItem>,
    /// The removals with their revisions.
    removals: Vec<(u64, String)>,
    /// The revision up to which the history is gone.
    compacted: u64,
    leases: BTreeMap<u64, StoredLease>,
    last_lease: u64,
    calls: u64,
    /// How often waiting watches have been cut.
    watch_cuts: u64,
}

/// A metadata store in memory.
#[derive(Default)]
pub struct SiteStore {
    state: Mutex<State>,
    changed: Notify,
}

impl SiteStore {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Serves the store at `listener` until the handle is dropped.
    pub fn serve(self: &Arc<Self>, listener: TcpListener) -> ServerHandle {
        serve_http(listener, Arc::clone(self) as Arc<dyn HttpHandler>)
    }

    /// Sets how calls are treated from now on, watches that wait too.
    pub fn set_mood(&self, mood: StoreMood) {
        self.state().mood = mood;
        self.changed.notify_waiters();
    }

    /// Closes the connections of all watches that wait.
    pub fn cut_watches(&self) {
        self.state().watch_cuts += 1;
        self.changed.notify_waiters();
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Writes an item past the interface, as the operator and runners do.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.state().write(key, encode(value), 0);
        self.changed.notify_waiters();
    }

    /// Writes an item whose value is returned as this text, whatever it encodes.
    pub fn put_encoded(&self, key: &str, text: &str) {
        self.state().write(key, text.to_owned(), 0);
        self.changed.notify_waiters();
    }

    /// Writes a configuration, as the operator does.
    pub fn put_config(&self, config: &Value) {
        self.put("op/config", config.to_string().as_bytes());
    }

    /// Removes an item past the interface.
    pub fn remove(&self, key: &str) {
        self.state().remove(key);
        self.changed.notify_waiters();
    }

    /// Returns the value of an item.
    pub fn value(&self, key: &str) -> Option<String> {
        let mut state = self.state();
        state.expire_leases();
        state.items.get(key).map(|item| item.value.clone())
    }

    /// Keeps a copy, for [`Self::restore`].
    pub fn keep_copy(&self) {
        let mut state = self.state();
        state.copy = Copy {
            revision: state.revision,
            items: state.items.clone(),
            removals: state.removals.clone(),
            last_lease: state.last_lease,
        };
    }

    /// Comes back from the copy: all that was written since is lost, leases too, and a new
    /// era begins, in which revisions and leases are given out again.
    pub fn restore(&self) {
        let mut state = self.state();
        let copy = state.copy.clone();
        state.revision = copy.revision;
        state.items = copy.items;
        state.removals = copy.removals;
        state.last_lease = copy.last_lease;
        state.leases.clear();
        state.compacted = 0;
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops the history, so that older watches cannot go on.
    pub fn compact(&self) {
        let mut state = self.state();
        state.compacted = state.revision;
        state.removals.clear();
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn watch(&self, query: &BTreeMap<String, String>) -> ServerAnswer {
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after: u64 = number(query, "after");
        let end = Instant::now() + Duration::from_millis(number(query, "wait_ms"));
        let cuts = self.state().watch_cuts;
        loop {
            let changed = self.changed.notified();
            if let Some(answer) = self.unserved_answer().await {
                return answer;
            }
            {
                let mut state = self.state();
                if state.watch_cuts != cuts {
                    return ServerAnswer::Closed;
                }
                state.expire_leases();
                if after < state.compacted || after > state.revision {
                    return json_reply(410, &json!({}));
                }
                let events = state.events(&prefix, after);
                if !events.is_empty() || Instant::now() >= end {
                    let revision = state.revision;
                    return json_reply(200, &json!({"events": events, "store_revision": revision}));
                }
            }
            // Whether something changed or the time is over, the events are read anew.
            let _ = timeout(end.saturating_duration_since(Instant::now()), changed).await;
        }
    }

    fn answer(
        &self,
        method: &Method,
        path: &str,
        query: &BTreeMap<String, String>,
        body: &Value,
    ) -> ServerAnswer {
        let mut state = self.state();
        state.expire_leases();
        let answer = match (method, path) {
            (&Method::GET, "/v1/kv-key") => state.get(&query["key"]),
            (&Method::GET, "/v1/kv-range") => state.range(query),
            (&Method::POST, "/v1/kv-txn") => state.transact(body),
            (&Method::POST, "/v1/kv-lease") => state.grant(body),
            _ => state.lease_call(method, path),
        };
        drop(state);
        self.changed.notify_waiters();
        answer
    }
}

#[async_trait]
impl HttpHandler for SiteStore {
    async fn handle(&self, request: Request<Bytes>) -> ServerAnswer {
        let mut answer = self.answer_in_mood(request).await;
        if let ServerAnswer::Reply(reply) = &mut answer {
            let era = self.state().era;
            reply.headers_mut().insert("store-era", era.into());
        }
        answer
    }
}

impl SiteStore {
    async fn unserved_answer(&self) -> Option<ServerAnswer> {
        let mood = self.state().mood;
        mood.unserved_answer().await
    }

    async fn answer_in_mood(&self, request: Request<Bytes>) -> ServerAnswer {
        self.state().calls += 1;
        if let Some(answer) = self.unserved_answer().await {
            return answer;
        }
        let mood = self.state().mood;
        let query = parse_query(request.uri().query().unwrap_or_default());
        if request.uri().path() == "/v1/kv-watch" {
            return self.watch(&query).await;
        }
        let body = serde_json::from_slice(request.body()).unwrap_or_default();
        let answer = self.answer(request.method(), request.uri().path(), &query, &body);
        if mood == StoreMood::LosingReplies && request.method() != Method::GET {
            return ServerAnswer::Closed;
        }
        answer
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = StoredItem {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.removals.push((self.revision, key.to_owned()));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, lease| lease.end > now);
        let leases = &self.leases;
        let lapsed: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            self.remove(&key);
        }
    }

    fn item(&self, key: &str) -> Option<Value> {
        let item = self.items.get(key)?;
        Some(json!({
            "key": key, "value": item.value, "revision": item.revision,
            "created": item.created, "lease": item.lease,
        }))
    }

    fn get(&self, key: &str) -> ServerAnswer {
        match self.item(key) {
            Some(item) => json_reply(200, &item),
            None => json_reply(404, &json!({})),
        }
    }

    fn range(&self, query: &BTreeMap<String, String>) -> ServerAnswer {
        let prefix = query.get("path_prefix").cloned().unwrap_or_default();
        let after = query.get("after").cloned().unwrap_or_default();
        let mut items: Vec<Value> = self
            .items
            .keys()
            .filter(|key| key.starts_with(&prefix) && **key > after)
            .filter_map(|key| self.item(key))
            .collect();
        let has_more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        let page = json!({
            "items": items, "has_more": has_more, "store_revision": self.revision,
        });
        json_reply(200, &page)
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let written = self
            .items
            .iter()
            .filter(|(key, item)| key.starts_with(prefix) && item.revision > after)
            .filter_map(|(key, item)| Some((item.revision, self.item(key)?)));
        let removed = self
            .removals
            .iter()
            .filter(|(revision, key)| key.starts_with(prefix) && *revision > after)
            .map(|(revision, key)| {
                let event = json!({"key": key, "revision": revision, "tombstone": true});
                (*revision, event)
            });
        let mut events: Vec<(u64, Value)> = written.chain(removed).collect();
        events.sort_by_key(|(revision, _)| *revision);
        events.into_iter().map(|(_, event)| event).collect()
    }

    fn transact(&mut self, body: &Value) -> ServerAnswer {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let text = |row: &Value, name: &str| row[name].as_str().unwrap_or_default().to_owned();
        for row in rows("expected") {
            let known = self
                .items
                .get(&text(&row, "key"))
                .map_or(0, |item| item.revision);
            if Some(known) != row["revision"].as_u64() {
                return json_reply(412, &json!({"items": []}));
            }
        }
        for row in rows("writes") {
            let lease = row["lease"].as_u64().unwrap_or_default();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return json_reply(404, &json!({}));
            }
            self.write(&text(&row, "key"), text(&row, "value"), lease);
        }
        for key in rows("remove") {
            self.remove(key.as_str().unwrap_or_default());
        }
        json_reply(200, &json!({"revision": self.revision}))
    }

    fn grant(&mut self, body: &Value) -> ServerAnswer {
        let ttl_ms = body["ttl_ms"].as_u64().unwrap_or(1_000);
        self.last_lease += 1;
        let end = Instant::now() + Duration::from_millis(ttl_ms);
        self.leases
            .insert(self.last_lease, StoredLease { ttl_ms, end });
        json_reply(200, &json!({"lease": self.last_lease, "ttl_ms": ttl_ms}))
    }

    fn lease_call(&mut self, method: &Method, path: &str) -> ServerAnswer {
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse::<u64>().ok())
            .unwrap_or_default();
        if method == Method::DELETE {
            return match self.leases.remove(&lease) {
                Some(_) => json_reply(200, &json!({})),
                None => json_reply(404, &json!({})),
            };
        }
        match self.leases.get_mut(&lease) {
            Some(known) => {
                known.end = Instant::now() + Duration::from_millis(known.ttl_ms);
                json_reply(200, &json!({"ttl_ms": known.ttl_ms}))
            }
            None => json_reply(404, &json!({})),
        }
    }
}

fn number(query: &BTreeMap<String, String>, name: &str) -> u64 {
    let text = query.get(name).map(String::as_str).unwrap_or_default();
    text.parse().unwrap_or_default()
}

/// Splits a query; keys in tests need no escapes but that of a slash.
fn parse_query(query: &str) -> BTreeMap<String, String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.replace("%2F", "/")))
        .collect()
}

fn encode(value: &[u8]) -> String {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD.encode(value)
}
