//! Tests of the upstreams' HTTP clients against the stand-ins.

use std::net::Ipv4Addr;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use jujubewall_http_client::CallDeadlines;
use jujubewall_testutils::engine::EngineSettings;
use jujubewall_testutils::engine::FakeEngine;
use jujubewall_testutils::model_fold::encode_tokens;
use jujubewall_testutils::relay::Relay;
use jujubewall_testutils::service::FakeService;
use jujubewall_types::config::Assignment;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use jujubewall_upstream::engine::Engine;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use jujubewall_upstream::engine::EngineStep;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::http_engine::HttpEngine;
use jujubewall_upstream::http_service::HttpService;
use jujubewall_upstream::service::Service;
use jujubewall_upstream::service::ServiceRequest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Deadlines that keep the tests of silence short.
const SHORT: CallDeadlines =
    CallDeadlines::new(Duration::from_millis(200), Duration::from_millis(200));
/// The number of calls that race a closing connection.
const RACING_CALLS: usize = 200;

async fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap()
}

fn request(id: &str) -> ServiceRequest {
    ServiceRequest {
        method: "POST".into(),
        path: "/orders?bay=4".into(),
        content_type: Some("application/json".into()),
        request_id: id.into(),
        body: Bytes::copy_from_slice(id.as_bytes()),
        reply_timeout: None,
    }
}

fn assignment() -> Assignment {
    Assignment {
        model: ModelName::new("assistant").unwrap(),
        version: VersionName::new("v1").unwrap(),
        layers: LayerRange::new(0, 2),
    }
}

fn step(request: u128) -> EngineStep {
    EngineStep {
        request: RequestId(request),
        attempt: Attempt(1),
        model: assignment().model,
        version: assignment().version,
        first_position: Position(0),
        positions: 2,
        layers: assignment().layers,
        is_last: false,
        priority: Priority::Normal,
        payload: Bytes::from(encode_tokens(&[65, 66])),
    }
}

#[tokio::test]
async fn test_every_engine_call_crosses_the_wire() {
    let fake = FakeEngine::new(EngineSettings::default());
    let server = fake.serve(listener().await);
    let client = HttpEngine::new(server.address());
    let order = |fencing| EngineOrder {
        fencing: FencingNumber(fencing),
        action: EngineAction::Load(assignment()),
    };
    client.order(order(3)).await.unwrap();
    assert_eq!(client.order(order(2)).await, Err(UpstreamError::Fenced));
    assert_eq!(client.status().await.unwrap().loaded, [assignment()]);
    let output = client.run(step(1)).await.unwrap();
    assert_eq!(output.payload.len(), 16);
    assert_matches!(client.run(step(1)).await, Err(UpstreamError::Refused(_)));
    let cache = client.export_cache(RequestId(1)).await.unwrap();
    client
        .import_cache(RequestId(2), Attempt(1), cache)
        .await
        .unwrap();
    assert_eq!(client.load().await.unwrap().live_requests, 1);
    assert_eq!(client.cache_events(0).await.unwrap(), []);
    client.release(RequestId(1), Attempt(1)).await.unwrap();
    assert_eq!(fake.live_requests(), 1);
    fake.kill();
    assert_matches!(client.run(step(3)).await, Err(UpstreamError::ReplyLost(_)));
    drop(server);
    let refused = HttpEngine::new(unused_address().await).run(step(3)).await;
    assert_matches!(refused, Err(UpstreamError::NotSent(_)));
}

async fn unused_address() -> std::net::SocketAddr {
    listener().await.local_addr().unwrap()
}

#[tokio::test]
async fn test_frozen_engine_is_bounded() {
    let fake = FakeEngine::new(EngineSettings::default());
    fake.hold(assignment());
    let server = fake.serve(listener().await);
    let client = HttpEngine::with_deadlines(server.address(), SHORT);
    fake.freeze();
    assert_matches!(client.run(step(1)).await, Err(UpstreamError::ReplyLost(_)));
    fake.thaw();
    client.run(step(2)).await.unwrap();
}

#[tokio::test]
async fn test_service_errors_tell_whether_the_call_can_have_run() {
    let fake = FakeService::new();
    let server = fake.serve(listener().await);
    let relay = Relay::new(listener().await, server.address());
    let client = HttpService::with_deadlines(relay.address(), SHORT);
    let reply = client.call(request("a")).await.unwrap();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"a"[..]));
    assert_eq!(reply.content_type.as_deref(), Some("application/json"));

    fake.set_faults(|faults| faults.lose_next_replies = 1);
    let lost = client.call(request("b")).await;
    assert_matches!(lost, Err(UpstreamError::ReplyLost(_)));
    assert_eq!((fake.runs_of_request("b"), fake.runs_of_body(b"b")), (1, 1));
    fake.set_faults(|faults| faults.refuses = true);
    assert_matches!(
        client.call(request("c")).await,
        Err(UpstreamError::Refused(_))
    );
    fake.set_faults(|faults| faults.refuses = false);
    relay.silence_open_connections();
    let silent = client.call(request("d")).await;
    assert_matches!(silent, Err(UpstreamError::ReplyLost(_)));
    client.call(request("e")).await.unwrap();
    fake.set_faults(|faults| faults.hangs = true);
    let hanging = client.call(request("f")).await;
    assert_matches!(hanging, Err(UpstreamError::ReplyLost(_)));
    let runs = ["a", "b", "c", "d", "e", "f"].map(|id| fake.runs_of_request(id));
    assert_eq!(runs, [1, 1, 0, 0, 1, 1]);

    let unsent = HttpService::new(unused_address().await);
    assert_matches!(
        unsent.call(request("g")).await,
        Err(UpstreamError::NotSent(_))
    );
}

/// Closes each kept connection just when the next call wants to use it.
#[tokio::test]
async fn test_service_call_on_a_closing_connection_is_never_doubled_or_falsified() {
    let fake = FakeService::new();
    let server = fake.serve(listener().await);
    let front = listener().await;
    let client = HttpService::new(front.local_addr().unwrap());
    let target = server.address();
    let closer = tokio::spawn(async move {
        loop {
            let (mut inbound, _) = front.accept().await.unwrap();
            let mut outbound = TcpStream::connect(target).await.unwrap();
            tokio::spawn(async move {
                let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
                let _ = tokio::time::timeout(Duration::from_millis(3), copy).await;
            });
        }
    });
    for index in 0..RACING_CALLS {
        let id = format!("call-{index}");
        let result = client.call(request(&id)).await;
        let runs = fake.runs_of_request(&id);
        assert!(runs <= 1);
        match result {
            Ok(_) => assert_eq!(runs, 1),
            Err(UpstreamError::NotSent(_)) => assert_eq!(runs, 0),
            Err(error) => assert_matches!(error, UpstreamError::ReplyLost(_)),
        }
    }
    closer.abort();
}

/// A refusal, or an answer, that names another request is a late copy, and tells nothing of
/// the call that was sent.
#[tokio::test]
async fn test_answer_that_names_another_request_does_not_mark_a_call_as_not_run() {
    for copy in ["x-outcome: not_run\r\n", ""] {
        let listener = listener().await;
        let address = listener.local_addr().unwrap();
        let server = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = [0; 4_096];
            for _ in 0..2 {
                // Each call is small enough to arrive in one piece.
                assert!(stream.read(&mut bytes).await.unwrap() > 0);
                let head = "HTTP/1.1 503 Busy\r\nx-request-id: r1\r\ncontent-length: 0\r\n";
                let answer = format!("{head}{copy}\r\n");
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        });
        let service = HttpService::new(address);
        let own = service.call(request("r1")).await;
        if copy.is_empty() {
            assert_matches!(own, Ok(_));
        } else {
            assert_matches!(own, Err(UpstreamError::Refused(_)));
        }
        let other = service.call(request("r2")).await;
        assert_matches!(other, Err(UpstreamError::ReplyLost(_)));
        server.await.unwrap();
    }
}
