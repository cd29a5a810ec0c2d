//! Calls that must not be repeated, through real processes.

use std::path::Path;
use std::time::Duration;

use hyper::Method;
use jujubewall_testutils::client::HttpAnswer;
use jujubewall_testutils::daemon::Signal;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::key_value::Outage;
use jujubewall_testutils::site::SiteShape;
use tokio::time::Instant;

const PATH: &str = "/v1/services/orders/collect";
const DEADLINE_MS: &str = "2000";
/// The time after its deadline within which a caller has its answer.
const ANSWER_MARGIN: Duration = Duration::from_secs(1);

async fn start() -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_jujubewalld"));
    Fleet::start(binary, SiteShape::default()).await
}

async fn order(fleet: &Fleet, entry: usize, key: Option<&str>, body: &str) -> HttpAnswer {
    let mut headers = vec![("jujubewall-deadline-ms", DEADLINE_MS)];
    headers.extend(key.map(|key| ("idempotency-key", key)));
    let caller = fleet.caller(entry);
    let started = Instant::now();
    let answer = caller
        .send(Method::POST, PATH, &headers, body.to_owned())
        .await;
    assert!(started.elapsed() < Duration::from_secs(2) + ANSWER_MARGIN);
    answer.expect("the entry answers")
}

fn outcome(answer: &HttpAnswer) -> &str {
    answer.outcome.as_deref().unwrap_or("none")
}

#[tokio::test]
async fn test_repeated_key_gets_the_recorded_result_at_any_entry() {
    let fleet = start().await;
    let first = order(&fleet, 0, Some("key-1"), "order 1").await;
    let second = order(&fleet, 1, Some("key-1"), "order 1").await;
    assert_eq!(
        (outcome(&first), outcome(&second)),
        ("completed", "completed")
    );
    assert_eq!(first.body, second.body);
    assert_eq!(fleet.site.service.fake.runs(), 1);
    let reused = order(&fleet, 1, Some("key-1"), "order 2").await;
    assert_eq!((reused.status, outcome(&reused)), (409, "not_run"));
    assert_eq!(reused.error_code(), "key_reused");
    assert_eq!(fleet.site.service.fake.runs(), 1);
    fleet.stop().await;
}

#[tokio::test]
async fn test_key_outlives_a_killed_agent() {
    let mut fleet = start().await;
    let binary = Path::new(env!("CARGO_BIN_EXE_jujubewalld"));
    fleet
        .site
        .service
        .fake
        .set_faults(|faults| faults.lose_next_replies = 1);
    let first = order(&fleet, 0, Some("key-2"), "order 3").await;
    assert_eq!(outcome(&first), "unknown");
    let mut agent = fleet.agents.pop().expect("the service has an agent");
    agent.signal(Signal::Kill);
    assert!(!agent.wait().await);
    fleet.agents.push(agent.restart(binary));
    let agent = fleet.agents.last().expect("the service has an agent");
    agent.wait_until_ready().await;
    eventually("the entry knows the new process", async || {
        let answer = order(&fleet, 0, None, "probe").await;
        outcome(&answer) == "completed"
    })
    .await;
    let repeated = order(&fleet, 1, Some("key-2"), "order 3").await;
    assert_ne!(outcome(&repeated), "not_run");
    assert_eq!(fleet.site.service.fake.runs_of_body(b"order 3"), 1);
}

/// Guards against a repeated order being called unrun by an entry that reaches no agent: the caller
/// could send it again without its key.
#[tokio::test]
async fn test_repeated_key_is_not_called_unrun_while_no_agent_is_reachable() {
    let mut fleet = start().await;
    let first = order(&fleet, 0, Some("key-7"), "order 10").await;
    assert_eq!(outcome(&first), "completed");
    let mut agent = fleet.agents.pop().expect("the service has an agent");
    agent.signal(Signal::Kill);
    assert!(!agent.wait().await);
    eventually("the second entry knows no agent", async || {
        let answer = order(&fleet, 1, None, "probe").await;
        answer.error_code() == "no_upstream"
    })
    .await;
    let repeated = order(&fleet, 1, Some("key-7"), "order 10").await;
    assert_eq!(outcome(&repeated), "unknown");
    assert!(repeated.retry_after_s.is_some());
    assert_eq!(fleet.site.service.fake.runs_of_body(b"order 10"), 1);
}

/// Guards against a repeated order being called unrun by an agent that cannot look its key up.
#[tokio::test]
async fn test_repeated_key_is_not_called_unrun_by_a_new_agent_in_an_outage() {
    let mut fleet = start().await;
    let first = order(&fleet, 0, Some("key-8"), "order 11").await;
    assert_eq!(outcome(&first), "completed");
    let key_value = fleet.site.key_value.clone();
    key_value.set_faults(|faults| faults.outage = Outage::Refusing);
    let mut agent = fleet.agents.pop().expect("the service has an agent");
    agent.signal(Signal::Kill);
    assert!(!agent.wait().await);
    let agent = agent.restart(Path::new(env!("CARGO_BIN_EXE_jujubewalld")));
    agent.wait_until_ready().await;
    fleet.agents.push(agent);
    eventually("the second entry knows the new process", async || {
        let answer = order(&fleet, 1, None, "probe").await;
        outcome(&answer) == "completed"
    })
    .await;
    let repeated = order(&fleet, 1, Some("key-8"), "order 11").await;
    assert_eq!(outcome(&repeated), "unknown");
    assert_eq!(fleet.site.service.fake.runs_of_body(b"order 11"), 1);
}

#[tokio::test]
async fn test_paused_agent_neither_doubles_nor_falsifies() {
    let fleet = start().await;
    let agent = fleet.agents.last().expect("the service has an agent");
    agent.signal(Signal::Pause);
    let told = order(&fleet, 0, Some("key-3"), "order 4").await;
    agent.signal(Signal::Resume);
    let repeated = order(&fleet, 0, Some("key-3"), "order 4").await;
    let runs = fleet.site.service.fake.runs_of_body(b"order 4");
    assert!(runs <= 1, "the order ran {runs} times");
    if outcome(&told) == "not_run" && outcome(&repeated) == "not_run" {
        assert_eq!(runs, 0);
    }
    if outcome(&repeated) == "completed" {
        assert_eq!(runs, 1);
    }
}

#[tokio::test]
async fn test_order_without_an_agent_is_refused_at_once() {
    let mut fleet = start().await;
    let mut agent = fleet.agents.pop().expect("the service has an agent");
    agent.signal(Signal::Kill);
    agent.wait().await;
    eventually("the agent is known to be gone", async || {
        let status = fleet.operator(0).get("/admin/v1/status").await;
        let status = status.expect("the entry answers").json();
        status["unreachable"]
            .as_array()
            .is_some_and(|gone| !gone.is_empty())
    })
    .await;
    let started = Instant::now();
    let answer = order(&fleet, 0, None, "order 5").await;
    assert_eq!((outcome(&answer), answer.status), ("not_run", 503));
    assert!(answer.retry_after_s.is_some());
    assert!(
        started.elapsed() < ANSWER_MARGIN,
        "the refusal is held back"
    );
    assert_eq!(fleet.site.service.fake.runs(), 0);
}

#[tokio::test]
async fn test_outage_of_the_key_value_service_never_doubles_an_order() {
    let fleet = start().await;
    let first = order(&fleet, 0, Some("key-4"), "order 6").await;
    assert_eq!(outcome(&first), "completed");
    let key_value = &fleet.site.key_value;
    key_value.set_faults(|faults| faults.outage = Outage::Silent);
    let during = order(&fleet, 1, Some("key-4"), "order 6").await;
    let fresh = order(&fleet, 1, Some("key-5"), "order 7").await;
    key_value.set_faults(|faults| faults.outage = Outage::None);
    assert_eq!(fleet.site.service.fake.runs_of_body(b"order 6"), 1);
    let runs = fleet.site.service.fake.runs_of_body(b"order 7");
    let is_true = match outcome(&fresh) {
        "completed" => runs == 1,
        "not_run" => runs == 0,
        _ => runs <= 1,
    };
    assert!(is_true, "{} after {runs} runs", outcome(&fresh));
    assert_ne!(outcome(&during), "not_run", "the order has run before");
}

#[tokio::test]
async fn test_agent_killed_in_the_middle_of_an_order_never_doubles_it() {
    let binary = Path::new(env!("CARGO_BIN_EXE_jujubewalld"));
    let mut fleet = start().await;
    let service = fleet.site.service.fake.clone();
    service.set_faults(|faults| faults.delay = Duration::from_secs(1));
    let mut agent = fleet.agents.pop().expect("the service has an agent");
    let running = order(&fleet, 0, Some("key-6"), "order 8");
    let kill = async {
        eventually("the order runs", async || {
            service.runs_of_body(b"order 8") == 1
        })
        .await;
        agent.signal(Signal::Kill);
        agent.wait().await;
    };
    let (told, ()) = tokio::join!(running, kill);
    assert_eq!(outcome(&told), "unknown");
    service.set_faults(|faults| faults.delay = Duration::ZERO);
    let agent = agent.restart(binary);
    agent.wait_until_ready().await;
    fleet.agents.push(agent);
    eventually("the entry knows the new process", async || {
        let answer = order(&fleet, 1, None, "probe").await;
        outcome(&answer) == "completed"
    })
    .await;
    let repeated = order(&fleet, 1, Some("key-6"), "order 8").await;
    assert_eq!(outcome(&repeated), "unknown");
    assert_eq!(service.runs_of_body(b"order 8"), 1);
}

#[tokio::test]
async fn test_slow_service_is_given_the_callers_time() {
    let fleet = start().await;
    let service = &fleet.site.service.fake;
    service.set_faults(|faults| faults.delay = Duration::from_secs(3));
    let headers = [("jujubewall-deadline-ms", "8000")];
    let answer = fleet
        .caller(0)
        .send(Method::POST, PATH, &headers, "order 9")
        .await
        .expect("the entry answers");
    assert_eq!((outcome(&answer), answer.status), ("completed", 200));
}

/// Guards against a failure after the run being answered with a status that promises the contrary,
/// which clients act on that do not know the outcome's header.
#[tokio::test]
async fn test_failure_after_a_run_is_not_answered_as_a_promise() {
    let fleet = start().await;
    for status in [408, 429, 503] {
        let service = &fleet.site.service.fake;
        service.set_faults(|faults| faults.fails_with = Some(status));
        for key in [None, Some(format!("key-{status}"))] {
            let body = format!("order {status} {key:?}");
            let answer = order(&fleet, 0, key.as_deref(), &body).await;
            assert_eq!((outcome(&answer), answer.status), ("completed", 502));
            assert_eq!(answer.body, body.as_bytes());
            assert_eq!(service.runs_of_body(body.as_bytes()), 1);
        }
    }
    let service = &fleet.site.service.fake;
    service.set_faults(|faults| faults.fails_with = Some(500));
    let answer = order(&fleet, 0, None, "order 500").await;
    assert_eq!((outcome(&answer), answer.status), ("completed", 500));
    fleet.stop().await;
}
