//! One run of a stream: one attempt to get its events from one path of engines.

mod repair;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use jujubewall_http_client::HeadFault;
use jujubewall_platform::site::headers;
use jujubewall_routing::fleet::attempts::Attempts;
use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::TimedAnswer;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::pace::predicted_first_event;
use jujubewall_routing::fleet::silence;
use jujubewall_routing::fleet::silence::PathState;
use jujubewall_routing::fleet::silence::SilenceAction;
use jujubewall_routing::fleet::silence::SilentStream;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::id::ServiceName;
use log::info;
use log::warn;
use smallvec::SmallVec;
use smol_str::SmolStr;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway::body::read_held;
use crate::gateway::crash_watch::CrashWatch;
use crate::gateway::path;
use crate::gateway::path::CountedPath;
use crate::gateway::probe;
use crate::gateway::request::ClientRequest;
use crate::gateway::run_fault::BreakCause;
use crate::gateway::run_fault::BrokenRun;
use crate::gateway::run_fault::FailedAnswer;
use crate::gateway::run_fault::RunFault;
use crate::gateway::state::Gateway;
use crate::gateway::stream_head::Framing;
use crate::gateway::stream_head::framing;
use crate::gateway::stream_head::is_event_stream;
use crate::gateway::upstreams::Connection;
use crate::gateway::upstreams::SendFault;

/// The interval between queries to the first engine of a silent path.
const QUERY_INTERVAL: Duration = Duration::from_millis(350);

/// The longest time that is expected between two events. Clients leave far sooner.
const MAX_EVENT_GAP: Duration = Duration::from_mins(1);

/// The weight of a new gap between events in the moving average of the expected gap.
const GAP_WEIGHT: f64 = 0.2;

/// The largest failure answer that is read to be passed on, in bytes.
const MAX_FAILURE_BYTES: usize = 256 * 1024;

/// The interval between attempts to move a silent stream that could not be moved.
const MOVE_INTERVAL: Duration = Duration::from_millis(100);

/// A request on its way, which ends with its connection and the head of the answer.
type Exchange = LocalBoxFuture<'static, (Connection, Result<Response<Incoming>, SendFault>)>;

/// The shares of each engine's resources that the paths of a stream may plan for.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// The limits of a stream that has not been sent.
    pub new: CapacityLimits,
    /// The limits of a stream that lost a path, or a part of it.
    pub moved: CapacityLimits,
}

/// A run on a chosen path.
pub struct Run {
    work: CountedPath,
    service: ServiceName,
    spec: Rc<EngineSpec>,
    repaths: u32,
    first: InstanceKey,
    first_address: SocketAddr,
    request_id: SmolStr,
    /// The earlier sends of the request, and the engines that its paths avoid.
    attempts: Attempts,
    excluded: SmallVec<[InstanceKey; 4]>,
    expected_gap: Duration,
    begun_at: Instant,
    /// The time to the first event that the engines' specification predicts.
    predicted_first_event: Duration,
    has_begun: bool,
    last_event_at: Option<Instant>,
    /// The time spent waiting for this run since its last whole event.
    silence: Duration,
    client_timeout: Duration,
    is_queued: bool,
    can_move: bool,
    /// The limits of a path that replaces parts of this one, or all of it.
    moved_limits: CapacityLimits,
    /// The gateway's count of suspicions when this run last checked for lost engines.
    known_suspicions: u64,
    watch: CrashWatch,
    /// The request, until it has been answered.
    message: Option<Request<Full<Bytes>>>,
    /// The exchange of the request and its answer's head, while it is under way.
    exchange: Option<Exchange>,
    connection: Option<Connection>,
    body: Option<Incoming>,
    framing: Framing,
    /// The head of the answer.
    pub headers: HeaderMap,
}

/// The next output of a run.
pub enum RunStep {
    /// Bytes of the stream.
    Bytes(Bytes),
    /// The stream ended completely.
    End,
}

impl Run {
    /// Returns how often this run was rerouted around lost engines.
    pub const fn repaths(&self) -> u32 {
        self.repaths
    }

    /// Returns whether the answer shows where it ends, instead of ending with its connection.
    pub const fn is_framed(&self) -> bool {
        matches!(self.framing, Framing::Delimited)
    }

    /// Returns whether the first engine has accepted the request.
    pub const fn is_accepted(&self) -> bool {
        self.message.is_none()
    }

    /// Replaces what is known of the request's other sends.
    pub fn update_attempts(&mut self, attempts: &Attempts, excluded: &[InstanceKey]) {
        self.attempts = attempts.clone();
        self.excluded = excluded.into();
    }

    /// Chooses a path.
    pub fn new(
        gateway: &Rc<Gateway>,
        request: &ClientRequest,
        spec: &Rc<EngineSpec>,
        last_event_id: Option<u64>,
        attempts: &Attempts,
        excluded: &[InstanceKey],
        limits: RunLimits,
    ) -> Result<Self, RunFault> {
        let left = request.time_left().ok_or(RunFault::NoTime)?;
        let need = remaining_need(request, spec, last_event_id);
        let is_moved = last_event_id.is_some() || !excluded.is_empty();
        let choice = path::Choice {
            service: &request.service.name,
            spec,
            need: &need,
            excluded,
            is_moved,
            limits: if is_moved { limits.moved } else { limits.new },
        };
        let chosen = choice.choose(gateway, request).map_err(RunFault::NoPath)?;
        let expected_gap = event_gap(spec, chosen.path.token_ms);
        let predicted_first_event =
            predicted_first_event(&gateway.instances(), spec, &need, &chosen.path);
        let mut work = CountedPath::new(gateway, chosen.path, need);
        work.begin_prefill(need.prompt_tokens, |_| true);
        let mut message = request.for_upstream(&chosen.first_id, left);
        let fields = message.headers_mut();
        let hops = chosen.hops.iter().copied();
        fields.insert(headers::PATH, headers::path_value(hops));
        if let Some(id) = last_event_id {
            fields.insert(headers::LAST_EVENT_ID, id.into());
        }
        Ok(Self {
            work,
            service: request.service.name.clone(),
            spec: Rc::clone(spec),
            repaths: 0,
            first: chosen.first,
            first_address: chosen.first_address,
            request_id: request.id.clone(),
            attempts: attempts.clone(),
            excluded: excluded.into(),
            expected_gap,
            begun_at: Instant::now(),
            predicted_first_event,
            has_begun: false,
            last_event_at: None,
            silence: Duration::ZERO,
            client_timeout: request.client_timeout(),
            is_queued: false,
            can_move: request.route.is_resumable,
            moved_limits: limits.moved,
            known_suspicions: gateway.suspicion_count(),
            watch: CrashWatch::new(gateway, request.suspects.clone(), chosen.first),
            message: Some(message),
            exchange: None,
            connection: None,
            body: None,
            framing: Framing::Delimited,
            headers: HeaderMap::new(),
        })
    }

    /// Sends the request to the first engine unless it is under way, and waits until the
    /// engine accepts it.
    pub async fn wait_until_accepted(&mut self) -> Result<(), RunFault> {
        if self.exchange.is_none() {
            let kept = self.work.gateway.connections.take(self.first);
            let connection = match kept {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            self.begin_exchange(connection);
        }
        let answer = match self.finish_exchange().await? {
            Ok(answer) => answer,
            Err(SendFault::Lost) => return Err(self.connection_lost()),
            Err(SendFault::BadHead(fault)) => return Err(self.bad_head(fault)),
            // The upstream closed the connection before it was used.
            Err(SendFault::NotConnected) => {
                let connection = self.connect().await?;
                self.begin_exchange(connection);
                match self.finish_exchange().await? {
                    Ok(answer) => answer,
                    Err(SendFault::Lost) => return Err(self.connection_lost()),
                    Err(SendFault::BadHead(fault)) => return Err(self.bad_head(fault)),
                    Err(SendFault::NotConnected) => {
                        return Err(RunFault::NotConnected(self.first));
                    }
                }
            }
        };
        self.accept(answer).await
    }

    fn begin_exchange(&mut self, mut connection: Connection) {
        let Some(message) = self.message.clone() else {
            return;
        };
        self.watch.on_send(connection.takeover());
        self.exchange = Some(Box::pin(async move {
            let answer = connection.send(message).await;
            (connection, answer)
        }));
    }

    /// Waits for the exchange that is under way. It goes on if the run is set aside.
    async fn finish_exchange(&mut self) -> Result<Result<Response<Incoming>, SendFault>, RunFault> {
        let Some(mut exchange) = self.exchange.take() else {
            return Err(self.bad_answer(None));
        };
        match self.wait_unless_lost(&mut exchange).await {
            Ok((connection, answer)) => {
                self.connection = Some(connection);
                if matches!(answer, Err(SendFault::NotConnected)) {
                    self.watch.on_run_over();
                }
                Ok(answer)
            }
            Err(fault) => {
                self.exchange = Some(exchange);
                Err(fault)
            }
        }
    }

    async fn connect(&self) -> Result<Connection, RunFault> {
        Connection::open(self.first_address).await.map_err(|_| {
            probe::suspect(
                &self.work.gateway,
                self.first,
                Evidence::Silent,
                "takes no connection",
            );
            RunFault::NotConnected(self.first)
        })
    }

    /// Checks the head of the answer, and reads the body of a failure.
    async fn accept(&mut self, answer: Response<Incoming>) -> Result<(), RunFault> {
        let (head, body) = answer.into_parts();
        let gateway = &self.work.gateway;
        probe::process_answer_head(gateway, self.first, head.status, &head.headers);
        let answered_id = headers::request_id(&head.headers);
        let is_for_other = answered_id
            .as_ref()
            .is_some_and(|id| *id != self.request_id);
        // A late copy of another request's refusal says nothing about this one.
        let is_own_refusal = headers::says_not_run(head.status, &head.headers)
            && self.connection.as_ref().is_some_and(|connection| {
                connection.is_own_refusal(answered_id.as_deref(), &self.request_id)
            });
        if is_own_refusal {
            self.watch.on_run_over();
            return Err(RunFault::NotRun(
                self.avoid_faulty(&head.headers, head.status),
            ));
        }
        let is_valid = !is_for_other
            && answered_id.is_some()
            && head.headers.contains_key(headers::RESPONSE_STAMP);
        if !is_valid {
            warn!(
                "event=foreign_answer id={} upstream={} status={}",
                self.request_id, self.first_address, head.status
            );
            return Err(self.bad_answer(Some(self.first)));
        }
        if head.status == StatusCode::OK && is_event_stream(&head.headers) {
            self.framing = framing(&head.headers, &body);
            self.headers = head.headers;
            self.body = Some(body);
            self.message = None;
            return Ok(());
        }
        match read_held(gateway, &self.request_id, body, MAX_FAILURE_BYTES).await {
            Some(body) => {
                self.watch.on_run_over();
                Err(RunFault::Failed(Box::new(FailedAnswer {
                    first: self.first,
                    status: head.status,
                    headers: head.headers,
                    body,
                })))
            }
            None => Err(self.bad_answer(Some(self.first))),
        }
    }

    /// Makes new work avoid the engine that a refusal names, and returns that engine.
    fn avoid_faulty(&self, fields: &HeaderMap, status: StatusCode) -> Option<InstanceKey> {
        let gateway = &self.work.gateway;
        let address = headers::faulty_upstream(fields).unwrap_or(self.first_address);
        let faulty = gateway.instances().at_address(address);
        info!(
            "event=not_run id={} status={status} faulty={address}",
            self.request_id
        );
        // The engine may be lost, or only short of memory: new work avoids it for a while, but
        // its running work only ends if it turns silent.
        if let Some(faulty) = faulty {
            let now = Instant::now();
            gateway.instances_mut().note_failed_run(faulty, now);
            probe::probe_refusal(gateway, faulty);
        }
        faulty
    }

    /// Waits for the next bytes of the stream.
    pub async fn next(&mut self) -> Result<RunStep, RunFault> {
        let Some(mut body) = self.body.take() else {
            return Err(self.bad_answer(None));
        };
        loop {
            let waited = self.wait_unless_lost(body.frame()).await;
            let frame = match waited {
                Ok(frame) => frame,
                // The stream may come back to this run.
                Err(fault) => {
                    self.body = Some(body);
                    return Err(fault);
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(bytes) = frame.into_data() else {
                        continue;
                    };
                    self.body = Some(body);
                    return Ok(RunStep::Bytes(bytes));
                }
                Some(Err(_)) => return Err(self.connection_lost()),
                None => {
                    if let Some(connection) = self.connection.take() {
                        self.work.gateway.connections.put(self.first, connection);
                    }
                    self.watch.on_end();
                    return Ok(RunStep::End);
                }
            }
        }
    }

    /// Records that whole events have arrived, which shows that all engines of the path are
    /// alive. Parts of an event show nothing.
    pub fn record_events(&mut self) {
        let now = Instant::now();
        self.watch.on_events();
        self.silence = Duration::ZERO;
        self.work.end_prefill();
        let mut instances = self.work.gateway.instances_mut();
        let keys = self.work.path.parts.iter().map(|part| part.instance);
        let cleared = instances.note_alive(keys, self.expected_gap, now);
        if !self.has_begun {
            self.has_begun = true;
            instances.note_successful_run(self.first);
            let answer = TimedAnswer {
                service: &self.service,
                predicted: self.predicted_first_event,
                started_at: self.begun_at,
            };
            let keys = self.work.path.parts.iter().map(|part| part.instance);
            instances.note_answer(keys, &answer, now);
        }
        drop(instances);
        for (key, since) in cleared {
            probe::log_cleared(&self.work.gateway, key, since, "an event arrived");
        }
        self.work.begin_stream();
        if let Some(last) = self.last_event_at.replace(now) {
            let gap = now - last;
            self.expected_gap =
                self.expected_gap.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT);
        }
    }

    /// Returns the fault of a run whose answer is not valid, for which `at_fault` is to blame.
    pub fn bad_answer(&self, at_fault: Option<InstanceKey>) -> RunFault {
        RunFault::Broken(BrokenRun {
            cause: BreakCause::BadAnswer,
            first: self.first,
            at_fault,
            may_have_run: true,
            is_moved: false,
            is_young_loss: false,
        })
    }

    /// Returns the fault of a run whose answer has a head that shows nothing.
    fn bad_head(&self, fault: HeadFault) -> RunFault {
        warn!(
            "event=bad_head id={} upstream={} reason=\"{fault}\"",
            self.request_id, self.first_address
        );
        self.bad_answer(Some(self.first))
    }

    /// Returns the fault of a run whose connection broke, and probes its first engine unless
    /// another engine of the path is known to be lost.
    fn connection_lost(&self) -> RunFault {
        self.watch.on_connection_lost();
        let at_fault = self.first_lost_part().unwrap_or(self.first);
        if at_fault == self.first {
            probe::probe_broken(&self.work.gateway, self.first);
        }
        RunFault::Broken(BrokenRun {
            cause: BreakCause::ConnectionLost,
            first: self.first,
            at_fault: Some(at_fault),
            may_have_run: true,
            is_moved: false,
            is_young_loss: self.watch.is_young(),
        })
    }

    /// Returns the fault of a run that was given up while it was silent.
    fn given_up(&self, lost: Option<InstanceKey>, is_moved: bool) -> RunFault {
        RunFault::Broken(BrokenRun {
            cause: BreakCause::Silent(self.silence),
            first: self.first,
            at_fault: lost.or(Some(self.first)),
            may_have_run: silence::may_have_run(&self.silent_stream(lost)),
            is_moved,
            is_young_loss: false,
        })
    }

    /// Returns whether the stream may leave this run, which may still go on, for another
    /// one that avoids `lost`. If so, the retry budget has been charged for it.
    fn try_replace(&self, lost: Option<InstanceKey>) -> bool {
        let gateway = &self.work.gateway;
        let now = Instant::now();
        let barred = self
            .attempts
            .barred_after(self.first, &gateway.instances(), now);
        let is_possible = barred.is_none() && gateway.can_repeat(&self.service);
        if !is_possible || self.watch.is_quarantined() {
            return false;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(lost.unwrap_or(self.first));
        let choice = path::Choice {
            service: &self.service,
            spec: &self.spec,
            need: &self.work.need,
            excluded: &excluded,
            is_moved: true,
            limits: self.moved_limits,
        };
        choice.has_path(gateway) && gateway.try_repeat(&self.service)
    }

    /// Waits for `future`, and probes, reroutes or gives up the path while it is silent.
    async fn wait_unless_lost<T>(
        &mut self,
        future: impl Future<Output = T>,
    ) -> Result<T, RunFault> {
        let mut future = pin!(future);
        let mut waiting_since = Instant::now();
        let mut queried_at: Option<Instant> = None;
        let mut moved_at: Option<Instant> = None;
        let mut is_held = false;
        loop {
            let gateway = Rc::clone(&self.work.gateway);
            let suspicions = gateway.suspicion_count();
            // Suspicions that arose between two waits have not woken this task.
            let wait = if suspicions == self.known_suspicions {
                silence::next_check_delay(&self.silent_stream(None))
            } else {
                Duration::ZERO
            };
            self.known_suspicions = suspicions;
            let output = tokio::select! {
                biased;
                output = future.as_mut() => Some(output),
                () = gateway.suspicions.notified() => None,
                () = sleep(wait) => None,
            };
            let now = Instant::now();
            self.silence += now - std::mem::replace(&mut waiting_since, now);
            if let Some(output) = output {
                return Ok(output);
            }
            let lost = self.first_lost_part();
            let stream = self.silent_stream(lost);
            match silence::silence_action(&stream) {
                SilenceAction::Wait => {}
                SilenceAction::ProbeParts => {
                    probe::probe_parts(&self.work.gateway, &self.work.keys());
                }
                SilenceAction::GiveUp => {
                    let repath = self.repath();
                    tokio::select! {
                        biased;
                        output = future.as_mut() => return Ok(output),
                        is_done = repath => {
                            if !is_done {
                                return Err(self.given_up(lost, false));
                            }
                        }
                    }
                    self.silence = Duration::ZERO;
                }
                SilenceAction::Move if moved_at.is_none_or(|at| at.elapsed() >= MOVE_INTERVAL) => {
                    moved_at = Some(Instant::now());
                    let repath = self.repath();
                    let is_done = tokio::select! {
                        biased;
                        output = future.as_mut() => return Ok(output),
                        is_done = repath => is_done,
                    };
                    if is_done {
                        self.silence = Duration::ZERO;
                    } else if self.try_replace(lost) {
                        return Err(self.given_up(lost, true));
                    } else if !is_held {
                        is_held = true;
                        gateway.metrics.count("run_held");
                        info!(
                            "event=run_held id={} silent_ms={}",
                            self.request_id,
                            self.silence.as_millis()
                        );
                    }
                }
                SilenceAction::QueryFirst | SilenceAction::Move => {
                    probe::probe_parts(&self.work.gateway, &self.work.keys());
                    if queried_at.is_some_and(|queried| queried.elapsed() < QUERY_INTERVAL) {
                        continue;
                    }
                    queried_at = Some(Instant::now());
                    let report = tokio::select! {
                        biased;
                        output = future.as_mut() => return Ok(output),
                        report = probe::query_report(&gateway, self.first_address) => report,
                    };
                    self.process_report(report);
                }
            }
        }
    }

    /// Returns the state of the run on which the reaction to its silence depends.
    fn silent_stream(&self, lost: Option<InstanceKey>) -> SilentStream {
        SilentStream {
            has_begun: self.has_begun,
            silence: self.silence,
            expected_gap: self.expected_gap,
            client_timeout: self.client_timeout,
            path: match lost {
                Some(_) if self.has_ended_part() => PathState::PartLost,
                Some(_) => PathState::PartSilent,
                None if self.is_queued => PathState::Queued,
                None => PathState::Intact,
            },
            can_reroute: self.can_move,
        }
    }
}

/// Returns the expected time between two events, at `token_ms` per token.
fn event_gap(spec: &EngineSpec, token_ms: f64) -> Duration {
    let gap = Duration::try_from_secs_f64(spec.tokens_per_event * token_ms / 1_000.0);
    gap.map_or(MAX_EVENT_GAP, |gap| gap.min(MAX_EVENT_GAP))
}

/// Returns what the rest of a stream needs. The events so far count as part of the prompt,
/// since the engines process them again.
fn remaining_need(request: &ClientRequest, spec: &EngineSpec, last: Option<u64>) -> StreamNeed {
    let mut need = request.need(spec);
    if let Some(last) = last {
        let written = last as f64 * spec.tokens_per_event;
        need.prompt_tokens += written;
        need.answer_tokens = (need.answer_tokens - written).max(spec.tokens_per_event);
    }
    need
}
