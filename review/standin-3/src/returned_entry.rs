//! A runner leaves by having its entry removed. Some seconds later the store is away for a moment
//! and comes back from a copy in which the entry is still there. The removal is written again.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::call;
use crate::http::serve;
use crate::record::Record;
use crate::record::is_calm;
use crate::site::Gateway;
use crate::site::Store;

const RUNNERS: usize = 3;
/// The runner that leaves.
const LEAVING: usize = 1;
const WORK: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_secs(4);
/// The clients, each of which sends one request after the other.
const CLIENTS: usize = 3;
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);
/// The time without requests after the removal.
const PAUSE: Duration = Duration::from_millis(200);
/// `drain_ms` of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
/// The age of the copy when the store goes away.
const COPY_AGE: Duration = Duration::from_millis(3_500);
const AWAY: Duration = Duration::from_millis(1_000);
/// The time from the store's return to the second removal.
const REWRITE_DELAY: Duration = Duration::from_millis(2_000);

/// The requests that ran: the time, the request, and the runner.
type Runs = Arc<Mutex<Vec<(Instant, String, usize)>>>;

/// Plays the case; returns whether the rule was broken.
pub fn run(folder: &PathBuf) -> bool {
    let record = Arc::new(Record::new());
    let (store, address) = Store::start();
    let runs: Runs = Arc::default();
    let leaves = Arc::new(AtomicBool::new(false));
    for index in 0..RUNNERS {
        start_runner(index, &store, &runs, &leaves);
    }
    let gateway = Gateway::start(folder, 1, address);
    record.line(&format!(
        "{RUNNERS} runners, 1 gateway, trouble: {}",
        !is_calm()
    ));
    let numbers = AtomicUsize::new(0);
    let send_until = |end: Instant| {
        thread::scope(|scope| {
            for _ in 0..CLIENTS {
                scope.spawn(|| {
                    while Instant::now() < end {
                        let number = numbers.fetch_add(1, Ordering::SeqCst);
                        let id = format!("request-{number}");
                        let reply = send(gateway.clients, &id);
                        record.line(&format!("{id}: {reply}"));
                        thread::sleep(REQUEST_INTERVAL);
                    }
                });
            }
        });
    };
    send_until(Instant::now() + Duration::from_secs(4));
    let copy = store.copy();
    send_until(Instant::now() + Duration::from_millis(500));
    // No request is under way for a moment, so no answer tells that the runner leaves.
    leaves.store(true, Ordering::SeqCst);
    store.remove(&runner_id(LEAVING));
    let acknowledged_at = Instant::now();
    record.line(&format!(
        "the store has acknowledged the removal of {}",
        runner_id(LEAVING)
    ));
    thread::sleep(PAUSE);
    send_until(acknowledged_at + COPY_AGE - Duration::from_millis(500));
    if !is_calm() {
        record.line("the store is away");
        store.go_away();
    }
    send_until(Instant::now() + AWAY);
    if !is_calm() {
        store.come_back(copy);
        record.line("the store is back, from a copy");
    }
    send_until(Instant::now() + REWRITE_DELAY);
    if !is_calm() {
        store.remove(&runner_id(LEAVING));
        record.line("the removal is written again");
    }
    send_until(Instant::now() + Duration::from_secs(6));
    drop(gateway);
    let runs = runs.lock().expect("no runner has failed");
    let mut late = 0;
    for (at, id, runner) in runs.iter() {
        let after = at.saturating_duration_since(acknowledged_at);
        if *runner == LEAVING && after > DRAIN {
            late += 1;
            record.line(&format!(
                "{id} reached the runner that is gone {} ms after the acknowledgement",
                after.as_millis()
            ));
        }
    }
    record.line(&format!("requests that ran: {}", runs.len()));
    record.line(&format!(
        "requests that reached the runner later than {} ms after: {late}, allowed: 0",
        DRAIN.as_millis()
    ));
    late > 0
}

fn runner_id(index: usize) -> String {
    format!("servers/ledger-{index}")
}

fn send(gateway: SocketAddr, id: &str) -> String {
    let request = Message {
        first_line: "GET /stock/1 HTTP/1.1".to_owned(),
        ..Message::default()
    };
    let request = request
        .with("host", "desk.example")
        .with("request-id", id)
        .with("authorization", "Bearer key-1")
        .with("deadline-ms", "4000");
    match call(gateway, &request, DEADLINE) {
        Ok(reply) => format!("{} {}", reply.target(), reply.field("response-stamp")),
        Err(failure) => format!("no answer ({failure})"),
    }
}

fn start_runner(index: usize, store: &Arc<Store>, runs: &Runs, leaves: &Arc<AtomicBool>) {
    let name = format!("ledger-{index}");
    let id = name.clone();
    let (runs, leaves) = (Arc::clone(runs), Arc::clone(leaves));
    let address = serve(move |request| {
        let says_leaving = index == LEAVING && leaves.load(Ordering::SeqCst);
        let mark = |reply: Message| {
            if says_leaving {
                reply.with("server-leaving", "1")
            } else {
                reply
            }
        };
        if request.target() == "/health" {
            return mark(Message::reply(200, "").with("instance-id", &name));
        }
        let attempt = request.field("request-id").to_owned();
        if request.field("expect-instance") != name {
            return mark(Message::reply(421, "").with("request-id", &attempt));
        }
        let mut list = runs.lock().expect("no runner has failed");
        list.push((Instant::now(), attempt.clone(), index));
        drop(list);
        thread::sleep(WORK);
        let reply = Message::reply(200, "12").with("request-id", &attempt);
        mark(reply.with("response-stamp", &format!("{name}.{attempt}")))
    });
    store.put_runner(&id, address, index);
}
