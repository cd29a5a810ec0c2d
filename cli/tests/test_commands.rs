//! Tests of the commands against a stub of an entry.

use std::convert::Infallible;
use std::fs;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::path::PathBuf;
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
use jujubewall_types::digest::Digest;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::process::Command;

const KEY: &str = "operator-key";
const NOTE: &str = r#"{"id": "note-7", "partner": "trust"}"#;

/// Answers each request by the next of its scripted answers; the last one repeats.
#[derive(Default)]
struct Script {
    answers: Vec<(&'static str, u16, Value)>,
    requests: Vec<String>,
}

impl Script {
    fn answer(&mut self, request: &Request<Incoming>) -> (u16, Value) {
        let authorized = request.headers()["authorization"] == format!("Bearer {KEY}");
        assert!(authorized, "the key is sent");
        let line = format!("{} {}", request.method(), request.uri());
        let place = self.answers.iter().position(|answer| answer.0 == line);
        let place = place.unwrap_or_else(|| panic!("unexpected request {line}"));
        let is_repeated = self.answers[place + 1..]
            .iter()
            .any(|answer| answer.0 == line);
        self.requests.push(line);
        let (_, status, body) = if is_repeated {
            self.answers.remove(place)
        } else {
            self.answers[place].clone()
        };
        (status, body)
    }
}

/// Starts an entry that gives the scripted answers.
async fn start(answers: Vec<(&'static str, u16, Value)>) -> (SocketAddr, Arc<Mutex<Script>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Vec::new();
    let script = Arc::new(Mutex::new(Script { answers, requests }));
    let served = Arc::clone(&script);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let script = Arc::clone(&served);
            let respond = service_fn(move |request| {
                let (status, body) = script.lock().unwrap().answer(&request);
                let body = Full::new(Bytes::from(body.to_string()));
                let response = Response::builder().status(status).body(body).unwrap();
                async { Ok::<_, Infallible>(response) }
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), respond));
        }
    });
    (address, script)
}

fn scratch(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    directory
}

fn note_file(name: &str) -> String {
    let path = scratch(name).join("note.json");
    fs::write(&path, NOTE).unwrap();
    path.display().to_string()
}

/// Runs the tool and returns its exit code and what it printed.
async fn run(entry: SocketAddr, arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_jujubewall"))
        .args(arguments)
        .env("JUJUBEWALL_ENTRY", entry.to_string())
        .env("JUJUBEWALL_OPERATOR_KEY", KEY)
        .output()
        .await
        .unwrap();
    let text = |bytes| {
        String::from_utf8(bytes)
            .unwrap()
            .replace(&entry.to_string(), "ENTRY")
    };
    let code = output.status.code().unwrap();
    format!(
        "exit {code}\n{}{}",
        text(output.stdout),
        text(output.stderr)
    )
}

fn status(is_in_force: bool) -> Value {
    let member = |name: &str, role: &str, state: &str, revision: u64| {
        json!({
            "member": name, "host": format!("host-of-{name}"), "failure_domain": "arrivals",
            "role": role, "state": state, "applied_revision": revision, "age_ms": 12,
        })
    };
    json!({
        "head": 9,
        "is_in_force": is_in_force,
        "slowest": if is_in_force { vec![] } else { vec!["agent-1"] },
        "unreachable": ["agent-2"],
        "members": [
            member("entry-1", "entry", "alive", 9),
            member("agent-1", "agent", "alive", if is_in_force { 9 } else { 8 }),
            member("agent-2", "agent", "suspect", 7),
        ],
    })
}

fn clash() -> Value {
    json!({
        "item": { "kind": "model", "name": "seating" },
        "reason": "owned_by_other",
        "message": "the model belongs to another partner",
        "owner": "bureau",
        "note": "note-3",
    })
}

fn change() -> Value {
    json!({
        "item": { "kind": "account", "name": "bay" },
        "action": "changed",
        "before": { "weight": 1 },
        "after": { "weight": 2 },
    })
}

#[tokio::test]
async fn test_status_names_the_slow_and_the_unreachable() {
    let (entry, _) = start(vec![("GET /admin/v1/status", 200, status(false))]).await;
    insta::assert_snapshot!("status", run(entry, &["status"]).await);
    insta::assert_snapshot!("status_json", run(entry, &["status", "--json"]).await);
}

#[tokio::test]
async fn test_upstreams_and_audit_are_shown() {
    let upstream = json!({
        "upstream": { "owner": "trust", "item": {
            "name": "bay-orders", "host": "host-1", "failure_domain": "arrivals",
            "address": "127.0.0.1:5000", "agent_address": "127.0.0.1:7001",
            "kind": { "service": { "service": "orders", "idempotent": false } },
        } },
        "agent_state": "leaving",
        "in_flight": 3,
    });
    let record = |sequence: u64, answer: Value, changes: Value| {
        json!({
            "sequence": sequence, "unix_ms": 1000, "partner": "trust",
            "submitted_by": "key-0a1b2c3d", "note": "note-7", "note_digest": "00".repeat(32), "answer": answer, "changes": changes,
        })
    };
    let accepted = record(
        4,
        json!({ "result": "accepted", "revision": 9 }),
        json!([change()]),
    );
    let refused = record(
        5,
        json!({ "result": "refused", "clashes": [clash()] }),
        json!([]),
    );
    let audit = json!({ "oldest": 1, "records": [accepted, refused], "next": 6 });
    let (entry, _) = start(vec![
        (
            "GET /admin/v1/upstreams",
            200,
            json!({ "revision": 9, "upstreams": [upstream] }),
        ),
        ("GET /admin/v1/audit?from=4&limit=2", 200, audit),
    ])
    .await;
    insta::assert_snapshot!("upstreams", run(entry, &["upstreams"]).await);
    insta::assert_snapshot!(
        "audit",
        run(entry, &["audit", "--from", "4", "--limit", "2"]).await
    );
}

#[tokio::test]
async fn test_check_and_diff_change_nothing() {
    let accepted = json!({ "head": 9, "clashes": [], "diff": [change()] });
    let refused = json!({ "head": 9, "clashes": [clash()], "diff": [] });
    let check = "POST /admin/v1/notes/check";
    let (entry, script) = start(vec![
        (check, 200, accepted.clone()),
        (check, 200, accepted),
        (check, 200, refused),
    ])
    .await;
    let note = note_file("check");
    insta::assert_snapshot!("check", run(entry, &["note", "check", &note]).await);
    insta::assert_snapshot!("diff", run(entry, &["note", "diff", &note]).await);
    insta::assert_snapshot!("check_refused", run(entry, &["note", "check", &note]).await);
    assert_eq!(script.lock().unwrap().requests, [check; 3]);
}

#[tokio::test]
async fn test_submit_waits_until_the_note_is_in_force() {
    let submit = "POST /admin/v1/notes";
    let unknown = json!({ "result": "unknown", "advice": "submit the same note again" });
    let accepted = json!({ "result": "accepted", "revision": 9 });
    let (entry, script) = start(vec![
        (submit, 200, unknown),
        (submit, 200, accepted),
        ("GET /admin/v1/status", 200, status(false)),
        ("GET /admin/v1/status", 200, status(true)),
    ])
    .await;
    let note = note_file("submit");
    insta::assert_snapshot!(
        "submit_wait",
        run(entry, &["note", "submit", "--wait", &note]).await
    );
    assert_eq!(script.lock().unwrap().requests.len(), 4);
    insta::assert_snapshot!(
        "submit_json",
        run(entry, &["note", "submit", &note, "--json"]).await
    );
}

#[tokio::test]
async fn test_each_result_of_a_note_has_its_exit_code() {
    let error = json!({ "error": {
        "code": "unauthenticated", "message": "the key belongs to no partner", "outcome": "not_run",
    } });
    let path = "GET /admin/v1/notes/note-7";
    let (entry, _) = start(vec![
        (
            path,
            200,
            json!({ "result": "refused", "clashes": [clash()] }),
        ),
        (
            path,
            200,
            json!({ "result": "unknown", "advice": "ask again" }),
        ),
        (path, 401, error.clone()),
        (path, 401, error),
    ])
    .await;
    let ask = ["note", "status", "note-7"];
    insta::assert_snapshot!("note_refused", run(entry, &ask).await);
    insta::assert_snapshot!("note_unknown", run(entry, &ask).await);
    insta::assert_snapshot!("unauthenticated", run(entry, &ask).await);
    insta::assert_snapshot!(
        "unauthenticated_json",
        run(entry, &[&ask[..], &["--json"]].concat()).await
    );
    insta::assert_snapshot!("bad_note_id", run(entry, &["note", "status", "a b"]).await);
    insta::assert_snapshot!("bad_usage", run(entry, &["note", "status"]).await);
    let nobody = "127.0.0.1:1".parse().unwrap();
    insta::assert_snapshot!("unreachable", run(nobody, &["status"]).await);
}

#[tokio::test]
async fn test_keys_are_written_for_their_owner_and_never_printed() {
    let directory = scratch("keys");
    let place = directory.display().to_string();
    let nobody = "127.0.0.1:1".parse().unwrap();
    let generate = ["keys", "generate", "--json", "--directory", &place];
    let names = [
        "--member",
        "entry-1",
        "--operator",
        "trust",
        "--account",
        "bay",
    ];
    let printed = run(nobody, &[&generate[..], &names[..]].concat()).await;
    let report: Value = serde_json::from_str(printed.strip_prefix("exit 0\n").unwrap()).unwrap();

    for stem in ["authority", "entry-1", "operator-trust", "account-bay"] {
        let path = directory.join(format!("{stem}.key"));
        let mode = fs::metadata(&path).unwrap().permissions().mode();
        assert_eq!(mode & 0o777, 0o600, "{stem}");
        let key = fs::read_to_string(&path).unwrap();
        assert!(!printed.contains(key.trim()), "{stem} was printed");
    }
    let key = fs::read(directory.join("operator-trust.key")).unwrap();
    assert_eq!(
        report["operators"][0]["digest"],
        Digest::of(&key).to_string()
    );

    let again = run(nobody, &[&generate[..], &["--member", "entry-1"]].concat()).await;
    assert!(
        again.starts_with("exit 2\n"),
        "no file is overwritten: {again}"
    );
    let more = run(nobody, &[&generate[..], &["--member", "entry-2"]].concat()).await;
    assert!(
        more.starts_with("exit 0\n"),
        "the authority is used again: {more}"
    );
}

#[tokio::test]
async fn test_settings_are_checked_as_the_daemon_checks_them() {
    let directory = scratch("settings");
    let path = directory.join("settings.json");
    fs::write(
        &path,
        r#"{"role": "entry", "limits": {"body_timeout_s": 1}}"#,
    )
    .unwrap();
    let nobody = "127.0.0.1:1".parse().unwrap();
    let file = path.display().to_string();
    insta::assert_snapshot!(
        "settings_check",
        run(nobody, &["settings", "check", &file]).await
    );
    let schema = run(nobody, &["settings", "schema"]).await;
    let committed = include_str!("../../docs/settings.schema.json");
    assert_eq!(schema.strip_prefix("exit 0\n"), Some(committed));
}

const GATEWAY_LOG: &str = "\
0.1 front-1 time=1.0 level=INFO event=start member=front-1 domain=hall
0.2 front-1 time=1.1 level=INFO event=upstream id=i-1 address=10.0.0.1:80 state=ready
0.3 front-1 time=1.2 level=INFO event=path id=a1 first=i-1 path=10.0.0.1:80=0-8
0.4 front-1 time=1.3 level=WARN event=suspect upstream=i-1 address=10.0.0.1:80 reason=\"silent\"
0.4 front-1 time=1.3 level=INFO event=run_lost id=a1 sends=1 goes_on=true
0.8 front-1 time=1.7 level=INFO event=end id=a1 route=notes account=bay outcome=completed \
reason=\"\" sends=2 repaths=0 first_ms=40 target_ms=600 longest_gap_ms=310 gap_limit_ms=250 ms=900
1.1 front-1 time=2.0 level=INFO event=reject id=a2 reason=\"every engine is full\" sends=1
1.1 front-1 time=2.0 level=INFO event=end id=a2 route=notes account=bay outcome=rejected \
reason=\"every engine is full\" sends=1 ms=2
a line of another program
";

#[tokio::test]
async fn test_logs_tell_how_requests_ended_and_why() {
    let path = scratch("logs").join("merged.log");
    fs::write(&path, GATEWAY_LOG).unwrap();
    let file = path.display().to_string();
    let nobody = "127.0.0.1:1".parse().unwrap();
    insta::assert_snapshot!("losses", run(nobody, &["losses", &file]).await);
    insta::assert_snapshot!(
        "losses_json",
        run(
            nobody,
            &["losses", "--json", "--from", "1", "--to", "2", &file]
        )
        .await
    );
    insta::assert_snapshot!("trace", run(nobody, &["trace", "a1", &file]).await);
    let unknown = run(nobody, &["trace", "a9", &file]).await;
    assert!(unknown.starts_with("exit 2\n"), "{unknown}");
    let missing = run(nobody, &["losses", "/nonexistent/gateway.log"]).await;
    assert!(missing.starts_with("exit 2\n"), "{missing}");
}
