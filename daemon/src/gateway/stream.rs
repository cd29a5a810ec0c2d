//! Relays an event stream to a client. If a run is lost, the stream continues in another
//! one.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::stream;
use hyper::StatusCode;
use jujubewall_routing::admission::Applicant;
use jujubewall_routing::fleet::answer_memory::AnswerShare;
use jujubewall_routing::fleet::attempts::Attempts;
use jujubewall_routing::fleet::attempts::Barred;
use jujubewall_routing::fleet::events::EventFilter;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::layer_path::NoPath;
use jujubewall_routing::fleet::layer_path::Shortage;
use jujubewall_types::fleet::EngineSpec;
use log::info;
use smallvec::SmallVec;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;

use crate::gateway::answer;
use crate::gateway::answer::Reply;
use crate::gateway::body::AnswerCut;
use crate::gateway::body::MAX_PART_BYTES;
use crate::gateway::body::ReplyBody;
use crate::gateway::crash_watch;
use crate::gateway::poison;
use crate::gateway::poison::PART_CRASHES;
use crate::gateway::poison::REQUEST_CRASHES;
use crate::gateway::request::ClientRequest;
use crate::gateway::run::Run;
use crate::gateway::run::RunLimits;
use crate::gateway::run::RunStep;
use crate::gateway::run_fault::BrokenRun;
use crate::gateway::run_fault::FailedAnswer;
use crate::gateway::run_fault::RunFault;
use crate::gateway::state::Gateway;
use crate::gateway::state::InFlightGuard;
use crate::gateway::waiting::AdmittedStream;
use crate::gateway::waiting::queue_account;

/// The reason of a rejection because no engine with the first layers has a free slot.
const NO_FIRST_SLOT: &str = "every first engine is full";

/// The reason of a rejection because every path lacks memory for the context.
const NO_CONTEXT_MEMORY: &str = "every path is short of memory";

/// The reason of a rejection because both is the case.
const NEITHER_SLOT_NOR_MEMORY: &str = "every first engine is full, every path short of memory";

/// The reason of a rejection because each failure domain lacks some layer.
const INCOMPLETE_DOMAINS: &str = "no failure domain holds all layers";

/// The reason of a rejection because the whole fleet lacks some layer.
const LAYER_MISSING: &str = "no engine holds some layer";

/// The shortest `Retry-After` time after a rejection for another reason than full engines.
const MIN_FAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The part of its remaining time for which a client waits at most before it retries, by the
/// platform's protocol: a third.
const HONOURED_TIME_PART: u32 = 3;

/// The interval between attempts to find a path.
const PATH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The delay, for each token to be processed again, before a stream that has lost its run
/// starts another one, so that streams with the fewest tokens restart first.
const RESTART_DELAY_PER_TOKEN: Duration = Duration::from_micros(10);

/// The next output of a relay.
enum RelayOutput {
    /// Whole events.
    Events(Bytes),
    /// The stream is complete.
    End,
}

/// The reason why a relay gives no further output.
enum RelayEnd {
    /// The request has not run.
    NotRun(&'static str),
    /// The request may have run, but its answer is lost.
    Unknown(&'static str),
    /// The request waited as long as its client or its route allows.
    TimedOut,
    /// An engine ran the request and answered with a failure.
    Failed(Box<FailedAnswer>),
}

impl RelayEnd {
    const fn reason(&self) -> &'static str {
        match self {
            Self::NotRun(reason) | Self::Unknown(reason) => reason,
            Self::TimedOut => "no answer in time",
            Self::Failed(_) => "the engine failed",
        }
    }
}

/// A silent run that is kept until another one has taken the stream.
struct HeldRun {
    run: Run,
    /// The bytes of its incomplete event.
    partial_event: BytesMut,
}

/// The state of one stream that is relayed to a client.
struct Relay {
    gateway: Rc<Gateway>,
    request: ClientRequest,
    spec: Rc<EngineSpec>,
    filter: EventFilter,
    /// The memory of incomplete events, and of whole ones that the client has not taken.
    share: AnswerShare,
    run: Option<Run>,
    /// The silent run before `run`, until that has been accepted.
    held: Option<HeldRun>,
    /// The last event that was sent when the present run began.
    run_begins_after: Option<u64>,
    excluded: SmallVec<[InstanceKey; 4]>,
    attempts: Attempts,
    /// The stream as admission counts it.
    admission: AdmittedStream,
    /// The first engines of the runs that broke off while they were young.
    young_losses: SmallVec<[InstanceKey; 4]>,
    timing: Timing,
    /// How often runs were rerouted around lost engines.
    repaths: u32,
    outcome: &'static str,
    /// Why the stream did not complete.
    reason: &'static str,
    _in_flight: InFlightGuard,
}

/// The arrival times of a stream's events.
#[derive(Clone, Copy, Default)]
struct Timing {
    first: Option<Duration>,
    last_at: Option<Instant>,
    longest_gap: Duration,
}

impl Timing {
    fn on_events(&mut self, received_at: Instant) {
        let now = Instant::now();
        match self.last_at.replace(now) {
            Some(last) => self.longest_gap = self.longest_gap.max(now - last),
            None => self.first = Some(now - received_at),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.repaths += self.run.as_ref().map_or(0, Run::repaths);
        let time = self.request.received_at.elapsed();
        self.gateway.metrics.count_outcome(self.outcome, time);
        // A rejected stream frees nothing.
        if self.admission.has_started() {
            self.gateway.record_end(&self.request.service.name);
        }
        self.gateway.count_stream(false);
        info!(
            "event=end id={} route={} account={} outcome={} reason=\"{}\" sends={} repaths={} \
             last_event={} first_ms={} target_ms={} longest_gap_ms={} gap_limit_ms={} ms={} config={}",
            self.request.id,
            self.request.route.name,
            self.request.account,
            self.outcome,
            self.reason,
            self.attempts.sends(),
            self.repaths,
            self.last_event_text(),
            self.timing.first.unwrap_or_default().as_millis(),
            self.request.route.target_latency_ms,
            self.timing.longest_gap.as_millis(),
            self.request.route.target_gap_ms,
            time.as_millis(),
            self.request.config_version
        );
    }
}

/// Answers a request with a stream of events.
pub async fn answer(
    gateway: &Rc<Gateway>,
    request: ClientRequest,
    spec: EngineSpec,
    in_flight: InFlightGuard,
) -> Reply {
    let filter = EventFilter::new(request.last_event_id());
    gateway.count_stream(true);
    let routes = gateway.routes();
    let is_ranked = routes.is_some_and(|routes| routes.has_ranked_streams(&request.service.name));
    let target = Duration::from_millis(request.route.target_latency_ms);
    let applicant = Applicant {
        rank: request.urgency,
        account: queue_account(&request.account),
        received_at: request.received_at,
        target,
        is_overdue: gateway
            .admissions
            .is_overdue(&request.route.name, request.patience(), target),
    };
    let admission = gateway
        .admissions
        .offer(&request.service.name, applicant, is_ranked);
    let mut relay = Box::new(Relay {
        gateway: Rc::clone(gateway),
        filter,
        share: gateway.answer_share(),
        spec: Rc::new(spec),
        run: None,
        held: None,
        run_begins_after: None,
        excluded: SmallVec::new(),
        attempts: Attempts::new(&request.route),
        admission,
        young_losses: SmallVec::new(),
        timing: Timing::default(),
        repaths: 0,
        outcome: "client_gone",
        reason: "",
        _in_flight: in_flight,
        request,
    });
    match relay.next_in_time().await {
        Ok(RelayOutput::Events(events)) => {
            let time = relay.request.received_at.elapsed();
            gateway.metrics.observe_first_event(time);
            relay.admission.on_first_event();
            relay.into_reply(Some(events))
        }
        Ok(RelayOutput::End) => relay.into_reply(None),
        Err(end) => relay.give_up(end),
    }
}

impl Relay {
    /// Returns the reply that passes on `first` and the events that follow.
    fn into_reply(mut self: Box<Self>, first: Option<Bytes>) -> Reply {
        let fields = self
            .run
            .as_mut()
            .map(|run| std::mem::take(&mut run.headers))
            .unwrap_or_default();
        let id = self.request.id.clone();
        let Some(first) = first else {
            self.outcome = "completed";
            let body = || ReplyBody::whole(Bytes::new());
            return answer::pass_on(&id, StatusCode::OK, fields, body);
        };
        let parts = stream::unfold((self, Some(first), false), |state| async move {
            let (mut relay, pending, has_ended) = state;
            if has_ended {
                return None;
            }
            if let Some((part, rest)) = pending.and_then(split_part) {
                return Some((Ok(part), (relay, rest, false)));
            }
            match relay.next_in_time().await {
                Ok(RelayOutput::Events(events)) => {
                    let (part, rest) = split_part(events)?;
                    Some((Ok(part), (relay, rest, false)))
                }
                Ok(RelayOutput::End) => {
                    relay.outcome = "completed";
                    None
                }
                Err(end) => {
                    relay.outcome = "cut";
                    relay.reason = end.reason();
                    Some((Err(AnswerCut), (relay, None, true)))
                }
            }
        });
        let body = || ReplyBody::Parts(Box::pin(parts));
        answer::pass_on(&id, StatusCode::OK, fields, body)
    }

    /// Returns the reply to a request of which no event has been passed on.
    fn give_up(mut self: Box<Self>, end: RelayEnd) -> Reply {
        let service = &self.request.service.name;
        self.reason = end.reason();
        match end {
            RelayEnd::NotRun(reason) => {
                self.outcome = "rejected";
                let retry_after = match reason {
                    PART_CRASHES | REQUEST_CRASHES => {
                        poison::log_rejection(&self.gateway, &self.request);
                        let quarantine = poison::quarantine(&self.gateway, &self.request.suspects);
                        quarantine.map_or(MIN_FAULT_RETRY_AFTER, |quarantine| quarantine.left)
                    }
                    NO_FIRST_SLOT | NO_CONTEXT_MEMORY | NEITHER_SLOT_NOR_MEMORY => {
                        let left = self.request.time_left().unwrap_or_default();
                        let longest = left / HONOURED_TIME_PART;
                        let draw = self.gateway.random_u64() as f64 / u64::MAX as f64;
                        let retry_after = self.admission.next_retry_after(longest, draw);
                        retry_after.unwrap_or_else(|| self.gateway.next_retry_after(service))
                    }
                    INCOMPLETE_DOMAINS | LAYER_MISSING => {
                        self.gateway.retry_after_repair(service, &self.spec)
                    }
                    _ => {
                        let spaced = self.gateway.next_retry_after(service);
                        spaced.max(MIN_FAULT_RETRY_AFTER)
                    }
                };
                let retry_after = self.gateway.extend_until_resume(service, retry_after);
                answer::reject(&self.request.id, reason, retry_after, self.attempts.sends())
            }
            RelayEnd::Unknown(reason) => {
                self.outcome = "unknown";
                answer::from_gateway(StatusCode::BAD_GATEWAY, reason)
            }
            RelayEnd::TimedOut => {
                self.outcome = "timed_out";
                answer::from_gateway(StatusCode::GATEWAY_TIMEOUT, self.reason)
            }
            RelayEnd::Failed(failed) => {
                self.outcome = "upstream_failure";
                let FailedAnswer {
                    status,
                    headers,
                    body,
                    ..
                } = *failed;
                answer::pass_on(&self.request.id, status, headers, || ReplyBody::Whole(body))
            }
        }
    }

    /// Waits for whole events until the request's deadline. Without any event yet, it waits
    /// only as long as an answer can still be written.
    async fn next_in_time(&mut self) -> Result<RelayOutput, RelayEnd> {
        let give_up_at = self.request.give_up_at;
        let gateway = Rc::clone(&self.gateway);
        let has_begun = self.timing.first.is_some();
        let next = tokio::select! {
            biased;
            next = timeout_at(give_up_at, self.next()) => next,
            () = gateway.last_answer_time(), if !has_begun => {
                return Err(if self.attempts.sends() == 0 {
                    RelayEnd::NotRun(answer::STOPS)
                } else {
                    RelayEnd::Unknown(answer::STOPS)
                });
            }
        };
        match next {
            Ok(next) => next,
            Err(_) if self.attempts.sends() == 0 => Err(RelayEnd::NotRun("no time left")),
            Err(_) => Err(RelayEnd::TimedOut),
        }
    }

    /// Waits for whole events, and continues in another run if the present one is lost.
    async fn next(&mut self) -> Result<RelayOutput, RelayEnd> {
        loop {
            if self.run.is_none() && self.attempts.sends() == 0 && self.admission.must_wait() {
                self.wait_for_capacity(None).await?;
            }
            let fault = match self.step().await {
                Ok(Some(next)) => return Ok(next),
                Ok(None) => continue,
                Err(fault) => fault,
            };
            self.set_aside_run(&fault);
            if let RunFault::NoPath(NoPath::NoCapacity(shortage)) = fault
                && self.attempts.sends() == 1
                && !self.can_wait_for_path()
            {
                self.attempts.cancel_send();
                self.wait_for_capacity(Some(shortage)).await?;
                continue;
            }
            let can_wait = self.held.is_none() && self.can_wait_for_path();
            if matches!(fault, RunFault::NoPath(_)) && can_wait {
                self.attempts.cancel_send();
                sleep(PATH_POLL_INTERVAL).await;
                continue;
            }
            if let Err(end) = self.after_fault(fault) {
                self.resume_held_run(end)?;
                continue;
            }
            if crash_watch::has_crashed_upstreams(&self.gateway, &self.young_losses).await {
                return Err(RelayEnd::Unknown(REQUEST_CRASHES));
            }
            if let Some(last) = self.filter.last_id() {
                let need = self.request.need(&self.spec);
                let tokens = need.prompt_tokens + last as f64 * self.spec.tokens_per_event;
                sleep(RESTART_DELAY_PER_TOKEN.mul_f64(tokens)).await;
            }
        }
    }

    /// Waits in the order of admission until a stream that was not sent may search for a path,
    /// after a search that found every path short of `shortage`, if there was one.
    async fn wait_for_capacity(&mut self, shortage: Option<Shortage>) -> Result<(), RelayEnd> {
        let Err(end) = self.admission.wait_for_turn(shortage).await else {
            return Ok(());
        };
        info!(
            "event=not_admitted id={} rank={} account={} resource={} cause={} \
             expected_wait_ms={} waited_ms={}",
            self.request.id,
            self.request.urgency,
            self.request.account,
            end.shortage,
            end.cause,
            end.expected_wait.as_millis(),
            self.admission.waited().as_millis()
        );
        self.gateway.metrics.count_not_admitted(
            self.request.urgency,
            end.shortage.as_str(),
            end.cause.as_str(),
        );
        Err(self.end_without_path(NoPath::NoCapacity(end.shortage)))
    }

    /// Records that a path was found, and how long the stream waited for it.
    fn record_start(&mut self) {
        let context_tokens = self.request.need(&self.spec).context_tokens();
        let Some(wait) = self.admission.start(context_tokens) else {
            return;
        };
        info!(
            "event=waited id={} rank={} account={} wait_ms={}",
            self.request.id,
            self.request.urgency,
            self.request.account,
            wait.as_millis()
        );
        self.gateway.metrics.observe_wait(wait);
    }

    /// Ends the present run after a fault. One that is only silent is kept until another one
    /// has taken the stream.
    fn set_aside_run(&mut self, fault: &RunFault) {
        let Some(run) = self.run.take() else {
            return;
        };
        let is_moved = matches!(fault, RunFault::Broken(broken) if broken.is_moved);
        // A run that was to take over from a silent one gives way to that one.
        if is_moved && self.held.is_none() {
            let partial_event = self.filter.take_partial_event();
            self.held = Some(HeldRun { run, partial_event });
        } else {
            self.filter.take_partial_event();
            self.repaths += run.repaths();
        }
    }

    /// Goes back to the silent run that was set aside, if no other one takes the stream.
    fn resume_held_run(&mut self, end: RelayEnd) -> Result<(), RelayEnd> {
        let Some(HeldRun {
            mut run,
            partial_event,
        }) = self.held.take()
        else {
            return Err(end);
        };
        info!(
            "event=run_resumed id={} sends={} reason=\"{}\"",
            self.request.id,
            self.attempts.sends(),
            end.reason()
        );
        self.gateway.metrics.count("run_resumed");
        self.filter.restore_partial_event(partial_event);
        run.update_attempts(&self.attempts, &self.excluded);
        self.run = Some(run);
        Ok(())
    }

    /// Returns whether a stream may wait for a complete path: once it has begun, it does until
    /// its deadline, or until its client leaves.
    const fn can_wait_for_path(&self) -> bool {
        self.timing.last_at.is_some()
    }

    /// Advances the present run, or starts one; `None` if no whole event came of it.
    async fn step(&mut self) -> Result<Option<RelayOutput>, RunFault> {
        let Some(run) = &mut self.run else {
            let quarantine = poison::quarantine(&self.gateway, &self.request.suspects);
            if let Some(quarantine) = quarantine {
                return Err(RunFault::Quarantined(quarantine.reason));
            }
            self.attempts.begin_send();
            let report_age = self.gateway.instances().report_age();
            let limits = RunLimits {
                new: self.admission.limits(report_age),
                moved: self.admission.moved_limits(),
            };
            let run = Run::new(
                &self.gateway,
                &self.request,
                &self.spec,
                self.filter.last_id(),
                &self.attempts,
                &self.excluded,
                limits,
            );
            self.run = Some(run?);
            self.record_start();
            return Ok(None);
        };
        if !run.is_accepted() {
            run.wait_until_accepted().await?;
            self.run_begins_after = self.filter.last_id();
            if let Some(held) = self.held.take() {
                self.repaths += held.run.repaths();
            }
            return Ok(None);
        }
        match run.next().await? {
            RunStep::Bytes(bytes) => {
                let events = self.filter.push(bytes).map_err(|fault| {
                    info!("event=bad_event id={} reason=\"{fault}\"", self.request.id);
                    run.bad_answer(None)
                })?;
                let held = self.held.as_ref();
                let held_bytes = held.map_or(0, |held| held.partial_event.len());
                let bytes = events.len() + self.filter.partial_bytes() + held_bytes;
                // Whole events are passed on in any case.
                if !self.share.try_hold(bytes) && events.is_empty() {
                    self.gateway
                        .note_answer_memory_full(&self.request.id, bytes);
                    return Err(run.bad_answer(None));
                }
                if events.is_empty() {
                    return Ok(None);
                }
                run.record_events();
                self.timing.on_events(self.request.received_at);
                Ok(Some(RelayOutput::Events(events)))
            }
            RunStep::End if self.filter.has_partial_event() => Err(run.bad_answer(None)),
            // A run that was to continue a stream, and gave no event, does not show that the
            // stream is complete. Without framing, neither does any run.
            RunStep::End
                if self.filter.last_id() == self.run_begins_after
                    && (self.timing.first.is_some() || !run.is_framed()) =>
            {
                info!("event=empty_run id={}", self.request.id);
                Err(run.bad_answer(None))
            }
            RunStep::End => Ok(Some(RelayOutput::End)),
        }
    }

    /// Decides whether the stream continues in another run.
    fn after_fault(&mut self, fault: RunFault) -> Result<(), RelayEnd> {
        let cause = fault.to_string();
        let (at_fault, is_repeat) = match fault {
            RunFault::NoPath(reason) => return Err(self.end_without_path(reason)),
            RunFault::Quarantined(reason) if self.attempts.may_have_run() => {
                return Err(RelayEnd::Unknown(reason));
            }
            RunFault::Quarantined(reason) => return Err(RelayEnd::NotRun(reason)),
            RunFault::NoTime if self.attempts.sends() > 1 => return Err(RelayEnd::TimedOut),
            RunFault::NoTime => return Err(RelayEnd::NotRun("no time left")),
            RunFault::NotConnected(key) => (Some(key), false),
            RunFault::NotRun(key) => (key, true),
            RunFault::Broken(broken) => {
                self.record_broken_run(broken);
                (broken.at_fault, !broken.is_moved)
            }
            RunFault::Failed(failed) => {
                self.attempts.note_run(failed.first);
                let now = Instant::now();
                let barred = self.attempts.barred(&self.gateway.instances(), now);
                if barred.is_some() {
                    return Err(RelayEnd::Failed(failed));
                }
                (None, true)
            }
        };
        if let Some(key) = at_fault {
            self.excluded.push(key);
        }
        let barred = self.barred(is_repeat);
        let upstream = at_fault.and_then(|key| {
            let instances = self.gateway.instances();
            instances
                .get(key)
                .map(|tracked| tracked.instance.id.clone())
        });
        info!(
            "event=run_lost id={} sends={} last_event={} cause={cause} upstream={} goes_on={} \
             barred_by={} ms={}",
            self.request.id,
            self.attempts.sends(),
            self.last_event_text(),
            upstream.as_deref().unwrap_or("unknown"),
            barred.is_none(),
            barred.map_or_else(|| "nothing".to_owned(), |barred| barred.to_string()),
            self.request.received_at.elapsed().as_millis()
        );
        if barred.is_none() {
            Ok(())
        } else if self.attempts.may_have_run() {
            Err(RelayEnd::Unknown("the answer was lost"))
        } else {
            Err(RelayEnd::NotRun("no engine takes the request"))
        }
    }

    /// Returns the limit that forbids another run, if any. Charges the retry budget for a run
    /// that `is_repeat`.
    fn barred(&self, is_repeat: bool) -> Option<Barred> {
        let now = Instant::now();
        let barred = self.attempts.barred(&self.gateway.instances(), now);
        barred.or_else(|| {
            let is_denied = is_repeat && !self.gateway.try_repeat(&self.request.service.name);
            is_denied.then_some(Barred::Budget)
        })
    }

    /// Returns the identifier of the last event that was sent, for log lines.
    fn last_event_text(&self) -> String {
        let last = self.filter.last_id();
        last.map_or_else(|| "none".to_owned(), |last| last.to_string())
    }

    /// Records a broken run, so that its faulty engine is avoided.
    fn record_broken_run(&mut self, broken: BrokenRun) {
        if broken.may_have_run {
            self.attempts.note_run(broken.first);
        }
        if broken.is_young_loss {
            self.young_losses.push(broken.first);
        }
        if let Some(key) = broken.at_fault {
            let now = Instant::now();
            self.gateway.instances_mut().note_failed_run(key, now);
        }
    }

    /// Returns the end of a stream for which no path exists.
    fn end_without_path(&self, reason: NoPath) -> RelayEnd {
        let reason = rejection_reason(reason);
        if self.attempts.may_have_run() {
            RelayEnd::Unknown(reason)
        } else {
            RelayEnd::NotRun(reason)
        }
    }
}

/// Returns the reason of a rejection for want of a path.
pub const fn rejection_reason(reason: NoPath) -> &'static str {
    match reason {
        NoPath::NoCapacity(Shortage::FirstSlots) => NO_FIRST_SLOT,
        NoPath::NoCapacity(Shortage::ContextMemory) => NO_CONTEXT_MEMORY,
        NoPath::NoCapacity(Shortage::Both) => NEITHER_SLOT_NOR_MEMORY,
        NoPath::OnlyAcrossDomains => INCOMPLETE_DOMAINS,
        NoPath::LayerMissing(_) => LAYER_MISSING,
    }
}

/// Splits events into the part that is handed to the library now, and the rest; `None` if
/// there are none. What the library has not written yet is not accounted for.
fn split_part(mut events: Bytes) -> Option<(Bytes, Option<Bytes>)> {
    if events.len() <= MAX_PART_BYTES {
        return (!events.is_empty()).then_some((events, None));
    }
    let part = Bytes::copy_from_slice(&events.split_to(MAX_PART_BYTES));
    Some((part, Some(events)))
}
