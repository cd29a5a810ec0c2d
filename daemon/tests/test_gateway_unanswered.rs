//! Tests that requests which were read get their answers or refusals whole.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::config;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::Written;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// A burst of the retry budget that is never used up.
const AMPLE_BURST: u32 = 200;

/// The size of a request body that takes several reads, below the configuration's limit.
const LONG_BODY_BYTES: usize = 60_000;

/// The size of an answer that is passed on while it arrives.
const LONG_ANSWER_BYTES: usize = 600_000;

/// The size of an answer that fills the buffers between the gateway and a client that does
/// not read.
const HUGE_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The number of connections that clients keep open.
const KEPT_CONNECTIONS: usize = 40;

/// The time in which bytes that were sent arrive.
const SETTLE: Duration = Duration::from_millis(100);

/// The time within which an answer ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(9);

fn head(method: &str, path: &str, key: &str, id: &str, length: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer {key}\r\n\
         request-id: {id}\r\ndeadline-ms: 6000\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads until the connection ends. Returns the bytes, and whether it ended in order.
async fn read_to_end(client: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let read = timeout(ANSWER_TIMEOUT, client.read_to_end(&mut bytes)).await;
    let read = read.expect("the answer ends");
    (bytes, read.is_ok())
}

/// Reads one answer with a content length. Returns its status, or what was wrong.
async fn read_answer(client: &mut TcpStream) -> Result<u16, String> {
    let (status, _) = read_answer_and_close(client).await?;
    Ok(status)
}

/// Reads one answer with a content length. Returns its status, and whether the connection
/// closes after it, or what was wrong.
async fn read_answer_and_close(client: &mut TcpStream) -> Result<(u16, bool), String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let mut lines = head.lines();
            let length = lines.find_map(|line| line.strip_prefix("content-length:"));
            let length = length.map_or(Ok(0), |length| length.trim().parse::<usize>());
            if body.len() >= length.map_err(|error| error.to_string())? {
                let status = head.split(' ').nth(1).unwrap_or_default();
                let status = status.parse().map_err(|_| head.to_owned())?;
                return Ok((status, head.contains("connection: close")));
            }
        }
        let read = timeout(ANSWER_TIMEOUT, client.read_buf(&mut bytes)).await;
        match read.map_err(|_| "no answer".to_owned())? {
            Ok(0) => return Err(format!("the connection was closed after {text:?}")),
            Ok(_) => {}
            Err(failure) => return Err(format!("{failure} after {text:?}")),
        }
    }
}

/// Sends a request whose body follows in several packets, as over a slow link, and reads the
/// answer only then, as clients do.
async fn send_slowly(
    address: SocketAddr,
    head: &str,
    length: usize,
) -> (TcpStream, Result<u16, String>) {
    let mut client = TcpStream::connect(address).await.unwrap();
    client.set_nodelay(true).unwrap();
    client.write_all(head.as_bytes()).await.unwrap();
    let part = vec![b'b'; length / 3];
    for _ in 0..3 {
        sleep(SETTLE).await;
        if let Err(failure) = client.write_all(&part).await {
            return (client, Err(format!("the body was not taken: {failure}")));
        }
    }
    sleep(SETTLE).await;
    let answer = read_answer(&mut client).await;
    (client, answer)
}

/// Guards against refusals that clients never saw: the connection was reset because the
/// gateway had not read the request's body.
#[tokio::test(flavor = "multi_thread")]
async fn test_refusal_of_a_request_with_a_long_body_reaches_its_client() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    let mut faults = Vec::new();
    for (path, key, status) in [
        ("/nowhere/", "key-1", 404),
        ("/orders/", "other", 401),
        ("/orders/", "key-1", 200),
    ] {
        let head = head("POST", path, key, "o-1", LONG_BODY_BYTES);
        let (mut client, answer) = send_slowly(site.gateway.clients, &head, LONG_BODY_BYTES).await;
        if answer != Ok(status) {
            faults.push(format!("{path} {key}: {answer:?} instead of {status}"));
            continue;
        }
        // The connection can be used again.
        let next = self::head("GET", "/stock/", "key-1", "q-1", 0);
        client.write_all(next.as_bytes()).await.unwrap();
        let answer = read_answer(&mut client).await;
        if answer != Ok(200) {
            faults.push(format!("after {path} {key}: {answer:?}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The same while the gateway drains, when it closes each connection after its answer.
#[tokio::test(flavor = "multi_thread")]
async fn test_refusal_by_a_draining_gateway_reaches_its_client() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    site.gateway.terminate().await;
    sleep(SETTLE).await;
    let head = head("POST", "/nowhere/", "key-1", "o-1", LONG_BODY_BYTES);
    let (mut client, answer) = send_slowly(site.gateway.clients, &head, LONG_BODY_BYTES).await;
    assert_eq!(answer, Ok(404));
    let begun = Instant::now();
    let (_, is_in_order) = read_to_end(&mut client).await;
    assert!(is_in_order);
    assert!(begun.elapsed() < Duration::from_secs(1));
}

/// A body above the limit is refused before its end; its client still sees the refusal.
#[tokio::test(flavor = "multi_thread")]
async fn test_refusal_of_a_body_above_the_limit_reaches_its_client() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    let length = 5 * LONG_BODY_BYTES;
    let head = head("POST", "/orders/", "key-1", "o-1", length);
    let (_client, answer) = send_slowly(site.gateway.clients, &head, length).await;
    assert_eq!(answer, Ok(413));
    assert!(site.ran("o-1").is_empty());
}

fn answer_head(id: &str, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: raw\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// Answers with a body in two halves and a pause between them.
fn paused_answer(length: usize, pause: Duration) -> Script {
    Arc::new(move |received: &Received| {
        let mut start = answer_head(&received.id, length).into_bytes();
        start.resize(start.len() + length / 2, b'a');
        Written {
            parts: vec![
                (start, pause),
                (vec![b'a'; length - length / 2], Duration::ZERO),
            ],
            after: After::Keep,
        }
    })
}

/// Guards against long answers of calls that a planned stop cut: they did not count as in
/// progress while they were passed on.
#[tokio::test(flavor = "multi_thread")]
async fn test_long_answer_of_a_call_is_not_cut_by_a_planned_stop() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), |config| {
        config["routes"][1]["timeout_ms"] = json!(6_000);
    })
    .await;
    // The connections close 2.4 s after the signal, and the gateway waits 1 s more for them.
    let script = paused_answer(LONG_ANSWER_BYTES, Duration::from_millis(4_500));
    let _service = site.upstream("raw-0", "ledger", script).await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let head = head("POST", "/orders/", "key-1", "o-1", 0);
    client.write_all(head.as_bytes()).await.unwrap();
    sleep(SETTLE).await;
    site.gateway.terminate().await;
    let (bytes, is_in_order) = read_to_end(&mut client).await;
    let log = site.gateway.log();
    assert!(is_in_order && bytes.len() > LONG_ANSWER_BYTES, "{log}");
    assert!(site.gateway.ended().await.success());
    let log = site.gateway.log();
    assert!(log.contains("event=stop cut_off=0"), "{log}");
}

/// Guards against answers that a planned stop cut because their client read them late: they
/// counted as ended once the gateway had them.
#[tokio::test(flavor = "multi_thread")]
async fn test_answer_to_a_client_that_reads_late_is_not_cut_by_a_planned_stop() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), |config| {
        config["routes"][1]["timeout_ms"] = json!(6_000);
    })
    .await;
    let script = paused_answer(HUGE_ANSWER_BYTES, Duration::ZERO);
    let _service = site.upstream("raw-0", "ledger", script).await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let head = head("POST", "/orders/", "key-1", "o-1", 0);
    client.write_all(head.as_bytes()).await.unwrap();
    sleep(SETTLE).await;
    site.gateway.terminate().await;
    sleep(Duration::from_millis(4_500)).await;
    let (bytes, is_in_order) = read_to_end(&mut client).await;
    assert!(is_in_order && bytes.len() > HUGE_ANSWER_BYTES);
    assert!(site.gateway.ended().await.success());
}

/// Guards against long answers that were passed on beyond their request's deadline.
#[tokio::test(flavor = "multi_thread")]
async fn test_long_answer_of_a_call_ends_at_the_deadline() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    // The route allows two seconds.
    let script = paused_answer(LONG_ANSWER_BYTES, Duration::from_secs(4));
    let _service = site.upstream("raw-0", "ledger", script).await;
    let begun = Instant::now();
    let reply = site.raw_answer("POST", "/orders/", "o-1").await;
    let elapsed = begun.elapsed();
    assert!(elapsed < Duration::from_millis(2_500), "{elapsed:?}");
    assert!(!reply.is_complete);
    wait_until("the end is logged", async || {
        let log = site.gateway.log();
        log.lines()
            .any(|line| line.contains("event=end id=o-1 ") && line.contains(" outcome=timed_out "))
    })
    .await;
}

/// Guards against long answers that were logged as complete although their upstream broke off.
#[tokio::test(flavor = "multi_thread")]
async fn test_long_answer_that_breaks_off_is_visibly_incomplete_and_logged_as_cut() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(|received: &Received| {
        let mut start = answer_head(&received.id, 2 * LONG_ANSWER_BYTES).into_bytes();
        start.resize(start.len() + LONG_ANSWER_BYTES, b'a');
        Written::new(start, After::Close)
    });
    let _service = site.upstream("raw-0", "ledger", script).await;
    let reply = site.raw_answer("POST", "/orders/", "o-1").await;
    assert!(!reply.is_complete);
    wait_until("the end is logged", async || {
        let log = site.gateway.log();
        log.lines()
            .any(|line| line.contains("event=end id=o-1 ") && line.contains(" outcome=cut "))
    })
    .await;
}

/// Guards against an operators' report: an upstream stopped in the middle of its answer's head
/// and closed, and clients got an answer with an empty or short body, framed as whole.
#[tokio::test(flavor = "multi_thread")]
async fn test_answer_that_ends_in_its_head_is_never_passed_on_as_whole() {
    let events = "id: 0\ndata: word\n\n";
    let whole = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: ID\r\nresponse-stamp: raw\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{events}",
        events.len()
    );
    let head_bytes = whole.find("\r\n\r\n").unwrap() + 4;
    let mut faults = Vec::new();
    for after in [After::Close, After::Reset] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let template = whole.clone();
        // The identifier of each request ends with the number of bytes that are answered.
        let script: Script = Arc::new(move |received: &Received| {
            let sent = received.id.rsplit('-').next().unwrap_or_default();
            let sent: usize = sent.parse().unwrap_or_default();
            let answer = template.replace("ID", &received.id);
            // The identifier is longer than its place in the template.
            let end = (sent + received.id.len() - 2).min(answer.len());
            Written::new(&answer.as_bytes()[..end], after)
        });
        let engine = site.upstream("engine-0", "llm", Arc::clone(&script)).await;
        let service = site.upstream("raw-0", "ledger", script).await;
        let mut arrived = 0;
        for sent in (60..head_bytes + events.len()).step_by(3) {
            for (kind, method, path) in [
                ("s", "POST", "/notes/1"),
                ("o", "POST", "/orders/"),
                ("q", "GET", "/stock/"),
            ] {
                let id = format!("{kind}-{sent}");
                let reply = site.raw_answer(method, path, &id).await;
                let has_arrived = [&engine, &service]
                    .iter()
                    .any(|upstream| !upstream.received(&id).is_empty());
                arrived += u32::from(has_arrived);
                let is_whole = reply.status == 200 && reply.is_complete;
                let is_not_run = matches!(reply.status, 408 | 421 | 429 | 503);
                if is_whole || (is_not_run && has_arrived) {
                    faults.push(format!("{after:?} {id}: {reply:?}"));
                }
            }
        }
        assert!(arrived > 50, "{after:?}: only {arrived} requests arrived");
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against an operators' report: in a planned stop, requests that came late were passed
/// on, and cut without an answer at the end of the grace period.
#[tokio::test(flavor = "multi_thread")]
async fn test_requests_that_come_late_in_a_planned_stop_are_answered_or_not_passed_on() {
    for all_leave in [false, true] {
        let mut site = ScriptedSite::start(Path::new(PROGRAM), |config| {
            config["routes"][2]["timeout_ms"] = json!(6_000);
        })
        .await;
        let script: Script = Arc::new(|received: &Received| Written {
            parts: vec![
                (Vec::new(), Duration::from_millis(1_500)),
                (answer_head(&received.id, 0).into_bytes(), Duration::ZERO),
            ],
            after: After::Keep,
        });
        let service = site.upstream("raw-0", "ledger", script).await;
        let peer = GatewayProcess::start(&GatewayStart {
            program: Path::new(PROGRAM),
            folder: site.folder.path(),
            name: "front-2",
            zone: "hall",
            store: site.store_address(),
            peers: neighbour(site.gateway.peers),
            seed: Some(site.gateway.peers),
            retry_burst: AMPLE_BURST,
        });
        wait_until("the other gateway knows its peer", async || {
            peer.is_ready().await && peer.log().contains("event=peer ")
        })
        .await;
        if all_leave {
            peer.terminate().await;
        }
        site.gateway.terminate().await;
        let address = site.gateway.clients;
        // The grace period is 8 s.
        let sends = (0..78).map(|index| async move {
            sleep(Duration::from_millis(100 * index)).await;
            let (method, path) = match index % 2 {
                0 => ("POST", "/orders/"),
                _ => ("GET", "/stock/"),
            };
            let id = format!("r-{index}");
            let Ok(mut client) = TcpStream::connect(address).await else {
                return (id, None);
            };
            let head = head(method, path, "key-1", &id, 0);
            if client.write_all(head.as_bytes()).await.is_err() {
                return (id, None);
            }
            (id, Some(read_answer(&mut client).await))
        });
        let answers = futures_util::future::join_all(sends).await;
        let mut served = 0;
        for (id, answer) in answers {
            let sends = service.received(&id).len();
            match answer {
                Some(Ok(200)) => served += 1,
                Some(Ok(503)) => assert_eq!(sends, 0, "{id} was passed on and rejected"),
                other => assert_eq!(sends, 0, "{id} was passed on and ended with {other:?}"),
            }
        }
        assert!(served > 10, "{served} requests were served");
        assert!(site.gateway.ended().await.success());
        let log = site.gateway.log();
        assert!(log.contains("event=stop cut_off=0"), "{log}");
    }
}

/// Guards against requests on kept connections that got no answer because the gateway closed
/// its idle connections for a planned stop without reading what had arrived on them.
#[tokio::test(flavor = "multi_thread")]
async fn test_request_that_has_arrived_on_a_kept_connection_is_answered_in_a_planned_stop() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    let mut clients = Vec::new();
    for index in 0..KEPT_CONNECTIONS {
        let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
        let head = head("GET", "/stock/", "key-1", &format!("q-{index}"), 0);
        client.write_all(head.as_bytes()).await.unwrap();
        assert_eq!(read_answer(&mut client).await, Ok(200));
        clients.push(client);
    }
    site.gateway.terminate().await;
    // The connections close 2.4 s after the signal, while the process is held up.
    sleep(Duration::from_millis(2_200)).await;
    site.gateway.pause().await;
    for (index, client) in clients.iter_mut().enumerate() {
        let head = head("GET", "/stock/", "key-1", &format!("late-{index}"), 0);
        client.write_all(head.as_bytes()).await.unwrap();
    }
    sleep(Duration::from_millis(400)).await;
    site.gateway.resume().await;
    let mut faults = Vec::new();
    for (index, client) in clients.iter_mut().enumerate() {
        match read_answer(client).await {
            Ok(200 | 503) => {}
            other => faults.push(format!("{index}: {other:?}")),
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A connection that ends in the middle of a request's head leaves a line.
#[tokio::test(flavor = "multi_thread")]
async fn test_connection_that_ends_before_its_request_leaves_a_line() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let head = head("POST", "/orders/", "key-1", "o-1", 0);
    client.write_all(&head.as_bytes()[..40]).await.unwrap();
    sleep(SETTLE).await;
    drop(client);
    wait_until("the connection's end is logged", async || {
        let log = site.gateway.log();
        log.contains("event=connection_failed closing=false reason=")
    })
    .await;
}

/// Puts a configuration with the given idle timeout in force.
async fn apply_idle_timeout(site: &Site, version: u64, idle_timeout_ms: u64) {
    let mut config = config(version);
    config["limits"]["idle_timeout_ms"] = json!(idle_timeout_ms);
    site.store.put_config(&config);
    wait_until("the configuration is in force", async || {
        let log = site.gateway.log();
        log.contains(&format!("event=config version={version} "))
    })
    .await;
}

/// Guards against kept connections that were closed while their clients relied on a longer
/// idle timeout: the limits of a connection are those of the time when it was accepted.
#[tokio::test(flavor = "multi_thread")]
async fn test_client_may_rely_on_an_idle_timeout_that_a_new_configuration_has_raised() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    apply_idle_timeout(&site, 8, 1_000).await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    apply_idle_timeout(&site, 9, 15_000).await;
    let head = head("GET", "/stock/", "key-1", "q-1", 0);
    client.write_all(head.as_bytes()).await.unwrap();
    let (status, closes) = read_answer_and_close(&mut client).await.unwrap();
    assert_eq!(status, 200);
    if !closes {
        // Beyond the first limit and the slack on it, and within the present one.
        sleep(Duration::from_millis(2_500)).await;
        client.write_all(head.as_bytes()).await.unwrap();
        assert_eq!(read_answer(&mut client).await, Ok(200));
    }
}

/// The same for a connection that has been idle since before the change.
#[tokio::test(flavor = "multi_thread")]
async fn test_idle_connection_is_kept_for_the_idle_timeout_of_the_newest_configuration() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    apply_idle_timeout(&site, 8, 1_000).await;
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let head = head("GET", "/stock/", "key-1", "q-1", 0);
    client.write_all(head.as_bytes()).await.unwrap();
    assert_eq!(read_answer(&mut client).await, Ok(200));
    apply_idle_timeout(&site, 9, 4_000).await;
    // Beyond the first limit and the slack on it, and within the present one.
    sleep(Duration::from_millis(2_800)).await;
    client.write_all(head.as_bytes()).await.unwrap();
    assert_eq!(read_answer(&mut client).await, Ok(200));
    let idle_since = Instant::now();
    let (_, is_in_order) = read_to_end(&mut client).await;
    assert!(is_in_order);
    let idle = idle_since.elapsed();
    assert!(
        idle > Duration::from_secs(4) && idle < Duration::from_secs(7),
        "{idle:?}"
    );
}

/// A stream that lasts longer than the idle timeout does not count as idle, and an unfinished
/// head does.
#[tokio::test(flavor = "multi_thread")]
async fn test_only_connections_without_a_request_are_idle() {
    let site = Site::start(Path::new(PROGRAM), AMPLE_BURST).await;
    apply_idle_timeout(&site, 8, 500).await;
    let mut unfinished = TcpStream::connect(site.gateway.clients).await.unwrap();
    let mut client = TcpStream::connect(site.gateway.clients).await.unwrap();
    let begun = Instant::now();
    unfinished
        .write_all(b"GET /stock/ HTTP/1.1\r\n")
        .await
        .unwrap();
    for engine in site.engine_ids() {
        site.runners.set_suspended(&engine, true);
    }
    let head = head("POST", "/notes/1", "key-1", "s-1", 0);
    let request = head.replace("content-length", "token-counts: 10,40\r\ncontent-length");
    client.write_all(request.as_bytes()).await.unwrap();
    let _ = read_to_end(&mut unfinished).await;
    assert!(begun.elapsed() < Duration::from_secs(4));
    // The idle timeout and its slack are 1.5 s.
    sleep_until(begun + Duration::from_millis(1_800)).await;
    for engine in site.engine_ids() {
        site.runners.set_suspended(&engine, false);
    }
    let mut bytes = Vec::new();
    let is_whole = async {
        while !bytes.ends_with(b"0\r\n\r\n") {
            if client.read_buf(&mut bytes).await.unwrap_or(0) == 0 {
                return false;
            }
        }
        true
    };
    let is_whole = timeout(ANSWER_TIMEOUT, is_whole).await;
    assert_eq!(is_whole, Ok(true), "{}", site.gateway.log());
}
