//! Turning the events of a stream into the answer to its caller.

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use jujubewall_protocol::stream::Token;
use jujubewall_types::admin::ErrorAnswerBody;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::RequestId;
use jujubewall_types::outcome::Outcome;
use kameo::actor::ActorRef;
use smallvec::SmallVec;
use tokio::sync::mpsc;

use crate::entry::actor::EntryActor;
use crate::entry::completion::AnswerHead;
use crate::entry::messages::CancelStream;
use crate::server::answer;
use crate::server::answer::Answer;
use crate::server::sse;
use crate::vocabulary::Decoder;

/// The number of parts that may wait for a slow caller.
const PART_QUEUE_LEN: usize = 64;

/// What happens to a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// Further tokens of the answer.
    Tokens(SmallVec<[Token; 4]>),
    /// The answer is whole.
    Finished,
    /// The answer has failed.
    Failed(Failure),
}

/// The events of one stream; the stream is cancelled when they are dropped early.
pub struct StreamEvents {
    request: RequestId,
    events: mpsc::UnboundedReceiver<StreamEvent>,
    actor: ActorRef<EntryActor>,
    has_ended: bool,
}

impl StreamEvents {
    /// Takes over the events of a stream that `actor` carries.
    pub fn new(
        request: RequestId,
        events: mpsc::UnboundedReceiver<StreamEvent>,
        actor: ActorRef<EntryActor>,
    ) -> Self {
        Self {
            request,
            events,
            actor,
            has_ended: false,
        }
    }

    async fn next(&mut self) -> StreamEvent {
        let lost = || Failure::new(ErrorKind::StreamLost, "the stream ended without a result");
        let event = self.events.recv().await;
        let event = event.unwrap_or_else(|| StreamEvent::Failed(lost()));
        self.has_ended = !matches!(event, StreamEvent::Tokens(_));
        event
    }
}

impl Drop for StreamEvents {
    fn drop(&mut self) {
        if !self.has_ended {
            let cancel = CancelStream {
                request: self.request,
            };
            let _ = self.actor.tell(cancel).try_send();
        }
    }
}

/// Answers with the whole text once it is there.
pub async fn whole(head: AnswerHead, mut events: StreamEvents) -> Answer {
    let mut decoder = Decoder::default();
    let mut text = String::new();
    let mut count = 0;
    loop {
        match events.next().await {
            StreamEvent::Tokens(tokens) => {
                count += count_of(&tokens);
                text.push_str(&decoder.push(&tokens));
            }
            StreamEvent::Finished => break,
            StreamEvent::Failed(failure) => return answer::failure(failure),
        }
    }
    text.push_str(&decoder.finish());
    let mut answer = answer::json(StatusCode::OK, &head.whole(text, count));
    answer::set_outcome(&mut answer, Outcome::Completed);
    answer
}

/// Answers with a stream of events; a failure before the first token is answered as an error.
pub async fn streamed(head: AnswerHead, mut events: StreamEvents) -> Answer {
    let first = events.next().await;
    if let StreamEvent::Failed(failure) = first {
        return answer::failure(failure);
    }
    let (parts, body) = mpsc::channel(PART_QUEUE_LEN);
    tokio::spawn(forward(head, first, events, parts));
    let mut answer = Response::new(sse::channel_body(body));
    let media_type = HeaderValue::from_static(sse::EVENT_STREAM);
    answer.headers_mut().insert(CONTENT_TYPE, media_type);
    answer
}

async fn forward(
    head: AnswerHead,
    first: StreamEvent,
    mut events: StreamEvents,
    parts: mpsc::Sender<Bytes>,
) {
    let mut decoder = Decoder::default();
    let mut count = 0;
    let mut event = first;
    loop {
        let is_sent = match event {
            StreamEvent::Tokens(tokens) => {
                count += count_of(&tokens);
                let part = head.part(decoder.push(&tokens));
                parts.send(sse::event(&part)).await.is_ok()
            }
            StreamEvent::Finished => {
                let last = head.last_part(decoder.finish(), count);
                let _ = parts.send(sse::event(&last)).await;
                let _ = parts.send(sse::text_event(sse::DONE)).await;
                return;
            }
            StreamEvent::Failed(failure) => {
                let body = ErrorAnswerBody {
                    error: failure.into(),
                };
                let _ = parts.send(sse::event(&body)).await;
                return;
            }
        };
        if !is_sent {
            return;
        }
        event = tokio::select! {
            event = events.next() => event,
            () = parts.closed() => return,
        };
    }
}

fn count_of(tokens: &[Token]) -> u32 {
    u32::try_from(tokens.len()).unwrap_or(u32::MAX)
}
