//! The actor that carries out an entry's decisions about requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::admission::AccountLimits;
use jujubewall_routing::admission::AddressedLimitMessage;
use jujubewall_routing::admission::EntryGate;
use jujubewall_routing::admission::EntryGateSettings;
use jujubewall_routing::admission::LimitSettings;
use jujubewall_routing::choice::ChoiceRequest;
use jujubewall_routing::choice::PipelineChooser;
use jujubewall_routing::order::action::EntryOrderAction;
use jujubewall_routing::order::entry::AgentTarget;
use jujubewall_routing::order::entry::EntryOrders;
use jujubewall_routing::order::invariant::OrderInvariant;
use jujubewall_routing::order::settings::EntryOrderSettings;
use jujubewall_routing::retry::RetryBudget;
use jujubewall_routing::retry::RetryCause;
use jujubewall_routing::retry::RetrySettings;
use jujubewall_routing::stream::action::EntryAction;
use jujubewall_routing::stream::action::Observation;
use jujubewall_routing::stream::action::RerouteRequest;
use jujubewall_routing::stream::entry::EntryStreams;
use jujubewall_routing::stream::entry::StreamRequest;
use jujubewall_routing::stream::invariant::StreamInvariant;
use jujubewall_routing::stream::settings::EntrySettings;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::alarm::Alarm;
use crate::alarm::tick;
use crate::entry::calls::PendingCalls;
use crate::entry::holdings::FleetHoldings;
use crate::entry::messages::LimitTick;
use crate::entry::messages::RetryRoute;
use crate::entry::messages::StartStream;
use crate::entry::messages::StartedStream;
use crate::entry::messages::Wake;
use crate::entry::reply::StreamEvent;
use crate::entry::routes;
use crate::entry::view::View;
use crate::membership::Members;
use crate::metrics::Metrics;
use crate::metrics::observe;
use crate::network::Network;

/// What the actor is built from.
#[derive(Debug)]
pub struct EntryArgs {
    /// The network.
    pub network: Network,
    /// The name of this process.
    pub member: MemberName,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The members.
    pub members: Members,
    /// What the engines hold.
    pub holdings: FleetHoldings,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The settings of the streams.
    pub settings: EntrySettings,
    /// The settings of the choice of pipelines.
    pub chooser: PipelineChooser,
}

/// Owns the streams and calls of an entry.
pub struct EntryActor {
    pub(super) network: Network,
    pub(super) members: Members,
    pub(super) holdings: FleetHoldings,
    pub(super) metrics: Arc<Metrics>,
    pub(super) streams: EntryStreams,
    pub(super) chooser: PipelineChooser,
    pub(super) view: Arc<View>,
    pub(super) sinks: HashMap<RequestId, Sink>,
    pub(super) calls: PendingCalls,
    pub(super) orders: EntryOrders,
    pub(super) limits: AccountLimits,
    pub(super) gate: EntryGate,
    pub(super) retries: RetryBudget,
    pub(super) is_draining: bool,
    pub(super) alarm: Alarm,
}

/// Where the events of a stream go.
pub(super) struct Sink {
    pub(super) events: mpsc::UnboundedSender<StreamEvent>,
    pub(super) started_at: Instant,
    pub(super) has_token: bool,
    pub(super) refusal: Option<Failure>,
    pub(super) refused_attempts: u32,
    pub(super) choice: ChoiceRequest,
}

impl EntryActor {
    /// Starts a stream, or says at once why it is refused.
    pub(super) fn start(
        &mut self,
        start: StartStream,
        actor: &ActorRef<Self>,
    ) -> Result<StartedStream, Failure> {
        self.check_running()?;
        let now = Instant::now();
        let (mut choice, versions) = self.first_choice(&start)?;
        self.offer(now, &choice.account)?;
        let route = routes::choose_version(&mut self.chooser, now, &mut choice, versions)
            .map_err(|reason| routes::no_pipeline(&reason))?;
        let request = RequestId(rand::random());
        self.take_limits(now, &choice.account, request)?;
        self.chooser
            .on_started(now, first_attempt(request), &choice, &route);
        let stream = stream_request(request, start, &choice, route.clone());
        let events = self.add_sink(now, request, choice);
        let actions = self.streams.start(now, stream);
        self.carry_out(actions, actor);
        Ok(StartedStream {
            request,
            route,
            events,
        })
    }

    /// Checks a request against its model, and says what a pipeline has to offer.
    fn first_choice(
        &self,
        start: &StartStream,
    ) -> Result<(ChoiceRequest, SmallVec<[VersionName; 2]>), Failure> {
        let model = self.view.model(&start.model).ok_or_else(|| {
            let message = format!("no model is named {}", start.model);
            Failure::new(ErrorKind::UnknownModel, message)
        })?;
        let prompt_tokens = u32::try_from(start.prompt.len()).unwrap_or(u32::MAX);
        check_tokens("prompt", prompt_tokens, model.max_prompt_tokens)?;
        check_tokens("answer", start.max_answer_tokens, model.max_answer_tokens)?;
        let choice = ChoiceRequest {
            model: start.model.clone(),
            version: model.active_version.clone(),
            layer_count: model.layer_count,
            account: start.account.clone(),
            prefix_hash: routes::prefix_hash(&start.prompt),
            prompt_tokens,
            max_answer_tokens: start.max_answer_tokens,
            exclude: SmallVec::new(),
        };
        Ok((choice, model.versions_by_preference().collect()))
    }

    /// Notes where the events of a stream go, and returns where they arrive.
    fn add_sink(
        &mut self,
        now: Instant,
        request: RequestId,
        choice: ChoiceRequest,
    ) -> mpsc::UnboundedReceiver<StreamEvent> {
        // The number of events is bounded by the length of the answer.
        let (events, receiver) = mpsc::unbounded_channel();
        let sink = Sink {
            events,
            started_at: now,
            has_token: false,
            refusal: None,
            refused_attempts: 0,
            choice,
        };
        self.sinks.insert(request, sink);
        self.metrics.in_flight.inc();
        receiver
    }

    pub(super) fn export_invariants(&self) {
        let invariants = self.streams.invariants();
        for invariant in StreamInvariant::ALL {
            let violations = invariants.violations(invariant);
            self.metrics.set_violations(invariant.as_str(), violations);
        }
    }

    pub(super) fn update_engines(&mut self) {
        let engines = routes::engine_views(&self.view, &self.members, &self.holdings);
        self.chooser.set_engines(Instant::now(), &engines);
    }

    /// Refuses at once what the agents would refuse anyway.
    pub(super) fn offer(&mut self, now: Instant, account: &AccountName) -> Result<(), Failure> {
        let weight = self.view.account(account).map_or(1, |known| known.weight);
        self.gate.admit(now, account, weight).map_err(|refusal| {
            Failure::new(refusal.reason.kind(), "the fleet has no room now")
                .with_retry_after_ms(refusal.retry_after_ms)
        })?;
        self.retries.on_first_attempt(account);
        Ok(())
    }

    pub(super) fn take_limits(
        &mut self,
        now: Instant,
        account: &AccountName,
        request: RequestId,
    ) -> Result<(), Failure> {
        self.limits
            .try_start(now, account, request)
            .map_err(|exceeded| {
                Failure::new(exceeded.kind(), exceeded.to_string())
                    .with_retry_after_ms(exceeded.retry_after_ms)
            })
    }

    pub(super) fn send_limits(&self, messages: Vec<AddressedLimitMessage>) {
        for AddressedLimitMessage { to, message } in messages {
            if let Some(address) = self.members.address_of(&to) {
                self.network.send(address, message);
            }
        }
    }

    pub(super) fn agent(&self, address: SocketAddr) -> Result<AgentTarget, Failure> {
        let message = "the agent of the service is not known yet";
        let record = self.members.at(address);
        let record = record.ok_or_else(|| Failure::new(ErrorKind::NoUpstream, message))?;
        Ok(AgentTarget {
            address,
            incarnation: record.incarnation,
        })
    }

    pub(super) fn check_running(&self) -> Result<(), Failure> {
        if !self.is_draining {
            return Ok(());
        }
        let failure = Failure::new(ErrorKind::Draining, "this entry is shutting down");
        Err(failure.with_retry_after_ms(DRAINING_RETRY_MS))
    }

    pub(super) fn carry_out(&mut self, actions: Vec<EntryAction>, actor: &ActorRef<Self>) {
        for action in actions {
            self.carry_out_one(action, actor);
        }
        self.set_alarm();
    }

    pub(super) fn set_alarm(&self) {
        let wakeups = [self.streams.next_wakeup(), self.orders.next_wakeup()];
        self.alarm.set(wakeups.into_iter().flatten().min());
    }

    pub(super) fn carry_out_orders(&mut self, actions: Vec<EntryOrderAction>) {
        for action in actions {
            match action {
                EntryOrderAction::Send {
                    agent_address,
                    message,
                } => self.network.send(agent_address, message),
                EntryOrderAction::Answer(result) => {
                    self.limits.on_finished(Instant::now(), result.request);
                    self.calls.finish(result);
                }
            }
        }
        let invariants = self.orders.invariants();
        for invariant in OrderInvariant::ALL {
            let violations = invariants.violations(invariant);
            self.metrics.set_violations(invariant.as_str(), violations);
        }
        self.set_alarm();
    }

    pub(super) fn carry_out_one(&mut self, action: EntryAction, actor: &ActorRef<Self>) {
        match action {
            EntryAction::Send { to, message } => self.network.send(to, message),
            EntryAction::Deliver { request, tokens } => self.deliver(request, tokens),
            EntryAction::Finish { request } => {
                self.metrics.count_completed();
                self.end(request, StreamEvent::Finished);
            }
            EntryAction::Fail { request, failure } => {
                self.metrics.count_failed(failure.kind);
                self.end(request, StreamEvent::Failed(failure));
            }
            EntryAction::ChooseRoute(need) => self.need_route(need, actor),
            EntryAction::Observe(observation) => self.observe(&observation),
        }
    }

    pub(super) fn deliver(&mut self, request: RequestId, tokens: SmallVec<[Token; 4]>) {
        let Some(sink) = self.sinks.get_mut(&request) else {
            return;
        };
        if !sink.has_token {
            sink.has_token = true;
            self.gate.on_accepted(Instant::now());
            observe(&self.metrics.first_token, sink.started_at.elapsed());
        }
        self.metrics.tokens.inc_by(tokens.len() as u64);
        // The receiver cancels the stream when it goes.
        let _ = sink.events.send(StreamEvent::Tokens(tokens));
    }

    pub(super) fn end(&mut self, request: RequestId, event: StreamEvent) {
        self.limits.on_finished(Instant::now(), request);
        self.chooser
            .on_finished(Instant::now(), first_attempt(request));
        if let Some(sink) = self.sinks.remove(&request) {
            self.metrics.in_flight.dec();
            let _ = sink.events.send(event);
        }
    }

    /// Finds another route, after a refusal only within the budget of retries.
    pub(super) fn need_route(&mut self, need: Box<RerouteRequest>, actor: &ActorRef<Self>) {
        let Some(sink) = self.sinks.get_mut(&need.request) else {
            return;
        };
        let Some(refusal) = sink.refusal.take() else {
            self.repair(&need, actor);
            return;
        };
        sink.refused_attempts += 1;
        let failed = Attempt(sink.refused_attempts);
        let account = &sink.choice.account;
        let delay = self.retries.try_retry(account, failed, RetryCause::Refusal);
        if let Ok(delay) = delay {
            let retry = actor.tell(RetryRoute(need));
            retry.send_after(delay);
            return;
        }
        let now = Instant::now();
        self.gate.on_refused(now);
        let actions = self.streams.on_route(now, need.request, Err(refusal));
        self.carry_out(actions, actor);
    }

    /// Finds another route now.
    pub(super) fn repair(&mut self, need: &RerouteRequest, actor: &ActorRef<Self>) {
        let Some(sink) = self.sinks.get(&need.request) else {
            return;
        };
        let now = Instant::now();
        let choice = routes::repair_request(&sink.choice, need);
        let route = self
            .chooser
            .choose(now, &choice)
            .map(|chosen| routes::repaired_route(need, chosen))
            .map_err(|reason| routes::no_pipeline(&reason));
        if let Ok(route) = &route {
            let id = first_attempt(need.request);
            self.chooser.on_finished(now, id);
            self.chooser.on_started(now, id, &choice, route);
        }
        let actions = self.streams.on_route(now, need.request, route);
        self.carry_out(actions, actor);
    }

    pub(super) fn observe(&mut self, observation: &Observation) {
        match observation {
            Observation::TokenGap { gap, .. } => observe(&self.metrics.token_gap, *gap),
            Observation::Recovered {
                stall,
                rerun_positions,
                ..
            } => {
                observe(&self.metrics.stall, *stall);
                self.metrics
                    .rerun_positions
                    .inc_by(u64::from(*rerun_positions));
            }
            Observation::Refused {
                request,
                upstream,
                failure,
            } => self.on_refused(*request, upstream, failure),
            Observation::StageLost { .. } => {}
        }
    }

    pub(super) fn on_refused(
        &mut self,
        request: RequestId,
        upstream: &UpstreamName,
        failure: &Failure,
    ) {
        let Some(sink) = self.sinks.get_mut(&request) else {
            return;
        };
        sink.refusal = Some(failure.clone());
        let retry_after = Duration::from_millis(failure.retry_after_ms.unwrap_or_default());
        self.chooser
            .on_refused(Instant::now(), upstream, &sink.choice.account, retry_after);
    }
}

/// The time after which a caller may ask another entry.
const DRAINING_RETRY_MS: u64 = 1_000;

pub(super) fn first_attempt(request: RequestId) -> StreamId {
    StreamId {
        request,
        attempt: Attempt(0),
    }
}

fn stream_request(
    request: RequestId,
    start: StartStream,
    choice: &ChoiceRequest,
    route: Route,
) -> StreamRequest {
    StreamRequest {
        request,
        account: start.account,
        model: start.model,
        version: choice.version.clone(),
        layer_count: choice.layer_count,
        priority: start.priority,
        prompt: start.prompt,
        max_answer_tokens: start.max_answer_tokens,
        deadline: start.deadline,
        route,
    }
}

fn check_tokens(what: &str, tokens: u32, max: u32) -> Result<(), Failure> {
    if tokens <= max {
        return Ok(());
    }
    Err(Failure::new(
        ErrorKind::TooManyTokens,
        format!("the {what} has {tokens} tokens; the model allows {max}"),
    ))
}

impl Actor for EntryActor {
    type Args = EntryArgs;
    type Error = Infallible;

    async fn on_start(args: EntryArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let alarm = Alarm::start_for(&actor, || Wake);
        let orders = EntryOrders::new(
            EntryOrderSettings::default(),
            args.member.clone(),
            args.incarnation,
            args.network.own_address(),
        );
        let limits = AccountLimits::new(args.member, LimitSettings::default());
        tokio::spawn(tick(limits.tick_interval(), actor.downgrade(), || {
            LimitTick
        }));
        Ok(Self {
            streams: EntryStreams::new(args.network.own_address(), args.settings),
            network: args.network,
            members: args.members,
            holdings: args.holdings,
            metrics: args.metrics,
            chooser: args.chooser,
            view: Arc::default(),
            sinks: HashMap::new(),
            calls: PendingCalls::default(),
            orders,
            limits,
            gate: EntryGate::new(EntryGateSettings::default(), rand::random()),
            retries: RetryBudget::new(RetrySettings::default(), rand::random()),
            is_draining: false,
            alarm,
        })
    }
}
