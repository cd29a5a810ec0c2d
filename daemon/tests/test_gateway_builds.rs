//! Tests a rolling update: gateways of two builds serve one site while one build replaces
//! the other.
//!
//! The environment variable `JUJUBEWALL_OTHER_BUILD` names the program of the other build.
//! Without it the same build plays both parts.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::slice;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use jujubewall_http_client::HttpCallError;
use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::LAYERS;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::all_events;
use jujubewall_testutils::gateway_site::config_with;
use jujubewall_testutils::gateway_site::is_own_answer;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::neighbour_at;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::gateway_traffic::Sent as SentAttempt;
use jujubewall_testutils::poison_fleet::Kind;
use jujubewall_testutils::poison_fleet::PoisonFleet;
use jujubewall_testutils::poison_fleet::STABLE_WINDOW;
use jujubewall_testutils::poison_fleet::share_served;
use jujubewall_types::layer::LayerRange;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The environment variable that names the program of the other build.
const OTHER_BUILD: &str = "JUJUBEWALL_OTHER_BUILD";

/// The burst of the retry budget, on top of a fifth of the requests.
const RETRY_BURST: u32 = 200;

/// The time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// The time within which a configuration takes effect at all gateways.
const MAX_CONFIG_DELAY: Duration = Duration::from_secs(5);

/// The time from an engine's notice that it leaves to its end. Streams take 0.3 s.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// The time after which an engine that ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// The time for which a request that crashes upstreams is sent after the stable window.
const OBSERVED: Duration = Duration::from_secs(6);

/// The position of the gateway of the other build beside two of this one.
const OTHER_POSITION: usize = 1;

fn other_build() -> PathBuf {
    std::env::var_os(OTHER_BUILD).map_or_else(|| PathBuf::from(PROGRAM), PathBuf::from)
}

/// A request that was answered, or failed.
struct Sent {
    id: String,
    is_stream: bool,
    is_order: bool,
    answer: Result<Response<Bytes>, HttpCallError>,
}

/// The addresses to which the balancer sends new connections.
type Open = Arc<Mutex<Vec<SocketAddr>>>;

/// Sends streams and calls to the open gateways in turn until `open` is empty.
fn send_all(open: Open) -> JoinHandle<Vec<Sent>> {
    tokio::spawn(async move {
        let mut sends = JoinSet::new();
        for index in 0.. {
            let clients = {
                let open = open.lock().unwrap_or_else(PoisonError::into_inner);
                match open.len() {
                    0 => break,
                    len => open[index % len],
                }
            };
            let id = format!("t-{index}");
            let kind = index % 4;
            let sent = match kind {
                0 => request("GET", "/stock/", &id),
                1 => request("POST", "/orders/", &id),
                _ => stream_request(&id),
            };
            sends.spawn(async move {
                Sent {
                    id,
                    is_stream: kind > 1,
                    is_order: kind == 1,
                    answer: GatewayProcess::send_to(clients, sent).await,
                }
            });
            sleep(REQUEST_INTERVAL).await;
        }
        sends.join_all().await
    })
}

/// Gateways of two builds before one site.
struct Rollout {
    site: Site,
    /// The gateways after the first, which `site` holds.
    others: Vec<GatewayProcess>,
    open: Open,
    config_version: u64,
    starts: usize,
}

impl Rollout {
    /// Starts two gateways of `from` and one of `to`.
    async fn start(from: &PathBuf, to: &PathBuf) -> Self {
        let site = Site::start(from, RETRY_BURST).await;
        site.runners.set_restart_delay(RESTART_DELAY);
        let peers = site.gateway.peers;
        let mut rollout = Self {
            site,
            others: Vec::new(),
            open: Open::default(),
            config_version: 7,
            starts: 1,
        };
        for (program, peers) in [(from, neighbour(peers)), (to, neighbour_at(peers, 2))] {
            let started = rollout.start_gateway(program, peers);
            rollout.others.push(started);
        }
        rollout.update_open().await;
        rollout
    }

    fn gateways(&self) -> impl Iterator<Item = &GatewayProcess> {
        [&self.site.gateway].into_iter().chain(&self.others)
    }

    fn start_gateway(&mut self, program: &PathBuf, peers: SocketAddr) -> GatewayProcess {
        self.starts += 1;
        let known = self.gateways().map(|gateway| gateway.peers);
        let seed = known.into_iter().find(|known| *known != peers);
        GatewayProcess::start(&GatewayStart {
            program,
            folder: self.site.folder.path(),
            name: &format!("front-{}", self.starts),
            zone: "hall",
            store: self.site.store_address(),
            peers,
            seed,
            retry_burst: RETRY_BURST,
        })
    }

    /// Waits until all gateways are ready, and opens them.
    async fn update_open(&self) {
        for gateway in self.gateways() {
            wait_until("a gateway is ready", async || gateway.is_ready().await).await;
        }
        let clients = self.gateways().map(|gateway| gateway.clients).collect();
        self.set_open(clients);
    }

    fn set_open(&self, clients: Vec<SocketAddr>) {
        *self.open.lock().unwrap_or_else(PoisonError::into_inner) = clients;
    }

    /// Replaces the gateway at `index` by one of the other build, at the same address.
    async fn replace(&mut self, index: usize, program: &PathBuf) {
        let gateways: Vec<&GatewayProcess> = self.gateways().collect();
        let peers = gateways[index].peers;
        let clients = gateways[index].clients;
        gateways[index].terminate().await;
        let others = gateways.iter().map(|gateway| gateway.clients);
        self.set_open(others.filter(|other| *other != clients).collect());
        let old = match index {
            0 => &mut self.site.gateway,
            _ => &mut self.others[index - 1],
        };
        assert!(old.ended().await.success());
        let log = old.log();
        assert!(log.contains("event=stop cut_off=0"), "{log}");
        let new = self.start_gateway(program, peers);
        match index {
            0 => self.site.gateway = new,
            _ => self.others[index - 1] = new,
        }
        self.update_open().await;
    }

    /// Checks that a change of the configuration takes effect at every gateway.
    async fn assert_config_takes_effect(&mut self) {
        self.config_version += 1;
        let is_revoked = self.config_version.is_multiple_of(2);
        let keys: &[&str] = if is_revoked {
            &["key-1"]
        } else {
            &["key-1", "key-2"]
        };
        let config = config_with(self.config_version, keys, 8_000);
        self.site.store.put_config(&config);
        let written_at = Instant::now();
        for gateway in self.gateways() {
            wait_until("the configuration takes effect", async || {
                let mut sent = request("GET", "/stock/", "with-key-2");
                let key = "Bearer key-2".parse().unwrap();
                sent.headers_mut().insert("authorization", key);
                let expected = if is_revoked { 401 } else { 200 };
                let answer = gateway.send(sent).await;
                answer.is_ok_and(|answer| answer.status() == expected)
            })
            .await;
        }
        assert!(written_at.elapsed() < MAX_CONFIG_DELAY);
    }

    /// Checks that one gateway plans, that it replaces the layers of an engine that leaves and
    /// fills the one that comes for it, and that all gateways use the new paths.
    async fn assert_planner_is_followed(&self) {
        let plans = |gateway: &&GatewayProcess| {
            let log = gateway.log();
            let mut lines = log.lines();
            let last = lines.rfind(|line| line.contains("event=planner holds="));
            last.is_some_and(|line| line.contains("holds=true"))
        };
        wait_until("exactly one gateway plans", async || {
            self.gateways().filter(plans).count() == 1
        })
        .await;
        let runners = &self.site.runners;
        let engines = runners.running("llm");
        let (leaving, staying) = engines.split_first().expect("engines run");
        let placed = runners.orders("place").len();
        runners.drain(leaving);
        wait_until("the other engines hold two copies", async || {
            let held = staying.iter().filter_map(|id| runners.layers_of(id));
            held.map(LayerRange::len).sum::<u32>() >= 2 * LAYERS
        })
        .await;
        // All streams through the engine end before it does.
        sleep(DRAIN_TIME).await;
        runners.crash(leaving);
        wait_until("all engines run and hold layers", async || {
            let running = runners.running("llm");
            let mut ids = running.iter();
            running.len() == engines.len() && ids.all(|id| runners.layers_of(id).is_some())
        })
        .await;
        assert!(runners.orders("place").len() > placed);
        for gateway in self.gateways() {
            wait_until("a gateway serves streams", async || {
                let answer = gateway.send(stream_request("probe")).await;
                answer.is_ok_and(|answer| answer.body() == all_events().as_bytes())
            })
            .await;
        }
        assert_eq!(self.gateways().filter(plans).count(), 1);
    }

    /// Returns what the present gateways logged of a request.
    fn log_of(&self, id: &str) -> String {
        let mention = format!("id={id} ");
        let logs: Vec<String> = self.gateways().map(GatewayProcess::log).collect();
        let lines = logs.iter().flat_map(|log| log.lines());
        let lines: Vec<&str> = lines.filter(|line| line.contains(&mention)).collect();
        lines.join("\n")
    }

    /// Checks that no request was cut or got a wrong answer.
    fn assert_answered(&self, sent: &[Sent]) {
        let ran = self.site.runners.ran();
        let mut rejected = 0;
        for sent in sent {
            let id = &sent.id;
            let runs = ran.iter().filter(|ran| ran.id == *id).count();
            let answer = sent.answer.as_ref();
            let answer =
                answer.unwrap_or_else(|error| panic!("{id} was cut: {error}\n{}", self.log_of(id)));
            if answer.status() == 503 {
                assert!(answer.headers().contains_key("retry-after"), "{answer:?}");
                assert_eq!(runs, 0, "{id} ran and was rejected");
                rejected += 1;
                continue;
            }
            assert_eq!(
                answer.status(),
                200,
                "{id}: {answer:?}\n{}",
                self.log_of(id)
            );
            assert!(is_own_answer(answer, id), "{answer:?}");
            let events = all_events();
            let expected = if sent.is_stream { &events } else { "done" };
            assert_eq!(answer.body(), expected.as_bytes(), "{id}");
            assert!(!sent.is_order || runs == 1, "{id} ran {runs} times");
        }
        println!("{} requests, {rejected} of them rejected", sent.len());
        assert!(rejected * 20 <= sent.len(), "{rejected} were rejected");
    }
}

async fn assert_replacement_harms_nothing(from: PathBuf, to: PathBuf) {
    let mut rollout = Rollout::start(&from, &to).await;
    let traffic = send_all(Arc::clone(&rollout.open));
    for replaced in [None, Some(0), Some(1)] {
        if let Some(index) = replaced {
            rollout.replace(index, &to).await;
        }
        rollout.assert_config_takes_effect().await;
        rollout.assert_planner_is_followed().await;
    }
    rollout.set_open(Vec::new());
    let sent = traffic.await.unwrap();
    rollout.assert_answered(&sent);
    for gateway in rollout.gateways() {
        let log = gateway.log();
        for complaint in ["event=peer_unreadable", "event=foreign_answer"] {
            assert!(!log.contains(complaint), "{log}");
        }
    }
}

/// The other build is replaced by this one. The first gateway plans at first.
#[tokio::test(flavor = "multi_thread")]
async fn test_update_from_the_other_build_harms_no_request() {
    assert_replacement_harms_nothing(other_build(), PathBuf::from(PROGRAM)).await;
}

/// This build is replaced by the other one. The first gateway plans at first.
#[tokio::test(flavor = "multi_thread")]
async fn test_return_to_the_other_build_harms_no_request() {
    assert_replacement_harms_nothing(PathBuf::from(PROGRAM), other_build()).await;
}

/// Returns whether an attempt was sent to a gateway of this build, when three take turns.
fn is_sent_to_this_build(id: &str) -> bool {
    let position = id.rsplit('-').next().and_then(|index| index.parse().ok());
    position.is_some_and(|index: usize| index % 3 != OTHER_POSITION)
}

/// Checks that a gateway has read all that other gateways and the store told it.
async fn assert_all_is_read(gateway: &GatewayProcess) {
    for unread in [
        "telling_foreign",
        "telling_unreadable",
        "telling_part_unreadable",
    ] {
        assert_eq!(gateway.event_count(unread).await, 0, "{unread}");
    }
    let log = gateway.log();
    for complaint in [
        "event=peer_unreadable",
        "event=part_unreadable",
        "event=entry_unreadable",
        "event=config_unreadable",
        "event=telling_failed",
        "panicked",
    ] {
        assert!(!log.contains(complaint), "{complaint}");
    }
}

/// Guards against a gateway of the other build that is disturbed by what gateways of this one
/// tell of a call that crashes upstreams, and against gateways of this one that go on sending
/// it. One of the other build sends it on, beside them and after a later start.
#[tokio::test(flavor = "multi_thread")]
async fn test_call_that_crashes_upstreams_is_known_beside_the_other_build() {
    let other = other_build();
    let this = Path::new(PROGRAM);
    let mut fleet = PoisonFleet::start(&[this, &other, this]).await;
    let fatal = Kind::Order.request("fatal");
    let before = fleet.play_sound(&[Kind::Order], 30).await;
    let played = fleet
        .play(
            slice::from_ref(&fatal),
            &Kind::ALL,
            STABLE_WINDOW + OBSERVED,
        )
        .await;
    for sent in &played.fatal {
        sent.assert_truthful(&fleet.site.runners);
    }
    fleet.site.wait_until_repaired().await;
    fleet.add_gateway(&other).await;
    for gateway in fleet.gateways() {
        assert_all_is_read(gateway).await;
    }
    fleet
        .assert_served("after", &Kind::ALL.map(|kind| kind.sound(0)))
        .await;
    fleet.assert_bound_holds_for(slice::from_ref(&fatal), is_sent_to_this_build);
    let first_sent_at = played.fatal.iter().map(|sent| sent.sent_at).min();
    // The request may also be known before it has crashed three upstreams.
    let known_at = fleet.third_crash_at(&fatal).or(first_sent_at);
    let from = known_at.expect("attempts were made") + 2 * STABLE_WINDOW;
    let before: Vec<&SentAttempt> = before.iter().collect();
    let after = played.sound.iter().filter(|sent| sent.sent_at >= from);
    let after: Vec<&SentAttempt> = after.collect();
    let (usual, served) = (share_served(&before), share_served(&after));
    println!("{served} of the sound requests were served, before {usual}");
    assert!(served >= usual / 2.0, "{served}, before {usual}");
}
