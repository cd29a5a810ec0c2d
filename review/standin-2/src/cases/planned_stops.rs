//! Planned work alone: the two gateways that read the store for the others are stopped, and a
//! runner leaves.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Request;
use crate::gateway::Signal;
use crate::gateway::wait_ready;
use crate::record::Record;
use crate::site::Config;
use crate::site::Site;

const KEY: &str = "k1kept7d2m0q4";
const DRAIN: Duration = Duration::from_millis(2_000);
/// The time from the stop to the removal of the runner's entry.
const LEAVE_AFTER: Duration = Duration::from_millis(300);
/// When clients come back after the removal. A gateway that has an answer of the leaving runner
/// knows from it that the runner leaves.
const RETURNS: [Duration; 3] =
    [Duration::from_millis(2_040), Duration::from_millis(2_200), Duration::from_millis(2_400)];
/// The requests that the clients of a gateway send at a time.
const BURST: usize = 10;
/// The time for which no further stop begins, so that the case ends in time.
const LAST_STOP: Duration = Duration::from_secs(88);
/// The time after a restart in which the gateways agree who reads the store; machines are in
/// touch again after 3 s of it.
const SETTLING: Duration = Duration::from_millis(6_500);
/// The longest time between two reads of one that follows the store.
const READ_INTERVAL: Duration = Duration::from_millis(2_500);

pub fn play(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let begun_at = Instant::now();
    let keys = [("desk-a", KEY)];
    let config = Config { version: 7, keys: &keys, routes: &["/stock/"] };
    let work = Duration::from_millis(20);
    let Some(mut site) = Site::start(root, record, &["hall"; 6], 12, work, &config) else {
        return Verdict::NotPlayed("the gateways are not ready in time".to_owned());
    };
    let mut rounds = 0;
    let mut served = 0;
    let mut late: Vec<String> = Vec::new();
    while late.is_empty() && begun_at.elapsed() < LAST_STOP && rounds < 9 {
        thread::sleep(SETTLING);
        let readers = site.readers(READ_INTERVAL);
        record.note(&format!("store: read by gateways {readers:?}"));
        if readers.len() != 2 {
            // The planner reads beside two others, if it is none of them.
            if let Some(planner) = site.planner().filter(|_| readers.len() > 2) {
                record.note(&format!("platform: restarts gateway {planner} as planned"));
                site.gateways[planner].restart();
            }
            continue;
        }
        let others: Vec<usize> = (0..6).filter(|index| !readers.contains(index)).collect();
        let sent: Arc<Mutex<Vec<(String, usize, u16)>>> = Arc::default();
        let runner = Arc::clone(&site.runners[rounds]);
        for client in burst(&site, &others, rounds, 0, &sent, record) {
            let _ = client.join();
        }
        thread::sleep(Duration::from_millis(500));
        if has_trouble {
            for reader in &readers {
                site.gateways[*reader].signal(Signal::Term);
                record.note(&format!("platform: SIGTERM to gateway {reader}"));
            }
        }
        thread::sleep(LEAVE_AFTER);
        let left_at = runner.leave();
        record.note_at(left_at, &format!("store: acknowledges that {} is gone", runner.id));
        let mut clients = Vec::new();
        for (index, after) in RETURNS.iter().enumerate() {
            thread::sleep((left_at + *after).saturating_duration_since(Instant::now()));
            clients.extend(burst(&site, &others, rounds, index + 1, &sent, record));
        }
        for client in clients {
            let _ = client.join();
        }
        let sent = sent.lock().unwrap();
        served += sent.iter().filter(|(_, _, status)| *status == 200).count();
        for arrival in runner.arrivals().iter().filter(|arrival| arrival.at > left_at + DRAIN) {
            if let Some((_, gateway, _)) = sent.iter().find(|(id, _, _)| *id == arrival.id) {
                let after_ms = (arrival.at - left_at).as_millis();
                late.push(format!("{after_ms} ms (gateway {gateway})"));
            }
        }
        rounds += 1;
        if has_trouble {
            for reader in &readers {
                site.gateways[*reader].finish_restart();
            }
            if !wait_ready(&site.gateways, Duration::from_secs(8)) {
                return Verdict::NotPlayed("a gateway is not ready after its restart".to_owned());
            }
        }
    }
    if rounds == 0 || served < 100 {
        return Verdict::NotPlayed(format!("{rounds} rounds, {served} requests served"));
    }
    let text = format!(
        "round {rounds}: {} requests reached the runner through gateways that were not disturbed, \
         later than {} ms after the store had acknowledged that it is gone: {}",
        late.len(),
        DRAIN.as_millis(),
        if late.is_empty() { "none".to_owned() } else { late.join(", ") }
    );
    if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}

/// Sends requests at once to each of the gateways.
fn burst(
    site: &Site,
    gateways: &[usize],
    round: usize,
    part: usize,
    sent: &Arc<Mutex<Vec<(String, usize, u16)>>>,
    record: &Arc<Record>,
) -> Vec<JoinHandle<()>> {
    let targets = gateways.iter().flat_map(|gateway| (0..BURST).map(move |index| (*gateway, index)));
    targets
        .map(|(gateway, index)| {
            let front = site.gateways[gateway].front;
            let (sent, record) = (Arc::clone(sent), Arc::clone(record));
            thread::spawn(move || {
                let id = format!("q{round}-{part}-{gateway}-{index}");
                let request = Request {
                    method: "GET",
                    path: "/stock/bay-7",
                    key: KEY,
                    id: &id,
                    deadline: Duration::from_secs(4),
                    body: b"",
                };
                record.note(&format!("client: GET {id} at {gateway}"));
                let answer = client::send(front, &request);
                let status = answer.as_ref().map_or(0, |answer| answer.status());
                record.note(&format!("client: {id} <- {status}"));
                sent.lock().unwrap().push((id, gateway, status));
            })
        })
        .collect()
}
