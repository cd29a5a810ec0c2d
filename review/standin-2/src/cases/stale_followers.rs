//! The gateways that read the store for the others lose it, and a route and a key are dropped
//! meanwhile.

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::client;
use crate::client::Request;
use crate::gateway::Signal;
use crate::record::Record;
use crate::site::Config;
use crate::site::Site;
use crate::store::Mood;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// Their links to the store are cut.
    Cut,
    /// The store answers them 429.
    Refused,
    /// The store answers them 503.
    Busy,
    /// They stand still.
    Frozen,
    /// They get SIGTERM.
    Stopped,
    /// They are killed, and started again later.
    Killed,
}

impl Trouble {
    const fn length(self) -> Duration {
        match self {
            Self::Refused | Self::Busy => Duration::from_millis(8_000),
            _ => Duration::from_millis(4_000),
        }
    }

    /// The number of gateways, so that the disturbed ones are no more than the dose allows: two
    /// for a cut, and a third for a store that turns machines away.
    const fn gateways(self) -> usize {
        match self {
            Self::Refused | Self::Busy => 9,
            _ => 6,
        }
    }

    const fn max_disturbed(self) -> usize {
        match self {
            Self::Refused | Self::Busy => 3,
            _ => 2,
        }
    }

    /// The time from the acknowledgement until the change is in force at machines that are in
    /// touch, by the rules: a store that turns some machines away is not stable, which stretches
    /// it.
    const fn bound(self) -> Duration {
        match self {
            Self::Refused | Self::Busy => Duration::from_millis(2_000 + 5_000),
            _ => Duration::from_millis(2_000),
        }
    }
}

/// The time in which the gateways agree who reads the store.
const SETTLING: Duration = Duration::from_secs(8);
/// The longest time between two reads of one that follows the store.
const READ_INTERVAL: Duration = Duration::from_millis(2_500);

pub const KEPT_KEY: &str = "k1kept7d2m0q4";
const TAKEN_KEY: &str = "k2taken9x5b1z";
const KEPT_ROUTE: &str = "/stock/";
const DROPPED_ROUTE: &str = "/depot/";

/// What the clients of one gateway use.
const USES: [(&str, &str); 3] =
    [(KEPT_ROUTE, KEPT_KEY), (DROPPED_ROUTE, KEPT_KEY), (KEPT_ROUTE, TAKEN_KEY)];

struct Sent {
    gateway: usize,
    route: &'static str,
    key: &'static str,
    at: Instant,
    is_served: bool,
}

/// Starts a deployment, and returns the gateways that read the store for the others.
pub fn start(
    root: &Path,
    record: &Arc<Record>,
    trouble: Trouble,
) -> Result<(Site, Vec<usize>), String> {
    let keys = [("desk-a", KEPT_KEY), ("desk-b", TAKEN_KEY)];
    let routes = [KEPT_ROUTE, DROPPED_ROUTE];
    let config = Config { version: 7, keys: &keys, routes: &routes };
    let work = Duration::from_millis(20);
    let zones = vec!["hall"; trouble.gateways()];
    let Some(mut site) = Site::start(root, record, &zones, 3, work, &config) else {
        return Err("the gateways are not ready in time".to_owned());
    };
    thread::sleep(SETTLING);
    let mut readers = site.readers(READ_INTERVAL);
    record.note(&format!("store: read by gateways {readers:?}"));
    // The planner reads beside two others, if it is none of them. After its planned restart, one
    // of them is the planner.
    if readers.len() > trouble.max_disturbed()
        && let Some(planner) = site.planner()
    {
        record.note(&format!("platform: restarts gateway {planner} as planned"));
        site.gateways[planner].restart();
        thread::sleep(SETTLING);
        readers = site.readers(READ_INTERVAL);
        record.note(&format!("store: read by gateways {readers:?}"));
    }
    if readers.is_empty() || readers.len() > trouble.max_disturbed() {
        return Err(format!("{} gateways read the store", readers.len()));
    }
    Ok((site, readers))
}

pub fn play(root: &Path, record: &Arc<Record>, trouble: Trouble, has_trouble: bool) -> Verdict {
    let (mut site, readers) = match start(root, record, trouble) {
        Ok(started) => started,
        Err(fault) => return Verdict::NotPlayed(fault),
    };
    let others: Vec<usize> = (0..trouble.gateways()).filter(|index| !readers.contains(index)).collect();
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicU64::new(0));
    let clients: Vec<_> = others
        .iter()
        .flat_map(|gateway| USES.map(|(route, key)| (*gateway, route, key)))
        .map(|(gateway, route, key)| {
            let front = site.gateways[gateway].front;
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            let (record, count) = (Arc::clone(record), Arc::clone(&count));
            thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("q{gateway}-{:06}", count.fetch_add(1, Ordering::SeqCst));
                    let path = format!("{route}bay-7");
                    let at = Instant::now();
                    let request = Request {
                        method: "GET",
                        path: &path,
                        key,
                        id: &id,
                        deadline: Duration::from_secs(4),
                        body: b"",
                    };
                    record.note_at(at, &format!("client: GET {path} {id} at {gateway} with {key}"));
                    let answer = client::send(front, &request);
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    record.note(&format!("client: {id} <- {status}"));
                    let is_served = answer.is_some_and(|answer| client::is_whole(&answer, &id));
                    sent.lock().unwrap().push(Sent { gateway, route, key, at, is_served });
                    thread::sleep(Duration::from_millis(100).saturating_sub(at.elapsed()));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for reader in &readers {
            let gateway = &site.gateways[*reader];
            match trouble {
                Trouble::Cut => site.links[*reader].cut(),
                Trouble::Refused => *site.doors[*reader].mood.lock().unwrap() = Mood::Refuse(429),
                Trouble::Busy => *site.doors[*reader].mood.lock().unwrap() = Mood::Refuse(503),
                Trouble::Frozen => gateway.signal(Signal::Stop),
                Trouble::Stopped => gateway.signal(Signal::Term),
                Trouble::Killed => gateway.signal(Signal::Kill),
            }
            record.note(&format!("disruption: {trouble:?} begins at gateway {reader}"));
        }
    }
    let trouble_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    let keys = [("desk-a", KEPT_KEY)];
    let config = Config { version: 12, keys: &keys, routes: &[KEPT_ROUTE] };
    let acknowledged_at = site.store.put("op/config", &config.text());
    record.note_at(acknowledged_at, "store: acknowledges version 12, without one route and one key");
    thread::sleep(trouble.length().saturating_sub(trouble_at.elapsed()));
    if has_trouble {
        for reader in &readers {
            match trouble {
                Trouble::Cut => site.links[*reader].heal(),
                Trouble::Refused | Trouble::Busy => {
                    *site.doors[*reader].mood.lock().unwrap() = Mood::Well;
                }
                Trouble::Frozen => site.gateways[*reader].signal(Signal::Cont),
                Trouble::Stopped => {}
                Trouble::Killed => site.gateways[*reader].run(),
            }
            record.note(&format!("disruption: {trouble:?} ends at gateway {reader}"));
        }
    }
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let sent = sent.lock().unwrap();
    let is_kept = |sent: &&Sent| sent.route == KEPT_ROUTE && sent.key == KEPT_KEY;
    let kept = sent.iter().filter(is_kept).filter(|sent| sent.is_served).count();
    if kept < 50 {
        return Verdict::NotPlayed(format!("only {kept} requests are served"));
    }
    let from = acknowledged_at + trouble.bound();
    let late = sent.iter().filter(|sent| !is_kept(sent) && sent.is_served && sent.at > from);
    let late: Vec<&Sent> = late.collect();
    let by_route = late.iter().filter(|sent| sent.route == DROPPED_ROUTE).count();
    let last = late.iter().map(|sent| (sent.at - acknowledged_at).as_millis()).max();
    let gateways = others.iter().filter(|own| late.iter().any(|sent| sent.gateway == **own));
    let text = format!(
        "sent later than {} ms after the acknowledgement, and served all the same: {by_route} \
         requests on the dropped route and {} with the dropped key, by {} of the {} gateways that \
         were not disturbed; the last was sent {} ms after it",
        trouble.bound().as_millis(),
        late.len() - by_route,
        gateways.count(),
        others.len(),
        last.unwrap_or(0)
    );
    if late.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) }
}
