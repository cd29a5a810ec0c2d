//! Tests the gateway with faulty upstreams, clients and peers.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::all_events;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::raw_runner::RawAnswer;
use jujubewall_testutils::raw_runner::RawRunner;
use jujubewall_testutils::site_runner::RunnerFault;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The burst of the retry budget, on top of a fifth of the requests. These tests never use
/// it up.
const RETRY_BURST: u32 = 200;

/// The memory of the smallest host that the gateway is deployed on, in bytes.
const SMALLEST_HOST_BYTES: u64 = 160 * 1024 * 1024;

async fn start_site() -> Site {
    Site::start(Path::new(PROGRAM), RETRY_BURST).await
}

/// Starts a site whose plain service has one raw runner as its only upstream.
async fn start_raw_site(answer: RawAnswer) -> (Site, RawRunner) {
    let site = start_site().await;
    let raw = RawRunner::start(&site.store, "raw-0", answer).await;
    for ledger in ["ledger-0", "ledger-1"] {
        site.runners.remove_entry(ledger);
    }
    wait_until("only the raw runner is known", async || {
        let log = site.gateway.log();
        log.contains("event=upstream id=raw-0")
            && log.contains("event=upstream_gone id=ledger-0")
            && log.contains("event=upstream_gone id=ledger-1")
    })
    .await;
    (site, raw)
}

/// Guards against an operators' report: a server sent a late second copy of an answer on a
/// connection that was already in use for another request.
#[tokio::test(flavor = "multi_thread")]
async fn test_second_copy_of_an_answer_reaches_nobody() {
    let (site, _raw) = start_raw_site(RawAnswer::CopyFirst).await;
    for index in 0..6 {
        let id = format!("q-{index}");
        let answer = site.send(request("GET", "/stock/", &id)).await.unwrap();
        let is_own = answer.status() == 200 && answer.body() == format!("answer {id}").as_bytes();
        let is_unknown = answer.status() == 502 && !answer.headers().contains_key("response-stamp");
        assert!(is_own || is_unknown, "{id}: {answer:?}");
    }
    let log = site.gateway.log();
    assert!(log.contains("event=foreign_answer"), "{log}");
}

/// Guards against the same with a refusal: a late copy made the gateway report a request as
/// not run although it ran.
#[tokio::test(flavor = "multi_thread")]
async fn test_late_refusal_of_another_request_does_not_mark_a_request_as_not_run() {
    let site = start_site().await;
    for upstream in site
        .engine_ids()
        .iter()
        .map(String::as_str)
        .chain(["ledger-0", "ledger-1"])
    {
        site.runners.set_fault(upstream, RunnerFault::RefuseAnother);
    }
    for (request, id) in [
        (request("POST", "/orders/", "o-1"), "o-1"),
        (request("GET", "/stock/", "q-1"), "q-1"),
        (stream_request("s-1"), "s-1"),
    ] {
        let answer = site.send(request).await.unwrap();
        assert!(!site.ran(id).is_empty());
        assert_eq!(answer.status(), 502, "{id}");
    }
    assert_eq!(site.ran("o-1").len(), 1);
}

/// Guards against an operators' report: stalled streams that sent single bytes from time to
/// time never ended.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_that_sends_single_bytes_continues_elsewhere_before_its_client_disconnects() {
    let site = start_site().await;
    for engine in site.engine_ids() {
        site.runners.set_fault(&engine, RunnerFault::DripAfter(5));
    }
    let send = site.send(stream_request("drip"));
    let clear_faults = async {
        wait_until("the stream has run", async || !site.ran("drip").is_empty()).await;
        for engine in site.engine_ids() {
            site.runners.set_fault(&engine, RunnerFault::None);
        }
    };
    let begun = Instant::now();
    let (answer, ()) = tokio::join!(send, clear_faults);
    let answer = answer.unwrap_or_else(|failure| panic!("{failure}: {}", site.gateway.log()));
    assert_eq!(answer.body(), all_events().as_bytes());
    // Clients disconnect after two seconds without an event.
    assert!(begun.elapsed() < Duration::from_secs(3));
}

/// Guards against an operators' report: faulty servers send bytes that are no valid answer
/// until the caller closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_answers_are_ended_and_use_bounded_memory() {
    for answer in [
        RawAnswer::EndlessHead,
        RawAnswer::EndlessNoise,
        RawAnswer::DrippingNoise,
    ] {
        let (site, _raw) = start_raw_site(answer).await;
        let begun = Instant::now();
        let sends = (0..8).map(|index| {
            let id = format!("q-{index}");
            let site = &site;
            async move { site.send(request("GET", "/stock/", &id)).await.unwrap() }
        });
        for answered in futures_util::future::join_all(sends).await {
            assert!(answered.status().is_server_error(), "{answer:?}");
            assert_ne!(answered.status(), 503, "{answer:?}: it was sent");
        }
        // The route allows two seconds.
        assert!(begun.elapsed() < Duration::from_millis(2_500), "{answer:?}");
        let stream = site.send(stream_request("s-1")).await.unwrap();
        assert_eq!(stream.body(), all_events().as_bytes(), "{answer:?}");
        assert!(site.gateway.peak_memory_bytes() < SMALLEST_HOST_BYTES);
    }
}

/// An endless body is part of the answer, so it is passed on. A client that does not read it
/// must not fill the gateway's memory.
#[tokio::test(flavor = "multi_thread")]
async fn test_endless_body_that_the_client_does_not_read_uses_bounded_memory() {
    let (site, _raw) = start_raw_site(RawAnswer::EndlessBody).await;
    let mut clients = Vec::new();
    for index in 0..8 {
        let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
        let head = head("GET", "/stock/", &format!("q-{index}"), 0);
        client.write_all(head.as_bytes()).await.unwrap();
        clients.push(client);
    }
    sleep(Duration::from_secs(2)).await;
    assert!(site.gateway.peak_memory_bytes() < SMALLEST_HOST_BYTES);
    let stream = site.send(stream_request("s-1")).await.unwrap();
    assert_eq!(stream.body(), all_events().as_bytes());
}

fn head(method: &str, path: &str, id: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
         request-id: {id}\r\ndeadline-ms: 6000\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads until `text` has been received, or the connection ends.
async fn read_until(client: &mut TcpStream, text: &str) -> String {
    let mut bytes = Vec::new();
    loop {
        let read = timeout(Duration::from_secs(5), client.read_buf(&mut bytes)).await;
        let read = read.expect("data arrives in time").unwrap_or(0);
        let known = String::from_utf8_lossy(&bytes).into_owned();
        if read == 0 || known.contains(text) {
            return known;
        }
    }
}

/// A client that sends its body byte by byte is answered when its route's timeout ends.
#[tokio::test(flavor = "multi_thread")]
async fn test_client_that_sends_its_body_slowly_is_answered_in_time_and_not_run() {
    let site = start_site().await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let begun = Instant::now();
    let (mut receiver, mut sender) = client.split();
    sender
        .write_all(head("POST", "/orders/", "o-slow", 100).as_bytes())
        .await
        .unwrap();
    let drip = async {
        while sender.write_all(b"b").await.is_ok() {
            sleep(Duration::from_millis(100)).await;
        }
    };
    let mut answer = [0; 12];
    tokio::select! {
        () = drip => panic!("the connection was closed without an answer"),
        read = receiver.read_exact(&mut answer) => { read.unwrap(); }
        () = sleep(Duration::from_secs(5)) => panic!("no answer"),
    }
    assert_eq!(&answer, b"HTTP/1.1 408");
    // The route allows two seconds.
    assert!(begun.elapsed() < Duration::from_millis(2_500));
    assert!(site.ran("o-slow").is_empty());
}

/// Guards against an operators' report: during a planned stop, connections that had just
/// been accepted were cut off without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn test_connection_accepted_just_before_the_stop_gets_its_answer() {
    let mut site = start_site().await;
    site.gateway.terminate().await;
    // The listener closes about 2.4 s after the signal.
    sleep(Duration::from_millis(2_200)).await;
    let mut waiting = Vec::new();
    for _ in 0..4 {
        waiting.push(TcpStream::connect(site.gateway.clients).await.unwrap());
    }
    // A connection that never sends anything does not delay the stop for long.
    let silent = TcpStream::connect(site.gateway.clients).await.unwrap();
    wait_until("the listener is closed", async || {
        TcpStream::connect(site.gateway.clients).await.is_err()
    })
    .await;
    sleep(Duration::from_millis(300)).await;
    for (index, client) in waiting.iter_mut().enumerate() {
        let head = head("GET", "/stock/", &format!("late-{index}"), 0);
        client.write_all(head.as_bytes()).await.unwrap();
        let answer = read_until(client, "done").await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{index}: {answer:?}");
    }
    assert!(site.gateway.ended().await.success());
    drop(silent);
}

fn start_second(site: &Site) -> GatewayProcess {
    let peers = neighbour(site.gateway.peers);
    site.start_another(Path::new(PROGRAM), "front-2", peers, RETRY_BURST)
}

/// Guards against an operators' report: a process that had been suspended acted on a lease
/// that had expired meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn test_suspended_planner_plans_again_only_after_its_lease_is_confirmed() {
    let mut site = start_site().await;
    let other = start_second(&site);
    wait_until(
        "the other gateway has received a message of the planner",
        async || other.is_ready().await && other.log().contains("event=peer "),
    )
    .await;
    site.gateway.pause().await;
    wait_until("the other gateway plans", async || {
        other.log().contains("event=planner holds=true")
    })
    .await;
    site.end_sole_holders();
    site.gateway.resume().await;
    wait_until("the hold-up is noticed", async || {
        site.gateway.log().contains("event=planner_held_up")
    })
    .await;
    wait_until("a stream is served", async || {
        let answer = other.send(stream_request("after")).await;
        answer.is_ok_and(|answer| answer.body() == all_events().as_bytes())
    })
    .await;
    // In the end exactly one of the two gateways is the planner.
    sleep(Duration::from_secs(2)).await;
    let plans = |log: &str| {
        let last = log
            .lines()
            .rfind(|line| line.contains("event=planner holds="));
        last.is_some_and(|line| line.contains("holds=true"))
    };
    let planners = [plans(&site.gateway.log()), plans(&other.log())];
    assert_eq!(planners.iter().filter(|plans| **plans).count(), 1);
}

/// Guards against an operators' report: one malformed message ended a whole process.
#[tokio::test(flavor = "multi_thread")]
async fn test_malformed_messages_do_not_affect_the_process() {
    let site = start_site().await;
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peers: SocketAddr = site.gateway.peers;
    for len in [0, 1, 7, 100, 1_400, 5_000] {
        for byte in [0x00, 0x01, 0x7f, 0x80, 0xff] {
            socket.send_to(&vec![byte; len], peers).await.unwrap();
        }
    }
    for text in [
        "",
        "GET\r\n\r\n",
        "\0\0\0\0\r\n\r\n",
        "POST /orders/ HTTP/9.9\r\n\r\n",
    ] {
        for address in [site.gateway.clients, site.gateway.ready, peers] {
            let mut client = TcpStream::connect(address).await.unwrap();
            client.write_all(text.as_bytes()).await.unwrap();
        }
    }
    let query = "/peer/instances?since=-1";
    let mut client = TcpStream::connect(peers).await.unwrap();
    let ask = format!("GET {query} HTTP/1.1\r\nhost: peer\r\n\r\n");
    client.write_all(ask.as_bytes()).await.unwrap();
    assert!(
        read_until(&mut client, "\r\n\r\n")
            .await
            .starts_with("HTTP/1.1 200")
    );
    let answer = site.send(stream_request("s-1")).await.unwrap();
    assert_eq!(answer.body(), all_events().as_bytes());
    assert!(site.gateway.is_ready().await);
}
