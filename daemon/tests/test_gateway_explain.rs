//! The explanation of a request by a gateway as a process.

use std::path::Path;

use bytes::Bytes;
use hyper::Request;
use jujubewall_testutils::gateway_site::GatewayProcess;
use jujubewall_testutils::gateway_site::LAYERS;
use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::request;
use jujubewall_testutils::gateway_site::stream_request;
use jujubewall_types::explain::ExplainedOutcome;
use jujubewall_types::explain::Explanation;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

async fn ask(site: &Site, query: &str) -> (u16, Bytes) {
    let uri = format!("/explain?{query}");
    let question = Request::get(uri).body(Bytes::new()).unwrap();
    let answer = GatewayProcess::send_to(site.gateway.ready, question).await;
    let answer = answer.unwrap();
    (answer.status().as_u16(), answer.into_body())
}

async fn explain(site: &Site, query: &str) -> Explanation {
    let (status, body) = ask(site, query).await;
    assert_eq!(status, 200, "{body:?}");
    assert!(!String::from_utf8_lossy(&body).contains("key-1"));
    serde_json::from_slice(&body).unwrap()
}

/// An explanation that sent the request, showed a key or named another route than the request
/// takes would mislead its reader.
#[tokio::test(flavor = "multi_thread")]
async fn test_explanation_names_route_and_path_and_sends_nothing() {
    let site = Site::start(Path::new(PROGRAM), 200).await;
    // The site has sent requests until it was served.
    let ran_before = site.runners.ran().len();
    let stream = "host=desk.example&path=/notes/1&account=hall&prompt=10&answer=40";
    let explanation = explain(&site, stream).await;
    assert_eq!(explanation.route, "notes");
    assert_eq!(explanation.rank, 1);
    assert_eq!(explanation.config_version, 7);
    assert_eq!(explanation.candidates.len(), site.engine_ids().len());
    let ExplainedOutcome::Sent(parts) = &explanation.outcome else {
        panic!("{explanation:?}");
    };
    let layers = parts.iter().map(|part| part.layers.unwrap().len());
    assert_eq!(layers.sum::<u32>(), LAYERS);

    let call = "host=desk.example&path=/stock/7&account=hall";
    let explanation = explain(&site, call).await;
    assert_eq!(explanation.route, "stock");
    assert!(matches!(&explanation.outcome, ExplainedOutcome::Sent(parts) if parts.len() == 1));
    let without_account = explain(&site, "host=desk.example&path=/stock/7").await;
    assert!(matches!(
        without_account.outcome,
        ExplainedOutcome::Rejected { status: 401, .. }
    ));
    assert_eq!(site.runners.ran().len(), ran_before);

    for unknown in [
        "host=desk.example&path=/nowhere/",
        "host=desk.example&path=/stock/7&account=other",
        "host=desk.example&path=/stock/7&prompt=many",
        "key=key-1",
    ] {
        assert_eq!(ask(&site, unknown).await.0, 400, "{unknown}");
    }
    // Requests are served as before.
    let answer = site.send(stream_request("s-1")).await.unwrap();
    assert_eq!(answer.status(), 200);
    let answer = site.send(request("GET", "/stock/7", "c-1")).await.unwrap();
    assert_eq!(answer.status(), 200);
}
