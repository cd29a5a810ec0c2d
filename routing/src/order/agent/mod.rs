//! An agent's decisions about the calls that it alone may send.

mod call;
mod claim;
mod end;
mod receive;

use std::collections::HashMap;
use std::collections::VecDeque;

use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::Swap;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::RequestId;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::ServiceResponse;
use slotmap::SlotMap;
use tokio::time::Instant;

use self::call::AgentCall;
use self::call::CallKey;
use self::call::CallPhase;
use crate::order::action::AgentOrderAction;
use crate::order::action::ShardKey;
use crate::order::counters::AgentOrderCounters;
use crate::order::invariant::OrderInvariant;
use crate::order::invariant::OrderInvariants;
use crate::order::ledger::KeyLedger;
use crate::order::origin::OriginWindows;
use crate::order::record::ClaimerId;
use crate::order::settings::AgentOrderSettings;
use crate::timer::Timers;

/// What an agent's process is, fixed for its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentIdentity {
    /// The incarnation with which the process started.
    pub incarnation: Incarnation,
    /// A random number that no other process has.
    pub claimer: ClaimerId,
    /// The time at which the process started, in seconds since the Unix epoch.
    pub started_at_unix_s: u64,
}

/// When the result of an ended call is forgotten.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    at: Instant,
    call: CallKey,
}

/// All calls of one agent's process.
///
/// The shell passes every event in with the current instant and carries out
/// the actions that are returned. It calls [`Self::on_tick`] when
/// [`Self::next_wakeup`] is due.
#[derive(Debug)]
pub struct AgentOrders {
    settings: AgentOrderSettings,
    identity: AgentIdentity,
    started_at: Instant,
    is_leaving: bool,
    calls: SlotMap<CallKey, AgentCall>,
    by_request: HashMap<RequestId, CallKey>,
    timers: Timers<CallKey>,
    claiming: usize,
    expiries: VecDeque<Expiry>,
    origins: OriginWindows,
    ledger: KeyLedger,
    invariants: OrderInvariants,
    actions: Vec<AgentOrderAction>,
}

impl AgentOrders {
    /// Creates the decisions of a process that starts at `now`.
    pub fn new(settings: AgentOrderSettings, identity: AgentIdentity, now: Instant) -> Self {
        Self {
            ledger: KeyLedger::new(settings.clone(), now),
            settings,
            identity,
            started_at: now,
            is_leaving: false,
            calls: SlotMap::with_key(),
            by_request: HashMap::new(),
            timers: Timers::new(),
            claiming: 0,
            expiries: VecDeque::new(),
            origins: OriginWindows::default(),
            invariants: OrderInvariants::default(),
            actions: Vec::new(),
        }
    }

    /// Handles a message from an entry.
    pub fn on_message(&mut self, now: Instant, message: CallMessage) -> Vec<AgentOrderAction> {
        match message {
            CallMessage::Call(call) => self.receive_call(now, *call),
            CallMessage::Cancel(cancel) => self.receive_cancel(now, &cancel),
            CallMessage::Result(_) => log::debug!("an agent was sent a result"),
        }
        self.finish_event(now)
    }

    /// Begins to send a call, right before the shell sends it.
    ///
    /// The shell must send a call that it is given, once, and pass the result
    /// to [`Self::on_service_result`]. A process that was paused since the
    /// [`AgentOrderAction::Send`] finds the deadline passed or the call
    /// cancelled here, and gets none.
    pub fn begin_send(&mut self, now: Instant, request: RequestId) -> Option<ServiceCall> {
        let key = *self.by_request.get(&request)?;
        let call = self.calls.get_mut(key)?;
        if now >= call.deadline {
            // The next tick ends the call.
            return None;
        }
        let service_call = call.begin()?;
        let is_claimed = call.claim.as_ref().is_some_and(|claim| claim.is_granted);
        let may_begin = is_claimed || !needs_claim(&service_call);
        self.invariants
            .check(OrderInvariant::BegunWithClaim, may_begin);
        self.ledger.counters.begun += 1;
        Some(service_call)
    }

    /// Handles the result of a call that was begun.
    pub fn on_service_result(
        &mut self,
        now: Instant,
        request: RequestId,
        result: Result<ServiceResponse, UpstreamError>,
    ) -> Vec<AgentOrderAction> {
        self.end_begun(now, request, result);
        self.finish_event(now)
    }

    /// Handles the result of [`AgentOrderAction::LoadShard`].
    pub fn on_shard_loaded(
        &mut self,
        now: Instant,
        shard: ShardKey,
        result: Result<Vec<KeyValueEntry>, PlatformError>,
    ) -> Vec<AgentOrderAction> {
        self.ledger.on_loaded(now, shard, result);
        self.finish_event(now)
    }

    /// Handles the result of [`AgentOrderAction::WriteShard`].
    pub fn on_shard_written(
        &mut self,
        now: Instant,
        shard: ShardKey,
        result: Result<Swap, PlatformError>,
    ) -> Vec<AgentOrderAction> {
        let actions = &mut self.actions;
        self.ledger.on_written(now, shard, result, actions);
        self.finish_event(now)
    }

    /// Takes no new calls from now on; those that are known go on.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Handles what is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AgentOrderAction> {
        self.finish_event(now)
    }

    /// Returns the instant at which a tick has something to do.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let deadline = self.timers.next();
        let expiry = self.expiries.front().map(|expiry| expiry.at);
        let ledger = self.ledger.next_wakeup(now);
        [deadline, expiry, ledger].into_iter().flatten().min()
    }

    /// Returns whether every call has ended and all that is to be recorded is recorded.
    pub fn is_idle(&self) -> bool {
        let is_ended = |call: &AgentCall| matches!(call.phase, CallPhase::Ended(_));
        self.ledger.is_idle() && self.calls.values().all(is_ended)
    }

    /// Returns the counts.
    pub const fn counters(&self) -> AgentOrderCounters {
        self.ledger.counters
    }

    /// Returns the violations of invariants.
    pub const fn invariants(&self) -> OrderInvariants {
        self.invariants
    }

    /// Ends what has expired, starts what is due and returns the actions.
    fn finish_event(&mut self, now: Instant) -> Vec<AgentOrderAction> {
        self.expire_unsent(now);
        self.handle_ledger_events(now);
        self.refuse_in_outage(now);
        let unix_s = self.unix_s(now);
        self.ledger.on_tick(now, unix_s, &mut self.actions);
        self.handle_ledger_events(now);
        self.forget_ended(now);
        std::mem::take(&mut self.actions)
    }

    fn unix_s(&self, now: Instant) -> u64 {
        let up = now.duration_since(self.started_at).as_secs();
        self.identity.started_at_unix_s + up
    }

    fn expire_unsent(&mut self, now: Instant) {
        while let Some(key) = self.timers.pop_due(now) {
            let Some(call) = self.calls.get_mut(key) else {
                continue;
            };
            call.timer.clear();
            if !call.is_unsent() {
                continue;
            }
            let message = "the deadline passed before the call was sent";
            self.end_unsent(now, key, ErrorKind::DeadlineUnreachable, message);
        }
    }
}

/// Returns whether a call may be sent only after its key has been claimed.
fn needs_claim(call: &ServiceCall) -> bool {
    !call.idempotent && call.idempotency_key.is_some()
}
