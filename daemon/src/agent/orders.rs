//! The actor that carries out an agent's decisions about calls to plain services.

use std::sync::Arc;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::Swap;
use jujubewall_protocol::call::CallMessage;
use jujubewall_routing::order::action::AgentOrderAction;
use jujubewall_routing::order::action::ShardKey;
use jujubewall_routing::order::agent::AgentIdentity;
use jujubewall_routing::order::agent::AgentOrders;
use jujubewall_routing::order::invariant::OrderInvariant;
use jujubewall_routing::order::record::ClaimerId;
use jujubewall_routing::order::settings::AgentOrderSettings;
use jujubewall_types::config::Configuration;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::RequestId;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::ServiceResponse;
use kameo::Actor;
use kameo::actor::ActorRef;
use kameo::error::Infallible;
use kameo::message::Context;
use kameo::message::Message as Handle;
use tokio::time::Instant;

use crate::agent::actor::CallReceived;
use crate::agent::service;
use crate::agent::upstreams::Upstreams;
use crate::alarm::Alarm;
use crate::metrics::Metrics;
use crate::network::Network;

/// The number of milliseconds in a second.
const MS_PER_S: u64 = 1000;

/// What the actor is built from.
pub struct OrdersArgs {
    /// The network.
    pub network: Network,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// The key-value service, which records claimed keys.
    pub key_value: Arc<dyn KeyValue>,
    /// The incarnation of this process, in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
}

/// Owns the calls of an agent and the clients of its plain services.
pub struct OrdersActor {
    network: Network,
    metrics: Arc<Metrics>,
    key_value: Arc<dyn KeyValue>,
    orders: AgentOrders,
    upstreams: Upstreams,
    alarm: Alarm,
}

/// Another configuration is to be applied.
#[derive(Debug)]
pub struct ApplyServices(pub Arc<Configuration>);

/// Asks the actor to take no new calls.
#[derive(Debug)]
pub struct LeaveOrders;

/// Asks whether no call is left.
#[derive(Debug)]
pub struct AreOrdersIdle;

/// The alarm has rung.
struct Wake;

/// A read, write or send has ended.
enum OrderAnswer {
    Loaded(ShardKey, Result<Vec<KeyValueEntry>, PlatformError>),
    Written(ShardKey, Result<Swap, PlatformError>),
    Served(RequestId, Result<ServiceResponse, UpstreamError>),
}

impl OrdersActor {
    fn carry_out(&mut self, actions: Vec<AgentOrderAction>, actor: &ActorRef<Self>) {
        for action in actions {
            self.carry_out_one(action, actor);
        }
        self.alarm.set(self.orders.next_wakeup(Instant::now()));
    }

    fn carry_out_one(&mut self, action: AgentOrderAction, actor: &ActorRef<Self>) {
        let key_value = Arc::clone(&self.key_value);
        match action {
            AgentOrderAction::Reply {
                entry_address,
                result,
            } => self
                .network
                .send(entry_address, CallMessage::Result(result)),
            AgentOrderAction::Send { request } => self.send(request, actor),
            AgentOrderAction::LoadShard { shard, prefix } => tell_when_done(actor, async move {
                OrderAnswer::Loaded(shard, key_value.list(&prefix).await)
            }),
            AgentOrderAction::WriteShard { shard, write } => tell_when_done(actor, async move {
                let swap =
                    key_value.compare_and_swap(&write.key, write.expected, write.value, None);
                OrderAnswer::Written(shard, swap.await)
            }),
            AgentOrderAction::DeleteSegment { key, expected } => {
                // A segment that stays is only garbage.
                tokio::spawn(async move { key_value.delete(&key, expected).await });
            }
        }
    }

    fn send(&mut self, request: RequestId, actor: &ActorRef<Self>) {
        let Some(call) = self.orders.begin_send(Instant::now(), request) else {
            return;
        };
        let service = self.upstreams.service(&call.upstream);
        tell_when_done(actor, async move {
            OrderAnswer::Served(request, service::send_call(service, call).await)
        });
    }

    fn export_invariants(&self) {
        let invariants = self.orders.invariants();
        for invariant in OrderInvariant::ALL {
            let violations = invariants.violations(invariant);
            self.metrics.set_violations(invariant.as_str(), violations);
        }
    }
}

fn tell_when_done(
    actor: &ActorRef<OrdersActor>,
    call: impl Future<Output = OrderAnswer> + Send + 'static,
) {
    let actor = actor.clone();
    tokio::spawn(async move {
        let answer = call.await;
        let _ = actor.tell(answer).send().await;
    });
}

impl Actor for OrdersActor {
    type Args = OrdersArgs;
    type Error = Infallible;

    async fn on_start(args: OrdersArgs, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let alarm = Alarm::start_for(&actor, || Wake);
        let identity = AgentIdentity {
            incarnation: args.incarnation,
            claimer: ClaimerId(rand::random()),
            started_at_unix_s: args.incarnation.0 / MS_PER_S,
        };
        let settings = AgentOrderSettings::default();
        Ok(Self {
            network: args.network,
            metrics: args.metrics,
            key_value: args.key_value,
            orders: AgentOrders::new(settings, identity, Instant::now()),
            upstreams: Upstreams::default(),
            alarm,
        })
    }
}

impl Handle<CallReceived> for OrdersActor {
    type Reply = ();

    async fn handle(&mut self, received: CallReceived, context: &mut Context<Self, ()>) {
        let actions = self.orders.on_message(Instant::now(), received.0);
        self.carry_out(actions, context.actor_ref());
    }
}

impl Handle<OrderAnswer> for OrdersActor {
    type Reply = ();

    async fn handle(&mut self, answer: OrderAnswer, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = match answer {
            OrderAnswer::Loaded(shard, result) => self.orders.on_shard_loaded(now, shard, result),
            OrderAnswer::Written(shard, result) => self.orders.on_shard_written(now, shard, result),
            OrderAnswer::Served(request, result) => {
                self.orders.on_service_result(now, request, result)
            }
        };
        self.carry_out(actions, context.actor_ref());
        self.export_invariants();
    }
}

impl Handle<ApplyServices> for OrdersActor {
    type Reply = ();

    async fn handle(&mut self, apply: ApplyServices, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        self.upstreams
            .apply(&apply.0, self.network.own_address(), now);
    }
}

impl Handle<LeaveOrders> for OrdersActor {
    type Reply = ();

    async fn handle(&mut self, _: LeaveOrders, _: &mut Context<Self, ()>) {
        self.orders.leave();
    }
}

impl Handle<AreOrdersIdle> for OrdersActor {
    type Reply = bool;

    async fn handle(&mut self, _: AreOrdersIdle, _: &mut Context<Self, bool>) -> bool {
        self.orders.is_idle()
    }
}

impl Handle<Wake> for OrdersActor {
    type Reply = ();

    async fn handle(&mut self, _: Wake, context: &mut Context<Self, ()>) {
        let actions = self.orders.on_tick(Instant::now());
        self.carry_out(actions, context.actor_ref());
    }
}
