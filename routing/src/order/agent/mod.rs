//! The state machine of an agent for the calls that only it may send.

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

/// The identity of an agent process, which does not change while it runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentIdentity {
    /// The incarnation with which the process started.
    pub incarnation: Incarnation,
    /// A random number that distinguishes this process from all others.
    pub claimer: ClaimerId,
    /// The time at which the process started, in seconds since the Unix epoch.
    pub started_at_unix_s: u64,
}

/// The scheduled eviction of an ended call.
#[derive(Clone, Copy, Debug)]
struct Expiry {
    at: Instant,
    call: CallKey,
}

/// The calls of one agent process.
///
/// This state machine performs no I/O. Its driver passes in each event with
/// the current instant, executes the returned actions, and calls
/// [`Self::on_tick`] when [`Self::next_wakeup`] is due.
#[derive(Debug)]
pub struct AgentOrders {
    settings: AgentOrderSettings,
    identity: AgentIdentity,
    started_at: Instant,
    is_leaving: bool,
    calls: SlotMap<CallKey, AgentCall>,
    by_request: HashMap<RequestId, CallKey>,
    timers: Timers<CallKey>,
    /// The number of calls in [`CallPhase::Claiming`].
    claiming_count: usize,
    /// The scheduled evictions, earliest first.
    expiries: VecDeque<Expiry>,
    origins: OriginWindows,
    ledger: KeyLedger,
    invariants: OrderInvariants,
    actions: Vec<AgentOrderAction>,
}

impl AgentOrders {
    /// Creates the state machine of a process that starts at `now`.
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
            claiming_count: 0,
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
            CallMessage::Result(_) => log::debug!("ignored a call result sent to an agent"),
        }
        self.finish_event(now)
    }

    /// Releases a call for sending; called right before the driver sends it.
    ///
    /// The driver must send a returned call exactly once, and pass the result
    /// to [`Self::on_service_result`]. Returns `None` if the deadline has
    /// passed or the call was cancelled since the [`AgentOrderAction::Send`],
    /// for example because the process was paused.
    pub fn begin_send(&mut self, now: Instant, request: RequestId) -> Option<ServiceCall> {
        let key = *self.by_request.get(&request)?;
        let call = self.calls.get_mut(key)?;
        if now >= call.deadline {
            // The next tick ends the call as not run.
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

    /// Handles the result of a call that [`Self::begin_send`] returned.
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

    /// Refuses new calls from now on; calls already accepted continue.
    pub fn leave(&mut self) {
        self.is_leaving = true;
    }

    /// Handles all timers that are due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<AgentOrderAction> {
        self.finish_event(now)
    }

    /// Returns the instant at which the next tick is needed, if any.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        let deadline = self.timers.next();
        let expiry = self.expiries.front().map(|expiry| expiry.at);
        let ledger = self.ledger.next_wakeup(now);
        [deadline, expiry, ledger].into_iter().flatten().min()
    }

    /// Returns whether every call has ended and the ledger has nothing left to write.
    pub fn is_idle(&self) -> bool {
        let is_ended = |call: &AgentCall| matches!(call.phase, CallPhase::Ended(_));
        self.ledger.is_idle() && self.calls.values().all(is_ended)
    }

    /// Returns the counters.
    pub const fn counters(&self) -> AgentOrderCounters {
        self.ledger.counters
    }

    /// Returns the numbers of invariant violations.
    pub const fn invariants(&self) -> OrderInvariants {
        self.invariants
    }

    /// Ends expired calls, starts due reads and writes, and returns the pending actions.
    fn finish_event(&mut self, now: Instant) -> Vec<AgentOrderAction> {
        self.expire_unsent(now);
        self.handle_ledger_events(now);
        self.refuse_in_outage(now);
        let unix_s = self.unix_s(now);
        self.ledger.on_tick(now, unix_s, &mut self.actions);
        self.handle_ledger_events(now);
        self.evict_expired(now);
        std::mem::take(&mut self.actions)
    }

    /// Converts an instant to seconds since the Unix epoch.
    fn unix_s(&self, now: Instant) -> u64 {
        let uptime_s = now.duration_since(self.started_at).as_secs();
        self.identity.started_at_unix_s + uptime_s
    }

    /// Ends the unsent calls whose deadline has passed.
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

/// Returns whether the key of a call must be claimed before the call may be sent.
fn needs_claim(call: &ServiceCall) -> bool {
    !call.idempotent && call.idempotency_key.is_some()
}
