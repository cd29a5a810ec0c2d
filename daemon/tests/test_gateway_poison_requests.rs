//! Tests gateways with requests that crash each upstream that begins to run them and come
//! again and again, at any gateway and under new identifiers.

use std::path::Path;
use std::slice;
use std::time::Duration;

use futures_util::FutureExt as _;
use futures_util::future::join_all;
use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_traffic::LastPart;
use jujubewall_testutils::gateway_traffic::RequestTemplate;
use jujubewall_testutils::gateway_traffic::Sent;
use jujubewall_testutils::gateway_traffic::Traffic;
use jujubewall_testutils::poison_fleet::Kind;
use jujubewall_testutils::poison_fleet::PoisonFleet;
use jujubewall_testutils::poison_fleet::SHARED_PARTS;
use jujubewall_testutils::poison_fleet::STABLE_WINDOW;
use jujubewall_testutils::poison_fleet::share_served;
use jujubewall_testutils::site_runner::RunnerFault;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The time for which requests are sent after the stable window.
const OBSERVED: Duration = Duration::from_secs(6);

/// The attempts of each request that are sent in that time at least.
const MIN_LATE_ATTEMPTS: usize = 10;

/// The time after which clients leave without an answer.
const LEAVES_AFTER: Duration = Duration::from_millis(40);

/// The time from the start of a run to the crash in the test whose connections are closed by
/// then: the gateway closes them within 500 ms after the client has left.
const CRASH_AFTER_CLOSE: Duration = Duration::from_millis(600);

/// The time after its client has left within which the connection to an upstream is closed.
const MAX_CLOSE_DELAY: Duration = Duration::from_millis(500);

/// The requests whose connections are observed until they are closed.
const OBSERVED_CLOSES: usize = 3;

/// The requests that are sent at the same time, of which few reach the observed upstream.
const ATTEMPTS_AT_ONCE: usize = 20;

/// The time within which requests reach the observed upstream.
const MAX_CLOSE_TEST_TIME: Duration = Duration::from_secs(20);

/// The upstreams that accept no connection, over a third of all.
const UNREACHABLE: usize = 20;

/// The time for which crashed upstreams keep their entries.
const ENTRY_STAY: Duration = Duration::from_millis(3_600);

/// The failures that are answered, each after two crashes.
const FAILURES: usize = 8;

/// The time between requests that crash upstreams or fail.
const FAILURE_INTERVAL: Duration = Duration::from_millis(400);

/// The time from the break of a connection until the upstream has ended.
const CRASH_AFTER_BREAK: Duration = Duration::from_millis(12);

/// The time between requests to a service without other requests.
const QUIET_INTERVAL: Duration = Duration::from_secs(1);

/// The sound requests before the first crash.
const SOUND_BEFORE: usize = 30;

/// Plays requests that crash upstreams beside sound ones with the same paths and the same
/// account. Checks what reached upstreams, all answers, and the share of sound requests that
/// are served.
async fn assert_kept_out(fleet: &PoisonFleet, fatal: &[RequestTemplate], sound_kinds: &[Kind]) {
    let before = fleet.play_sound(sound_kinds, SOUND_BEFORE).await;
    let played = fleet
        .play(fatal, sound_kinds, STABLE_WINDOW + OBSERVED)
        .await;
    fleet.assert_bound_holds(fatal);
    let runners = &fleet.site.runners;
    for sent in &played.fatal {
        sent.assert_truthful(runners);
    }
    let first_sent_at = played.fatal.iter().map(|sent| sent.sent_at).min();
    // Requests may also be known before they have crashed three upstreams.
    let known_at = fatal.iter().filter_map(|fatal| fleet.third_crash_at(fatal));
    let known_at = known_at
        .max()
        .or(first_sent_at)
        .expect("attempts were made");
    let from = known_at + STABLE_WINDOW;
    let late = played.fatal.iter().filter(|sent| sent.sent_at >= from);
    let late: Vec<&Sent> = late.collect();
    assert!(late.len() >= MIN_LATE_ATTEMPTS * fatal.len());
    for sent in late {
        if sent.run_count(runners) == 0 {
            sent.assert_rejected_well(runners);
        }
    }
    let before: Vec<&Sent> = before.iter().collect();
    let after = played.sound.iter();
    let after: Vec<&Sent> = after
        .filter(|sent| sent.sent_at >= from + STABLE_WINDOW)
        .collect();
    assert!(after.len() >= 20, "{} sound requests", after.len());
    let (usual, served) = (share_served(&before), share_served(&after));
    println!("{served} of the sound requests were served, before {usual}");
    assert!(usual > 0.9, "{usual} before the first crash");
    assert!(served >= usual / 2.0, "{served}, before {usual}");
}

/// Guards against one call that may run once crashing upstream after upstream.
#[tokio::test(flavor = "multi_thread")]
async fn test_order_that_crashes_upstreams_stops_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let fatal = Kind::Order.request("fatal");
    assert_kept_out(&fleet, &[fatal], &[Kind::Order]).await;
}

/// Guards against one idempotent call, which a gateway repeats by itself, crashing upstream
/// after upstream without any delay.
#[tokio::test(flavor = "multi_thread")]
async fn test_idempotent_call_that_crashes_upstreams_stops_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 3]).await;
    fleet.site.runners.set_crash_delay(Duration::ZERO);
    let fatal = Kind::Query.request("fatal");
    assert_kept_out(&fleet, &[fatal], &[Kind::Query]).await;
}

/// Guards against one stream without shared parts crashing engine after engine without any
/// delay.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_without_shared_parts_that_crashes_engines_stops_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    fleet.site.runners.set_crash_delay(Duration::ZERO);
    let fatal = Kind::Stream.request("fatal");
    let fatal = fatal.with_prompt(&[], LastPart::Same("91bd3f06"));
    assert_kept_out(&fleet, &[fatal], &[Kind::Stream]).await;
}

/// Guards against one stream whose shared parts sound requests have too crashing engine after
/// engine, after its first events.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_with_sound_parts_that_crashes_engines_stops_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let fatal = Kind::Stream.request("fatal");
    let fatal = fatal.with_prompt(&SHARED_PARTS, LastPart::Same("91bd3f06"));
    assert_kept_out(&fleet, &[fatal], &[Kind::Stream]).await;
}

/// Guards against one stream crashing engine after engine because the last part of its prompt
/// is another one each time.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_with_changing_last_part_that_crashes_engines_stops_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let fatal = Kind::Stream.request("fatal");
    let fatal = fatal.with_prompt(&SHARED_PARTS, LastPart::New);
    assert_kept_out(&fleet, &[fatal], &[Kind::Stream]).await;
}

/// Guards against requests that crash upstreams at the same time and hide each other.
#[tokio::test(flavor = "multi_thread")]
async fn test_several_requests_that_crash_upstreams_stop_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 3]).await;
    let fatal = [
        Kind::Order.request("fatal"),
        Kind::Order.request("fatal too"),
        Kind::Query.request("fatal"),
        Kind::Stream
            .request("fatal")
            .with_prompt(&SHARED_PARTS, LastPart::New),
    ];
    assert_kept_out(&fleet, &fatal, &Kind::ALL).await;
}

/// Guards against more crashes at each gateway that starts after the request is known.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateway_that_starts_later_knows_the_request_that_crashes_upstreams() {
    let mut fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let fatal = Kind::Order.request("fatal");
    fleet
        .play(slice::from_ref(&fatal), &[Kind::Order], STABLE_WINDOW)
        .await;
    fleet.site.wait_until_repaired().await;
    fleet.add_gateway(Path::new(PROGRAM)).await;
    fleet.assert_known(&fleet.others[1], &fatal).await;
    fleet.assert_bound_holds(&[fatal]);
    fleet.assert_served("after", &[Kind::Order.sound(0)]).await;
}

/// Guards against more crashes after all gateways are replaced at once.
#[tokio::test(flavor = "multi_thread")]
async fn test_gateways_that_all_restart_know_the_request_that_crashes_upstreams() {
    let mut fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let fatal = Kind::Order.request("fatal");
    fleet
        .play(slice::from_ref(&fatal), &[Kind::Order], STABLE_WINDOW)
        .await;
    fleet.site.wait_until_repaired().await;
    fleet.restart_all(Path::new(PROGRAM)).await;
    for gateway in fleet.gateways() {
        fleet.assert_known(gateway, &fatal).await;
    }
    fleet.assert_bound_holds(&[fatal]);
    fleet.assert_served("after", &[Kind::Order.sound(0)]).await;
}

/// Sends a request again and again, by clients that leave after [`LEAVES_AFTER`].
async fn play_leaving(fleet: &PoisonFleet, request: &RequestTemplate, length: Duration) {
    let gateways = fleet.gateways();
    let begun = Instant::now();
    for index in 0.. {
        if begun.elapsed() > length {
            break;
        }
        let attempt = request.build(&format!("left-{index}"), "");
        let clients = gateways[index % gateways.len()].clients;
        // The connection is closed.
        let _ = timeout(LEAVES_AFTER, GatewayProcess::send_to(clients, attempt)).await;
        sleep(LEAVES_AFTER * 5).await;
    }
}

/// Guards against more crashes by a request whose clients leave before the upstream crashes.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_whose_clients_leave_early_stops_reaching_upstreams() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let runners = &fleet.site.runners;
    let fatal = Kind::Order.request("fatal");
    runners.set_crash_delay(LEAVES_AFTER * 2);
    runners.crash_on_request(fatal.as_fatal());
    play_leaving(&fleet, &fatal, STABLE_WINDOW + OBSERVED).await;
    fleet.assert_bound_holds(&[fatal]);
}

/// Guards against more crashes by a stream whose clients leave before the engine crashes.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_whose_clients_leave_early_stops_reaching_engines() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let runners = &fleet.site.runners;
    let fatal = Kind::Stream.request("fatal");
    let fatal = fatal.with_prompt(&[], LastPart::Same("91bd3f06"));
    runners.set_crash_delay(LEAVES_AFTER * 2);
    runners.crash_on_request(fatal.as_fatal());
    play_leaving(&fleet, &fatal, STABLE_WINDOW + OBSERVED).await;
    fleet.assert_bound_holds(&[fatal]);
}

/// Guards against more crashes by a request on which upstreams crash only after the gateway has
/// closed the connection.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_that_crashes_upstreams_after_the_close_stops_reaching_them() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let runners = &fleet.site.runners;
    let fatal = Kind::Order.request("fatal");
    runners.set_crash_delay(CRASH_AFTER_CLOSE);
    runners.crash_on_request(fatal.as_fatal());
    play_leaving(&fleet, &fatal, STABLE_WINDOW + OBSERVED).await;
    fleet.assert_bound_holds(&[fatal]);
}

/// Guards against sound requests being implicated because their clients leave.
#[tokio::test(flavor = "multi_thread")]
async fn test_sound_request_whose_clients_leave_early_is_not_implicated() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    fleet.site.runners.set_call_time(LEAVES_AFTER * 5);
    let sound = Kind::Order.request("sound");
    play_leaving(&fleet, &sound, STABLE_WINDOW).await;
    sleep(CRASH_AFTER_CLOSE).await;
    for gateway in fleet.gateways() {
        assert_eq!(gateway.log().matches("event=request_implicated").count(), 0);
    }
}

/// Guards against the watch of a run delaying the close that tells the upstream to stop its work.
#[tokio::test(flavor = "multi_thread")]
async fn test_connection_to_upstream_is_closed_soon_after_its_client_leaves() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let entry = json!({
        "service": "ledger", "address": listener.local_addr().unwrap(), "zone": "z1",
        "version": "v1", "slots": 8, "cold_remaining_ms": 0, "seq": 1, "state": "ready",
        "kind": null, "born": 1, "layers": null,
    });
    fleet
        .site
        .store
        .put("servers/unanswering", entry.to_string().as_bytes());
    let upstream = tokio::spawn(async move {
        let mut close_times = Vec::new();
        while close_times.len() < OBSERVED_CLOSES {
            let (mut socket, _) = listener.accept().await.unwrap();
            let mut buffer = [0; 4_096];
            // Probes open a connection and send nothing.
            if !matches!(socket.read(&mut buffer).await, Ok(1..)) {
                continue;
            }
            let sent_at = Instant::now();
            while matches!(socket.read(&mut buffer).await, Ok(1..)) {}
            close_times.push(sent_at.elapsed());
        }
        close_times
    });
    let sound = Kind::Order.request("sound");
    let begun = Instant::now();
    while !upstream.is_finished() && begun.elapsed() < MAX_CLOSE_TEST_TIME {
        let clients = fleet.gateways()[0].clients;
        let attempts = (0..ATTEMPTS_AT_ONCE).map(|index| {
            let attempt = sound.build(&format!("left-{:?}-{index}", begun.elapsed()), "");
            timeout(LEAVES_AFTER, GatewayProcess::send_to(clients, attempt))
        });
        // The connections are closed.
        join_all(attempts).await;
    }
    let close_times = upstream.now_or_never();
    let close_times = close_times.expect("requests reached the upstream").unwrap();
    println!("closed after {close_times:?}");
    for time in close_times {
        assert!(time <= LEAVES_AFTER + MAX_CLOSE_DELAY, "{time:?}");
    }
}

/// Guards against more crashes while a third of all upstreams is suspected for another reason,
/// beyond which a gateway suspects no further ones.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_stops_reaching_upstreams_while_a_third_of_them_is_unreachable() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    for index in 0..UNREACHABLE {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let entry = json!({
            "service": "ledger", "address": listener.local_addr().unwrap(), "zone": "z1",
            "version": "v1", "slots": 8, "cold_remaining_ms": 0, "seq": 1, "state": "ready",
            "kind": null, "born": 1, "layers": null,
        });
        let key = format!("servers/unreachable-{index}");
        fleet.site.store.put(&key, entry.to_string().as_bytes());
    }
    fleet.play_sound(&[Kind::Query], 10 * UNREACHABLE).await;
    fleet.site.runners.set_entry_stay(ENTRY_STAY);
    fleet.site.runners.set_restart_delay(ENTRY_STAY);
    let fatal = Kind::Order.request("fatal");
    fleet
        .play(
            slice::from_ref(&fatal),
            &[Kind::Order],
            STABLE_WINDOW + OBSERVED,
        )
        .await;
    for gateway in fleet.gateways() {
        let log = gateway.log();
        println!(
            "suspected {}, of them unreachable {}, implicated {}",
            log.matches("event=suspect ").count(),
            log.matches("event=suspect upstream=unreachable").count(),
            log.matches("event=request_implicated").count()
        );
    }
    fleet.assert_bound_holds(&[fatal]);
}

/// Guards against more crashes by a request to which upstreams answer with a failure at times,
/// as they do if its deadline passes in their queue: a failure does not show that it is sound.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_that_fails_between_crashes_stops_reaching_upstreams() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    let runners = &fleet.site.runners;
    let fatal = Kind::Order.request("fatal");
    runners.crash_on_request(fatal.as_fatal());
    let mut gateways = fleet.gateways();
    for _ in 0..FAILURES {
        let mut traffic = Traffic::new("crashes");
        for _ in 0..2 {
            traffic.send(&gateways, &fatal);
            sleep(FAILURE_INTERVAL).await;
        }
        traffic.answers().await;
        let set_faults = |fault, crash_delay| {
            runners.set_crash_delay(crash_delay);
            for id in runners.running("ledger") {
                runners.set_fault(&id, fault);
            }
        };
        set_faults(RunnerFault::FailWith(500), Duration::from_hours(1));
        let mut traffic = Traffic::new("fails");
        traffic.send(&gateways, &fatal);
        traffic.answers().await;
        set_faults(RunnerFault::None, Duration::ZERO);
        sleep(FAILURE_INTERVAL).await;
        gateways.reverse();
    }
    fleet.assert_bound_holds(&[fatal]);
}

/// Guards against crashes that go unnoticed because an upstream without other requests still
/// accepts a connection a moment after the one with the fatal request broke.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_whose_connection_breaks_before_the_crash_stops_reaching_upstreams() {
    let fleet = PoisonFleet::start(&[Path::new(PROGRAM); 2]).await;
    fleet.site.runners.set_crash_delay(CRASH_AFTER_BREAK);
    fleet.site.runners.break_before_crash();
    fleet.site.runners.set_entry_stay(ENTRY_STAY);
    fleet.site.runners.set_restart_delay(ENTRY_STAY);
    let fatal = Kind::Order.request("fatal");
    fleet.site.runners.crash_on_request(fatal.as_fatal());
    let gateways = fleet.gateways();
    let mut traffic = Traffic::new("fatal");
    let begun = Instant::now();
    while begun.elapsed() < 2 * (STABLE_WINDOW + OBSERVED) {
        traffic.send(&gateways, &fatal);
        sleep(QUIET_INTERVAL).await;
    }
    traffic.answers().await;
    for gateway in fleet.gateways() {
        let implicated = gateway.log().matches("event=request_implicated").count();
        println!("implicated {implicated}");
    }
    fleet.assert_bound_holds(&[fatal]);
}
