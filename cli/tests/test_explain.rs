//! The command `explain` against a stub of a gateway.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command;

fn explanation() -> Value {
    json!({
        "config_version": 7,
        "route": "notes",
        "service": "llm",
        "account": "hall",
        "rank": 1,
        "outcome": {"sent": [
            {"upstream": "hall-0", "layers": {"first": 0, "end": 40}},
            {"upstream": "hall-1", "layers": {"first": 40, "end": 80}},
        ]},
        "candidates": [
            {"upstream": "hall-0", "domain": "hall", "layers": {"first": 0, "end": 40},
             "cost": 0.4125, "expected_requests": 12, "free_slots": 151,
             "free_context_tokens": 81_000, "starts_per_s": null, "exclusions": []},
            {"upstream": "hall-2", "domain": "hall", "layers": null,
             "cost": null, "expected_requests": 0, "free_slots": 0,
             "free_context_tokens": null, "starts_per_s": 0.667, "exclusions": [
                {"belief": "suspected: it was silent", "is_last_resort": false,
                 "age_ms": 812, "ends_in_ms": null},
                {"belief": "at its pace", "is_last_resort": true,
                 "age_ms": null, "ends_in_ms": null}]},
        ],
        "omitted": 3,
    })
}

/// Starts a gateway that gives one explanation, and returns the heads of its requests.
async fn start() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let heads = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&heads);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let heads = Arc::clone(&recorded);
            let respond = service_fn(move |request: Request<Incoming>| {
                let has_key = request.headers().contains_key("authorization");
                let head = format!("{} {} key={has_key}", request.method(), request.uri());
                heads.lock().unwrap().push(head);
                let body = Full::new(Bytes::from(explanation().to_string()));
                async { Ok::<_, Infallible>(Response::new(body)) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), respond));
        }
    });
    (address, heads)
}

async fn run(gateway: SocketAddr, arguments: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_jujubewall"))
        .args(["explain", "--gateway", &gateway.to_string()])
        .args(arguments)
        .output()
        .await
        .unwrap();
    let text = String::from_utf8(output.stdout).unwrap();
    (output.status.code().unwrap(), text)
}

/// The command must work without an operator's key, and print the beliefs that exclude
/// upstreams.
#[tokio::test]
async fn test_explanation_is_printed_without_a_key() {
    let (gateway, heads) = start().await;
    let question = ["--host", "desk.example", "--path", "/notes/1"];
    let (code, text) = run(gateway, &question).await;
    assert_eq!(code, 0, "{text}");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "route notes service llm account hall rank 1 config 7",
            "would be sent at once to hall-0 (0..40), hall-1 (40..80)",
            "UPSTREAM  DOMAIN  LAYERS  COST   EXPECTED  FREE_SLOTS  FREE_TOKENS  PACE    EXCLUDED",
            "hall-0    hall    0..40   0.412  12        151         81000        -",
            "hall-2    hall    -       -      0         0           -            0.67/s  suspected: \
             it was silent, for 812 ms; at its pace (last resort)",
            "3 more",
        ]
    );
    let options = [
        &question[..],
        &[
            "--account",
            "hall",
            "--prompt",
            "10",
            "--answer",
            "40",
            "--json",
        ],
    ]
    .concat();
    let (code, text) = run(gateway, &options).await;
    assert_eq!(code, 0, "{text}");
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), explanation());
    assert_eq!(
        *heads.lock().unwrap(),
        [
            "GET /explain?host=desk.example&path=/notes/1 key=false",
            "GET /explain?host=desk.example&path=/notes/1&account=hall&prompt=10&answer=40 key=false",
        ]
    );
    let (code, _) = run(gateway, &["--host", "desk.example", "--path", "/a&b"]).await;
    assert_eq!(code, 2);
}
