//! The tool against real processes.

use std::path::Path;
use std::path::PathBuf;
use std::process::Output;
use std::process::Stdio;

use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::program;
use jujubewall_testutils::site::OPERATOR_KEY;
use jujubewall_testutils::site::OTHER_OPERATOR_KEY;
use jujubewall_testutils::site::PARTNER;
use jujubewall_testutils::site::SiteShape;
use serde_json::Value;
use serde_json::json;
use tokio::process::Command;

const TOOL: &str = env!("CARGO_BIN_EXE_jujubewall");
const EXIT_REFUSED: i32 = 6;
const EXIT_FORBIDDEN: i32 = 3;

/// Returns the daemon that the workspace's tests build beside the tool.
fn daemon() -> PathBuf {
    let daemon = Path::new(TOOL).with_file_name("jujubewalld");
    assert!(daemon.exists(), "run the tests of the whole workspace");
    daemon
}

async fn run(fleet: &Fleet, key: &str, arguments: &[&str]) -> Output {
    let entry = fleet.entries[1].address("operator_address").to_string();
    let mut command = Command::new(TOOL);
    command
        .args(arguments)
        .env("JUJUBEWALL_ENTRY", entry)
        .env("JUJUBEWALL_OPERATOR_KEY", key)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let tool = program::spawn(&mut command).expect("the tool can be started");
    tool.wait_with_output().await.expect("the tool ends")
}

fn document(output: &Output) -> Value {
    assert!(output.status.success(), "{output:?}");
    serde_json::from_slice(&output.stdout).expect("the output is JSON")
}

fn write_note(fleet: &Fleet, id: &str) -> String {
    let note = json!({
        "id": id,
        "partner": PARTNER,
        "added": { "accounts": [{
            "name": "gate-2", "key_digests": ["11".repeat(32)],
            "weight": 1, "max_in_flight": 5, "requests_per_s": 5,
        }] },
    });
    let path = fleet.site.directory().join(format!("{id}.json"));
    std::fs::write(&path, note.to_string()).expect("files can be written");
    path.display().to_string()
}

#[tokio::test]
async fn test_note_is_checked_submitted_followed_and_audited() {
    let fleet = Fleet::start(&daemon(), SiteShape::default()).await;
    let file = write_note(&fleet, "more-gates");
    let check = run(&fleet, OPERATOR_KEY, &["note", "check", "--json", &file]).await;
    assert_eq!(document(&check)["clashes"], json!([]));
    let submit = ["note", "submit", "--wait", "--json", &file];
    let submitted = document(&run(&fleet, OPERATOR_KEY, &submit).await);
    assert!(submitted.to_string().contains("accepted"), "{submitted}");
    let status = document(&run(&fleet, OPERATOR_KEY, &["status", "--json"]).await);
    assert_eq!(
        (&status["head"], &status["is_in_force"]),
        (&json!(2), &json!(true))
    );
    let audit = document(&run(&fleet, OPERATOR_KEY, &["audit", "--json"]).await);
    let notes = audit["records"].as_array().expect("records are listed");
    assert_eq!(
        notes.last().expect("a note is on record")["note"],
        "more-gates"
    );
    let again = write_note(&fleet, "the-same-gate");
    let refused = run(&fleet, OPERATOR_KEY, &["note", "submit", &again]).await;
    assert_eq!(refused.status.code(), Some(EXIT_REFUSED), "{refused:?}");
    let other = run(&fleet, OTHER_OPERATOR_KEY, &["note", "submit", &again]).await;
    assert_eq!(other.status.code(), Some(EXIT_FORBIDDEN), "{other:?}");
    fleet.stop().await;
}
