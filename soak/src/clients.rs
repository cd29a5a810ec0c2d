//! Clients that keep sending over kept connections.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use jujubewall_http_client::CallDeadlines;
use jujubewall_http_client::HeadFault;
use jujubewall_http_client::HttpCallError;
use jujubewall_http_client::HttpClient;
use jujubewall_testutils::gateway_site::all_events;
use jujubewall_testutils::gateway_site::is_own_answer;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::promises::Kind;
use crate::promises::Outcome;
use crate::promises::Sent;
use crate::schedule::INVALID_STATUSES;
use crate::world::KEYS;
use crate::world::World;

/// The number of clients.
const CLIENTS: u64 = 12;

/// The time between two requests of a client, at most.
const MAX_PAUSE_MS: u64 = 120;

/// The time for which a client waits, a little beyond the deadline that it states.
const PATIENCE: Duration = Duration::from_secs(7);

/// How many requests of a client there are to one whose head is as large as is allowed.
const LARGE_HEAD_EVERY: u64 = 4;

/// The size of a head without the header that makes it large, at most.
const OTHER_HEAD_BYTES: usize = 512;

/// The header that makes a head large.
const NOTES: HeaderName = HeaderName::from_static("notes");

/// The clients of a run.
pub struct Load {
    stop: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl Load {
    /// Lets the clients finish their last requests.
    pub async fn stop(mut self) {
        // Nobody waits for the news once all clients have ended.
        let _ = self.stop.send(true);
        while self.tasks.join_next().await.is_some() {}
    }
}

/// Starts the clients of a run.
pub fn start(world: &Arc<World>, seed: u64) -> Load {
    let stop = watch::Sender::new(false);
    let mut tasks = JoinSet::new();
    for client in 0..CLIENTS {
        let rng = ChaCha8Rng::seed_from_u64(seed ^ (client + 1) << 32);
        tasks.spawn(run(Arc::clone(world), client, rng, stop.subscribe()));
    }
    Load { stop, tasks }
}

async fn run(world: Arc<World>, client: u64, mut rng: ChaCha8Rng, stop: watch::Receiver<bool>) {
    let mut connections: HashMap<u64, HttpClient> = HashMap::new();
    let mut number = 0_u64;
    while !*stop.borrow() {
        sleep(Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS))).await;
        let Some(gateway) = world.pick_gateway(rng.random()) else {
            continue;
        };
        let life = gateway.life;
        connections.retain(|known, _| world.is_running(*known));
        let connection = connections.entry(life).or_insert_with(|| {
            let deadlines = CallDeadlines::new(Duration::from_secs(1), PATIENCE);
            HttpClient::new(gateway.clients, deadlines)
        });
        number += 1;
        let id = format!("c{client}-{number}");
        let key = KEYS[rng.random_range(0..KEYS.len())];
        let kind = match rng.random_range(0..10) {
            0..=4 => Kind::Stream,
            5..=7 => Kind::Order,
            _ => Kind::Stock,
        };
        let at = Instant::now();
        let is_calm = world.is_calm(gateway.index);
        let disturbances = world.disturbances();
        let is_planned_phase = world.is_planned_phase();
        let mut request = build(kind, &id, key);
        if number.is_multiple_of(LARGE_HEAD_EVERY) {
            let bytes = world.max_head_bytes() - OTHER_HEAD_BYTES;
            let notes = HeaderValue::from_bytes(&vec![b'n'; bytes]);
            request
                .headers_mut()
                .extend(notes.map(|notes| (NOTES, notes)));
        }
        let answer = connection.call(request).await;
        if matches!(answer, Err(HttpCallError::NotSent(_))) {
            continue;
        }
        let is_planned_only = is_planned_phase && world.disturbances() == disturbances;
        world.note_sent(Sent {
            outcome: outcome(kind, &id, answer),
            id,
            kind,
            key,
            gateway_life: life,
            at,
            is_calm,
            disturbed_at: world.disturbed_after(gateway.index, at),
            is_planned_only,
        });
    }
}

fn build(kind: Kind, id: &str, key: &str) -> Request<hyper::body::Bytes> {
    let mut built = match kind {
        Kind::Stream => stream_request(id),
        Kind::Order => request("POST", "/orders/1", id),
        Kind::Stock => request("GET", "/stock/1", id),
    };
    let value = format!("Bearer {key}");
    if let Ok(value) = value.parse() {
        built.headers_mut().insert("authorization", value);
    }
    built
}

fn outcome(
    kind: Kind,
    id: &str,
    answer: Result<hyper::Response<hyper::body::Bytes>, HttpCallError>,
) -> Outcome {
    let answer = match answer {
        Ok(answer) => answer,
        Err(failure) => return broken_outcome(&failure),
    };
    let whole = match kind {
        Kind::Stream => all_events(),
        Kind::Order | Kind::Stock => "done".to_owned(),
    };
    Outcome::Answer {
        status: answer.status().as_u16(),
        is_whole: answer.body() == whole.as_bytes(),
        is_own: is_own_answer(&answer, id),
    }
}

/// Returns what a client got that has no answer by its library, which drops invalid statuses.
fn broken_outcome(failure: &HttpCallError) -> Outcome {
    let reason = failure.to_string();
    let passed_on = INVALID_STATUSES
        .into_iter()
        .find(|status| reason.contains(&HeadFault::InvalidStatus(*status).to_string()));
    passed_on.map_or(Outcome::Broken, |status| Outcome::Answer {
        status,
        is_whole: false,
        is_own: false,
    })
}
