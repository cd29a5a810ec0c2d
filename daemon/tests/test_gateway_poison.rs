//! Tests gateways with requests that crash the engines that run them: some part of their
//! prompt, which they share with others, ends each engine that begins to write an answer.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::all_events;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::neighbour_at;
use jujubewall_testutils::gateway_site::stream_request_with_prompt;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::gateway_traffic::LastPart;
use jujubewall_testutils::gateway_traffic::RequestTemplate;
use jujubewall_testutils::gateway_traffic::Sent;
use jujubewall_testutils::gateway_traffic::Traffic;
use jujubewall_testutils::gateway_traffic::crash_a_third;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The burst of the retry budget, on top of a fifth of the requests. These tests never use
/// it up.
const RETRY_BURST: u32 = 200;

/// The engines of each failure domain.
const ENGINES_PER_ZONE: u32 = 6;

/// The first part of all prompts.
const FIRST_PART: &str = "5c1e07a2";

/// The part that crashes engines.
const FATAL_PART: &str = "91bd3f06";

/// The time between two requests with the fatal part.
const FATAL_INTERVAL: Duration = Duration::from_millis(150);

/// The time between two sound requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(60);

/// The crashes after which the platform expects that the part is known.
const CRASHES_ALLOWED: usize = 5;

/// The longest wait for that many crashes; there are fewer if the part is known earlier.
const CRASH_WAIT: Duration = Duration::from_secs(4);

/// The time that the platform allows from the last of these crashes on.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The sound requests before the first crash.
const SOUND_BEFORE: usize = 30;

/// The shared parts of the `index`-th sound request, some of which crashing ones have too.
fn sound_parts(index: usize) -> [&'static str; 2] {
    [FIRST_PART, ["e4402b7d", "0a77c1d3"][index % 2]]
}

/// The shared parts of the `index`-th request with the fatal part.
fn fatal_parts(index: usize) -> Vec<&'static str> {
    match index % 3 {
        0 => vec![FIRST_PART, FATAL_PART],
        1 => vec![FIRST_PART, "e4402b7d", FATAL_PART],
        _ => vec![FIRST_PART, FATAL_PART, "0a77c1d3"],
    }
}

/// A stream whose prompt has these parts and a last one of its own.
fn with_parts(shared_parts: &[&str]) -> RequestTemplate {
    RequestTemplate::stream("/notes/1", "body").with_prompt(shared_parts, LastPart::New)
}

/// A site with two gateways and many engines.
async fn start_site() -> (Site, GatewayProcess) {
    let site = Site::start_with_engines(Path::new(PROGRAM), RETRY_BURST, ENGINES_PER_ZONE).await;
    let peers = neighbour(site.gateway.peers);
    let second = start_gateway(&site, "front-2", peers);
    wait_until_serving(&second).await;
    (site, second)
}

fn start_gateway(site: &Site, name: &str, peers: std::net::SocketAddr) -> GatewayProcess {
    site.start_another(Path::new(PROGRAM), name, peers, RETRY_BURST)
}

async fn wait_until_serving(gateway: &GatewayProcess) {
    wait_until("the gateway is ready", async || gateway.is_ready().await).await;
    wait_until("the gateway serves sound requests", async || {
        is_served(gateway, "warm-up", &[FIRST_PART, "e4402b7d", "77777777"]).await
    })
    .await;
}

async fn is_served(gateway: &GatewayProcess, id: &str, parts: &[&str]) -> bool {
    let answer = gateway.send(stream_request_with_prompt(id, parts)).await;
    answer.is_ok_and(|answer| answer.status() == 200 && answer.body() == all_events().as_bytes())
}

/// What came of requests with the fatal part beside sound ones.
struct Played {
    /// The time of the fifth crash, or the end of the wait for it.
    known_at: Instant,
    fatal: Vec<Sent>,
    sound: Vec<Sent>,
}

/// Sends requests with the fatal part beside sound ones until so long after the fifth crash.
async fn play(site: &Site, gateways: &[&GatewayProcess], then: Duration) -> Played {
    site.runners.crash_on_part(FATAL_PART);
    let begun = Instant::now();
    let mut fatal = Traffic::new("fatal");
    let mut sound = Traffic::new("sound");
    let (mut next_fatal, mut next_sound) = (begun, begun);
    let mut known_at = None;
    loop {
        let now = Instant::now();
        let crashes = site.runners.crashes();
        if known_at.is_none() {
            known_at = match crashes.get(CRASHES_ALLOWED - 1) {
                Some(crash) => Some(crash.at),
                None => (now >= begun + CRASH_WAIT).then_some(now),
            };
        }
        if known_at.is_some_and(|known_at| now >= known_at + then) {
            break;
        }
        if now >= next_fatal {
            fatal.send(gateways, &with_parts(&fatal_parts(fatal.sent_count())));
            next_fatal += FATAL_INTERVAL;
        }
        if now >= next_sound {
            sound.send(gateways, &with_parts(&sound_parts(sound.sent_count())));
            next_sound += SOUND_INTERVAL;
        }
        sleep_until(next_fatal.min(next_sound)).await;
    }
    let (fatal, sound) = tokio::join!(fatal.answers(), sound.answers());
    println!(
        "{} crashes, {} requests with the part began to run, of {}",
        site.runners.crashes().len(),
        site.runners.ran_with_part(FATAL_PART).len(),
        fatal.len()
    );
    Played {
        known_at: known_at.expect("the loop ends after it is known"),
        fatal,
        sound,
    }
}

/// Sends requests with the fatal part and checks that each is rejected without being sent.
async fn assert_part_is_known(site: &Site, gateway: &GatewayProcess, name: &'static str) {
    let crashes = site.runners.crashes().len();
    let mut traffic = Traffic::new(name);
    for index in 0..6 {
        traffic.send(&[gateway], &with_parts(&fatal_parts(index)));
        sleep(FATAL_INTERVAL).await;
    }
    let answers = traffic.answers().await;
    let ran: Vec<String> = site
        .runners
        .ran_with_part(FATAL_PART)
        .into_iter()
        .map(|(id, _)| id)
        .filter(|id| id.starts_with(name))
        .collect();
    assert!(ran.is_empty(), "{ran:?} reached engines");
    for sent in &answers {
        sent.assert_rejected_well(&site.runners);
    }
    assert_eq!(site.runners.crashes().len(), crashes);
    assert!(is_served(gateway, "after", &[FIRST_PART, "e4402b7d", "88888888"]).await);
}

/// Guards against the crash of 46 engines on one day: each gateway sent requests with the
/// same part again and again.
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_with_a_part_that_crashes_engines_stop_reaching_engines() {
    let (site, second) = start_site().await;
    let observed = Duration::from_secs(6);
    let played = play(&site, &[&site.gateway, &second], STABLE_WINDOW + observed).await;
    let from = played.known_at + STABLE_WINDOW;
    let late = site.runners.ran_with_part(FATAL_PART);
    let late: Vec<_> = late.into_iter().filter(|(_, at)| *at >= from).collect();
    assert!(late.len() <= 3, "{} reached engines: {late:?}", late.len());
    for sent in played.fatal.iter().filter(|sent| sent.sent_at >= from) {
        sent.assert_rejected_well(&site.runners);
    }
}

/// Guards against rejecting, with the requests that crash engines, sound ones that share an
/// account, a route and parts with them.
#[tokio::test(flavor = "multi_thread")]
async fn test_sound_requests_beside_a_part_that_crashes_engines_are_served() {
    let (site, second) = start_site().await;
    let gateways = [&site.gateway, &second];
    let mut before = Traffic::new("before");
    for index in 0..SOUND_BEFORE {
        before.send(&gateways, &with_parts(&sound_parts(index)));
        sleep(SOUND_INTERVAL).await;
    }
    let before = before.answers().await;
    let settled = 2 * STABLE_WINDOW;
    let played = play(&site, &gateways, settled + Duration::from_secs(2)).await;
    let from = played.known_at + settled;
    let after: Vec<&Sent> = played
        .sound
        .iter()
        .filter(|sent| sent.sent_at >= from)
        .collect();
    assert!(after.len() >= 20, "{} sound requests", after.len());
    let count = |complete: usize, all: usize| complete as f64 / all as f64;
    let usual = count(
        before.iter().filter(|sent| sent.is_complete()).count(),
        before.len(),
    );
    let served = count(
        after.iter().filter(|sent| sent.is_complete()).count(),
        after.len(),
    );
    assert!(
        usual > 0.9,
        "{usual} of the sound requests before the first crash"
    );
    let refused: BTreeSet<String> = after
        .iter()
        .filter(|sent| !sent.is_complete())
        .map(|sent| format!("{:?}", sent.answer.as_ref().map(hyper::Response::body)))
        .collect();
    assert!(
        served >= usual / 2.0,
        "{served} of the sound requests, before {usual}; the others: {refused:?}"
    );
}

/// Guards against more crashes at each gateway that starts after the part is known.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_that_starts_later_knows_the_part_that_crashes_engines() {
    let (site, second) = start_site().await;
    play(&site, &[&site.gateway, &second], STABLE_WINDOW).await;
    site.wait_until_repaired().await;
    let third = start_gateway(&site, "front-3", neighbour_at(site.gateway.peers, 2));
    wait_until_serving(&third).await;
    assert_part_is_known(&site, &third, "later").await;
}

/// Guards against more crashes after all gateways are replaced at once.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateways_that_all_restart_know_the_part_that_crashes_engines() {
    let (mut site, mut second) = start_site().await;
    play(&site, &[&site.gateway, &second], STABLE_WINDOW).await;
    site.wait_until_repaired().await;
    let (first_peers, second_peers) = (site.gateway.peers, second.peers);
    site.gateway.kill().await;
    second.kill().await;
    site.gateway = start_gateway(&site, "front-1", first_peers);
    let second = start_gateway(&site, "front-2", second_peers);
    for (gateway, name) in [(&site.gateway, "again"), (&second, "anew")] {
        wait_until_serving(gateway).await;
        assert_part_is_known(&site, gateway, name).await;
    }
}

/// Guards against rejecting sound requests after many engines crash for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn test_mass_crash_of_engines_convicts_no_part() {
    let (site, second) = start_site().await;
    let gateways = [&site.gateway, &second];
    let mut sound = Traffic::new("sound");
    for index in 0..60 {
        sound.send(&gateways, &with_parts(&sound_parts(index)));
        if index == 30 {
            crash_a_third(&site.runners, "llm");
        }
        sleep(Duration::from_millis(25)).await;
    }
    let answers = sound.answers().await;
    let outcomes = answers.iter().filter(|sent| sent.is_complete()).count();
    println!("{outcomes} of {} requests were served", answers.len());
    assert_eq!(site.runners.crashes().len(), 4);
    site.wait_until_repaired().await;
    for gateway in gateways {
        wait_until_serving(gateway).await;
        for index in 0..2 {
            let [first, other] = sound_parts(index);
            for own in ["99999990", "99999991", "99999992"] {
                let id = format!("later-{index}-{own}");
                assert!(
                    is_served(gateway, &id, &[first, other, own]).await,
                    "{other}"
                );
            }
        }
    }
}
