//! Planned engines with real processes.

use std::path::Path;
use std::time::Duration;

use jujubewall_control::plan::writer::PLAN_KEY;
use jujubewall_platform::key_value::KeyValue as _;
use jujubewall_testutils::daemon::Signal;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::fleet::COMPLETIONS;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::fleet::NOTES;
use jujubewall_testutils::fleet::completion;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::VERSION;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::layer::LayerRange;
use serde_json::json;

const BINARY: &str = env!("CARGO_BIN_EXE_jujubewalld");
const TOKENS: usize = 8;
/// The length of an answer that lasts longer than engines take to begin to change.
const MANY_TOKENS: usize = 150;
const NEW_VERSION: &str = "v2";
const PROMPT: &str = "a prompt of some length";

/// Starts three engines for each pipeline, which can hold the model together, and spare ones.
async fn start(pipelines: usize, spare_engines: usize) -> Fleet {
    let engine = EngineSettings {
        max_layers: 4,
        checks_fencing: false,
        decode_token_layer: Duration::from_millis(2),
        ..EngineSettings::default()
    };
    let shape = SiteShape {
        has_fixed_assignments: false,
        pipelines,
        spare_engines,
        engine,
        ..SiteShape::default()
    };
    let fleet = Fleet::start(Path::new(BINARY), shape).await;
    eventually("every engine holds a range", async || {
        engines(&fleet).all(|engine| layers(&fleet, engine).is_some())
    })
    .await;
    answer_at_every_entry(&fleet).await;
    fleet
}

fn engines(fleet: &Fleet) -> std::ops::Range<usize> {
    0..fleet.site.engines.len()
}

fn layers(fleet: &Fleet, engine: usize) -> Option<LayerRange> {
    let loaded = fleet.site.engines[engine].fake.loaded();
    assert!(loaded.len() <= 1, "{loaded:?} does not fit");
    loaded.first().map(|held| held.layers)
}

/// Returns the two engines that hold the same range, and one that is alone with its own.
fn twins_and_single(fleet: &Fleet) -> ([usize; 2], usize) {
    let is_twin = |a: usize, b: usize| a != b && layers(fleet, a) == layers(fleet, b);
    let twin = |engine| engines(fleet).find(|other| is_twin(engine, *other));
    let first = engines(fleet).find(|engine| twin(*engine).is_some());
    let first = first.expect("two engines hold the same range");
    let single = engines(fleet).find(|engine| twin(*engine).is_none());
    let second = twin(first).expect("it has a twin");
    ([first, second], single.expect("an engine is alone"))
}

/// Waits until each entry gives a right answer, and checks that it goes on to do so.
async fn answer_at_every_entry(fleet: &Fleet) {
    let body = completion(PROMPT, TOKENS, false);
    let expected = fleet.site.expected_text(PROMPT, TOKENS);
    for entry in 0..fleet.entries.len() {
        let caller = fleet.caller(entry);
        eventually("an answer", async || {
            let answer = caller.post(COMPLETIONS, &body).await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
        for _ in 0..3 {
            let answer = caller.post(COMPLETIONS, &body).await;
            let answer = answer.expect("the entry answers");
            assert_eq!(answer.status, 200, "{:?}", answer.body);
            assert_eq!(answer.json()["choices"][0]["text"], expected);
        }
    }
}

async fn plan_number(fleet: &Fleet) -> FencingNumber {
    let entry = fleet.site.key_value.get(PLAN_KEY).await;
    let entry = entry.expect("the service answers").expect("a plan is kept");
    FencingNumber(entry.revision.0)
}

fn check_numbers_rise(fleet: &Fleet) {
    for engine in &fleet.site.engines {
        let orders = engine.fake.orders();
        let is_risen = orders.is_sorted_by_key(|order| order.fencing);
        assert!(is_risen, "an older number reached an engine: {orders:?}");
    }
}

#[tokio::test]
async fn test_planned_engines_serve_and_cover_a_lost_agent() {
    let fleet = start(1, 1).await;
    let (twins, single) = twins_and_single(&fleet);
    let lost = layers(&fleet, single);
    fleet.agents[single].signal(Signal::Kill);
    eventually("a spare engine takes the lost range", async || {
        twins.iter().any(|twin| layers(&fleet, *twin) == lost)
    })
    .await;
    answer_at_every_entry(&fleet).await;
    check_numbers_rise(&fleet);
}

#[tokio::test]
async fn test_layers_of_a_dead_engine_behind_a_live_agent_are_covered() {
    let fleet = start(1, 1).await;
    let (twins, single) = twins_and_single(&fleet);
    let lost = layers(&fleet, single);
    fleet.site.engines[single].fake.kill();
    eventually("a spare engine takes the lost range", async || {
        twins.iter().any(|twin| layers(&fleet, *twin) == lost)
    })
    .await;
    answer_at_every_entry(&fleet).await;
    check_numbers_rise(&fleet);
}

#[tokio::test]
async fn test_woken_agent_gives_no_order_with_an_older_number() {
    let fleet = start(1, 2).await;
    let ([paused, _], single) = twins_and_single(&fleet);
    let lost = layers(&fleet, single);
    fleet.agents[paused].signal(Signal::Pause);
    fleet.agents[single].signal(Signal::Kill);
    eventually("a spare engine takes the lost range", async || {
        let takes = |engine| ![paused, single].contains(&engine) && layers(&fleet, engine) == lost;
        engines(&fleet).any(takes)
    })
    .await;
    let newest = plan_number(&fleet).await;
    let engine = &fleet.site.engines[paused].fake;
    let before = engine.orders().len();
    // An engine without weights needs an order as soon as its agent wakes.
    engine.kill();
    engine.restart();
    fleet.agents[paused].signal(Signal::Resume);
    eventually("the woken agent's engine holds a range", async || {
        layers(&fleet, paused).is_some()
    })
    .await;
    let orders = engine.orders();
    let later = &orders[before..];
    assert!(later.iter().all(|order| order.fencing >= newest));
    answer_at_every_entry(&fleet).await;
    check_numbers_rise(&fleet);
}

#[tokio::test]
async fn test_answers_go_on_while_the_version_changes() {
    let fleet = start(2, 0).await;
    let mut stream = fleet.stream(0, PROMPT, MANY_TOKENS).await;
    let note = json!(fleet.site.version_note("second", NEW_VERSION));
    let answer = fleet.operator(0).post(NOTES, &note).await;
    let answer = answer.expect("the entry answers").json();
    assert_eq!(answer["result"], "accepted", "{answer}");
    let expected =
        [VERSION, NEW_VERSION].map(|version| fleet.site.expected_text_in(version, PROMPT, TOKENS));
    let body = completion(PROMPT, TOKENS, false);
    let caller = fleet.caller(1);
    eventually("every engine holds the new version only", async || {
        let answer = caller.post(COMPLETIONS, &body).await;
        let answer = answer.expect("the entry answers");
        assert_eq!(answer.status, 200, "{:?}", answer.body);
        let text = answer.json()["choices"][0]["text"].clone();
        assert!(expected.iter().any(|version| text == *version), "{text}");
        engines(&fleet).all(|engine| {
            let loaded = fleet.site.engines[engine].fake.loaded();
            !loaded.is_empty()
                && loaded
                    .iter()
                    .all(|held| held.version.as_str() == NEW_VERSION)
        })
    })
    .await;
    eventually("an answer of the new version", async || {
        let answer = caller.post(COMPLETIONS, &body).await;
        answer.is_ok_and(|answer| answer.json()["choices"][0]["text"] == expected[1])
    })
    .await;
    // A version is not dropped under a stream that uses it.
    let text = stream.text().await.expect("the old answer is whole");
    assert_eq!(text, fleet.site.expected_text(PROMPT, MANY_TOKENS));
    check_numbers_rise(&fleet);
}
