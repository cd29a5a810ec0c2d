//! How the actor of an entry handles its messages.

use jujubewall_protocol::call::CallResult;
use jujubewall_types::error::Failure;
use kameo::message::Context;
use kameo::message::Message as Handle;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::entry::actor::EntryActor;
use crate::entry::actor::first_attempt;
use crate::entry::messages::ApplyView;
use crate::entry::messages::CallEnded;
use crate::entry::messages::CancelStream;
use crate::entry::messages::Drain;
use crate::entry::messages::HoldingsChanged;
use crate::entry::messages::IsIdle;
use crate::entry::messages::LimitReceived;
use crate::entry::messages::LimitTick;
use crate::entry::messages::MembersChanged;
use crate::entry::messages::PeerAlive;
use crate::entry::messages::PeerLeaving;
use crate::entry::messages::PeerLost;
use crate::entry::messages::RetryRoute;
use crate::entry::messages::StartCall;
use crate::entry::messages::StartStream;
use crate::entry::messages::StartedStream;
use crate::entry::messages::StreamReceived;
use crate::entry::messages::Wake;

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

impl Handle<PeerAlive> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, alive: PeerAlive, _: &mut Context<Self, ()>) {
        let actions = self.orders.on_agent_replaced(alive.peer, alive.incarnation);
        self.carry_out_orders(actions);
    }
}

impl Handle<PeerLeaving> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, leaving: PeerLeaving, context: &mut Context<Self, ()>) {
        let now = Instant::now();
        let actions = self
            .streams
            .on_peer_leaving(now, leaving.peer, leaving.grace_end);
        self.carry_out(actions, context.actor_ref());
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
        let now = Instant::now();
        let entries = self.members.live_entries();
        let entry_count = u32::try_from(entries.len()).unwrap_or(u32::MAX);
        self.chooser.set_entry_count(now, entry_count);
        self.limits.set_members(now, &entries);
        self.update_engines();
    }
}

impl Handle<HoldingsChanged> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, _: HoldingsChanged, _: &mut Context<Self, ()>) {
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

impl Handle<RetryRoute> for EntryActor {
    type Reply = ();

    async fn handle(&mut self, retry: RetryRoute, context: &mut Context<Self, ()>) {
        self.repair(&retry.0, context.actor_ref());
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
