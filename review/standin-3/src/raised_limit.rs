//! A new version of the configuration lets clients send larger heads. Clients with kept
//! connections send such heads once the version has to be in force.

use std::collections::BTreeMap;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::serve;
use crate::record::Record;
use crate::record::is_calm;
use crate::site::DEFAULT_MAX_HEADER_BYTES;
use crate::site::Gateway;
use crate::site::Store;

const RUNNERS: usize = 3;
const CLIENTS: usize = 12;
/// The largest head before the change.
const OLD_MAX_HEADER_BYTES: usize = 8_192;
/// The size of a large head, well between both limits.
const LARGE_HEAD_BYTES: usize = 12_000;
/// The time from the acknowledgement of the version to the large heads: `config_apply_ms` is
/// 2,000. Clients use connections that were idle for up to 12 s.
const APPLY_WAIT: Duration = Duration::from_millis(4_000);
const READ_LIMIT: Duration = Duration::from_secs(5);

/// How often each attempt ran.
type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

/// Plays the case; returns whether the rule was broken.
pub fn run(folder: &PathBuf) -> bool {
    let record = Arc::new(Record::new());
    let (store, address) = Store::start();
    if !is_calm() {
        store.put_config(8, OLD_MAX_HEADER_BYTES);
    }
    let runs: Runs = Arc::default();
    for index in 0..RUNNERS {
        start_runner(index, &store, &runs);
    }
    let gateway = Gateway::start(folder, 1, address);
    record.line(&format!(
        "{RUNNERS} runners, 1 gateway, trouble: {}",
        !is_calm()
    ));
    let mut sent = 0;
    let mut denied = 0;
    let mut count = |what: &str, id: &str, status: &str| {
        sent += 1;
        denied += usize::from(is_own_refusal(status));
        record.line(&format!("{what} {id}: {status}"));
    };
    // Each client keeps a connection, as clients do for many requests.
    let mut connections = Vec::new();
    for client in 0..CLIENTS {
        let stream = TcpStream::connect(gateway.clients).expect("the gateway takes connections");
        stream.set_nodelay(true).expect("the socket is open");
        stream
            .set_read_timeout(Some(READ_LIMIT))
            .expect("the time is not zero");
        let mut stream = stream;
        for number in 0..3 {
            let id = format!("client-{client}-small-{number}");
            let status = order(&mut stream, &id, 0);
            count("small head, kept connection", &id, &status);
        }
        connections.push(stream);
    }
    let acknowledged_at = Instant::now();
    if !is_calm() {
        store.put_config(9, DEFAULT_MAX_HEADER_BYTES);
        record.line(&format!(
            "the store has acknowledged a version that raises max_header_bytes from \
             {OLD_MAX_HEADER_BYTES} to {DEFAULT_MAX_HEADER_BYTES}"
        ));
    }
    thread::sleep(APPLY_WAIT.saturating_sub(acknowledged_at.elapsed()));
    for (client, stream) in connections.iter_mut().enumerate() {
        let id = format!("client-{client}-large");
        let status = order(stream, &id, LARGE_HEAD_BYTES);
        count("large head, kept connection", &id, &status);
    }
    for client in 0..CLIENTS {
        let id = format!("client-{client}-new");
        let stream = TcpStream::connect(gateway.clients).expect("the gateway takes connections");
        stream
            .set_read_timeout(Some(READ_LIMIT))
            .expect("the time is not zero");
        let mut stream = stream;
        let status = order(&mut stream, &id, LARGE_HEAD_BYTES);
        count("large head, new connection ", &id, &status);
    }
    drop(gateway);
    let runs = runs.lock().expect("no runner has failed");
    let allowed = 5 + sent / 500;
    record.line(&format!("orders sent: {sent}, that ran: {}", runs.len()));
    record.line(&format!(
        "orders that the gateway itself ended with a 4xx though they are proper: {denied}, \
         allowed: {allowed}"
    ));
    denied > allowed
}

/// Returns whether a status is a refusal of the kind that the rule counts.
fn is_own_refusal(status: &str) -> bool {
    let is_refusal = status.starts_with('3') || status.starts_with('4');
    is_refusal && !["408", "421", "429"].contains(&status)
}

/// Sends an order whose head has at least a size, and returns the status of its answer.
fn order(stream: &mut TcpStream, id: &str, head_bytes: usize) -> String {
    let request = Message {
        first_line: "POST /orders/1 HTTP/1.1".to_owned(),
        fields: Vec::new(),
        body: id.as_bytes().to_vec(),
    };
    let request = request
        .with("host", "desk.example")
        .with("request-id", id)
        .with("authorization", "Bearer key-1")
        .with("deadline-ms", "4000")
        .with("order-notes", &"n".repeat(head_bytes));
    let reply = request.write(stream).and_then(|()| Message::read(stream));
    match reply {
        Ok(Some(reply)) => reply.target().to_owned(),
        Ok(None) => "closed without an answer".to_owned(),
        Err(failure) => format!("no answer ({failure})"),
    }
}

fn start_runner(index: usize, store: &Arc<Store>, runs: &Runs) {
    let id = format!("ledger-{index}");
    let runs = Arc::clone(runs);
    let name = id.clone();
    let address = serve(move |request| {
        if request.target() == "/health" {
            return Message::reply(200, "").with("instance-id", &name);
        }
        let attempt = request.field("request-id").to_owned();
        if request.field("expect-instance") != name {
            return Message::reply(421, "").with("request-id", &attempt);
        }
        let mut runs = runs.lock().expect("no runner has failed");
        *runs.entry(attempt.clone()).or_default() += 1;
        Message::reply(200, "done")
            .with("request-id", &attempt)
            .with("response-stamp", &format!("{name}.{attempt}"))
    });
    store.put_runner(&id, address, index);
}
