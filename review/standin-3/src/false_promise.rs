//! A runner whose health check is good fails part of the orders after it has run them. It says
//! so with status 503 and without `Not-Run`, so its answer does not state that the order has not
//! run. Clients repeat an order once if a gateway's answer promises that it has not run.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::http::call;
use crate::http::serve;
use crate::record::Record;
use crate::record::is_calm;
use crate::site::Gateway;
use crate::site::Store;

/// The runners of the service; one of them is a share below 0.14.
const RUNNERS: usize = 8;
/// The runner that fails.
const GREY: usize = 1;
/// It fails two of its orders in five, which is below a share of 0.45.
const FAILED_OF_FIVE: usize = 2;
/// All orders are sent within 6.4 s, so the runner fails for less than 6.5 s.
const ORDERS: usize = 80;
const ORDER_INTERVAL: Duration = Duration::from_millis(80);
const WORK: Duration = Duration::from_millis(60);
const DEADLINE: Duration = Duration::from_secs(4);

/// The orders that ran: attempt, order, runner.
type Runs = Arc<Mutex<Vec<(String, String, String)>>>;

/// Plays the case; returns whether the rule was broken.
pub fn run(folder: &PathBuf) -> bool {
    let record = Arc::new(Record::new());
    let (store, address) = Store::start();
    let runs: Runs = Arc::default();
    for index in 0..RUNNERS {
        start_runner(index, &store, &runs, &record);
    }
    let gateway = Gateway::start(folder, 1, address);
    record.line(&format!(
        "{RUNNERS} runners, 1 gateway, trouble: {}",
        !is_calm()
    ));
    let answers: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    let mut clients = Vec::new();
    for order in 0..ORDERS {
        let clients_address = gateway.clients;
        let (record, answers) = (Arc::clone(&record), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            for attempt in 0..2 {
                let id = format!("order-{order}-attempt-{attempt}");
                record.line(&format!("sent     {id}"));
                let request = Message {
                    first_line: "POST /orders/1 HTTP/1.1".to_owned(),
                    fields: Vec::new(),
                    body: format!("order-{order}").into_bytes(),
                };
                let request = request
                    .with("host", "desk.example")
                    .with("request-id", &id)
                    .with("authorization", "Bearer key-1")
                    .with("deadline-ms", "4000");
                let reply = call(clients_address, &request, DEADLINE);
                let status = match &reply {
                    Ok(reply) => reply.target().to_owned(),
                    Err(failure) => format!("none ({failure})"),
                };
                record.line(&format!("answered {id}: {status}"));
                answers.lock().unwrap().insert(id, status.clone());
                // An unsafe request is only repeated after a promise that it has not run.
                if !is_promise(&status) {
                    break;
                }
                let wait: f64 = reply.map_or(0.0, |reply| {
                    reply.field("retry-after").parse().unwrap_or(0.0)
                });
                thread::sleep(Duration::from_secs_f64(wait.clamp(0.0, 1.0)));
            }
        }));
        thread::sleep(ORDER_INTERVAL);
    }
    for client in clients {
        client.join().expect("no client fails");
    }
    drop(gateway);
    let runs = runs.lock().unwrap();
    let answers = answers.lock().unwrap();
    let mut false_promises = 0;
    let mut by_order: BTreeMap<&str, usize> = BTreeMap::new();
    for (attempt, order, runner) in runs.iter() {
        *by_order.entry(order).or_default() += 1;
        let status = answers.get(attempt).map_or("none", String::as_str);
        if is_promise(status) {
            false_promises += 1;
            record.line(&format!(
                "{attempt} ran at {runner} and was answered {status}"
            ));
        }
    }
    let doubled = by_order.values().filter(|count| **count > 1).count();
    record.line(&format!("orders sent: {ORDERS}, runs: {}", runs.len()));
    record.line(&format!(
        "attempts that ran and were answered that they had not: {false_promises}"
    ));
    record.line(&format!(
        "orders that ran twice since their client believed it: {doubled}"
    ));
    false_promises > 0
}

/// Returns whether a status promises that a request has not run and never will.
fn is_promise(status: &str) -> bool {
    ["408", "421", "429", "503"].contains(&status)
}

fn start_runner(index: usize, store: &Arc<Store>, runs: &Runs, record: &Arc<Record>) {
    let id = format!("ledger-{index}");
    let (runs, record) = (Arc::clone(runs), Arc::clone(record));
    let name = id.clone();
    let address = serve(move |request| {
        if request.target() == "/health" {
            return Message::reply(200, "").with("instance-id", &name);
        }
        let attempt = request.field("request-id").to_owned();
        if request.field("expect-instance") != name {
            return Message::reply(421, "").with("request-id", &attempt);
        }
        let order = String::from_utf8_lossy(&request.body).into_owned();
        let own_count = {
            let mut runs = runs.lock().unwrap();
            runs.push((attempt.clone(), order, name.clone()));
            runs.iter().filter(|(_, _, runner)| *runner == name).count()
        };
        record.line(&format!("runs     {attempt} at {name}"));
        thread::sleep(WORK);
        let fails = !is_calm() && index == GREY && own_count % 5 < FAILED_OF_FIVE;
        let status = if fails { 503 } else { 200 };
        Message::reply(status, "done")
            .with("request-id", &attempt)
            .with("response-stamp", &format!("{name}.{own_count}"))
    });
    store.put_runner(&id, address, index);
}
