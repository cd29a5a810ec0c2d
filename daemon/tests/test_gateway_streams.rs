//! Tests the gateway with streams that break off and with upstreams that continue them
//! wrongly.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::Written;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The events of a stream.
const EVENTS: u64 = 8;

/// The sites that run beside each other.
const AT_ONCE: usize = 6;

/// The events before a stream breaks off.
const BEFORE_BREAK: u64 = 5;

fn events(ids: std::ops::Range<u64>) -> String {
    let events: Vec<String> = ids.map(|id| format!("id: {id}\ndata: word\n\n")).collect();
    events.concat()
}

fn head(id: &str, status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\nresponse-stamp: raw\r\n{fields}\r\n")
}

fn with_length(id: &str, status: &str, content_type: &str, body: &str) -> String {
    let fields = format!(
        "content-type: {content_type}\r\ncontent-length: {}\r\n",
        body.len()
    );
    head(id, status, &fields) + body
}

fn chunk(body: &str) -> String {
    format!("{:x}\r\n{body}\r\n", body.len())
}

const CHUNKED: &str = "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n";
const UNFRAMED: &str = "content-type: text/event-stream\r\nconnection: close\r\n";

/// How a run that has to continue a stream answers instead.
type Continuation = fn(&str) -> (String, After);

/// Answers of the run that has to continue a stream, with their names and whether they do.
type Named = (&'static str, bool, Continuation);

fn continuations() -> Vec<Named> {
    let mut all = rests();
    all.extend(other_answers());
    all.extend(wrong_events());
    all
}

/// Answers that continue the stream, and one that breaks off again.
fn rests() -> Vec<Named> {
    vec![
        ("rest", true, |id| {
            let body = events(BEFORE_BREAK..EVENTS);
            (
                with_length(id, "200 OK", "text/event-stream", &body),
                After::Keep,
            )
        }),
        ("rest without framing", true, |id| {
            (
                head(id, "200 OK", UNFRAMED) + &events(BEFORE_BREAK..EVENTS),
                After::Close,
            )
        }),
        ("rest behind an interim answer", true, |id| {
            let body = events(BEFORE_BREAK..EVENTS);
            let rest = with_length(id, "200 OK", "text/event-stream", &body);
            (
                format!("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n{rest}"),
                After::Keep,
            )
        }),
        ("rest before trailers", true, |id| {
            let body = chunk(&events(BEFORE_BREAK..EVENTS));
            (
                head(id, "200 OK", CHUNKED) + &body + "0\r\nx-sum: error\r\n\r\n",
                After::Keep,
            )
        }),
        ("rest without framing, reset", false, |id| {
            (
                head(id, "200 OK", UNFRAMED) + &events(BEFORE_BREAK..EVENTS - 1),
                After::Reset,
            )
        }),
    ]
}

/// Answers that are no stream, or hold no event.
fn other_answers() -> Vec<Named> {
    vec![
        ("500", false, |id| {
            (
                with_length(id, "500 Error", "text/plain", "error\n\n"),
                After::Keep,
            )
        }),
        ("503 without a promise", false, |id| {
            (
                with_length(id, "503 Error", "text/plain", "error\n\n"),
                After::Keep,
            )
        }),
        ("404", false, |id| {
            (
                with_length(id, "404 Not Found", "application/json", "{\"error\":1}"),
                After::Keep,
            )
        }),
        ("500 whose body looks like events", false, |id| {
            let body = "id: 5\ndata: error\n\nid: 6\ndata: error\n\n";
            (
                with_length(id, "500 Error", "text/event-stream", body),
                After::Keep,
            )
        }),
        ("200 of plain text", false, |id| {
            (
                with_length(id, "200 OK", "text/plain", "an error\n\noccurred\n\n"),
                After::Keep,
            )
        }),
        ("200 of plain text that looks like events", false, |id| {
            (
                with_length(id, "200 OK", "text/plain", "id: 5\ndata: error\n\n"),
                After::Keep,
            )
        }),
        ("200 of JSON", false, |id| {
            (
                with_length(id, "200 OK", "application/json", "{\"error\":1}\n\n"),
                After::Keep,
            )
        }),
        ("204", false, |id| {
            (head(id, "204 No Content", ""), After::Keep)
        }),
        ("206 of events", false, |id| {
            let body = "id: 5\ndata: error\n\n";
            (
                with_length(id, "206 Partial", "text/event-stream", body),
                After::Keep,
            )
        }),
        ("200 without a body", false, |id| {
            (
                with_length(id, "200 OK", "text/event-stream", ""),
                After::Keep,
            )
        }),
        ("200 without framing that ends at once", false, |id| {
            (head(id, "200 OK", UNFRAMED), After::Close)
        }),
        ("200 of a comment only", false, |id| {
            (
                with_length(id, "200 OK", "text/event-stream", ": still here\n\n"),
                After::Keep,
            )
        }),
        ("error without framing or content type", false, |id| {
            (
                head(id, "200 OK", "connection: close\r\n") + "error\n\n",
                After::Close,
            )
        }),
    ]
}

/// Streams that do not continue the one that broke off.
fn wrong_events() -> Vec<Named> {
    vec![
        ("begins again", false, |id| {
            (
                with_length(id, "200 OK", "text/event-stream", &events(0..EVENTS)),
                After::Keep,
            )
        }),
        ("skips an event", false, |id| {
            let body = events(BEFORE_BREAK + 1..EVENTS);
            (
                with_length(id, "200 OK", "text/event-stream", &body),
                After::Keep,
            )
        }),
        ("noise before the head", false, |id| {
            let body = events(BEFORE_BREAK..EVENTS);
            let rest = with_length(id, "200 OK", "text/event-stream", &body);
            (format!("an error\r\n{rest}"), After::Keep)
        }),
        ("event without an identifier", false, |id| {
            (
                with_length(id, "200 OK", "text/event-stream", "data: error\n\n"),
                After::Keep,
            )
        }),
        ("events that end in other line ends", false, |id| {
            let body = "id: 5\r\ndata: error\r\n\r\n";
            (
                with_length(id, "200 OK", "text/event-stream", body),
                After::Keep,
            )
        }),
        ("event that reports an error", false, |id| {
            let body = "id: 5\nevent: error\ndata: error\n\n";
            (
                with_length(id, "200 OK", "text/event-stream", body),
                After::Keep,
            )
        }),
        ("an event and then an error's head", false, |id| {
            let body = events(5..6) + "HTTP/1.1 500 error\nrequest-id: x\n\nerror\n\n";
            (head(id, "200 OK", UNFRAMED) + &body, After::Close)
        }),
        ("an event and then an error", false, |id| {
            let body = events(5..6) + "an error\n\n";
            (
                with_length(id, "200 OK", "text/event-stream", &body),
                After::Keep,
            )
        }),
    ]
}

/// Breaks each stream off after some events; later runs answer with `continuation`.
fn breaks_off(continuation: Continuation) -> Script {
    Arc::new(move |received: &Received| {
        let id = &received.id;
        if received.last_event_id.is_some() {
            let (bytes, after) = continuation(id);
            return Written::new(bytes, after);
        }
        let start = head(id, "200 OK", CHUNKED) + &chunk(&events(0..BEFORE_BREAK));
        Written::new(start, After::Reset)
    })
}

/// Has a stream break off and continue in a run that answers with `continuation`; returns
/// what is wrong with what the client got.
async fn faults_of(name: &str, continues: bool, continuation: Continuation) -> Vec<String> {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let engines = [
        site.upstream("engine-0", "llm", breaks_off(continuation))
            .await,
        site.upstream("engine-1", "llm", breaks_off(continuation))
            .await,
    ];
    site.wait_for_retry_budget().await;
    let reply = site.raw_answer("POST", "/notes/1", "s-1").await;
    let whole = events(0..EVENTS);
    let is_whole = reply.is_complete && reply.body == whole;
    let is_cut = !reply.is_complete && whole.starts_with(&reply.body);
    let mut faults = Vec::new();
    if !reply.body.starts_with(&events(0..BEFORE_BREAK)) {
        faults.push(format!("{name}: events are missing: {:?}", reply.body));
    }
    if !(is_whole || is_cut && !continues) {
        let rest = reply.body.get(events(0..BEFORE_BREAK).len()..);
        faults.push(format!(
            "{name}: complete={} ...{rest:?}",
            reply.is_complete
        ));
    }
    let sends = engines.iter().map(|engine| engine.received("s-1").len());
    if sends.sum::<usize>() < 2 {
        faults.push(format!("{name}: no second run"));
    }
    faults
}

/// Guards against an operators' report: clients found an error's text in the middle of their
/// stream, or the stream ended as if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn test_error_of_the_run_that_continues_a_stream_is_no_part_of_it() {
    let mut faults = Vec::new();
    for some in continuations().chunks(AT_ONCE) {
        let some = some
            .iter()
            .map(|(name, continues, continuation)| faults_of(name, *continues, *continuation));
        faults.extend(join_all(some).await.into_iter().flatten());
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Events that arrive together with bytes that are none reach the client before the stream
/// continues elsewhere: a client may not lack an event.
#[tokio::test(flavor = "multi_thread")]
async fn test_events_before_a_wrong_one_in_the_same_packet_are_not_lost() {
    for junk in [
        "an error\n\n",
        "id: 9\ndata: word\n\n",
        "HTTP/1.1 500 error\n\n",
    ] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let script: Script = Arc::new(move |received: &Received| {
            let id = &received.id;
            let bytes = match received.last_event_id {
                None => {
                    let body = events(0..BEFORE_BREAK) + junk;
                    with_length(id, "200 OK", "text/event-stream", &body)
                }
                Some(last) => {
                    let body = events(last + 1..EVENTS);
                    with_length(id, "200 OK", "text/event-stream", &body)
                }
            };
            Written::new(bytes, After::Keep)
        });
        let _engines = [
            site.upstream("engine-0", "llm", Arc::clone(&script)).await,
            site.upstream("engine-1", "llm", script).await,
        ];
        site.wait_for_retry_budget().await;
        let reply = site.raw_answer("POST", "/notes/1", "s-1").await;
        assert_eq!(reply.body, events(0..EVENTS), "{junk:?}");
        assert!(reply.is_complete, "{junk:?}");
    }
}

/// A stream without framing that ends before its first event has been broken off.
#[tokio::test(flavor = "multi_thread")]
async fn test_unframed_stream_that_ends_before_its_first_event_is_not_complete() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(|received: &Received| {
        Written::new(head(&received.id, "200 OK", UNFRAMED), After::Close)
    });
    let _engine = site.upstream("engine-0", "llm", script).await;
    let reply = site.raw_answer("POST", "/notes/1", "s-1").await;
    assert!(reply.status != 200, "{reply:?}");
}

/// A whole answer may come without framing; one that is reset is not complete.
#[tokio::test(flavor = "multi_thread")]
async fn test_unframed_answers_of_calls_are_whole_or_visibly_broken() {
    for (size, after) in [
        (1_000, After::Close),
        (400_000, After::Close),
        (1_000, After::Reset),
        (400_000, After::Reset),
    ] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let script: Script = Arc::new(move |received: &Received| Written {
            parts: vec![(
                (head(&received.id, "200 OK", "connection: close\r\n") + &"b".repeat(size))
                    .into_bytes(),
                Duration::from_millis(20),
            )],
            after,
        });
        let _service = site.upstream("raw-0", "ledger", script).await;
        let reply = site.raw_answer("POST", "/orders/", "o-1").await;
        let is_whole = reply.status == 200 && reply.is_complete && reply.body.len() == size;
        assert_eq!(
            is_whole,
            after == After::Close,
            "{size} {after:?} {}",
            reply.head
        );
        if !is_whole {
            let is_visible = reply.status >= 500 || !reply.is_complete;
            assert!(is_visible, "{size} {after:?} {}", reply.head);
        }
    }
}

/// The time without an engine after which a client still waits for its stream.
const WITHOUT_ENGINE: Duration = Duration::from_millis(1_700);

/// Guards against streams that were cut 1.3 s after their path was lost, though their clients
/// wait for two seconds and most of their time was left.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_whose_path_is_lost_goes_on_while_its_client_waits() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let first: Script = Arc::new(|received| {
        let part = chunk(&events(0..BEFORE_BREAK));
        Written::new(head(&received.id, "200 OK", CHUNKED) + &part, After::Reset)
    });
    let lost = site.upstream("engine-0", "llm", first).await;
    site.wait_for_retry_budget().await;
    let answer = site.raw_answer("POST", "/notes/1", "s-1");
    let replacement = async {
        sleep(Duration::from_millis(200)).await;
        site.store.remove("servers/engine-0");
        drop(lost);
        sleep(WITHOUT_ENGINE).await;
        let rest: Script = Arc::new(|received| {
            let next = received.last_event_id.map_or(0, |last| last + 1);
            let body = events(next..EVENTS);
            let answer = with_length(&received.id, "200 OK", "text/event-stream", &body);
            Written::new(answer, After::Keep)
        });
        site.upstream("engine-1", "llm", rest).await
    };
    let (answer, _engine) = tokio::join!(answer, replacement);
    assert_eq!(answer.body, events(0..EVENTS), "{}", site.gateway.log());
    assert!(answer.is_complete);
}
