//! Relays requests that get a single answer, such as calls to plain services.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt as _;
use futures_util::future::LocalBoxFuture;
use futures_util::stream;
use futures_util::stream::FuturesUnordered;
use http_body_util::BodyExt as _;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::response::Parts;
use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::TimedAnswer;
use jujubewall_routing::fleet::service_choice::CALL_WORK;
use jujubewall_routing::fleet::service_choice::NoUpstream;
use jujubewall_routing::fleet::service_choice::choose_upstream;
use jujubewall_types::fleet::RequestKind;
use log::info;
use log::warn;
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio::time::timeout_at;

use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::body::AnswerCut;
use crate::gateway::body::HeldBytes;
use crate::gateway::body::ReplyBody;
use crate::gateway::crash_watch;
use crate::gateway::crash_watch::CrashWatch;
use crate::gateway::poison;
use crate::gateway::poison::Quarantine;
use crate::gateway::poison::REQUEST_CRASHES;
use crate::gateway::probe;
use crate::gateway::request::ClientRequest;
use crate::gateway::state::Gateway;
use crate::gateway::state::InFlightGuard;
use crate::gateway::upstreams::Connection;
use crate::gateway::upstreams::SendFault;

/// The largest number of sends of one call, including refused ones.
const MAX_SENDS: u32 = 4;

/// The factor on the route's target latency after which an idempotent call without an
/// answer is also sent to a second upstream. Calls of usual length have ended by then.
const SECOND_SEND_FACTOR: f64 = 1.2;

/// The size in bytes up to which an answer is buffered until it is complete, if there is memory
/// for it. The rest of a larger one is passed on as it arrives.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// The reason of a rejection because every usable upstream is full.
pub const ALL_FULL: &str = "every upstream is full";

/// The reason of a rejection because no upstream is usable.
pub const NONE_USABLE: &str = "no upstream is usable";

/// The result of one send of a call.
enum SendResult {
    /// The upstream answered.
    Answered(Box<CallAnswer>),
    /// The upstream stated that the call did not run.
    NotRun,
    /// No connection was opened, so nothing was sent.
    NotConnected,
    /// The call may have run, but its answer is lost.
    Lost,
    /// The same, because the connection broke within the answer.
    Cut,
}

/// A send in progress, which ends with the upstream that it went to and its result.
type PendingSend = LocalBoxFuture<'static, (InstanceKey, SendResult)>;

/// An upstream's answer.
struct CallAnswer {
    head: Parts,
    body: CallBody,
}

/// The body of an answer.
enum CallBody {
    /// The complete body.
    Whole(HeldBytes),
    /// A body of which only the start has arrived.
    Long(LongBody),
}

/// A body that is passed on while it arrives.
struct LongBody {
    /// The buffered start, until it has been passed on.
    start: Option<HeldBytes>,
    /// The part that was not buffered any more.
    next: Option<Bytes>,
    rest: Incoming,
    /// The connection that the rest arrives over, closed with it.
    _connection: Connection,
    _counted: CountedCall,
}

impl LongBody {
    /// Returns the next bytes; `None` after the last ones.
    async fn next(&mut self) -> Option<Result<Bytes, hyper::Error>> {
        if let Some(part) = self.start.as_mut().and_then(HeldBytes::next_part) {
            return Some(Ok(part));
        }
        self.start = None;
        if let Some(bytes) = self.next.take() {
            return Some(Ok(bytes));
        }
        loop {
            match self.rest.frame().await? {
                Ok(frame) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Some(Ok(bytes));
                    }
                }
                Err(failure) => return Some(Err(failure)),
            }
        }
    }
}

/// Counts a call in flight at an upstream until it is dropped.
struct CountedCall {
    gateway: Rc<Gateway>,
    key: InstanceKey,
}

impl CountedCall {
    fn new(gateway: &Rc<Gateway>, key: InstanceKey) -> Self {
        let now = Instant::now();
        gateway.instances_mut().begin_work(key, &CALL_WORK, now);
        Self {
            gateway: Rc::clone(gateway),
            key,
        }
    }
}

impl Drop for CountedCall {
    fn drop(&mut self) {
        self.gateway.instances_mut().end_work(self.key, &CALL_WORK);
    }
}

/// The state of one call.
struct Call {
    gateway: Rc<Gateway>,
    request: ClientRequest,
    excluded: SmallVec<[InstanceKey; 4]>,
    sends: u32,
    /// The number of sends that may have run.
    runs: u32,
    /// The upstreams whose answers were lost.
    losses: SmallVec<[InstanceKey; 4]>,
    failure: Option<Box<CallAnswer>>,
    /// The body of the answer, if it is passed on while it arrives.
    long_body: Option<LongBody>,
    outcome: &'static str,
    /// Why the call was not answered with success.
    reason: &'static str,
    _in_flight: InFlightGuard,
}

impl Drop for Call {
    fn drop(&mut self) {
        let time = self.request.received_at.elapsed();
        self.gateway.metrics.count_outcome(self.outcome, time);
        self.gateway.record_end(&self.request.service.name);
        info!(
            "event=end id={} route={} account={} outcome={} reason=\"{}\" sends={} target_ms={} ms={} \
             config={}",
            self.request.id,
            self.request.route.name,
            self.request.account,
            self.outcome,
            self.reason,
            self.sends,
            self.request.route.target_latency_ms,
            time.as_millis(),
            self.request.config_version
        );
    }
}

/// Answers a call to a plain service.
pub async fn answer(
    gateway: &Rc<Gateway>,
    request: ClientRequest,
    in_flight: InFlightGuard,
) -> Reply {
    let mut call = Box::new(Call {
        gateway: Rc::clone(gateway),
        request,
        excluded: SmallVec::new(),
        sends: 0,
        runs: 0,
        losses: SmallVec::new(),
        failure: None,
        long_body: None,
        outcome: "client_gone",
        reason: "",
        _in_flight: in_flight,
    });
    let mut reply = call.run().await;
    if let Some(body) = call.long_body.take() {
        *reply.body_mut() = call.pass_on_long(body);
    }
    reply
}

impl Call {
    async fn run(&mut self) -> Reply {
        let gateway = Rc::clone(&self.gateway);
        let mut last_answer_time = pin!(gateway.last_answer_time());
        let mut sends = FuturesUnordered::new();
        match self.next_send() {
            Ok(send) => sends.push(send),
            Err(reply) => return *reply,
        }
        let second_send_at =
            self.request.received_at + self.target_latency().mul_f64(SECOND_SEND_FACTOR);
        let mut is_second_due = self.is_idempotent();
        loop {
            tokio::select! {
                ended = sends.next() => {
                    let Some((key, result)) = ended else {
                        return self.reply_without_answer();
                    };
                    if let Some(reply) = self.on_result(key, result) {
                        return reply;
                    }
                    if sends.is_empty() {
                        if self.has_crashed_upstreams().await {
                            return self.reply_because(REQUEST_CRASHES);
                        }
                        match self.send_again() {
                            Ok(send) => sends.push(send),
                            Err(reply) => return *reply,
                        }
                    }
                }
                () = sleep_until(second_send_at), if is_second_due => {
                    is_second_due = false;
                    self.note_pace_failures();
                    let suspects = &self.request.suspects;
                    if self.sends < self.request.route.max_attempts
                        && poison::quarantine(&self.gateway, suspects).is_none()
                        && self.gateway.try_repeat(&self.request.service.name)
                        && let Ok(send) = self.next_send()
                    {
                        info!("event=second_send id={}", self.request.id);
                        sends.push(send);
                    }
                }
                () = sleep_until(self.request.give_up_at) => return self.on_timeout(),
                () = &mut last_answer_time => return self.on_stop(),
            }
        }
    }

    fn is_idempotent(&self) -> bool {
        self.request.route.kind == RequestKind::Idempotent
    }

    fn target_latency(&self) -> Duration {
        Duration::from_millis(self.request.route.target_latency_ms.max(1))
    }

    /// Records that the upstreams of all sends so far are late.
    fn note_pace_failures(&self) {
        let mut instances = self.gateway.instances_mut();
        for key in &self.excluded {
            instances.note_pace_failure(*key, Instant::now());
        }
    }

    /// Returns whether several upstreams have crashed while they ran the call.
    async fn has_crashed_upstreams(&self) -> bool {
        let check = crash_watch::has_crashed_upstreams(&self.gateway, &self.losses);
        timeout_at(self.request.give_up_at, check)
            .await
            .unwrap_or(false)
    }

    /// Chooses an upstream and sends the call to it.
    fn next_send(&mut self) -> Result<PendingSend, Box<Reply>> {
        if let Some(quarantine) = poison::quarantine(&self.gateway, &self.request.suspects) {
            return Err(Box::new(self.reply_to_quarantined(quarantine)));
        }
        let Some(left) = self.request.time_left() else {
            return Err(Box::new(self.reply_without_answer()));
        };
        let draw = self.gateway.random_u64();
        let chosen = choose_upstream(
            &self.gateway.instances(),
            &self.request.service.name,
            &self.excluded,
            draw,
            Instant::now(),
        );
        let key = match chosen {
            Ok(key) => key,
            Err(reason) => return Err(Box::new(self.reply_without_upstream(reason))),
        };
        let (id, address, in_flight) = {
            let instances = self.gateway.instances();
            let Some(tracked) = instances.get(key) else {
                drop(instances);
                return Err(Box::new(self.reply_without_answer()));
            };
            let total = instances.total_work(tracked).requests;
            (tracked.instance.id.clone(), tracked.instance.address, total)
        };
        self.sends += 1;
        // Further sends go to other upstreams, whatever the result of this one.
        self.excluded.push(key);
        info!(
            "event=send id={} upstream={id} in_flight={in_flight} send={} config={}",
            self.request.id, self.sends, self.request.config_version
        );
        let upstream = self.request.for_upstream(&id, left);
        let request_id = self.request.id.clone();
        let gateway = Rc::clone(&self.gateway);
        let can_use_kept = self.is_idempotent();
        let mut watch = CrashWatch::new(&gateway, self.request.suspects.clone(), key);
        let service = self.request.service.name.clone();
        let target = self.target_latency();
        let send = async move {
            let counted = CountedCall::new(&gateway, key);
            let started_at = Instant::now();
            // A kept connection may have been closed by the upstream; a send on it may then
            // fail without showing whether the call ran.
            let kept = can_use_kept
                .then(|| gateway.connections.take(key))
                .flatten();
            let connection = match kept {
                Some(connection) => Ok(connection),
                None => Connection::open(address).await,
            };
            let Ok(mut connection) = connection else {
                probe::suspect(&gateway, key, Evidence::Silent, "takes no connection");
                return (key, SendResult::NotConnected);
            };
            watch.on_send(connection.takeover());
            let answer = match connection.send(upstream).await {
                Ok(answer) => answer,
                Err(SendFault::NotConnected) => {
                    watch.on_run_over();
                    return (key, SendResult::NotConnected);
                }
                Err(SendFault::Lost) => {
                    watch.on_connection_lost();
                    probe::probe_broken(&gateway, key);
                    return (key, SendResult::Lost);
                }
                Err(SendFault::BadHead(fault)) => {
                    warn!("event=bad_head id={request_id} reason=\"{fault}\"");
                    return (key, SendResult::Lost);
                }
            };
            let result = read_answer(counted, connection, answer, &request_id).await;
            match &result {
                // A failure may be due to a deadline that passed before the call ran.
                SendResult::Answered(answer) if !answer.head.status.is_server_error() => {
                    watch.on_answer();
                    let answer = TimedAnswer {
                        service: &service,
                        predicted: target,
                        started_at,
                    };
                    let now = Instant::now();
                    let mut instances = gateway.instances_mut();
                    instances.note_answer([key].into_iter(), &answer, now);
                }
                SendResult::Cut => {
                    watch.on_connection_lost();
                    probe::probe_broken(&gateway, key);
                }
                SendResult::Answered(_) | SendResult::NotRun => watch.on_run_over(),
                _ => {}
            }
            (key, result)
        };
        Ok(Box::pin(send))
    }

    /// Sends the call again if the route's limit and the retry budget allow it.
    fn send_again(&mut self) -> Result<PendingSend, Box<Reply>> {
        let is_allowed = self.sends < MAX_SENDS
            && self.runs < self.request.route.max_attempts
            && (self.runs == 0 || self.is_idempotent());
        if !is_allowed || !self.gateway.try_repeat(&self.request.service.name) {
            return Err(Box::new(self.reply_without_answer()));
        }
        self.next_send()
    }

    /// Processes the result of one send; returns the reply if the call is finished by it.
    fn on_result(&mut self, key: InstanceKey, result: SendResult) -> Option<Reply> {
        let is_failure = match &result {
            SendResult::Answered(answer) => answer.head.status.is_server_error(),
            SendResult::Lost | SendResult::Cut | SendResult::NotConnected => true,
            SendResult::NotRun => false,
        };
        let now = Instant::now();
        let mut instances = self.gateway.instances_mut();
        instances.note_outcome(key, is_failure, now);
        if matches!(result, SendResult::NotRun) {
            instances.note_pace_failure(key, now);
        }
        drop(instances);
        match result {
            SendResult::Answered(answer) => {
                self.runs += 1;
                if answer.head.status.is_server_error() && self.is_idempotent() {
                    self.failure = Some(answer);
                    return None;
                }
                Some(self.pass_on(*answer))
            }
            SendResult::Lost | SendResult::Cut => {
                self.runs += 1;
                self.losses.push(key);
                None
            }
            SendResult::NotRun | SendResult::NotConnected => None,
        }
    }

    fn pass_on(&mut self, answer: CallAnswer) -> Reply {
        let CallAnswer { head, body } = answer;
        self.outcome = if head.status.is_success() {
            "completed"
        } else {
            self.reason = "the upstream failed";
            "upstream_failure"
        };
        let long_body = &mut self.long_body;
        let body = || match body {
            CallBody::Whole(bytes) => ReplyBody::Whole(bytes),
            CallBody::Long(body) => {
                *long_body = Some(body);
                ReplyBody::whole(Bytes::new())
            }
        };
        answer::pass_on(&self.request.id, head.status, head.headers, body)
    }

    /// Returns a body that passes on a long one until the request's deadline. The call ends
    /// with it.
    fn pass_on_long(mut self: Box<Self>, body: LongBody) -> ReplyBody {
        let outcome = std::mem::replace(&mut self.outcome, "client_gone");
        let parts = stream::unfold(Some((self, body)), move |state| async move {
            let (mut call, mut body) = state?;
            let fault = match timeout_at(call.request.give_up_at, body.next()).await {
                Ok(Some(Ok(bytes))) => return Some((Ok(bytes), Some((call, body)))),
                Ok(None) => {
                    call.outcome = outcome;
                    return None;
                }
                Ok(Some(Err(_))) => ("cut", "the upstream broke off"),
                Err(_) => ("timed_out", "no whole answer in time"),
            };
            (call.outcome, call.reason) = fault;
            Some((Err(AnswerCut), None))
        });
        ReplyBody::Parts(Box::pin(parts))
    }

    /// Returns the reply to a call that no further send can answer.
    fn reply_without_answer(&mut self) -> Reply {
        if self.runs > 0 || self.failure.is_some() {
            return self.reply_because("the answer was lost");
        }
        self.reject("no upstream takes the call")
    }

    /// Returns the reply to a call that may have run and is not sent again for this reason.
    fn reply_because(&mut self, reason: &'static str) -> Reply {
        if let Some(failure) = self.failure.take() {
            return self.pass_on(*failure);
        }
        self.outcome = "unknown";
        self.reason = reason;
        answer::from_gateway(StatusCode::BAD_GATEWAY, reason)
    }

    /// Returns the reply to a call that may not be sent because it crashes upstreams.
    fn reply_to_quarantined(&mut self, quarantine: Quarantine) -> Reply {
        if self.runs > 0 {
            return self.reply_without_answer();
        }
        poison::log_rejection(&self.gateway, &self.request);
        self.outcome = "rejected";
        self.reason = quarantine.reason;
        answer::reject(
            &self.request.id,
            quarantine.reason,
            quarantine.left,
            self.sends,
        )
    }

    /// Returns the reply to a call for which no upstream can be chosen.
    fn reply_without_upstream(&mut self, reason: NoUpstream) -> Reply {
        if self.sends > 0 {
            return self.reply_without_answer();
        }
        self.reject(match reason {
            NoUpstream::AllFull => ALL_FULL,
            NoUpstream::NoneUsable => NONE_USABLE,
        })
    }

    fn reject(&mut self, reason: &'static str) -> Reply {
        self.outcome = "rejected";
        self.reason = reason;
        let wait = self.gateway.next_retry_after(&self.request.service.name);
        let wait = self
            .gateway
            .extend_until_resume(&self.request.service.name, wait);
        answer::reject(&self.request.id, reason, wait, self.sends)
    }

    /// Returns the reply to a call whose answer this gateway does not live to pass on.
    fn on_stop(&mut self) -> Reply {
        self.reply_because(answer::STOPS)
    }

    /// Returns the reply to a call that waited as long as its client or its route allows.
    fn on_timeout(&mut self) -> Reply {
        for key in &self.excluded {
            let now = Instant::now();
            self.gateway.instances_mut().note_outcome(*key, true, now);
        }
        if let Some(failure) = self.failure.take() {
            return self.pass_on(*failure);
        }
        self.outcome = "timed_out";
        self.reason = "no answer in time";
        warn!(
            "event=timeout id={} sends={} upstreams={}",
            self.request.id,
            self.sends,
            self.excluded.len()
        );
        answer::from_gateway(StatusCode::GATEWAY_TIMEOUT, self.reason)
    }
}

/// Checks the head of an answer, and reads its body as far as it may be buffered.
async fn read_answer(
    counted: CountedCall,
    connection: Connection,
    answer: Response<Incoming>,
    request_id: &str,
) -> SendResult {
    let CountedCall { gateway, key } = &counted;
    let key = *key;
    let (head, mut body) = answer.into_parts();
    probe::process_answer_head(gateway, key, head.status, &head.headers);
    let answered_id = headers::request_id(&head.headers);
    let is_for_other = answered_id.as_ref().is_some_and(|id| id != request_id);
    // A late copy of another request's refusal says nothing about this one.
    if headers::says_not_run(head.status, &head.headers)
        && connection.is_own_refusal(answered_id.as_deref(), request_id)
    {
        return SendResult::NotRun;
    }
    if is_for_other || answered_id.is_none() || !head.headers.contains_key(headers::RESPONSE_STAMP)
    {
        warn!("event=foreign_answer status={}", head.status);
        return SendResult::Lost;
    }
    let mut buffer = BytesMut::new();
    let mut share = gateway.answer_share();
    loop {
        let bytes = match body.frame().await {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(_)) => return SendResult::Cut,
            None => {
                gateway.connections.put(key, connection);
                let body = CallBody::Whole(HeldBytes::new(buffer.freeze(), share));
                return SendResult::Answered(Box::new(CallAnswer { head, body }));
            }
        };
        let size = buffer.len() + bytes.len();
        let may_hold = share.try_hold(size);
        if !may_hold {
            gateway.note_answer_memory_full(request_id, size);
        }
        if may_hold && size <= MAX_BUFFERED_BYTES {
            buffer.extend_from_slice(&bytes);
        } else {
            let body = CallBody::Long(LongBody {
                start: Some(HeldBytes::new(buffer.freeze(), share)),
                next: Some(bytes),
                rest: body,
                _connection: connection,
                _counted: counted,
            });
            return SendResult::Answered(Box::new(CallAnswer { head, body }));
        }
    }
}
