//! The state machine of an entry for the calls of its callers.

use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use jujubewall_protocol::call::CallMessage;
use jujubewall_protocol::call::CallOrigin;
use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::CancelCall;
use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::outcome::Outcome;
use slotmap::SlotMap;
use slotmap::new_key_type;
use smol_str::SmolStr;
use tokio::time::Instant;

use crate::order::action::EntryOrderAction;
use crate::order::counters::EntryOrderCounters;
use crate::order::invariant::OrderInvariant;
use crate::order::invariant::OrderInvariants;
use crate::order::outcome::failed;
use crate::order::settings::EntryOrderSettings;
use crate::timer::TimerSlot;
use crate::timer::Timers;

new_key_type! {
    /// Identifies a [`PendingCall`].
    struct PendingCallKey;
}

/// A call as the caller submitted it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewCall {
    /// The ID of the request, unique among all calls.
    pub request: RequestId,
    /// The client account that is billed.
    pub account: AccountName,
    /// The service to call.
    pub service: ServiceName,
    /// The upstream that executes the call.
    pub upstream: UpstreamName,
    /// The caller's idempotency key, if it supplied one.
    pub idempotency_key: Option<SmolStr>,
    /// Whether the service allows its calls to be repeated.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query of the URL at the service.
    pub path: SmolStr,
    /// The media type of the body, if the caller named one.
    pub content_type: Option<SmolStr>,
    /// The request body.
    pub body: Bytes,
}

/// The agent process that may send a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentTarget {
    /// The address at which the agent accepts connections.
    pub address: SocketAddr,
    /// The incarnation of the agent as last seen by the entry.
    pub incarnation: Incarnation,
}

/// A call whose caller has not been answered yet.
#[derive(Debug)]
struct PendingCall {
    cancel: CancelCall,
    agent_address: SocketAddr,
    deadline: Instant,
    timer: TimerSlot,
}

/// The pending calls of one entry process.
///
/// Each caller is answered once: with the agent's result, or with `unknown` at
/// the deadline. Shortly before the deadline the entry sends the agent a
/// cancellation, which often allows it to answer `not_run` instead.
#[derive(Debug)]
pub struct EntryOrders {
    settings: EntryOrderSettings,
    entry: MemberName,
    incarnation: Incarnation,
    own_address: SocketAddr,
    next_sequence: u64,
    calls: SlotMap<PendingCallKey, PendingCall>,
    by_request: HashMap<RequestId, PendingCallKey>,
    timers: Timers<PendingCallKey>,
    counters: EntryOrderCounters,
    invariants: OrderInvariants,
}

impl EntryOrders {
    /// Creates the state machine of an entry process without pending calls.
    pub fn new(
        settings: EntryOrderSettings,
        entry: MemberName,
        incarnation: Incarnation,
        own_address: SocketAddr,
    ) -> Self {
        Self {
            settings,
            entry,
            incarnation,
            own_address,
            next_sequence: 0,
            calls: SlotMap::with_key(),
            by_request: HashMap::new(),
            timers: Timers::new(),
            counters: EntryOrderCounters::default(),
            invariants: OrderInvariants::default(),
        }
    }

    /// Sends a call to its agent, and answers the caller by `deadline`.
    pub fn start(
        &mut self,
        now: Instant,
        agent: AgentTarget,
        call: NewCall,
        deadline: Instant,
    ) -> Vec<EntryOrderAction> {
        let call = self.build_call(now, agent, call, deadline);
        let agent_address = agent.address;
        let is_new = !self.by_request.contains_key(&call.request);
        self.invariants.check(OrderInvariant::AnsweredOnce, is_new);
        let cancel = CancelCall {
            request: call.request,
            origin: call.origin.clone(),
            entry_address: self.own_address,
            agent_incarnation: call.agent_incarnation,
        };
        let key = self.calls.insert(PendingCall {
            cancel,
            agent_address,
            deadline,
            timer: TimerSlot::default(),
        });
        self.by_request.insert(call.request, key);
        let cancel_at = deadline.checked_sub(self.settings.cancel_margin);
        self.arm_timer(key, cancel_at.unwrap_or(now).max(now));
        let message = CallMessage::Call(Box::new(call));
        vec![EntryOrderAction::Send {
            agent_address,
            message,
        }]
    }

    /// Handles a result from an agent; it is dropped if the caller has been answered.
    pub fn on_result(&mut self, result: CallResult) -> Vec<EntryOrderAction> {
        if !self.by_request.contains_key(&result.request) {
            self.counters.late_results += 1;
            return Vec::new();
        }
        self.answer(result).into_iter().collect()
    }

    /// Handles a call that was never passed to the transport.
    pub fn on_not_sent(&mut self, request: RequestId) -> Vec<EntryOrderAction> {
        let message = "the agent could not be reached";
        let result = failed(request, ErrorKind::NoUpstream, message);
        self.answer(result).into_iter().collect()
    }

    /// Handles a connection to an agent that ended or stopped responding.
    ///
    /// Cancels the pending calls of that agent over a new connection, which
    /// also reveals whether they arrived.
    pub fn on_connection_lost(&mut self, agent_address: SocketAddr) -> Vec<EntryOrderAction> {
        let calls = self.calls.values();
        let lost = calls.filter(|call| call.agent_address == agent_address);
        let actions: Vec<_> = lost.map(PendingCall::cancel_action).collect();
        self.counters.cancels += actions.len() as u64;
        actions
    }

    /// Handles an agent whose incarnation is higher than that of some pending calls.
    ///
    /// A running process can raise its incarnation, so the calls are not ended
    /// here. They are cancelled: the same process answers with what it knows,
    /// and a process that replaced it answers `unknown`.
    pub fn on_agent_replaced(
        &mut self,
        agent_address: SocketAddr,
        incarnation: Incarnation,
    ) -> Vec<EntryOrderAction> {
        let is_stale = |call: &&PendingCall| {
            call.agent_address == agent_address && call.cancel.agent_incarnation < incarnation
        };
        let stale = self.calls.values().filter(is_stale);
        let actions: Vec<_> = stale.map(PendingCall::cancel_action).collect();
        self.counters.cancels += actions.len() as u64;
        actions
    }

    /// Handles all timers that are due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<EntryOrderAction> {
        let mut actions = Vec::new();
        while let Some(key) = self.timers.pop_due(now) {
            actions.extend(self.on_timer(now, key));
        }
        actions
    }

    /// Returns the instant of the next timer, or `None` if no call is pending.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns whether no call is pending.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the counters.
    pub const fn counters(&self) -> EntryOrderCounters {
        self.counters
    }

    /// Returns the numbers of invariant violations.
    pub const fn invariants(&self) -> OrderInvariants {
        self.invariants
    }

    fn next_origin(&mut self) -> CallOrigin {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        CallOrigin {
            entry: self.entry.clone(),
            incarnation: self.incarnation,
            sequence,
        }
    }

    fn build_call(
        &mut self,
        now: Instant,
        agent: AgentTarget,
        call: NewCall,
        deadline: Instant,
    ) -> ServiceCall {
        let remaining_ms = deadline.duration_since(now).as_millis();
        ServiceCall {
            request: call.request,
            origin: self.next_origin(),
            entry_address: self.own_address,
            agent_incarnation: agent.incarnation,
            account: call.account,
            service: call.service,
            upstream: call.upstream,
            idempotency_key: call.idempotency_key,
            idempotent: call.idempotent,
            method: call.method,
            path: call.path,
            content_type: call.content_type,
            body: call.body,
            deadline_ms: u64::try_from(remaining_ms).unwrap_or(u64::MAX),
        }
    }

    fn on_timer(&mut self, now: Instant, key: PendingCallKey) -> Option<EntryOrderAction> {
        let call = self.calls.get_mut(key)?;
        call.timer.clear();
        if now >= call.deadline {
            let message = "no result arrived before the deadline";
            let request = call.cancel.request;
            return self.answer(failed(request, ErrorKind::OutcomeUnknown, message));
        }
        let next = (now + self.settings.cancel_interval).min(call.deadline);
        let action = call.cancel_action();
        self.counters.cancels += 1;
        self.arm_timer(key, next);
        Some(action)
    }

    fn arm_timer(&mut self, key: PendingCallKey, at: Instant) {
        if let Some(call) = self.calls.get_mut(key) {
            self.timers.arm(&mut call.timer, key, at);
        }
    }

    fn answer(&mut self, result: CallResult) -> Option<EntryOrderAction> {
        let key = self.by_request.remove(&result.request);
        let call = key.and_then(|key| self.calls.remove(key));
        self.invariants.check(
            OrderInvariant::AnsweredOnce,
            call.is_some() || key.is_none(),
        );
        let mut call = call?;
        self.timers.disarm(&mut call.timer, key?);
        match result.outcome {
            Outcome::Completed => self.counters.completed += 1,
            Outcome::NotRun => self.counters.not_run += 1,
            Outcome::Unknown => self.counters.unknown += 1,
        }
        Some(EntryOrderAction::Answer(result))
    }
}

impl PendingCall {
    fn cancel_action(&self) -> EntryOrderAction {
        EntryOrderAction::Send {
            agent_address: self.agent_address,
            message: CallMessage::Cancel(self.cancel.clone()),
        }
    }
}
