//! One of four runners of a model leaves. While the layers are placed anew, it refuses requests
//! that wait at it, since another runner gives up its part, and its answers say that it leaves.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engines::Engines;
use crate::engines::LAYERS;
use crate::http::Message;
use crate::http::call;
use crate::http::serve;
use crate::record::Record;
use crate::record::is_calm;
use crate::site::Gateway;
use crate::site::Store;

const ENGINES: usize = 4;
const LEDGERS: usize = 2;
const LENGTH: Duration = Duration::from_secs(60);
/// The time from the start of traffic to the leave.
const LEAVE_AT: Duration = Duration::from_secs(5);
/// The time for which a leaving runner serves on: `drain_ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// The time between two streams, and between two reads.
const INTERVAL: Duration = Duration::from_millis(50);
const PATIENCE: Duration = Duration::from_secs(2);
const SETUP_LIMIT: Duration = Duration::from_secs(15);

/// The requests of one kind, with whether each was served and when it was sent.
#[derive(Default)]
struct Kind {
    served: Mutex<Vec<(Duration, bool)>>,
}

impl Kind {
    fn counts(&self, from: Duration) -> (usize, usize) {
        let served = self.served.lock().expect("no client has failed");
        let sent = served.iter().filter(|(at, _)| *at >= from);
        let is_served = |(_, is_served): &&(Duration, bool)| *is_served;
        (sent.clone().count(), sent.filter(is_served).count())
    }
}

/// Plays the case; returns whether the rule was broken.
pub fn run(folder: &PathBuf) -> bool {
    let record = Arc::new(Record::new());
    let (store, address) = Store::start();
    for index in 0..LEDGERS {
        start_ledger(index, &store);
    }
    let engines = Engines::start(ENGINES, &store, &record);
    let gateway = Gateway::start(folder, 1, address);
    let end = Instant::now() + SETUP_LIMIT;
    while engines.held_layers() < LAYERS {
        assert!(Instant::now() < end, "the model is not placed");
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_secs(3));
    let says_leaving = std::env::var("SAYS_LEAVING").map_or(true, |value| value != "0");
    record.line(&format!(
        "trouble: {}, placed: {}",
        !is_calm(),
        engines.text()
    ));
    let started_at = Instant::now();
    let has_ended = Arc::new(AtomicBool::new(false));
    let (streams, reads) = (Arc::new(Kind::default()), Arc::new(Kind::default()));
    let clients = gateway.clients;
    let send = |name: &'static str, kind: &Arc<Kind>| {
        let kind = Arc::clone(kind);
        let record = Arc::clone(&record);
        let has_ended = Arc::clone(&has_ended);
        thread::spawn(move || {
            let mut threads = Vec::new();
            for number in 0.. {
                if has_ended.load(Ordering::Relaxed) {
                    break;
                }
                let kind = Arc::clone(&kind);
                let record = Arc::clone(&record);
                threads.push(thread::spawn(move || {
                    let id = format!("{name}-{number}");
                    let at = started_at.elapsed();
                    let outcome = request(clients, name, &id);
                    record.line(&format!("{id}: {outcome}"));
                    let mut served = kind.served.lock().expect("no client has failed");
                    served.push((at, outcome == "served"));
                }));
                thread::sleep(INTERVAL);
            }
            for thread in threads {
                let _ = thread.join();
            }
        })
    };
    let senders = [send("notes", &streams), send("stock", &reads)];
    thread::sleep(LEAVE_AT);
    if !is_calm() {
        let leaving = engines.first_holder().expect("the model is placed");
        engines.leave(leaving, says_leaving);
        record.line(&format!("engine-{leaving} leaves, and reports it"));
        thread::sleep(SERVES_ON);
        engines.remove(leaving);
        record.line(&format!("engine-{leaving} has left"));
    }
    thread::sleep(LENGTH.saturating_sub(started_at.elapsed()));
    record.line(&format!("at the end: {}", engines.text()));
    has_ended.store(true, Ordering::Relaxed);
    for sender in senders {
        let _ = sender.join();
    }
    drop(gateway);
    let (sent_streams, served_streams) = streams.counts(Duration::ZERO);
    let (sent_reads, served_reads) = reads.counts(Duration::ZERO);
    let (late_streams, late_served) = streams.counts(LENGTH - Duration::from_secs(20));
    record.line(&format!(
        "streams served: {served_streams} of {sent_streams}"
    ));
    record.line(&format!("reads served: {served_reads} of {sent_reads}"));
    record.line(&format!(
        "streams served in the last 20 s: {late_served} of {late_streams}"
    ));
    let stream_share = served_streams as f64 / sent_streams as f64;
    let served = (served_streams + served_reads) as f64;
    let share = served / (sent_streams + sent_reads) as f64;
    record.line(&format!(
        "share of streams that was served: {stream_share:.3}; a quarter of that of all requests: \
         {:.3}",
        share / 4.0
    ));
    stream_share < share / 4.0
}

/// Sends a request and returns what became of it.
fn request(clients: std::net::SocketAddr, name: &str, id: &str) -> String {
    let method = if name == "notes" { "POST" } else { "GET" };
    let request = Message {
        first_line: format!("{method} /{name}/1 HTTP/1.1"),
        ..Message::default()
    };
    let request = request
        .with("host", "desk.example")
        .with("request-id", id)
        .with("authorization", "Bearer key-1")
        .with("model", "m")
        .with("token-counts", "10,40")
        .with(
            "deadline-ms",
            if name == "notes" { "20000" } else { "4000" },
        );
    match call(clients, &request, PATIENCE) {
        Ok(reply) if reply.target() == "200" && !reply.field("response-stamp").is_empty() => {
            "served".to_owned()
        }
        Ok(reply) => format!(
            "{} {}",
            reply.target(),
            String::from_utf8_lossy(&reply.body).trim()
        ),
        Err(failure) => format!("no answer ({failure})"),
    }
}

fn start_ledger(index: usize, store: &Arc<Store>) {
    let id = format!("ledger-{index}");
    let name = id.clone();
    let address = serve(move |request| {
        if request.target() == "/health" {
            return Message::reply(200, "").with("instance-id", &name);
        }
        let id = request.field("request-id");
        if request.field("expect-instance") != name {
            return Message::reply(421, "").with("request-id", id);
        }
        let reply = Message::reply(200, "done").with("request-id", id);
        reply.with("response-stamp", &format!("{name}.{id}"))
    });
    store.put_runner(&id, address, index);
}
