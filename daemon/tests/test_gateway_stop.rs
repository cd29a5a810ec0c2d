//! Tests the planned stop of gateways: whatever they take is answered.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::RawReply;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::ScriptedUpstream;
use jujubewall_testutils::scripted_upstream::Written;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The time between the termination signal and the kill, as the sites of these tests set it.
const GRACE: Duration = Duration::from_secs(8);

/// A shorter grace time.
const SHORT_GRACE: Duration = Duration::from_secs(4);

/// The interval between the requests that are sent during a stop.
const SEND_INTERVAL: Duration = Duration::from_millis(100);

/// The time that a slow upstream takes for its answer. The routes allow two seconds.
const SLOW_ANSWER: Duration = Duration::from_secs(1);

/// The time after the signal in which requests are sent on connections that are open.
const OPEN_CONNECTIONS_TIME: Duration = Duration::from_secs(4);

/// The time that a connection is open before its first request.
const FIRST_REQUEST_DELAY: Duration = Duration::from_millis(900);

/// A time that outlasts the test.
const FOREVER: Duration = Duration::from_mins(1);

/// The body of a large answer that is still read at once, in bytes.
const LARGE_BODY_BYTES: usize = 200_000;

/// A small receive buffer for a client that reads slowly, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

fn head(method: &str, path: &str, id: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
         request-id: {id}\r\ndeadline-ms: 30000\r\ntoken-counts: 10,40\r\n\
         content-length: {length}\r\n\r\n"
    )
}

fn answer(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: raw\r\ncontent-length: {}\r\n\r\n\
         {body}",
        body.len()
    )
}

/// Waits for `pause` before it answers.
fn answers_after(pause: Duration) -> Script {
    Arc::new(move |received: &Received| Written {
        parts: vec![
            (Vec::new(), pause),
            (answer(&received.id, "done").into_bytes(), Duration::ZERO),
        ],
        after: After::Keep,
    })
}

/// Sets the time that each route allows.
fn with_timeouts(timeout_ms: u64) -> impl FnOnce(&mut Value) {
    move |config: &mut Value| {
        for route in 0..3 {
            config["routes"][route]["timeout_ms"] = json!(timeout_ms);
            config["routes"][route]["target_latency_ms"] = json!(timeout_ms);
        }
    }
}

fn start_second(site: &ScriptedSite) -> GatewayProcess {
    GatewayProcess::start(&GatewayStart {
        program: Path::new(PROGRAM),
        folder: site.folder.path(),
        name: "front-2",
        zone: "hall",
        store: site.store_address(),
        peers: neighbour(site.gateway.peers),
        seed: Some(site.gateway.peers),
        retry_burst: 200,
    })
}

/// Drips events for longer than a gateway's grace time.
fn drips_events() -> Script {
    Arc::new(|received: &Received| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: raw\r\n\
             content-type: text/event-stream\r\nconnection: close\r\n\r\n",
            received.id
        );
        let events = (0..200).map(|id| {
            let event = format!("id: {id}\ndata: word\n\n");
            (event.into_bytes(), Duration::from_millis(100))
        });
        let start = std::iter::once((head.into_bytes(), Duration::ZERO));
        Written {
            parts: start.chain(events).collect(),
            after: After::Close,
        }
    })
}

/// Guards against an operators' report: requests that came late in the grace time of a planned
/// stop were passed on and then cut without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_that_come_late_in_the_grace_time_are_answered_or_rejected() {
    let change = |config: &mut Value| {
        with_timeouts(2_000)(config);
        config["routes"][0]["timeout_ms"] = json!(30_000);
    };
    let mut site = ScriptedSite::start(Path::new(PROGRAM), change).await;
    let slow = site
        .upstream("raw-0", "ledger", answers_after(SLOW_ANSWER))
        .await;
    let _engine = site.upstream("engine-0", "llm", drips_events()).await;
    let second = start_second(&site);
    wait_until("the gateways know each other", async || {
        second.is_ready().await
            && second.log().contains("event=peer ")
            && site.gateway.log().contains("event=peer ")
    })
    .await;
    // While all gateways leave and streams are in progress, they listen until near the end.
    let mut streams = Vec::new();
    for (index, gateway) in [&site.gateway, &second].into_iter().enumerate() {
        let mut client = TcpStream::connect(gateway.clients).await.unwrap();
        let head = head("POST", "/notes/1", &format!("s-{index}"), 0);
        client.write_all(head.as_bytes()).await.unwrap();
        streams.push(client);
    }
    let begun = Instant::now();
    tokio::join!(site.gateway.terminate(), second.terminate());
    let count = u32::try_from(GRACE.as_millis() / SEND_INTERVAL.as_millis()).unwrap();
    let address = site.gateway.clients;
    let sends = (0..count).map(|index| async move {
        sleep_until(begun + SEND_INTERVAL * index).await;
        let client = TcpStream::connect(address).await.ok();
        send_late(client, index).await
    });
    let statuses = checked_statuses(&slow, join_all(sends).await);
    assert!(
        statuses.get(&200).is_some_and(|count| *count > 20),
        "{statuses:?}"
    );
    assert!(
        statuses.get(&503).is_some_and(|count| *count > 5),
        "{statuses:?}"
    );
    assert!(site.gateway.ended().await.success());
    assert!(begun.elapsed() < GRACE);
}

/// Guards against the same on connections that were open before, while another gateway takes
/// new ones.
#[tokio::test(flavor = "multi_thread")]
async fn test_late_requests_on_open_connections_are_answered_or_rejected() {
    // Longer than the rest of the grace time when the listener closes.
    let mut site = ScriptedSite::start(Path::new(PROGRAM), with_timeouts(6_000)).await;
    let slow = site
        .upstream("raw-0", "ledger", answers_after(SLOW_ANSWER))
        .await;
    let count =
        2 * u32::try_from(OPEN_CONNECTIONS_TIME.as_millis() / SEND_INTERVAL.as_millis()).unwrap();
    let mut kept = Vec::new();
    for _ in 0..count / 2 {
        let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
        let head = head("GET", "/unknown/", "early", 0);
        client.write_all(head.as_bytes()).await.unwrap();
        let mut bytes = Vec::new();
        while !String::from_utf8_lossy(&bytes).contains("no route") {
            assert!(client.read_buf(&mut bytes).await.unwrap() > 0);
        }
        kept.push(client);
    }
    let begun = Instant::now();
    site.gateway.terminate().await;
    let address = site.gateway.clients;
    let sends = (0..count).map(|index| {
        let kept = if index % 2 == 0 { kept.pop() } else { None };
        async move {
            let send_at = begun + SEND_INTERVAL * (index / 2);
            if let Some(client) = kept {
                sleep_until(send_at).await;
                return send_late(Some(client), index).await;
            }
            // Just opened, without a request.
            sleep_until(send_at - FIRST_REQUEST_DELAY.min(send_at - begun)).await;
            let client = TcpStream::connect(address).await.ok();
            sleep_until(send_at).await;
            send_late(client, index).await
        }
    });
    let sends: Vec<_> = sends.collect();
    let statuses = checked_statuses(&slow, join_all(sends).await);
    assert!(
        statuses.get(&200).is_some_and(|count| *count > 20),
        "{statuses:?}"
    );
    assert!(
        statuses.get(&503).is_some_and(|count| *count > 5),
        "{statuses:?}"
    );
    assert!(site.gateway.ended().await.success());
    assert!(begun.elapsed() < GRACE);
}

/// Sends a request that may or may not be repeated, and reads the answer; `None` if the
/// request cannot be sent.
async fn send_late(client: Option<TcpStream>, index: u32) -> (String, Option<RawReply>) {
    let (method, path) = if index % 4 < 2 {
        ("POST", "/orders/")
    } else {
        ("GET", "/stock/")
    };
    let id = format!("late-{index:03}");
    let Some(mut client) = client else {
        return (id, None);
    };
    let text = head(method, path, &id, 0);
    if client.write_all(text.as_bytes()).await.is_err() {
        return (id, None);
    }
    let reply = RawReply::read(&mut client).await;
    (id, Some(reply))
}

/// Checks that each request that reached the upstream was answered with success, and that each
/// other one was rejected or not read; returns how often each status was given.
fn checked_statuses(
    upstream: &ScriptedUpstream,
    replies: Vec<(String, Option<RawReply>)>,
) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    let mut wrong = Vec::new();
    for (id, reply) in replies {
        let sends = upstream.received(&id).len();
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        *statuses.entry(status).or_insert(0) += 1;
        let is_right = match &reply {
            Some(reply) if reply.status == 200 => reply.is_complete && reply.body == "done",
            Some(reply) if reply.status == 503 => {
                sends == 0 && reply.is_complete && reply.head.contains("retry-after: ")
            }
            // The request crossed the close of its connection.
            Some(reply) => reply.status == 0 && sends == 0,
            None => sends == 0,
        };
        if !is_right {
            wrong.push(format!("{id}: {sends} sends, {reply:?}"));
        }
    }
    assert!(wrong.is_empty(), "{statuses:?} {wrong:#?}");
    statuses
}

/// Guards against calls, and streams without an event, that were cut at the end of the grace
/// time though an answer could still be written.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_that_outlasts_a_stop_is_answered_before_its_end() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), with_timeouts(30_000)).await;
    let service = site
        .upstream("raw-0", "ledger", answers_after(FOREVER))
        .await;
    let engine = site
        .upstream("engine-0", "llm", answers_after(FOREVER))
        .await;
    let mut clients = Vec::new();
    for (method, path, id) in [
        ("POST", "/orders/", "o-1"),
        ("GET", "/stock/", "q-1"),
        ("POST", "/notes/1", "s-1"),
    ] {
        let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
        let head = head(method, path, id, 0);
        client.write_all(head.as_bytes()).await.unwrap();
        clients.push((id, client));
    }
    wait_until("all requests are at their upstreams", async || {
        let calls = ["o-1", "q-1"].map(|id| service.received(id).len());
        calls == [1, 1] && engine.received("s-1").len() == 1
    })
    .await;
    let begun = Instant::now();
    site.gateway.terminate().await;
    site.gateway.terminate().await;
    let replies = clients.iter_mut().map(|(id, client)| async {
        let reply = RawReply::read(client).await;
        (*id, reply)
    });
    for (id, reply) in join_all(replies).await {
        assert_eq!(reply.status, 502, "{id}: {reply:?}");
        assert!(reply.is_complete, "{id}: {reply:?}");
    }
    assert!(begun.elapsed() < GRACE);
    assert!(begun.elapsed() + Duration::from_secs(1) > GRACE);
    assert!(site.gateway.ended().await.success());
}

/// A stop keeps to the grace time that the settings file names when the signal comes.
#[tokio::test(flavor = "multi_thread")]
async fn test_stop_keeps_to_a_grace_time_that_was_changed_before() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), with_timeouts(30_000)).await;
    let service = site
        .upstream("raw-0", "ledger", answers_after(FOREVER))
        .await;
    let file = site.folder.path().join("front-1.json");
    let mut settings: Value = serde_json::from_slice(&std::fs::read(&file).unwrap()).unwrap();
    settings["platform_settings"]["bounds"]["grace_s"] = json!(SHORT_GRACE.as_secs());
    std::fs::write(&file, settings.to_string()).unwrap();
    wait_until("the settings are in force", async || {
        site.gateway.log().contains("event=reload ")
    })
    .await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let head = head("POST", "/orders/", "o-1", 0);
    client.write_all(head.as_bytes()).await.unwrap();
    wait_until("the call is at its upstream", async || {
        service.received("o-1").len() == 1
    })
    .await;
    let begun = Instant::now();
    site.gateway.terminate().await;
    let reply = RawReply::read(&mut client).await;
    assert_eq!(reply.status, 502, "{reply:?}");
    assert!(site.gateway.ended().await.success());
    assert!(begun.elapsed() < SHORT_GRACE);
}

/// Guards against requests whose body was late and whose connection closed without an answer
/// at the end of the grace time.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_whose_body_is_late_in_a_stop_is_rejected() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), with_timeouts(30_000)).await;
    let service = site
        .upstream("raw-0", "ledger", answers_after(Duration::ZERO))
        .await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let head = head("POST", "/orders/", "o-1", 100);
    client.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(200)).await;
    let begun = Instant::now();
    site.gateway.terminate().await;
    let reply = RawReply::read(&mut client).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert!(reply.head.contains("retry-after: "), "{reply:?}");
    assert!(service.received("o-1").is_empty());
    assert!(begun.elapsed() < GRACE);
    assert!(site.gateway.ended().await.success());
}

/// Counts the answers of known length, and returns the bytes that follow the last whole one.
fn whole_answers(mut bytes: &[u8]) -> (usize, usize) {
    let mut count = 0;
    while let Some(split) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&bytes[..split]).to_ascii_lowercase();
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length:"))
            .and_then(|length| length.trim().parse::<usize>().ok())
            .unwrap_or(0);
        let Some(rest) = bytes.get(split + 4 + length..) else {
            break;
        };
        count += 1;
        bytes = rest;
    }
    (count, bytes.len())
}

/// Guards against answers that were cut in a planned stop because their client read them
/// slowly.
#[tokio::test(flavor = "multi_thread")]
async fn test_answer_that_a_client_reads_slowly_is_not_cut_by_a_stop() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(|received: &Received| {
        let body = "b".repeat(LARGE_BODY_BYTES);
        Written::new(answer(&received.id, &body), After::Keep)
    });
    let _service = site.upstream("raw-0", "ledger", script).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let mut client = socket.connect(site.gateway.clients).await.unwrap();
    // Fills the buffers until an answer waits in the gateway, so that it no longer reads the
    // next request.
    let mut count = 0;
    loop {
        let id = format!("q-{count}");
        let head = head("GET", "/stock/", &id, 0);
        client.write_all(head.as_bytes()).await.unwrap();
        let is_answered = async {
            while !site.gateway.log().contains(&format!("event=end id={id} ")) {
                sleep(Duration::from_millis(10)).await;
            }
        };
        if timeout(Duration::from_secs(1), is_answered).await.is_err() {
            break;
        }
        count += 1;
    }
    site.gateway.terminate().await;
    sleep(Duration::from_millis(4_200)).await;
    let mut bytes = Vec::new();
    let read = timeout(GRACE, client.read_to_end(&mut bytes)).await;
    let is_closed = read.expect("the connection ends").is_ok();
    assert_eq!(whole_answers(&bytes), (count, 0));
    assert!(is_closed);
    assert!(site.gateway.ended().await.success());
}
