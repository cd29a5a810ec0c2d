//! An entry's decisions about the calls of its callers.

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
    /// One call whose caller waits.
    struct WaitingKey;
}

/// What a caller asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewCall {
    /// The request.
    pub request: RequestId,
    /// The account that pays.
    pub account: AccountName,
    /// The service that is called.
    pub service: ServiceName,
    /// The upstream that is to run the call.
    pub upstream: UpstreamName,
    /// The caller's idempotency key.
    pub idempotency_key: Option<SmolStr>,
    /// Whether the service allows its calls to be repeated.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query at the service.
    pub path: SmolStr,
    /// The media type of the body.
    pub content_type: Option<SmolStr>,
    /// The body.
    pub body: Bytes,
}

/// The agent's process that may send a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgentTarget {
    /// The address at which it accepts connections.
    pub address: SocketAddr,
    /// Its incarnation, as the entry knows it.
    pub incarnation: Incarnation,
}

/// One call whose caller waits.
#[derive(Debug)]
struct Waiting {
    cancel: CancelCall,
    agent_address: SocketAddr,
    deadline: Instant,
    timer: TimerSlot,
}

/// All calls of one entry's process whose callers wait.
///
/// Each caller is answered once: with the agent's result, or at the deadline
/// with `unknown`. Before the deadline the agent is asked not to send the call
/// any more, which often lets the entry say `not_run` instead.
#[derive(Debug)]
pub struct EntryOrders {
    settings: EntryOrderSettings,
    entry: MemberName,
    incarnation: Incarnation,
    own_address: SocketAddr,
    next_sequence: u64,
    calls: SlotMap<WaitingKey, Waiting>,
    by_request: HashMap<RequestId, WaitingKey>,
    timers: Timers<WaitingKey>,
    counters: EntryOrderCounters,
    invariants: OrderInvariants,
}

impl EntryOrders {
    /// Creates the decisions of the entry process `entry` with its incarnation.
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

    /// Sends a call to its agent; the caller waits until `deadline`.
    pub fn start(
        &mut self,
        now: Instant,
        agent: AgentTarget,
        call: NewCall,
        deadline: Instant,
    ) -> Vec<EntryOrderAction> {
        let call = self.address(now, agent, call, deadline);
        let agent_address = agent.address;
        let is_new = !self.by_request.contains_key(&call.request);
        self.invariants.check(OrderInvariant::AnsweredOnce, is_new);
        let cancel = CancelCall {
            request: call.request,
            origin: call.origin.clone(),
            entry_address: self.own_address,
            agent_incarnation: call.agent_incarnation,
        };
        let key = self.calls.insert(Waiting {
            cancel,
            agent_address,
            deadline,
            timer: TimerSlot::default(),
        });
        self.by_request.insert(call.request, key);
        let cancel_at = deadline.checked_sub(self.settings.cancel_margin);
        self.arm(key, cancel_at.unwrap_or(now).max(now));
        let message = CallMessage::Call(Box::new(call));
        vec![EntryOrderAction::Send {
            agent_address,
            message,
        }]
    }

    /// Handles a result, which answers the caller unless that has been done.
    pub fn on_result(&mut self, result: CallResult) -> Vec<EntryOrderAction> {
        if !self.by_request.contains_key(&result.request) {
            self.counters.late_results += 1;
            return Vec::new();
        }
        self.answer(result).into_iter().collect()
    }

    /// Handles that a call was never handed to the transport.
    pub fn on_not_sent(&mut self, request: RequestId) -> Vec<EntryOrderAction> {
        let message = "the agent could not be reached";
        let result = failed(request, ErrorKind::NoUpstream, message);
        self.answer(result).into_iter().collect()
    }

    /// Handles that a connection to an agent ended or went silent.
    ///
    /// Whether calls arrived is asked over a new connection.
    pub fn on_connection_lost(&mut self, agent_address: SocketAddr) -> Vec<EntryOrderAction> {
        let calls = self.calls.values();
        let lost = calls.filter(|call| call.agent_address == agent_address);
        let actions: Vec<_> = lost.map(Waiting::cancel_action).collect();
        self.counters.cancels += actions.len() as u64;
        actions
    }

    /// Handles that an agent's process was replaced by one that started with `incarnation`.
    ///
    /// Nobody can tell any more whether the older process sent its calls.
    pub fn on_agent_replaced(
        &mut self,
        agent_address: SocketAddr,
        incarnation: Incarnation,
    ) -> Vec<EntryOrderAction> {
        let is_orphaned = |call: &&Waiting| {
            call.agent_address == agent_address && call.cancel.agent_incarnation < incarnation
        };
        let orphaned = self.calls.values().filter(is_orphaned);
        let requests: Vec<RequestId> = orphaned.map(|call| call.cancel.request).collect();
        let message = "the agent was replaced while the call was in progress";
        let results = requests
            .into_iter()
            .map(|request| failed(request, ErrorKind::OutcomeUnknown, message));
        results.filter_map(|result| self.answer(result)).collect()
    }

    /// Handles what is due.
    pub fn on_tick(&mut self, now: Instant) -> Vec<EntryOrderAction> {
        let mut actions = Vec::new();
        while let Some(key) = self.timers.pop_due(now) {
            actions.extend(self.on_timer(now, key));
        }
        actions
    }

    /// Returns the instant at which a tick has something to do.
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.timers.next()
    }

    /// Returns whether no caller waits.
    pub fn is_idle(&self) -> bool {
        self.calls.is_empty()
    }

    /// Returns the counts.
    pub const fn counters(&self) -> EntryOrderCounters {
        self.counters
    }

    /// Returns the violations of invariants.
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

    fn address(
        &mut self,
        now: Instant,
        agent: AgentTarget,
        call: NewCall,
        deadline: Instant,
    ) -> ServiceCall {
        let left = deadline.duration_since(now).as_millis();
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
            deadline_ms: u64::try_from(left).unwrap_or(u64::MAX),
        }
    }

    fn on_timer(&mut self, now: Instant, key: WaitingKey) -> Option<EntryOrderAction> {
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
        self.arm(key, next);
        Some(action)
    }

    fn arm(&mut self, key: WaitingKey, at: Instant) {
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

impl Waiting {
    fn cancel_action(&self) -> EntryOrderAction {
        EntryOrderAction::Send {
            agent_address: self.agent_address,
            message: CallMessage::Cancel(self.cancel.clone()),
        }
    }
}
