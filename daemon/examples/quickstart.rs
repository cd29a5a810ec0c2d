//! Two entries, four agents and stand-ins for everything outside, on loopback in one process.

use std::time::Duration;

use eyre::WrapErr as _;
use eyre::ensure;
use eyre::eyre;
use hyper::Method;
use jujubewall_daemon::process::Running;
use jujubewall_daemon::settings::Settings;
use jujubewall_testutils::client::HttpUser;
use jujubewall_testutils::daemon::eventually;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::site::ACCOUNT_KEY;
use jujubewall_testutils::site::MODEL;
use jujubewall_testutils::site::OPERATOR_KEY;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::TestSite;
use serde_json::json;

/// The number of tokens of the answer.
const TOKENS: usize = 32;

/// The time of one layer for one token at the engines.
const TOKEN_LAYER_TIME: Duration = Duration::from_micros(200);

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let engine = EngineSettings {
        decode_token_layer: TOKEN_LAYER_TIME,
        ..EngineSettings::default()
    };
    let site = TestSite::start(SiteShape {
        engine,
        ..SiteShape::default()
    })
    .await;
    let mut agents = Vec::new();
    for settings in site.agent_settings() {
        agents.push(Running::start(&Settings::read(&settings)?)?);
    }
    let mut entries = Vec::new();
    for name in ["entry-0", "entry-1"] {
        let settings = site.entry_settings(name);
        entries.push(Running::start(&Settings::read(&settings)?)?);
    }
    println!(
        "started {} entries and {} agents",
        entries.len(),
        agents.len()
    );

    submit_note(&site, &entries).await?;
    for process in entries.iter().chain(&agents) {
        wait_until_ready(process).await;
    }
    stream_answer(&site, &entries[0]).await?;
    print_path(&entries[0], &agents).await?;
    place_order(&site, &entries[1]).await?;

    for process in entries.into_iter().chain(agents) {
        process.stop().await;
    }
    println!("every process has drained and stopped");
    Ok(())
}

async fn submit_note(site: &TestSite, entries: &[Running]) -> eyre::Result<()> {
    let address = entries[0].operator_address().ok_or_else(no_address)?;
    let operator = HttpUser::new(address, OPERATOR_KEY);
    let note = json!(site.release_note("quickstart"));
    let answer = operator.post("/admin/v1/notes", &note).await?;
    println!("release note: {}", String::from_utf8_lossy(&answer.body));
    ensure!(answer.status == 200, "the release note is not accepted");
    Ok(())
}

async fn wait_until_ready(process: &Running) {
    let monitoring = HttpUser::new(process.metrics_address(), "");
    eventually("readiness", async || {
        let answer = monitoring.get("/readyz").await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

async fn stream_answer(site: &TestSite, entry: &Running) -> eyre::Result<()> {
    let address = entry.caller_address().ok_or_else(no_address)?;
    let caller = HttpUser::new(address, ACCOUNT_KEY);
    let prompt = "Once upon a time";
    let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": TOKENS, "stream": true });
    let mut stream = caller
        .stream("/v1/completions", &body)
        .await
        .map_err(|answer| eyre!("refused: {}", answer.error_code()))?;
    let text = stream.text().await.wrap_err("the answer broke off")?;
    println!("streamed answer: {text}");
    ensure!(
        text == site.expected_text(prompt, TOKENS),
        "the answer is wrong"
    );
    Ok(())
}

async fn print_path(entry: &Running, agents: &[Running]) -> eyre::Result<()> {
    let address = entry.caller_address().ok_or_else(no_address)?;
    let caller = HttpUser::new(address, ACCOUNT_KEY);
    let body = json!({ "model": MODEL, "prompt": "path", "max_tokens": 1 }).to_string();
    let headers = [("jujubewall-trace", "1")];
    let answer = caller
        .send(Method::POST, "/v1/completions", &headers, body)
        .await?;
    println!("path: {}", answer.pipeline.unwrap_or_default());
    for round_trip in entry.round_trips().await {
        println!(
            "  entry to {}: {:?} there and back",
            round_trip.member, round_trip.time
        );
    }
    for (index, agent) in agents.iter().enumerate() {
        for round_trip in agent.round_trips().await {
            let member = round_trip.member;
            println!(
                "  agent {index} to {member}: {:?} there and back",
                round_trip.time
            );
        }
        let mean = agent.metrics().mean_step();
        println!("  agent {index}: {mean:?} a step at its engine");
    }
    Ok(())
}

async fn place_order(site: &TestSite, entry: &Running) -> eyre::Result<()> {
    let address = entry.caller_address().ok_or_else(no_address)?;
    let caller = HttpUser::new(address, ACCOUNT_KEY);
    let headers = [("idempotency-key", "order-1")];
    let answer = caller
        .send(
            Method::POST,
            "/v1/services/orders/collect",
            &headers,
            "order 4",
        )
        .await?;
    let outcome = answer.outcome.unwrap_or_default();
    println!("order: status {}, outcome {outcome}", answer.status);
    ensure!(
        site.service.fake.runs_of_body(b"order 4") == 1,
        "the order did not run once"
    );
    Ok(())
}

fn no_address() -> eyre::Report {
    eyre!("the process is no entry")
}
