//! The actor that carries out an entry's decisions about requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::limit::LimitMessage;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_protocol::stream::Token;
use jujubewall_routing::admission::AccountLimits;
use jujubewall_routing::admission::AddressedLimitMessage;
use jujubewall_routing::admission::LimitSettings;
use jujubewall_routing::choice::ChoiceRequest;
use jujubewall_routing::choice::PipelineChooser;
use jujubewall_routing::order::action::EntryOrderAction;
use jujubewall_routing::order::entry::AgentTarget;
use jujubewall_routing::order::entry::EntryOrders;
use jujubewall_routing::order::entry::NewCall;
use jujubewall_routing::order::invariant::OrderInvariant;
use jujubewall_routing::order::settings::EntryOrderSettings;
use jujubewall_routing::stream::action::EntryAction;
use jujubewall_routing::stream::action::Observation;
use jujubewall_routing::stream::action::RouteNeed;
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
use jujubewall_types::id::ModelName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::priority::Priority;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::actor::WeakActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use smallvec::SmallVec;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::alarm::Alarm;
use crate::entry::calls::PendingCalls;
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
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The settings of the streams.
    pub settings: EntrySettings,
    /// The settings of the choice of pipelines.
    pub chooser: PipelineChooser,
}

/// Owns the streams and calls of an entry.
pub struct EntryActor {
    network: Network,
    members: Members,
    metrics: Arc<Metrics>,
    streams: EntryStreams,
    chooser: PipelineChooser,
    view: Arc<View>,
    sinks: HashMap<RequestId, Sink>,
    calls: PendingCalls,
    orders: EntryOrders,
    limits: AccountLimits,
    is_draining: bool,
    alarm: Alarm,
}

/// Where the events of a stream go.
struct Sink {
    events: mpsc::UnboundedSender<StreamEvent>,
    started_at: Instant,
    has_token: bool,
    choice: ChoiceRequest,
}

/// A caller's request for an answer.
#[derive(Debug)]
pub struct StartStream {
    /// The account that pays.
    pub account: AccountName,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Vec<Token>,
    /// The number of tokens to generate.
    pub max_answer_tokens: u32,
    /// The priority.
    pub priority: Priority,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// A stream that has been started.
#[derive(Debug)]
pub struct StartedStream {
    /// The request.
    pub request: RequestId,
    /// The pipeline that was chosen first.
    pub route: Route,
    /// What happens to it.
    pub events: mpsc::UnboundedReceiver<StreamEvent>,
}

/// The caller of a stream has gone.
#[derive(Debug)]
pub struct CancelStream {
    /// The request.
    pub request: RequestId,
}

/// A message about a stream has arrived.
#[derive(Debug)]
pub struct StreamReceived {
    /// The address at which the sender accepts connections.
    pub from: SocketAddr,
    /// The message.
    pub message: StreamMessage,
}

/// A call that an agent is to run.
#[derive(Debug)]
pub struct StartCall {
    /// The address of the agent.
    pub agent_address: SocketAddr,
    /// The call.
    pub call: Box<NewCall>,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// The result of a call has arrived.
#[derive(Debug)]
pub struct CallEnded(pub CallResult);

/// A peer does not answer over a new connection either.
#[derive(Debug)]
pub struct PeerLost(pub SocketAddr);

/// Another configuration is to be applied.
#[derive(Debug)]
pub struct ApplyView(pub Arc<View>);

/// A message about the limits of accounts has arrived.
#[derive(Debug)]
pub struct LimitReceived {
    /// The sender.
    pub from: MemberName,
    /// The message.
    pub message: LimitMessage,
}

/// The period of the sharing of limits has passed.
struct LimitTick;

/// The states of the agents have changed.
#[derive(Debug)]
pub struct MembersChanged;

/// Asks the entry to take no new work.
#[derive(Debug)]
pub struct Drain;

/// Asks whether nothing is in progress.
#[derive(Debug)]
pub struct IsIdle;

/// The alarm has rung.
struct Wake;

impl EntryActor {
    fn start(
        &mut self,
        start: StartStream,
        actor: &ActorRef<Self>,
    ) -> Result<StartedStream, Failure> {
        self.check_running()?;
        let now = Instant::now();
        let model = self.view.model(&start.model).ok_or_else(|| {
            Failure::new(
                ErrorKind::UnknownModel,
                format!("no model is named {}", start.model),
            )
        })?;
        let prompt_tokens = u32::try_from(start.prompt.len()).unwrap_or(u32::MAX);
        check_tokens("prompt", prompt_tokens, model.max_prompt_tokens)?;
        check_tokens("answer", start.max_answer_tokens, model.max_answer_tokens)?;
        let choice = ChoiceRequest {
            model: start.model.clone(),
            version: model.active_version.clone(),
            layer_count: model.layer_count,
            account: start.account.clone(),
            prefix_hash: None,
            prompt_tokens,
            max_answer_tokens: start.max_answer_tokens,
            exclude: SmallVec::new(),
        };
        let route = self
            .chooser
            .choose(now, &choice)
            .map_err(|reason| routes::no_pipeline(&reason))?;
        let request = RequestId(rand::random());
        self.take_limits(now, &choice.account, request)?;
        self.chooser
            .on_started(now, first_attempt(request), &choice, &route);
        let (events, receiver) = mpsc::unbounded_channel();
        let stream = StreamRequest {
            request,
            account: start.account,
            model: start.model,
            version: choice.version.clone(),
            layer_count: choice.layer_count,
            priority: start.priority,
            prompt: start.prompt,
            max_answer_tokens: start.max_answer_tokens,
            deadline: start.deadline,
            route: route.clone(),
        };
        let sink = Sink {
            events,
            started_at: now,
            has_token: false,
            choice,
        };
        self.sinks.insert(request, sink);
        self.metrics.in_flight.inc();
        let actions = self.streams.start(now, stream);
        self.carry_out(actions, actor);
        Ok(StartedStream {
            request,
            route,
            events: receiver,
        })
    }

    fn export_invariants(&self) {
        let invariants = self.streams.invariants();
        for invariant in StreamInvariant::ALL {
            let violations = invariants.violations(invariant);
            self.metrics.set_violations(invariant.as_str(), violations);
        }
    }

    fn update_engines(&mut self) {
        let engines = routes::engine_views(&self.view, &self.members);
        self.chooser.set_engines(Instant::now(), &engines);
    }

    fn take_limits(
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

    fn send_limits(&self, messages: Vec<AddressedLimitMessage>) {
        for AddressedLimitMessage { to, message } in messages {
            if let Some(address) = self.members.address_of(&to) {
                self.network.send(address, message);
            }
        }
    }

    fn agent(&self, address: SocketAddr) -> Result<AgentTarget, Failure> {
        let message = "the agent of the service is not known yet";
        let record = self.members.at(address);
        let record = record.ok_or_else(|| Failure::new(ErrorKind::NoUpstream, message))?;
        Ok(AgentTarget {
            address,
            incarnation: record.incarnation,
        })
    }

    fn check_running(&self) -> Result<(), Failure> {
        if !self.is_draining {
            return Ok(());
        }
        let failure = Failure::new(ErrorKind::Draining, "this entry is shutting down");
        Err(failure.with_retry_after_ms(DRAINING_RETRY_MS))
    }

    fn carry_out(&mut self, actions: Vec<EntryAction>, actor: &ActorRef<Self>) {
        for action in actions {
            self.carry_out_one(action, actor);
        }
        self.set_alarm();
    }

    fn set_alarm(&self) {
        let wakeups = [self.streams.next_wakeup(), self.orders.next_wakeup()];
        self.alarm.set(wakeups.into_iter().flatten().min());
    }

    fn carry_out_orders(&mut self, actions: Vec<EntryOrderAction>) {
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

    fn carry_out_one(&mut self, action: EntryAction, actor: &ActorRef<Self>) {
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
            EntryAction::NeedRoute(need) => self.repair(&need, actor),
            EntryAction::Observe(observation) => self.observe(&observation),
        }
    }

    fn deliver(&mut self, request: RequestId, tokens: SmallVec<[Token; 4]>) {
        let Some(sink) = self.sinks.get_mut(&request) else {
            return;
        };
        if !sink.has_token {
            sink.has_token = true;
            observe(&self.metrics.first_token, sink.started_at.elapsed());
        }
        self.metrics.tokens.inc_by(tokens.len() as u64);
        // The receiver cancels the stream when it goes.
        let _ = sink.events.send(StreamEvent::Tokens(tokens));
    }

    fn end(&mut self, request: RequestId, event: StreamEvent) {
        self.limits.on_finished(Instant::now(), request);
        self.chooser
            .on_finished(Instant::now(), first_attempt(request));
        if let Some(sink) = self.sinks.remove(&request) {
            self.metrics.in_flight.dec();
            let _ = sink.events.send(event);
        }
    }

    fn repair(&mut self, need: &RouteNeed, actor: &ActorRef<Self>) {
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

    fn observe(&mut self, observation: &Observation) {
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

    fn on_refused(&mut self, request: RequestId, upstream: &UpstreamName, failure: &Failure) {
        let Some(sink) = self.sinks.get(&request) else {
            return;
        };
        let retry_after = Duration::from_millis(failure.retry_after_ms.unwrap_or_default());
        self.chooser
            .on_refused(Instant::now(), upstream, &sink.choice.account, retry_after);
    }
}

/// The time after which a caller may ask another entry.
const DRAINING_RETRY_MS: u64 = 1_000;

fn first_attempt(request: RequestId) -> StreamId {
    StreamId {
        request,
        attempt: Attempt(0),
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
        let target = actor.downgrade();
        let alarm = Alarm::start(move || {
            let target = target.upgrade();
            async move {
                match target {
                    Some(target) => target.tell(Wake).send().await.is_ok(),
                    None => false,
                }
            }
        });
        let orders = EntryOrders::new(
            EntryOrderSettings::default(),
            args.member.clone(),
            args.incarnation,
            args.network.own_address(),
        );
        let limits = AccountLimits::new(args.member, LimitSettings::default());
        tokio::spawn(tick_limits(limits.tick_interval(), actor.downgrade()));
        Ok(Self {
            streams: EntryStreams::new(args.network.own_address(), args.settings),
            network: args.network,
            members: args.members,
            metrics: args.metrics,
            chooser: args.chooser,
            view: Arc::default(),
            sinks: HashMap::new(),
            calls: PendingCalls::default(),
            orders,
            limits,
            is_draining: false,
            alarm,
        })
    }
}

impl Handle<StartStream> for EntryActor {
    type Reply = Result<StartedStream, Failure>;

    async fn handle(
        &mut self,
        start: StartStream,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let actor = context.actor_ref().clone();
        self.start(start, &actor)
    }
}

impl Handle<CancelStream> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, cancel: CancelStream, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        self.limits.on_finished(now, cancel.request);
        self.chooser.on_finished(now, first_attempt(cancel.request));
        if self.sinks.remove(&cancel.request).is_some() {
            self.metrics.in_flight.dec();
        }
        let actions = self.streams.cancel(now, cancel.request);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<StreamReceived> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, received: StreamReceived, context: &mut Context<Self, ()>) {
        let actions = self
            .streams
            .on_message(Instant::now(), received.from, received.message);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<StartCall> for EntryActor {
    type Reply = Result<oneshot::Receiver<CallResult>, Failure>;

    async fn handle(
        &mut self,
        start: StartCall,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.check_running()?;
        let now = Instant::now();
        let agent = self.agent(start.agent_address)?;
        self.take_limits(now, &start.call.account, start.call.request)?;
        let receiver = self.calls.start(start.call.request);
        let actions = self.orders.start(now, agent, *start.call, start.deadline);
        self.carry_out_orders(actions);
        Ok(receiver)
    }
}

impl Handle<CallEnded> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, ended: CallEnded, _: &mut Context<Self, ()>) {
        let actions = self.orders.on_result(ended.0);
        self.carry_out_orders(actions);
    }
}

impl Handle<PeerLost> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, lost: PeerLost, context: &mut Context<Self, ()>) {
        let actions = self.streams.on_peer_lost(Instant::now(), lost.0);
        self.carry_out(actions, context.actor_ref());
        let actions = self.orders.on_connection_lost(lost.0);
        self.carry_out_orders(actions);
    }
}

impl Handle<ApplyView> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, apply: ApplyView, _: &mut Context<Self, ()>) {
        self.view = apply.0;
        self.limits
            .set_accounts(Instant::now(), &self.view.account_limits());
        self.update_engines();
    }
}

impl Handle<MembersChanged> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: MembersChanged, _: &mut Context<Self, ()>) {
        self.limits
            .set_members(Instant::now(), &self.members.live_entries());
        self.update_engines();
    }
}

impl Handle<Drain> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: Drain, _: &mut Context<Self, ()>) {
        self.is_draining = true;
    }
}

impl Handle<IsIdle> for EntryActor {
    type Reply = bool;

    async fn handle(&mut self, _: IsIdle, _: &mut Context<Self, bool>) -> bool {
        self.sinks.is_empty() && self.calls.is_empty()
    }
}

impl Handle<Wake> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: Wake, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self.streams.on_tick(now);
        self.carry_out(actions, context.actor_ref());
        let actions = self.orders.on_tick(now);
        self.carry_out_orders(actions);
    }
}

impl Handle<LimitReceived> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, received: LimitReceived, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let messages = self
            .limits
            .on_message(now, &received.from, received.message);
        self.send_limits(messages);
    }
}

impl Handle<LimitTick> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: LimitTick, _: &mut Context<Self, ()>) {
        let messages = self.limits.on_tick(Instant::now());
        self.send_limits(messages);
        self.export_invariants();
    }
}

async fn tick_limits(period: Duration, actor: WeakActorRef<EntryActor>) {
    loop {
        tokio::time::sleep(period).await;
        let Some(actor) = actor.upgrade() else {
            return;
        };
        if actor.tell(LimitTick).send().await.is_err() {
            return;
        }
    }
}
