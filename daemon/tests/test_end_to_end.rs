//! The whole path through real processes.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use jujubewall_testutils::client::Event;
use jujubewall_testutils::client::HttpUser;
use jujubewall_testutils::daemon::Signal;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::fleet::COMPLETIONS;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::fleet::completion;
use jujubewall_testutils::site::ACCOUNT_KEY;
use jujubewall_testutils::site::MODEL;
use jujubewall_testutils::site::OTHER_OPERATOR_KEY;
use jujubewall_testutils::site::SiteShape;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;

const TOKENS: usize = 24;

async fn start(shape: SiteShape) -> Fleet {
    Fleet::start(Path::new(env!("CARGO_BIN_EXE_jujubewalld")), shape).await
}

#[tokio::test]
async fn test_answer_is_right_at_every_entry_whole_and_streamed() {
    let fleet = start(SiteShape::default()).await;
    for entry in 0..2 {
        let prompt = format!("a prompt for entry {entry}");
        let expected = fleet.site.expected_text(&prompt, TOKENS);
        let caller = fleet.caller(entry);
        let whole = caller
            .post(COMPLETIONS, &completion(&prompt, TOKENS, false))
            .await;
        let whole = whole.expect("the entry answers");
        assert_eq!(whole.status, 200, "{:?}", whole.body);
        assert_eq!(whole.outcome.as_deref(), Some("completed"));
        assert_eq!(whole.json()["choices"][0]["text"], json!(expected));
        let streamed = caller
            .stream(COMPLETIONS, &completion(&prompt, TOKENS, true))
            .await;
        let text = streamed.expect("the stream begins").text().await;
        assert_eq!(text.expect("the answer is whole"), expected);
    }
    fleet.stop().await;
}

#[tokio::test]
async fn test_service_call_runs_once_and_tells_its_outcome() {
    let fleet = start(SiteShape::default()).await;
    let caller = fleet.caller(0);
    let answer = caller
        .send(
            Method::POST,
            "/v1/services/orders/collect?item=4",
            &[],
            "order 4",
        )
        .await
        .expect("the entry answers");
    assert_eq!(answer.status, 200, "{:?}", answer.body);
    assert_eq!(answer.outcome.as_deref(), Some("completed"));
    assert_eq!(&answer.body[..], b"order 4");
    assert_eq!(fleet.site.service.fake.runs_of_body(b"order 4"), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn test_each_bad_request_has_its_own_error() {
    let fleet = start(SiteShape::default()).await;
    let good = completion("x", TOKENS, false);
    let caller = fleet.caller(0);
    let stranger = fleet.entries[0].user("caller_address", "no-such-key");
    let code = async |user: &HttpUser, path: &str, body: String| {
        let answer = user.send(Method::POST, path, &[], body).await;
        let answer = answer.expect("the entry answers");
        assert_eq!(answer.outcome.as_deref(), Some("not_run"));
        (answer.status, answer.error_code())
    };
    let unknown_model = json!({ "model": "no-such", "prompt": "x" }).to_string();
    let long = json!({ "model": MODEL, "prompt": "x".repeat(5_000) }).to_string();
    let huge = "x".repeat(5 * 1024 * 1024);
    let cases = [
        (
            &stranger,
            COMPLETIONS,
            good.to_string(),
            401,
            "unauthenticated",
        ),
        (&caller, COMPLETIONS, unknown_model, 404, "unknown_model"),
        (&caller, COMPLETIONS, long, 422, "too_many_tokens"),
        (&caller, COMPLETIONS, huge, 413, "body_too_large"),
        (&caller, COMPLETIONS, "{".to_owned(), 400, "bad_request"),
        (
            &caller,
            "/v1/services/none/x",
            String::new(),
            404,
            "unknown_service",
        ),
        (&caller, "/v1/nothing", String::new(), 404, "not_found"),
    ];
    for (user, path, body, status, expected) in cases {
        let got = code(user, path, body).await;
        assert_eq!(got, (status, expected.to_owned()));
    }
    let metrics = fleet.entries[0].user("metrics_address", "");
    let metrics = metrics.get("/metrics").await.expect("metrics are served");
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains(r#"jujubewall_requests_total{code="unknown_model"} 1"#));
    fleet.stop().await;
}

#[tokio::test]
async fn test_slow_caller_is_answered_with_a_timeout() {
    let fleet = start(SiteShape::default()).await;
    let caller = fleet.entries[0].address("caller_address");
    let mut socket = TcpStream::connect(caller).await.expect("the entry accepts");
    let head = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ACCOUNT_KEY}\r\n\
         content-length: 1000\r\n\r\n{{"
    );
    socket
        .write_all(head.as_bytes())
        .await
        .expect("the entry reads");
    let mut answer = vec![0; 12];
    let read = timeout(Duration::from_secs(20), socket.read_exact(&mut answer)).await;
    read.expect("the entry answers in time")
        .expect("the entry answers");
    assert_eq!(&answer, b"HTTP/1.1 408");
    fleet.stop().await;
}

#[tokio::test]
async fn test_operator_key_submits_notes_of_its_own_partner_only() {
    let fleet = start(SiteShape::default()).await;
    let mut note = json!(fleet.site.release_note("second"));
    let other = fleet.entries[1].user("operator_address", OTHER_OPERATOR_KEY);
    let answer = other.post("/admin/v1/notes", &note).await;
    assert_eq!(answer.expect("the entry answers").status, 403);
    note["partner"] = json!("bureau");
    let answer = other.post("/admin/v1/notes", &note).await;
    let answer = answer.expect("the entry answers").json();
    assert_eq!(answer["result"], "refused");
    assert_eq!(answer["clashes"][0]["reason"], "already_exists");
    assert_eq!(answer["clashes"][0]["owner"], "trust");
    let audit = fleet.operator(0).get("/admin/v1/audit").await;
    let audit = audit.expect("the entry answers").json();
    let results = audit["records"].as_array().expect("records are listed");
    let results: Vec<_> = results
        .iter()
        .map(|record| &record["answer"]["result"])
        .collect();
    assert_eq!(results, ["accepted", "refused"]);
    fleet.stop().await;
}

#[tokio::test]
async fn test_stopping_processes_cut_off_no_stream() {
    let engine = EngineSettings {
        decode_token_layer: Duration::from_millis(2),
        ..EngineSettings::default()
    };
    let shape = SiteShape {
        engine,
        ..SiteShape::default()
    };
    let fleet = start(shape).await;
    let expected = fleet.site.expected_text("long answer", TOKENS);
    let mut stream = fleet.stream(0, "long answer", TOKENS).await;
    let first = stream.next().await;
    for process in fleet.entries.iter().chain(&fleet.agents) {
        process.signal(Signal::Terminate);
    }
    eventually("the entry stops to be ready", async || {
        let monitoring = fleet.entries[0].user("metrics_address", "");
        let answer = monitoring.get("/readyz").await;
        answer.map_or(true, |answer| answer.status == 503)
    })
    .await;
    let rest = stream.text().await.expect("the answer is whole");
    let Some(Event::Text(first)) = first else {
        panic!("the first event is text");
    };
    assert_eq!(first + &rest, expected);
    for mut process in fleet.entries.into_iter().chain(fleet.agents) {
        assert!(process.wait().await, "the process ends well");
    }
}
