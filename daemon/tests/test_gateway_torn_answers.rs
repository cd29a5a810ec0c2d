//! Tests the gateway with upstreams that stop in the middle of an answer.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt as _;
use futures_util::future::join_all;
use futures_util::stream;
use jujubewall_testutils::scripted_upstream::After;
use jujubewall_testutils::scripted_upstream::RawReply;
use jujubewall_testutils::scripted_upstream::Received;
use jujubewall_testutils::scripted_upstream::Script;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::scripted_upstream::ScriptedUpstream;
use jujubewall_testutils::scripted_upstream::Written;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The requests that run beside each other.
const AT_ONCE: usize = 8;

/// The engines, of which those that failed are not used for a while.
const ENGINES: usize = 40;

/// The time within which an engine takes a request again.
const UPSTREAM_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval between attempts to send a request.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// The body of a call's answer.
const CALL_BODY: &str = "0123456789ab";

/// The events of a stream.
const EVENTS: u64 = 3;

/// How an answer shows its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

impl Framing {
    const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Connection];

    fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunks => "chunks",
            Self::Connection => "connection",
        }
    }
}

/// An answer that is torn after some bytes. The request's identifier describes it.
#[derive(Clone, Copy, Debug)]
struct Torn {
    framing: Framing,
    is_interim: bool,
    cut: usize,
    after: After,
}

impl Torn {
    fn id(self) -> String {
        let framing = self.framing.name();
        let start = if self.is_interim { "interim" } else { "plain" };
        let end = if self.after == After::Reset {
            "reset"
        } else {
            "close"
        };
        format!("{framing}.{start}.{end}.{:03}", self.cut)
    }

    fn parse(id: &str) -> Option<Self> {
        let mut parts = id.split('.');
        let name = parts.next()?;
        let framing = Framing::ALL.into_iter().find(|known| known.name() == name);
        Some(Self {
            framing: framing?,
            is_interim: parts.next()? == "interim",
            after: if parts.next()? == "reset" {
                After::Reset
            } else {
                After::Close
            },
            cut: parts.next()?.parse().ok()?,
        })
    }

    /// Returns the whole answer, and the number of bytes before its body.
    fn whole(self, content_type: &str, body: &str) -> (String, usize) {
        let id = self.id();
        let interim = if self.is_interim {
            "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n"
        } else {
            ""
        };
        let (field, body) = match self.framing {
            Framing::Length => (format!("content-length: {}", body.len()), body.to_owned()),
            Framing::Chunks => (
                "transfer-encoding: chunked".to_owned(),
                format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
            ),
            Framing::Connection => ("connection: close".to_owned(), body.to_owned()),
        };
        let head = format!(
            "{interim}HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: raw\r\n\
             content-type: {content_type}\r\n{field}\r\n\r\n"
        );
        (format!("{head}{body}"), head.len())
    }

    /// Returns all ways to tear an answer so that it is not complete.
    fn all(content_type: &str, body: &str) -> Vec<Self> {
        let mut all = Vec::new();
        for framing in Framing::ALL {
            for is_interim in [false, true] {
                for after in [After::Close, After::Reset] {
                    let torn = Self {
                        framing,
                        is_interim,
                        cut: 0,
                        after,
                    };
                    let (whole, head_bytes) = torn.whole(content_type, body);
                    // An answer that ends with its connection is whole if that is closed.
                    let end = match (framing, after) {
                        (Framing::Connection, After::Close) => head_bytes,
                        (Framing::Connection, _) => whole.len() + 1,
                        _ => whole.len(),
                    };
                    all.extend((0..end).map(|cut| Self { cut, ..torn }));
                }
            }
        }
        all
    }
}

fn tears(content_type: &'static str, body: String) -> Script {
    Arc::new(move |received: &Received| {
        let Some(torn) = Torn::parse(&received.id) else {
            return Written::new("", After::Close);
        };
        let (whole, _) = torn.whole(content_type, &body);
        Written::new(&whole.as_bytes()[..torn.cut], torn.after)
    })
}

fn events() -> String {
    let events: Vec<String> = (0..EVENTS)
        .map(|id| format!("id: {id}\ndata: word\n\n"))
        .collect();
    events.concat()
}

/// Sends a request for each torn answer; returns the replies that are wrong.
async fn wrong_replies(
    site: &ScriptedSite,
    upstreams: &[ScriptedUpstream],
    (method, path): (&str, &str),
    all: Vec<Torn>,
    is_right: impl Fn(&RawReply) -> bool,
) -> Vec<String> {
    let sends = |torn: Torn| {
        let received = upstreams.iter().map(|one| one.received(&torn.id()).len());
        received.sum::<usize>()
    };
    let replies = stream::iter(all).map(|torn| async move {
        let begun = Instant::now();
        loop {
            let reply = site.raw_answer(method, path, &torn.id()).await;
            // Upstreams that failed are not used for a while.
            let is_rejected = reply.status == 503 && sends(torn) == 0;
            if !is_rejected || begun.elapsed() > UPSTREAM_TIMEOUT {
                return (torn, reply);
            }
            sleep(RETRY_INTERVAL).await;
        }
    });
    let replies: Vec<_> = replies.buffer_unordered(AT_ONCE).collect().await;
    let mut wrong = Vec::new();
    for (torn, reply) in replies {
        let sends = sends(torn);
        if sends != 1 || !is_right(&reply) {
            wrong.push(format!("{torn:?}: {sends} sends, {reply:?}"));
        }
    }
    wrong
}

/// Guards against an operators' report: an upstream stopped in the middle of its answer's
/// head, and the client got a complete answer with an empty or short body.
#[tokio::test(flavor = "multi_thread")]
async fn test_torn_answer_of_a_call_is_never_passed_on_as_complete() {
    for request in [("POST", "/orders/"), ("GET", "/stock/")] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let script = tears("text/plain", CALL_BODY.to_owned());
        let upstreams = [site.upstream("raw-0", "ledger", script).await];
        let all = Torn::all("text/plain", CALL_BODY);
        // The call was sent, so it may not be reported as not run.
        let is_right = |reply: &RawReply| reply.status == 502 && reply.is_complete;
        let wrong = wrong_replies(&site, &upstreams, request, all, is_right).await;
        assert!(wrong.is_empty(), "{request:?}: {} {wrong:#?}", wrong.len());
    }
}

/// Guards against the same for streams.
#[tokio::test(flavor = "multi_thread")]
async fn test_torn_stream_is_never_passed_on_as_complete() {
    let change = |config: &mut Value| {
        config["routes"][0]["max_attempts"] = json!(1);
        config["routes"][0]["stream_resume"] = json!(false);
    };
    let site = ScriptedSite::start(Path::new(PROGRAM), change).await;
    let script = tears("text/event-stream", events());
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let id = format!("engine-{index}");
        engines.push(site.upstream(&id, "llm", Arc::clone(&script)).await);
    }
    let mut all = Torn::all("text/event-stream", &events());
    // A head that is torn is the same with each framing up to its last field.
    all.retain(|torn| {
        let (_, head_bytes) = torn.whole("text/event-stream", &events());
        let is_in_head = torn.cut < head_bytes;
        match torn.framing {
            Framing::Connection => true,
            Framing::Length | Framing::Chunks => !is_in_head && !torn.is_interim,
        }
    });
    let whole = events();
    let is_right = |reply: &RawReply| {
        let is_cut = reply.status == 200 && !reply.is_complete && whole.starts_with(&reply.body);
        reply.status == 502 && reply.is_complete || is_cut
    };
    let request = ("POST", "/notes/1");
    let wrong = wrong_replies(&site, &engines, request, all, is_right).await;
    assert!(wrong.is_empty(), "{} {wrong:#?}", wrong.len());
}

/// Writes the answer to a request, given its identifier.
type Second = fn(&str) -> String;

/// Answers with the first bytes of a head, as many as the request's identifier says, and with
/// a whole answer behind them.
fn answers_after_torn_head(second: Second) -> Script {
    Arc::new(move |received: &Received| {
        let id = &received.id;
        let cut = id.rsplit('.').next().and_then(|cut| cut.parse().ok());
        let first = first_head(id);
        let torn = &first[..cut.unwrap_or(0)];
        Written::new(format!("{torn}{}", second(id)), After::Close)
    })
}

fn first_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: first\r\n\
         content-type: text/plain\r\ncontent-length: 1234\r\n\r\n"
    )
}

/// An upstream may begin a head, and write another one on the same connection. The fields of
/// the two are no answer together.
#[tokio::test(flavor = "multi_thread")]
async fn test_two_heads_in_one_are_never_passed_on_as_an_answer() {
    let seconds: [(&str, Second); 3] = [
        ("other", |id| {
            format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-stamp: second\r\n\
                 content-length: 5\r\n\r\nother"
            )
        }),
        ("failure", |id| {
            format!(
                "HTTP/1.1 500 Error\r\nrequest-id: {id}\r\nresponse-stamp: second\r\n\
                 content-length: 5\r\n\r\nother"
            )
        }),
        ("refusal", |id| {
            format!(
                "HTTP/1.1 503 Busy\r\nrequest-id: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n"
            )
        }),
    ];
    let mut wrong = Vec::new();
    for (name, second) in seconds {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let script = answers_after_torn_head(second);
        let service = site.upstream("raw-0", "ledger", script).await;
        let cuts = 1..first_head("two.000").len();
        let replies = stream::iter(cuts).map(|cut| {
            let site = &site;
            async move {
                let id = format!("two.{cut:03}");
                (cut, site.raw_answer("POST", "/orders/", &id).await)
            }
        });
        let replies: Vec<_> = replies.buffer_unordered(AT_ONCE).collect().await;
        for (cut, reply) in replies {
            let id = format!("two.{cut:03}");
            assert_eq!(service.received(&id).len(), 1);
            if reply.status != 502 {
                let torn = first_head(&id)[..cut].to_owned();
                wrong.push(format!("{name} {torn:?}: {reply:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{} {wrong:#?}", wrong.len());
}

/// An upstream may switch protocols only if it was asked to, which a gateway never does.
#[tokio::test(flavor = "multi_thread")]
async fn test_switch_of_protocols_is_not_passed_on_as_an_answer() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(|received: &Received| {
        let head = format!(
            "HTTP/1.1 101 Switching Protocols\r\nrequest-id: {}\r\nresponse-stamp: raw\r\n\
             upgrade: raw\r\nconnection: upgrade\r\n\r\nmore",
            received.id
        );
        Written::new(head, After::Close)
    });
    let _service = site.upstream("raw-0", "ledger", Arc::clone(&script)).await;
    let _engine = site.upstream("engine-0", "llm", script).await;
    for (method, path) in [
        ("POST", "/orders/"),
        ("GET", "/stock/"),
        ("POST", "/notes/1"),
    ] {
        let reply = site.raw_answer(method, path, "x-1").await;
        assert_eq!(reply.status, 502, "{path}: {reply:?}");
    }
}

/// A stream in a transfer encoding other than chunks ends with its connection, whatever length
/// it states. One that ends before its first event has been broken off.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_of_another_transfer_encoding_without_events_is_not_complete() {
    for fields in [
        "transfer-encoding: identity\r\n",
        "transfer-encoding: identity\r\ncontent-length: 90\r\n",
        "transfer-encoding: chunked, identity\r\n",
    ] {
        let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
        let script: Script = Arc::new(move |received: &Received| {
            let head = format!(
                "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: raw\r\n\
                 content-type: text/event-stream\r\n{fields}\r\n",
                received.id
            );
            Written::new(head, After::Close)
        });
        let _engine = site.upstream("engine-0", "llm", script).await;
        let reply = site.raw_answer("POST", "/notes/1", "s-1").await;
        assert_eq!(reply.status, 502, "{fields:?}: {reply:?}");
    }
}

/// The sites that run beside each other.
const SITES_AT_ONCE: usize = 4;

/// What an upstream in trouble may write in place of a status.
const BAD_STATUSES: [&str; 12] = [
    "000", "001", "042", "099", "600", "601", "999", "20", "1000", "2 00", "-20", "xyz",
];

/// Returns an answer to a request with a text in place of its status.
fn answer_with_status(status: &str, received: &Received) -> Written {
    let head = format!(
        "HTTP/1.1 {status} Trouble\r\nrequest-id: {}\r\nresponse-stamp: raw\r\n\
         content-type: text/event-stream\r\ncontent-length: 12\r\n\r\n",
        received.id
    );
    Written::new(format!("{head}{CALL_BODY}"), After::Close)
}

/// Sends calls and a stream to upstreams that answer with this status.
async fn check_bad_status(status: &'static str) {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(move |received| answer_with_status(status, received));
    let service = site.upstream("raw-0", "ledger", Arc::clone(&script)).await;
    let _engine = site.upstream("engine-0", "llm", script).await;
    for (method, path) in [
        ("POST", "/orders/"),
        ("GET", "/stock/"),
        ("POST", "/notes/1"),
    ] {
        let id = format!("bad{}", path.replace('/', "-"));
        let reply = site.raw_answer(method, path, &id).await;
        assert_eq!(reply.status, 502, "{status} {path}: {reply:?}");
        assert!(!reply.head.contains("raw"), "{status} {path}: {reply:?}");
        assert!(!reply.body.contains(CALL_BODY), "{status} {path}");
    }
    let sends = service.received("bad-orders-").len();
    assert_eq!(sends, 1, "{status}: an unsafe call was sent again");
}

/// Guards against statuses that HTTP does not define, as 000, which clients got as answers.
#[tokio::test(flavor = "multi_thread")]
async fn test_status_that_http_does_not_define_is_not_passed_on_as_an_answer() {
    for some in BAD_STATUSES.chunks(SITES_AT_ONCE) {
        join_all(some.iter().map(|status| check_bad_status(status))).await;
    }
}

/// Breaks a stream off after an event, and lets upstreams answer its next run with this status.
async fn check_resumed_with_bad_status(status: &'static str) {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    let script: Script = Arc::new(move |received| {
        if received.last_event_id.is_some() {
            return answer_with_status(status, received);
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: first\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            received.id
        );
        let event = "id: 0\ndata: word\n\n";
        let part = format!("{head}{:x}\r\n{event}\r\n", event.len());
        Written::new(part, After::Close)
    });
    let engines = [
        site.upstream("engine-0", "llm", Arc::clone(&script)).await,
        site.upstream("engine-1", "llm", script).await,
    ];
    site.wait_for_retry_budget().await;
    let reply = site.raw_answer("POST", "/notes/1", "resumed").await;
    assert_eq!(reply.status, 200, "{status}: {reply:?}");
    assert!(!reply.is_complete, "{status}: {reply:?}");
    assert!(!reply.body.contains(CALL_BODY), "{status}: {reply:?}");
    let received = engines.iter().flat_map(|engine| engine.received("resumed"));
    let resumed = received.filter(|received| received.last_event_id.is_some());
    assert!(resumed.count() > 0, "{status}: the stream is not resumed");
}

/// Guards against the same when a stream that broke off is resumed: nothing of such an answer
/// belongs to it, and the stream does not look complete.
#[tokio::test(flavor = "multi_thread")]
async fn test_stream_resumed_with_a_status_that_http_does_not_define_is_not_complete() {
    for some in BAD_STATUSES.chunks(SITES_AT_ONCE) {
        let some = some
            .iter()
            .map(|status| check_resumed_with_bad_status(status));
        join_all(some).await;
    }
}
