//! Tests the gateway with upstreams that write an earlier refusal once more.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::Written;
use serde_json::json;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The pause after a request, in which bytes of an upstream arrive.
const SETTLE: Duration = Duration::from_millis(60);

/// A refusal, with the identifier that it carries.
fn refusal(status: &str, id: Option<&str>) -> String {
    let id = id.map_or_else(String::new, |id| format!("request-id: {id}\r\n"));
    format!("HTTP/1.1 {status}\r\n{id}not-run: 1\r\ncontent-length: 0\r\n\r\n")
}

/// A whole stream that leaves its connection open.
fn stream(id: &str) -> String {
    let events = "id: 0\ndata: word\n\n";
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: raw\r\n\
         content-type: text/event-stream\r\ncontent-length: {}\r\n\r\n{events}",
        events.len()
    )
}

/// What an upstream writes, wrongly, in answer to a request that it runs.
fn copies() -> Vec<(&'static str, String)> {
    let id_less = refusal("503 Service Unavailable", None);
    vec![
        ("503 without an identifier", id_less.clone()),
        (
            "421 without an identifier",
            refusal("421 Misdirected Request", None),
        ),
        (
            "400 without an identifier",
            refusal("400 Bad Request", None),
        ),
        (
            "503 of another request",
            refusal("503 Service Unavailable", Some("first")),
        ),
        (
            "421 of another request",
            refusal("421 Misdirected Request", Some("first")),
        ),
        ("two copies", id_less.repeat(2)),
    ]
}

/// Answers a connection's first request well, and each later one with `copy`.
fn copy_on_kept(copy: &str) -> Script {
    let copy = copy.to_owned();
    Arc::new(move |received: &Received| {
        let bytes = match received.position {
            0 => stream(&received.id),
            _ => copy.clone(),
        };
        Written::new(bytes, After::Keep)
    })
}

/// Whether a status states that the request did not run and never will.
fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Guards against an operators' report: an earlier refusal, written once more on a kept
/// connection, made the gateway report a request as not run that ran, or run it twice.
#[tokio::test(flavor = "multi_thread")]
async fn test_copied_refusal_on_a_kept_connection_does_not_mark_a_stream_as_not_run() {
    let mut faults = Vec::new();
    for (name, copy) in copies() {
        let site = ScriptedSite::start(Path::new(PROGRAM), |config| {
            config["routes"][0]["stream_resume"] = json!(false);
            config["routes"][0]["max_attempts"] = json!(1);
        })
        .await;
        let engines = [
            site.upstream("engine-0", "llm", copy_on_kept(&copy)).await,
            site.upstream("engine-1", "llm", copy_on_kept(&copy)).await,
        ];
        for index in 0..8 {
            let id = format!("s-{index}");
            let reply = site.raw_answer("POST", "/notes/1", &id).await;
            let sends: Vec<Received> = engines.iter().flat_map(|it| it.received(&id)).collect();
            if sends.len() > 1 {
                faults.push(format!("{name}: {id} ran {} times", sends.len()));
            }
            if !sends.is_empty() && promises_not_run(reply.status) {
                faults.push(format!(
                    "{name}: {id} ran and was answered {}",
                    reply.status
                ));
            }
            sleep(SETTLE).await;
        }
        let all = (0..8).flat_map(|index| engines[0].received(&format!("s-{index}")));
        assert!(
            all.into_iter().any(|sent| sent.position > 0),
            "{name}: no connection was used again"
        );
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The same for calls: those that may run once at most use new connections, and of others
/// a copied refusal proves nothing.
#[tokio::test(flavor = "multi_thread")]
async fn test_copied_refusal_on_a_kept_connection_does_not_mark_a_call_as_not_run() {
    let mut faults = Vec::new();
    for (name, copy) in copies() {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let service = site.upstream("raw-0", "ledger", copy_on_kept(&copy)).await;
        for index in 0..6 {
            let (method, path) = match index % 3 {
                2 => ("POST", "/orders/"),
                _ => ("GET", "/stock/"),
            };
            let id = format!("q-{index}");
            let reply = site.raw_answer(method, path, &id).await;
            let sends = service.received(&id);
            if !sends.is_empty() && promises_not_run(reply.status) {
                faults.push(format!(
                    "{name}: {id} ran and was answered {}",
                    reply.status
                ));
            }
            if path == "/orders/" && sends.len() != 1 {
                faults.push(format!("{name}: {id} ran {} times", sends.len()));
            }
            sleep(SETTLE).await;
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A refusal behind the end of a stream belongs to no request, whenever it arrives.
#[tokio::test(flavor = "multi_thread")]
async fn test_refusal_behind_the_end_of_a_stream_belongs_to_no_request() {
    let mut faults = Vec::new();
    for pause_ms in [0, 1, 5, 20] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |config| {
            config["routes"][0]["stream_resume"] = json!(false);
        })
        .await;
        let script: Script = Arc::new(move |received: &Received| Written {
            parts: vec![
                (
                    stream(&received.id).into_bytes(),
                    Duration::from_millis(pause_ms),
                ),
                (
                    refusal("503 Service Unavailable", None).into_bytes(),
                    Duration::ZERO,
                ),
            ],
            after: After::Keep,
        });
        let engine = site.upstream("engine-0", "llm", script).await;
        for index in 0..20 {
            let id = format!("s-{index}");
            let reply = site.raw_answer("POST", "/notes/1", &id).await;
            let sends = engine.received(&id).len();
            if sends > 1 || (sends > 0 && promises_not_run(reply.status)) {
                faults.push(format!(
                    "{pause_ms} ms: {id} ran {sends} times and was answered {}",
                    reply.status
                ));
            }
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A refusal on a new connection, or one that names its request, is the request's own: it
/// is no failure, and costs one connection. Queries of the engine's state use a few more.
#[tokio::test(flavor = "multi_thread")]
async fn test_own_refusals_are_believed_and_open_one_connection_each() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(|received: &Received| {
        let index: usize = received.id[2..].parse().unwrap_or_default();
        let bytes = if index.is_multiple_of(2) {
            stream(&received.id)
        } else {
            refusal("503 Service Unavailable", Some(&received.id))
        };
        Written::new(bytes, After::Keep)
    });
    let engine = site.upstream("engine-0", "llm", script).await;
    let mut connections = std::collections::HashSet::new();
    let mut refused = 0;
    for index in 0..40 {
        let id = format!("s-{index}");
        let reply = site.raw_answer("POST", "/notes/1", &id).await;
        let sends = engine.received(&id);
        connections.extend(sends.iter().map(|sent| sent.connection));
        if index % 2 == 1 {
            refused += sends.len();
            assert_eq!(reply.status, 503, "{id}: {reply:?}");
        }
        // The engine is avoided for a moment after a refusal.
        sleep(Duration::from_millis(120)).await;
    }
    assert!(refused >= 10, "{refused} refusals");
    assert!(
        connections.len() <= refused + refused / 4,
        "{} connections for {refused} refusals",
        connections.len()
    );
}
