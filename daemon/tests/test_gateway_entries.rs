//! Tests the gateway with entries, reports and heads that no sound upstream would write.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::GatewayStart;
use jujubewall_testutils::gateway_site::neighbour;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_testutils::gateway_site::wait_until;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::ScriptedUpstream;
use jujubewall_testutils::scripted_upstream::Written;
use jujubewall_testutils::scripted_upstream::entry;
use jujubewall_testutils::scripted_upstream::report;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The depth of nesting of an odd entry, far beyond what a recursive reader survives.
const NESTING: usize = 60_000;

/// The time within which a new entry is known, as the deployment's `drain_ms` demands for
/// changes of entries.
const FOLLOW_BOUND: Duration = Duration::from_secs(2);

fn well() -> Script {
    Arc::new(|received: &Received| {
        let body = "id: 0\ndata: word\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: raw\r\n\
             content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
            received.id,
            body.len()
        );
        Written::new(answer, After::Keep)
    })
}

fn nested() -> String {
    "[".repeat(NESTING) + &"]".repeat(NESTING)
}

/// Replaces a field of a sound entry by JSON text.
fn with_field(service: &str, address: SocketAddr, field: &str, text: &str) -> Vec<u8> {
    let mut entry = entry(service, address);
    entry[field] = json!("@@");
    entry.to_string().replace("\"@@\"", text).into_bytes()
}

fn without_field(service: &str, address: SocketAddr, field: &str) -> Vec<u8> {
    let mut entry = entry(service, address);
    entry.as_object_mut().unwrap().remove(field);
    entry.to_string().into_bytes()
}

/// Entries that name no upstream to use.
fn odd_entries(address: SocketAddr) -> Vec<(String, Vec<u8>)> {
    let mut odd: Vec<(String, Vec<u8>)> = vec![
        ("no bytes".into(), Vec::new()),
        ("no text".into(), vec![0xff, 0, 0xfe]),
        ("null".into(), b"null".to_vec()),
        ("nested".into(), nested().into_bytes()),
        ("unclosed".into(), "{\"a\":".repeat(NESTING).into_bytes()),
        ("large number".into(), b"1e999".to_vec()),
    ];
    let text = entry("ledger", address).to_string();
    odd.push(("cut".into(), text.as_bytes()[..text.len() / 2].to_vec()));
    for service in ["ledger", "llm"] {
        for field in [
            "service",
            "address",
            "zone",
            "version",
            "slots",
            "state",
            "cold_remaining_ms",
            "seq",
        ] {
            let name = format!("{service} without {field}");
            odd.push((name, without_field(service, address, field)));
            for text in ["null", "true", "{}", "1e999", "-1", "[1]", &nested()] {
                let name = format!("{service} {field} {text:.12}");
                odd.push((name, with_field(service, address, field, text)));
            }
        }
        for (field, texts) in [
            (
                "slots",
                &[
                    "1.5",
                    "1e400",
                    "4294967296",
                    "4294967295",
                    "18446744073709551616",
                ][..],
            ),
            ("seq", &["1.5", "1e400", "18446744073709551616"][..]),
            (
                "born",
                &[
                    "1.5",
                    "1e400",
                    "18446744073709551616",
                    "-1",
                    "\"x\"",
                    "null",
                ][..],
            ),
            ("state", &["\"resting\"", "\"Ready\""][..]),
            ("service", &["\"elsewhere\"", "\"\""][..]),
            (
                "address",
                &[
                    "\"127.0.0.1:65536\"",
                    "\"127.0.0.1:99999999999999999999\"",
                    "\"127.0.0.1:-1\"",
                    "\"127.0.0.1:0\"",
                    "\"127.0.0.1\"",
                    "\"0.0.0.0:8080\"",
                    "\"here:8080\"",
                    "\"\"",
                ][..],
            ),
        ] {
            for text in texts {
                let name = format!("{service} {field} {text}");
                odd.push((name, with_field(service, address, field, text)));
            }
        }
    }
    for text in [
        "{\"from\":0,\"target\":4294967295}",
        "{\"from\":0,\"target\":4294967296}",
        "{\"from\":0,\"target\":80}",
        "{\"from\":0,\"target\":9}",
        "{\"from\":4294967290,\"target\":4294967295}",
        "{\"from\":5,\"target\":3}",
        "{\"from\":-1,\"target\":8}",
        "{\"from\":0,\"target\":1e999}",
        "{\"from\":0.5,\"target\":8}",
        "{\"from\":0}",
        "8",
        &nested(),
    ] {
        let name = format!("layers {text:.40}");
        odd.push((name, with_field("llm", address, "layers", text)));
    }
    odd
}

/// Guards against an operators' report: one odd entry of another writer ended the processes
/// that read the list, or they stopped following it, or used what it named.
#[tokio::test(flavor = "multi_thread")]
async fn test_odd_entry_is_not_used_and_the_list_is_still_followed() {
    let mut site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let _engine = site.upstream("engine-0", "llm", well()).await;
    let _ledger = site.upstream("ledger-0", "ledger", well()).await;
    let trap = ScriptedUpstream::listen("trap", well(), &report().to_string()).await;
    let mut faults = Vec::new();
    let odd = odd_entries(trap.address);
    let mut later = Vec::new();
    for (index, (name, value)) in odd.iter().enumerate() {
        // Two alike, since sums over several may overflow.
        site.store.put(&format!("servers/odd-{index}"), value);
        site.store.put(&format!("servers/odd-{index}-b"), value);
        let good = format!("good-{index}");
        later.push(ScriptedUpstream::start(&site.store, &good, "ledger", well()).await);
        let seen = format!("event=upstream id={good} ");
        let is_seen = async || {
            while !site.gateway.log().contains(&seen) {
                sleep(Duration::from_millis(20)).await;
            }
        };
        if timeout(FOLLOW_BOUND, is_seen()).await.is_err() {
            faults.push(format!("{name}: a later entry is not seen in time"));
        }
        for index in 0..2 {
            let id = format!("s-{index}");
            let stream = site.gateway.send(stream_request(&id)).await;
            if !stream.as_ref().is_ok_and(|answer| answer.status() == 200) {
                faults.push(format!("{name}: {stream:?}"));
            }
            let call = site.gateway.send(request("POST", "/orders/", &id)).await;
            if !call.as_ref().is_ok_and(|answer| answer.status() == 200) {
                faults.push(format!("{name}: {call:?}"));
            }
        }
        let uses = trap.asked("/notes/1") + trap.asked("/orders/") + trap.asked("/v1/order");
        if uses > 0 {
            faults.push(format!("{name}: used {uses} times"));
        }
        site.store.remove(&format!("servers/odd-{index}"));
        site.store.remove(&format!("servers/odd-{index}-b"));
        site.store.remove(&format!("servers/{good}"));
        if uses > 0 {
            sleep(Duration::from_millis(500)).await;
            trap.forget();
        }
    }
    let log = site.gateway.log();
    if log.contains("event=task_failed") {
        let line = log.lines().find(|line| line.contains("event=task_failed"));
        faults.push(format!("{line:?}"));
    }
    site.gateway.terminate().await;
    assert!(site.gateway.ended().await.success(), "the process ended");
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The same for a gateway that reads odd entries in its first list, and for those that get
/// the entries from a peer.
#[tokio::test(flavor = "multi_thread")]
async fn test_odd_entries_in_the_first_list_and_from_a_peer_harm_nothing() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let _engine = site.upstream("engine-0", "llm", well()).await;
    let _ledger = site.upstream("ledger-0", "ledger", well()).await;
    let trap = ScriptedUpstream::listen("trap", well(), &report().to_string()).await;
    for (index, (_, value)) in odd_entries(trap.address).iter().enumerate() {
        site.store.put(&format!("servers/odd-{index}"), value);
    }
    site.store
        .put_encoded("servers/odd-encoding", "not base64!");
    let mut gateways = Vec::new();
    let mut peers = site.gateway.peers;
    for name in ["front-2", "front-3", "front-4"] {
        peers = SocketAddr::new(neighbour_of(peers, gateways.len()), peers.port());
        gateways.push(GatewayProcess::start(&GatewayStart {
            program: Path::new(PROGRAM),
            folder: site.folder.path(),
            name,
            zone: "hall",
            store: site.store_address(),
            peers,
            seed: Some(site.gateway.peers),
            retry_burst: 200,
        }));
    }
    for gateway in &gateways {
        wait_until("a gateway is ready", async || gateway.is_ready().await).await;
    }
    let _later = site.upstream("good", "ledger", well()).await;
    for gateway in gateways.iter().chain([&site.gateway]) {
        wait_until("a later entry is seen", async || {
            gateway.log().contains("event=upstream id=good ")
        })
        .await;
        for index in 0..6 {
            let id = format!("s-{index}");
            let stream = gateway.send(stream_request(&id)).await.unwrap();
            assert_eq!(stream.status(), 200, "{stream:?}");
            let call = gateway
                .send(request("POST", "/orders/", &id))
                .await
                .unwrap();
            assert_eq!(call.status(), 200, "{call:?}");
        }
        assert!(!gateway.log().contains("event=task_failed"));
    }
    let uses = trap.asked("/notes/1") + trap.asked("/orders/") + trap.asked("/v1/order");
    assert_eq!(uses, 0);
}

fn neighbour_of(peers: SocketAddr, index: usize) -> std::net::IpAddr {
    let other = neighbour(peers).ip();
    match (index, other) {
        (0, other) => other,
        (index, std::net::IpAddr::V4(ip)) => {
            let [a, b, c, d] = ip.octets();
            let c = c.wrapping_add(u8::try_from(index).unwrap());
            std::net::IpAddr::from([a, b, c, d])
        }
        (_, other) => other,
    }
}

/// An engine's odd report neither ends a request's task nor stops the gateway.
#[tokio::test(flavor = "multi_thread")]
async fn test_odd_report_of_the_only_engine_harms_no_stream() {
    let mut faults = Vec::new();
    for (field, text) in [
        ("pace", "1e300"),
        ("pace", "1e999"),
        ("pace", "-1e300"),
        ("seq", "18446744073709551615"),
        ("seq", "1e999"),
        ("queued", "4294967295"),
        ("kv_used", "1e308"),
        ("kv_used", "-1e308"),
        ("layers", "{\"from\":0,\"target\":4294967295}"),
        ("layers", "{\"from\":9,\"target\":3}"),
        (
            "stalled",
            "[{\"id\":\"x\",\"address\":\"127.0.0.1:99999\"}]",
        ),
        ("stalled", &nested()),
        ("extra", &nested()),
    ] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let mut body = report();
        body[field] = Value::from("@@");
        let body = body.to_string().replace("\"@@\"", text);
        let engine = ScriptedUpstream::listen("engine-0", well(), &body).await;
        let known = entry("llm", engine.address).to_string();
        site.store.put("servers/engine-0", known.as_bytes());
        wait_until("the engine was asked", async || {
            engine.asked("/v1/report") >= 2
        })
        .await;
        sleep(Duration::from_millis(100)).await;
        for index in 0..2 {
            let stream = site
                .gateway
                .send(stream_request(&format!("s-{index}")))
                .await;
            if !stream.as_ref().is_ok_and(|answer| answer.status() == 200) {
                faults.push(format!("{field} {text:.20}: {stream:?}"));
            }
        }
        if site.gateway.log().contains("event=task_failed") {
            faults.push(format!("{field} {text:.20}: a task failed"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Odd values in the heads of answers end nothing.
#[tokio::test(flavor = "multi_thread")]
async fn test_odd_values_in_the_head_of_an_answer_harm_nothing() {
    let mut faults = Vec::new();
    for field in [
        "keep-alive: timeout=99999999999999999999",
        "keep-alive: timeout=18446744073709551615",
        "keep-alive: timeout=-1, max=1e999",
        "retry-after: -1",
        "retry-after: NaN",
        "at-server: 10.0.0.1:99999",
        "at-server: 127.0.0.1:0",
        "weight-versions: 1e999",
        "weight-versions: 99999999999999999999",
        "server-leaving: 1e999",
    ] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let script: Script = Arc::new(move |received: &Received| {
            let body = "id: 0\ndata: word\n\n";
            let id = &received.id;
            let answer = if id == "s-refused" {
                format!(
                    "HTTP/1.1 503 Full\r\nrequest-id: {id}\r\nnot-run: 1\r\n{field}\r\n\
                     content-length: 0\r\n\r\n"
                )
            } else {
                format!(
                    "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: raw\r\n{field}\r\n\
                     content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            };
            Written::new(answer, After::Keep)
        });
        let _engine = site.upstream("engine-0", "llm", script).await;
        for id in ["s-0", "s-1", "s-refused", "s-2"] {
            let answer = site.gateway.send(stream_request(id)).await;
            let expected = if id == "s-refused" { 503 } else { 200 };
            if !answer
                .as_ref()
                .is_ok_and(|answer| answer.status() == expected)
            {
                faults.push(format!("{field}: {id} {answer:?}"));
            }
            // The engine is avoided for a moment after a refusal.
            sleep(Duration::from_millis(150)).await;
        }
        if site.gateway.log().contains("event=task_failed") {
            faults.push(format!("{field}: a task failed"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
