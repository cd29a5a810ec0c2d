//! The gateways that read the store for the others are cut from it, and a runner leaves meanwhile.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::cases::stale_followers;
use crate::cases::stale_followers::Trouble;
use crate::client;
use crate::client::Request;
use crate::record::Record;

const DRAIN: Duration = Duration::from_millis(2_000);
const CUT: Duration = Duration::from_millis(4_000);
/// When the clients of each undisturbed gateway begin again, after the acknowledgement. A gateway
/// that has an answer of the leaving runner knows from it that the runner leaves.
const RETURNS: [Duration; 4] = [
    Duration::from_millis(2_100),
    Duration::from_millis(3_000),
    Duration::from_millis(3_800),
    Duration::from_millis(4_600),
];
/// The requests that the clients of a gateway send at a time.
const BURST: usize = 6;

pub fn play(root: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let (site, readers) = match stale_followers::start(root, record, Trouble::Cut) {
        Ok(started) => started,
        Err(fault) => return Verdict::NotPlayed(fault),
    };
    let others: Vec<usize> = (0..6).filter(|index| !readers.contains(index)).collect();
    let sent: Arc<Mutex<Vec<(String, usize, Instant)>>> = Arc::default();
    let served: Arc<Mutex<usize>> = Arc::default();
    let burst = |gateway: usize, round: usize| {
        let clients: Vec<_> = (0..BURST)
            .map(|index| {
                let front = site.gateways[gateway].front;
                let (sent, served) = (Arc::clone(&sent), Arc::clone(&served));
                let record = Arc::clone(record);
                thread::spawn(move || {
                    let id = format!("q{gateway}-{round}-{index}");
                    let request = Request {
                        method: "GET",
                        path: "/stock/bay-7",
                        key: stale_followers::KEPT_KEY,
                        id: &id,
                        deadline: Duration::from_secs(4),
                        body: b"",
                    };
                    let at = Instant::now();
                    record.note_at(at, &format!("client: GET {id} at {gateway}"));
                    sent.lock().unwrap().push((id.clone(), gateway, at));
                    let answer = client::send(front, &request);
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    record.note(&format!("client: {id} <- {status}"));
                    *served.lock().unwrap() += usize::from(status == 200);
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
    };
    for gateway in &others {
        burst(*gateway, 0);
    }
    if has_trouble {
        for reader in &readers {
            site.links[*reader].cut();
            record.note(&format!("disruption: gateway {reader} is cut from the store"));
        }
    }
    let cut_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    let runner = &site.runners[0];
    let left_at = runner.leave();
    record.note_at(left_at, &format!("store: acknowledges that {} is gone", runner.id));
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
            if has_trouble {
                for reader in &readers {
                    site.links[*reader].heal();
                    record.note(&format!("disruption: gateway {reader} reaches the store again"));
                }
            }
        });
        for (gateway, after) in others.iter().zip(RETURNS) {
            let burst = &burst;
            scope.spawn(move || {
                thread::sleep((left_at + after).saturating_duration_since(Instant::now()));
                for round in 1..=3 {
                    burst(*gateway, round);
                    thread::sleep(Duration::from_millis(200));
                }
            });
        }
    });
    let sent = sent.lock().unwrap();
    let served = *served.lock().unwrap();
    if served < sent.len() / 2 {
        return Verdict::NotPlayed(format!("only {served} of {} requests are served", sent.len()));
    }
    let arrivals = runner.arrivals();
    let late = arrivals.iter().filter(|arrival| arrival.at > left_at + DRAIN);
    let late: Vec<(usize, u128)> = late
        .filter_map(|arrival| {
            let (_, gateway, _) = sent.iter().find(|(id, _, _)| *id == arrival.id)?;
            Some((*gateway, (arrival.at - left_at).as_millis()))
        })
        .collect();
    let times: Vec<String> =
        late.iter().map(|(gateway, ms)| format!("{ms} ms (gateway {gateway})")).collect();
    let text = format!(
        "{} requests reached the runner through gateways that were not disturbed, later than {} ms \
         after the store had acknowledged that it is gone: {}",
        late.len(),
        DRAIN.as_millis(),
        if times.is_empty() { "none".to_owned() } else { times.join(", ") }
    );
    if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}
