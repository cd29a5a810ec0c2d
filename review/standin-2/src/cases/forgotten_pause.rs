//! A runner that asked for a pause loses its entry for a moment, and gets requests again.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Request;
use crate::record::Record;
use crate::runner::Mode;
use crate::site::Config;
use crate::site::Site;

const KEY: &str = "k1kept7d2m0q4";
const ZONES: [&str; 5] = ["arrivals", "arrivals", "departures", "departures", "cargo"];
/// How long the runner wants nothing.
const PAUSE: Duration = Duration::from_secs(14);
/// How long the runner does not reach the store.
const CUT: Duration = Duration::from_secs(5);
/// The time after a refusal in which requests that cross it are not counted.
const CROSSING: Duration = Duration::from_millis(500);
/// The requests that may reach the runner from one machine in its pause.
const ALLOWED: usize = 2;
/// The requests that the clients of one machine send at a time.
const BURST: usize = 20;

pub fn play(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let keys = [("desk-a", KEY)];
    let config = Config { version: 7, keys: &keys, routes: &["/stock/"] };
    let work = Duration::from_millis(60);
    let Some(site) = Site::start(root, record, &ZONES, 5, work, &config) else {
        return Verdict::NotPlayed("the gateways are not ready in time".to_owned());
    };
    thread::sleep(Duration::from_secs(4));
    let sent: Arc<Mutex<Vec<(String, usize, u16)>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let burst = |size: usize| {
        let clients: Vec<_> = (0..site.gateways.len() * size)
            .map(|index| {
                let gateway = index % site.gateways.len();
                let front = site.gateways[gateway].front;
                let (sent, count) = (Arc::clone(&sent), Arc::clone(&count));
                let record = Arc::clone(record);
                thread::spawn(move || {
                    let id = format!("q{gateway}-{:06}", count.fetch_add(1, Ordering::SeqCst));
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
            .collect();
        for client in clients {
            let _ = client.join();
        }
    };
    burst(4);
    let runner = &site.runners[0];
    let until = Instant::now() + PAUSE;
    runner.set_mode(Mode::PauseUntil(until));
    record.note(&format!("runner {} is overloaded and wants nothing for a while", runner.id));
    for _ in 0..4 {
        burst(BURST);
    }
    if has_trouble {
        runner.set_reaches_store(false);
        record.note(&format!("disruption: {} is cut from the store", runner.id));
    }
    thread::sleep(CUT);
    runner.set_reaches_store(true);
    if has_trouble {
        record.note(&format!("disruption: {} reaches the store again", runner.id));
    }
    thread::sleep(Duration::from_millis(1_800));
    while Instant::now() + Duration::from_millis(500) < until {
        burst(BURST);
        thread::sleep(Duration::from_millis(200));
    }
    let sent = sent.lock().unwrap();
    let served = sent.iter().filter(|(_, _, status)| *status == 200).count();
    let arrivals = runner.arrivals();
    let mut texts = Vec::new();
    let mut is_broken = false;
    let mut told = 0;
    for gateway in 0..site.gateways.len() {
        let own: Vec<_> = arrivals
            .iter()
            .filter(|arrival| {
                sent.iter().any(|(id, sender, _)| *id == arrival.id && *sender == gateway)
            })
            .collect();
        let Some(first) = own.iter().find(|arrival| arrival.pause.is_some()) else {
            continue;
        };
        told += 1;
        let from = first.at + CROSSING;
        let in_pause = own.iter().filter(|arrival| arrival.at > from && arrival.at < until);
        let in_pause = in_pause.count();
        is_broken |= in_pause > ALLOWED;
        texts.push(in_pause.to_string());
    }
    if told < site.gateways.len() || served < 100 {
        return Verdict::NotPlayed(format!("{told} gateways were told of the pause"));
    }
    let text = format!(
        "requests that reached the runner in its pause, later than {} ms after its first refusal, \
         from each gateway: {}; {ALLOWED} are allowed",
        CROSSING.as_millis(),
        texts.join(", ")
    );
    if is_broken { Verdict::Broken(text) } else { Verdict::Held(text) }
}
