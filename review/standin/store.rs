//! A stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reply;
use crate::http::json;

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change, with the item as it was written or `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    /// The end and the period of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    /// The number of times that waiting watches were cut.
    cuts: u64,
    /// Whether calls get no answer: their connections are closed, and nothing is done.
    is_down: bool,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn expire(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        self.leases.remove(&id).is_some()
    }
}

/// The store. It loses nothing that it has acknowledged.
pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(listener: TcpListener) -> Arc<Self> {
        let store = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            state: Mutex::new(State {
                revision: 100,
                ..State::default()
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        http::serve(listener, move |request| served.handle(request));
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.change(|state| state.expire(Instant::now()));
            }
        });
        store
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().expect("the store's state");
        let before = state.revision;
        let result = change(&mut state);
        if state.revision != before {
            self.changed.notify_all();
        }
        result
    }

    /// Writes as the operator or a runner; returns when the store has acknowledged it.
    pub fn put(&self, key: &str, value: &str) -> Instant {
        self.change(|state| state.write(key, value.as_bytes().to_vec(), 0));
        Instant::now()
    }

    /// Removes an entry; returns when the store has acknowledged it.
    pub fn delete(&self, key: &str) -> Instant {
        self.change(|state| state.remove(key));
        Instant::now()
    }

    /// Begins or ends an outage, in which each connection is closed without an answer.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().expect("the store's state");
        state.is_down = is_down;
        state.cuts += u64::from(is_down);
        self.changed.notify_all();
    }

    fn handle(&self, request: &Message) -> Reply {
        if self.state.lock().expect("the store's state").is_down {
            return Reply::Close;
        }
        let (method, target) = request.request_line();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query = |name: &str| {
            query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .find(|(known, _)| *known == name)
                .map(|(_, value)| unescape(value))
                .unwrap_or_default()
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        match (method, path) {
            ("GET", "/v1/kv-key") => self.get(&query("key")),
            ("GET", "/v1/kv-range") => self.range(&query("path_prefix"), &query("after")),
            ("GET", "/v1/kv-watch") => self.watch(
                &query("path_prefix"),
                query("after").parse().unwrap_or(0),
                query("wait_ms").parse().unwrap_or(0),
            ),
            ("POST", "/v1/kv-txn") => self.transaction(&body),
            ("POST", "/v1/kv-lease") => {
                let ttl = number_after(&body, "\"ttl_ms\":")
                    .unwrap_or(1_000)
                    .max(1_000);
                let lease = self.change(|state| {
                    state.next_lease += 1;
                    let id = 77_000 + state.next_lease;
                    let period = Duration::from_millis(ttl);
                    state.leases.insert(id, (Instant::now() + period, period));
                    id
                });
                json(200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let id = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                let is_known = self.change(|state| {
                    state.leases.get_mut(&id).is_some_and(|(end, period)| {
                        *end = Instant::now() + *period;
                        true
                    })
                });
                json(if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let id = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                let is_known = self.change(|state| state.end_lease(id));
                json(if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => json(404, "{}".to_owned()),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let state = self.state.lock().expect("the store's state");
        match state.items.get(key) {
            Some(item) => {
                let mut text = item_text(key, item);
                text.insert_str(
                    text.len() - 1,
                    &format!(",\"store_revision\":{}", state.revision),
                );
                json(200, text)
            }
            None => json(404, format!("{{\"store_revision\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let state = self.state.lock().expect("the store's state");
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_text(key, item))
            .collect();
        json(
            200,
            format!(
                "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
                items.join(","),
                state.revision
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Reply {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().expect("the store's state");
        let cuts = state.cuts;
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_text(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                return json(
                    200,
                    format!(
                        "{{\"events\":[{}],\"store_revision\":{}}}",
                        events.join(","),
                        state.revision
                    ),
                );
            }
            if state.cuts != cuts {
                return Reply::Close;
            }
            let (next, _) = self
                .changed
                .wait_timeout(state, end - now)
                .expect("the store's state");
            state = next;
        }
    }

    /// Carries out a transaction of one expectation and one write, which is all that the
    /// gateways send.
    fn transaction(&self, body: &str) -> Reply {
        let key = text_after(body, "\"key\":\"").unwrap_or_default();
        let expected = number_after(body, "\"revision\":").unwrap_or(0);
        let value = text_after(body, "\"value\":\"").unwrap_or_default();
        let lease = number_after(body, "\"lease\":").unwrap_or(0);
        self.change(|state| {
            let known = state.items.get(&key).map_or(0, |item| item.revision);
            if known != expected {
                let item = state.items.get(&key).map(|item| item_text(&key, item));
                return json(412, format!("{{\"items\":[{}]}}", item.unwrap_or_default()));
            }
            if lease != 0 && !state.leases.contains_key(&lease) {
                return json(404, "{}".to_owned());
            }
            state.write(&key, from_base64(&value), lease);
            json(200, format!("{{\"revision\":{}}}", state.revision))
        })
    }
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        to_base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn text_after(body: &str, name: &str) -> Option<String> {
    let rest = &body[body.find(name)? + name.len()..];
    Some(rest[..rest.find('"')?].to_owned())
}

fn number_after(body: &str, name: &str) -> Option<u64> {
    let rest = &body[body.find(name)? + name.len()..];
    let end = rest.find(|letter: char| !letter.is_ascii_digit());
    rest[..end.unwrap_or(rest.len())].parse().ok()
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut result = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[index + 1..index + 3], 16).unwrap_or(b'?');
            result.push(code);
            index += 3;
        } else {
            result.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&result).into_owned()
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = 0_u32;
        for index in 0..3 {
            group = group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            if index <= chunk.len() {
                let letter = ALPHABET[(group >> (18 - 6 * index) & 63) as usize];
                text.push(char::from(letter));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut group, mut bits) = (0_u32, 0);
    for letter in text.bytes().filter(|letter| *letter != b'=') {
        let Some(value) = ALPHABET.iter().position(|known| *known == letter) else {
            continue;
        };
        group = group << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((group >> bits & 255) as u8);
        }
    }
    bytes
}
