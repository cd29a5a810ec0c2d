//! Failures of real processes in the middle of answers.

use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::client::Event;
use jujubewall_testutils::client::EventStream;
use jujubewall_testutils::daemon::Signal;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::fleet::COMPLETIONS;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::fleet::NOTES;
use jujubewall_testutils::fleet::completion;
use jujubewall_testutils::key_value::Outage;
use jujubewall_testutils::site::PARTNER;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::TestSite;
use serde_json::json;
use tokio::time::Instant;

const BINARY: &str = env!("CARGO_BIN_EXE_jujubewalld");
const TOKENS: usize = 60;
const STAGES: usize = 3;
const PIPELINES: usize = 2;
/// The stall that a caller may see after a failure, as the design states it.
const STALL_TARGET: Duration = Duration::from_secs(1);
/// The time within which a note is in force everywhere, as the design states it.
const IN_FORCE_TARGET: Duration = Duration::from_secs(2);
const PROMPT: &str = "a prompt of some length";

fn shape() -> SiteShape {
    let engine = EngineSettings {
        decode_token_layer: Duration::from_millis(2),
        ..EngineSettings::default()
    };
    SiteShape {
        pipelines: PIPELINES,
        stages: STAGES,
        engine,
        ..SiteShape::default()
    }
}

async fn start() -> Fleet {
    Fleet::start(Path::new(BINARY), shape()).await
}

/// Reads one part of the answer.
async fn part(stream: &mut EventStream) -> Option<String> {
    match stream.next().await.expect("the stream has an end") {
        Event::Text(text) => Some(text),
        Event::Done => None,
        Event::Error(code) => panic!("the answer breaks off: {code}"),
    }
}

/// Reads the rest of the answer and returns it with the longest stall.
async fn rest(stream: &mut EventStream) -> (String, Duration) {
    let mut text = String::new();
    let mut longest = Duration::ZERO;
    let mut last = Instant::now();
    while let Some(next) = part(stream).await {
        longest = longest.max(last.elapsed());
        last = Instant::now();
        text.push_str(&next);
    }
    (text, longest)
}

/// Returns the engine that runs `stage` of the only live stream.
async fn busy_engine(fleet: &Fleet, stage: usize) -> usize {
    let index = |pipeline: usize| pipeline * STAGES + stage;
    let is_busy = |engine: usize| fleet.site.engines[engine].fake.live_requests() > 0;
    eventually("a live request", async || {
        (0..PIPELINES).map(index).any(is_busy)
    })
    .await;
    let busy = (0..PIPELINES).map(index).find(|engine| is_busy(*engine));
    busy.expect("an engine is busy")
}

async fn check_answer_survives(signal: Signal, stage: usize) {
    let fleet = start().await;
    let mut stream = fleet.stream(0, PROMPT, TOKENS).await;
    let mut text = part(&mut stream).await.expect("the answer has a start");
    text.push_str(&part(&mut stream).await.expect("the answer goes on"));
    let engine = busy_engine(&fleet, stage).await;
    fleet.agents[engine].signal(signal);
    let (more, stall) = rest(&mut stream).await;
    assert_eq!(text + &more, fleet.site.expected_text(PROMPT, TOKENS));
    assert!(stall <= STALL_TARGET, "stalled for {stall:?}");
    for (index, place) in fleet.site.engines.iter().enumerate() {
        let is_lost_stage = index % STAGES == stage;
        let runs = place.fake.total_runs();
        let positions = (PROMPT.len() + TOKENS) as u64;
        let layers = u64::from(SiteShape::default().layer_count) / STAGES as u64;
        let is_within = is_lost_stage || runs <= positions * layers;
        assert!(is_within, "engine {index} ran a kept stage again: {runs}");
    }
}

#[tokio::test]
async fn test_answer_survives_a_killed_agent() {
    check_answer_survives(Signal::Kill, 1).await;
}

#[tokio::test]
async fn test_answer_survives_a_killed_first_agent() {
    check_answer_survives(Signal::Kill, 0).await;
}

#[tokio::test]
async fn test_answer_survives_a_paused_last_agent() {
    check_answer_survives(Signal::Pause, 2).await;
}

#[tokio::test]
async fn test_answer_survives_a_dead_engine_behind_a_live_agent() {
    let fleet = start().await;
    let mut stream = fleet.stream(1, PROMPT, TOKENS).await;
    let mut text = part(&mut stream).await.expect("the answer has a start");
    let engine = busy_engine(&fleet, 1).await;
    fleet.site.engines[engine].fake.kill();
    let (more, stall) = rest(&mut stream).await;
    text.push_str(&more);
    assert_eq!(text, fleet.site.expected_text(PROMPT, TOKENS));
    assert!(stall <= STALL_TARGET, "stalled for {stall:?}");
}

#[tokio::test]
async fn test_answers_go_on_without_the_key_value_service() {
    let fleet = start().await;
    fleet
        .site
        .key_value
        .set_faults(|faults| faults.outage = Outage::Silent);
    for prompt in ["first", "second"] {
        let body = completion(prompt, 8, false);
        let answer = fleet.caller(0).post(COMPLETIONS, &body).await;
        let answer = answer.expect("the entry answers");
        let text = answer.json()["choices"][0]["text"].clone();
        assert_eq!(text, fleet.site.expected_text(prompt, 8));
    }
}

#[tokio::test]
async fn test_leaving_agent_hands_its_stages_over() {
    let fleet = start().await;
    let mut stream = fleet.stream(0, PROMPT, TOKENS).await;
    let mut text = part(&mut stream).await.expect("the answer has a start");
    let engine = busy_engine(&fleet, 0).await;
    fleet.agents[engine].signal(Signal::Terminate);
    let (more, _) = rest(&mut stream).await;
    text.push_str(&more);
    assert_eq!(text, fleet.site.expected_text(PROMPT, TOKENS));
    let other = (engine + STAGES) % (STAGES * PIPELINES);
    let body = completion("after the leave", 8, false);
    let before = fleet.site.engines[engine].fake.total_runs();
    let answer = fleet.caller(1).post(COMPLETIONS, &body).await;
    assert_eq!(answer.expect("the entry answers").status, 200);
    assert_eq!(fleet.site.engines[engine].fake.total_runs(), before);
    assert!(fleet.site.engines[other].fake.total_runs() > 0);
}

#[tokio::test]
async fn test_answer_survives_connections_that_go_silent() {
    let mut site = TestSite::start(shape()).await;
    site.relay_agents().await;
    let fleet = Fleet::start_at(Path::new(BINARY), site).await;
    let mut stream = fleet.stream(0, PROMPT, TOKENS).await;
    let mut text = part(&mut stream).await.expect("the answer has a start");
    let engine = busy_engine(&fleet, 1).await;
    fleet.site.relays()[engine].silence_open_flows();
    let (more, stall) = rest(&mut stream).await;
    text.push_str(&more);
    assert_eq!(text, fleet.site.expected_text(PROMPT, TOKENS));
    assert!(stall <= STALL_TARGET, "stalled for {stall:?}");
    let operator = fleet.operator(0);
    eventually("no member is condemned", async || {
        let status = operator.get("/admin/v1/status").await;
        let status = status.expect("the entry answers").json();
        status["unreachable"].as_array().is_some_and(Vec::is_empty)
    })
    .await;
}

#[tokio::test]
async fn test_withdrawn_upstream_cuts_off_no_answer() {
    let fleet = start().await;
    let mut stream = fleet.stream(0, PROMPT, TOKENS).await;
    let mut text = part(&mut stream).await.expect("the answer has a start");
    let engine = busy_engine(&fleet, 1).await;
    let withdrawn = &fleet.site.engines[engine].upstream.name;
    let note = json!({
        "id": "withdraw",
        "partner": PARTNER,
        "withdrawn": { "upstreams": [withdrawn] },
    });
    let answer = fleet.operator(1).post(NOTES, &note).await;
    let answer = answer.expect("the entry answers").json();
    assert_eq!(answer["result"], "accepted", "{answer}");
    let (more, _) = rest(&mut stream).await;
    text.push_str(&more);
    assert_eq!(text, fleet.site.expected_text(PROMPT, TOKENS));
    eventually("the note is in force", async || {
        let status = fleet.operator(0).get("/admin/v1/status").await;
        let status = status.expect("the entry answers").json();
        status["head"] == 2 && status["is_in_force"] == true
    })
    .await;
    let before = fleet.site.engines[engine].fake.total_runs();
    let body = completion("after the withdrawal", 8, false);
    let answer = fleet.caller(0).post(COMPLETIONS, &body).await;
    assert_eq!(answer.expect("the entry answers").status, 200);
    assert_eq!(fleet.site.engines[engine].fake.total_runs(), before);
}

#[tokio::test]
async fn test_note_is_in_force_everywhere_though_the_service_is_lost_right_after() {
    let fleet = start().await;
    let note = json!({
        "id": "later",
        "partner": PARTNER,
        "added": { "models": [{
            "name": "other", "layer_count": 2, "active_version": "v1",
            "versions": [{ "name": "v1", "layer_bytes": 1 }],
            "max_prompt_tokens": 8, "max_answer_tokens": 8,
        }] },
    });
    let key_value = &fleet.site.key_value;
    key_value.set_faults(|faults| faults.silent_watches = true);
    let answer = fleet.operator(1).post(NOTES, &note).await;
    let accepted_at = Instant::now();
    key_value.set_faults(|faults| faults.outage = Outage::Silent);
    let answer = answer.expect("the entry answers").json();
    assert_eq!(answer["result"], "accepted", "{answer}");
    eventually("the note is in force", async || {
        let status = fleet.operator(0).get("/admin/v1/status").await;
        let status = status.expect("the entry answers").json();
        status["head"] == 2 && status["is_in_force"] == true
    })
    .await;
    let took = accepted_at.elapsed();
    assert!(took <= IN_FORCE_TARGET, "in force after {took:?}");
}
