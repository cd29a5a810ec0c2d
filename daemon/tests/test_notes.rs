//! Release notes through real processes while the platform fails.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::client::HttpUser;
use jujubewall_testutils::daemon::Signal;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::fleet::NOTES;
use jujubewall_testutils::key_value::Outage;
use jujubewall_testutils::notes::account;
use jujubewall_testutils::notes::note;
use jujubewall_testutils::site::OTHER_OPERATOR_KEY;
use jujubewall_testutils::site::SiteShape;
use serde_json::Value;
use serde_json::json;
use tokio::time::timeout;

const NOTES_EACH: u64 = 6;
const LOST_REPLIES_PERMILLE: u32 = 100;
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);

async fn start() -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_jujubewalld"));
    Fleet::start(binary, SiteShape::default()).await
}

fn account_note(id: &str, partner: &str, name: &str) -> Value {
    let added = json!({ "accounts": [account(name, 1)] });
    json!(note(id, partner, &added, &json!({}), &json!({})))
}

/// Submits a note until its result is known.
async fn settle(operator: &HttpUser, note: &Value) -> Value {
    let attempts = async {
        loop {
            let Ok(answer) = operator.post(NOTES, note).await else {
                continue;
            };
            let answer = answer.json();
            if answer["result"] == "accepted" || answer["result"] == "refused" {
                return answer;
            }
        }
    };
    let settled = timeout(SETTLE_LIMIT, attempts).await;
    settled.expect("the result becomes known")
}

/// Submits a partner's notes and returns the revisions of those accepted.
async fn submit_all(operator: HttpUser, partner: &str) -> BTreeMap<u64, String> {
    let mut accepted = BTreeMap::new();
    for number in 0..NOTES_EACH {
        let id = format!("{partner}-{number}");
        let note = account_note(&id, partner, &format!("contended-{number}"));
        let answer = settle(&operator, &note).await;
        if let Some(revision) = answer["revision"].as_u64() {
            assert_eq!(accepted.insert(revision, id), None);
        }
    }
    accepted
}

async fn has_revision(operator: &HttpUser, revision: u64) -> bool {
    let status = operator.get("/admin/v1/status").await;
    status.is_ok_and(|status| status.json()["head"].as_u64() >= Some(revision))
}

#[tokio::test]
async fn test_racing_partners_get_one_order_although_replies_are_lost() {
    let fleet = start().await;
    let service = &fleet.site.key_value;
    service.set_faults(|faults| faults.lose_reply_permille = LOST_REPLIES_PERMILLE);
    let other = fleet.entries[1].user("operator_address", OTHER_OPERATOR_KEY);
    let (mut accepted, others) = tokio::join!(
        submit_all(fleet.operator(0), "trust"),
        submit_all(other, "bureau"),
    );
    service.set_faults(|faults| faults.lose_reply_permille = 0);
    let count = accepted.len() + others.len();
    accepted.extend(others);
    assert_eq!(accepted.len(), count, "two notes have one revision");
    assert_eq!(
        accepted.len() as u64,
        NOTES_EACH,
        "each account has one owner"
    );
    let audit = fleet.operator(1).get("/admin/v1/audit?from=2").await;
    let audit = audit.expect("the entry answers").json();
    let records = audit["records"].as_array().expect("records are listed");
    let listed: BTreeMap<u64, String> = records
        .iter()
        .filter(|record| record["answer"]["result"] == "accepted")
        .map(|record| {
            let revision = record["sequence"].as_u64().expect("a number");
            let id = record["note"].as_str().expect("an identifier");
            (revision, id.to_owned())
        })
        .collect();
    assert_eq!(listed, accepted);
    fleet.stop().await;
}

/// Guards against an accepted note being lost, or not in force in time, when the service fails and
/// the entry that accepted it is killed.
#[tokio::test]
async fn test_a_note_stays_in_force_when_service_and_accepter_are_lost() {
    let mut fleet = start().await;
    let note = account_note("late", "trust", "late");
    let first = settle(&fleet.operator(0), &note).await;
    let revision = first["revision"].as_u64().expect("the note is accepted");
    let service = fleet.site.key_value.clone();
    service.set_faults(|faults| faults.outage = Outage::Refusing);
    let other = fleet.operator(1);
    let in_force = eventually("the other entry applies the note", async || {
        has_revision(&other, revision).await
    });
    let in_force = timeout(IN_FORCE_LIMIT, in_force).await;
    in_force.expect("the note is in force in time");
    let mut accepter = fleet.entries.remove(0);
    accepter.signal(Signal::Kill);
    assert!(!accepter.wait().await);
    let accepter = accepter.restart(Path::new(env!("CARGO_BIN_EXE_jujubewalld")));
    accepter.wait_until_ready().await;
    fleet.entries.insert(0, accepter);
    // A process that starts gets its first revision from any member, also from one that has not
    // applied the note yet. The limit is that of notes in force everywhere.
    let restarted = fleet.operator(0);
    let in_force = eventually("the restarted entry applies the note", async || {
        has_revision(&restarted, revision).await
    });
    let in_force = timeout(IN_FORCE_LIMIT, in_force).await;
    in_force.expect("the note is in force at the restarted entry in time");
    let refused = fleet
        .operator(0)
        .post(NOTES, &account_note("x", "trust", "x"))
        .await;
    assert_eq!(
        refused.expect("the entry answers").error_code(),
        "platform_unavailable"
    );
    assert!(
        has_revision(&restarted, revision).await,
        "the restarted entry went back to an older revision"
    );
    service.set_faults(|faults| faults.outage = Outage::None);
    let again = settle(&fleet.operator(0), &note).await;
    assert_eq!(again["revision"].as_u64(), Some(revision));
    fleet.stop().await;
}
