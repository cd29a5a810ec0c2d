//! Messages from entries.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_protocol::call::CallOrigin;
use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::CancelCall;
use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::RequestId;
use tokio::time::Instant;

use super::AgentOrders;
use super::call::AgentCall;
use super::call::CallPhase;
use super::needs_claim;
use crate::order::action::AgentOrderAction;
use crate::order::origin::Memory;
use crate::order::outcome::failed;
use crate::timer::TimerSlot;

/// The longest time that an entry may give to a call.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

impl AgentOrders {
    /// Accepts a call, or answers at once that it does not run.
    pub(super) fn receive_call(&mut self, now: Instant, call: ServiceCall) {
        let request = call.request;
        let entry_address = call.entry_address;
        if self.answer_known(request, entry_address) {
            return;
        }
        let refusal = self.refuse_call(now, &call);
        if let Some((kind, message)) = refusal {
            self.count(kind.answer().outcome);
            self.reply(entry_address, failed(request, kind, message));
            return;
        }
        let deadline = now + Duration::from_millis(call.deadline_ms).min(MAX_DEADLINE);
        let accepted = AgentCall {
            request,
            origin: call.origin.clone(),
            entry_address,
            deadline,
            timer: TimerSlot::default(),
            claim: None,
            phase: CallPhase::Ready(Box::new(call.clone())),
        };
        let key = self.calls.insert(accepted);
        self.by_request.insert(request, key);
        self.timers.arm(&mut self.calls[key].timer, key, deadline);
        if needs_claim(&call) {
            self.claim(now, key, call);
        } else {
            self.actions.push(AgentOrderAction::Send { request });
        }
    }

    /// Keeps a call from being sent if that is possible, and tells what is known.
    pub(super) fn receive_cancel(&mut self, now: Instant, cancel: &CancelCall) {
        let request = cancel.request;
        let Some(&key) = self.by_request.get(&request) else {
            self.cancel_unknown(now, cancel);
            return;
        };
        if self.calls[key].is_unsent() {
            let message = "the call was cancelled before it was sent";
            self.end_unsent(now, key, ErrorKind::DeadlineUnreachable, message);
            return;
        }
        self.answer_known(request, cancel.entry_address);
    }

    /// Makes sure that a call which has not arrived is never sent, if it cannot have been.
    fn cancel_unknown(&mut self, now: Instant, cancel: &CancelCall) {
        let request = cancel.request;
        let is_own = self.is_own_incarnation(cancel.agent_incarnation);
        if !is_own || self.recall(&cancel.origin) == Memory::MaybeForgotten {
            let message = "the agent does not know whether the call was sent";
            let result = failed(request, ErrorKind::OutcomeUnknown, message);
            self.reply(cancel.entry_address, result);
            return;
        }
        let message = "the call was cancelled before it arrived";
        let result = failed(request, ErrorKind::DeadlineUnreachable, message);
        let tombstone = AgentCall {
            request,
            origin: cancel.origin.clone(),
            entry_address: cancel.entry_address,
            deadline: now,
            timer: TimerSlot::default(),
            claim: None,
            phase: CallPhase::Ended(Box::new(result.clone())),
        };
        let key = self.calls.insert(tombstone);
        self.by_request.insert(request, key);
        self.note_expiry(now, key);
        self.reply(cancel.entry_address, result);
    }

    /// Returns why a call is not accepted.
    fn refuse_call(
        &mut self,
        now: Instant,
        call: &ServiceCall,
    ) -> Option<(ErrorKind, &'static str)> {
        if !self.is_own_incarnation(call.agent_incarnation) {
            let message = "the agent was restarted before the call arrived";
            return Some((ErrorKind::NoUpstream, message));
        }
        match self.recall(&call.origin) {
            Memory::NeverSeen => {}
            Memory::MaybeForgotten => {
                let message = "the call came too late to tell whether it was sent before";
                return Some((ErrorKind::OutcomeUnknown, message));
            }
            Memory::Full => return Some((ErrorKind::Overloaded, "too many entries call")),
        }
        if self.is_leaving {
            return Some((ErrorKind::Draining, "the agent is leaving"));
        }
        if self.calls.len() >= self.settings.max_calls {
            return Some((ErrorKind::Overloaded, "the agent keeps too many calls"));
        }
        if needs_claim(call) && self.ledger.is_down(now) {
            self.ledger.counters.refused_in_outage += 1;
            let message = "keys cannot be claimed while the key-value service is down";
            return Some((ErrorKind::PlatformUnavailable, message));
        }
        None
    }

    fn recall(&mut self, origin: &CallOrigin) -> Memory {
        self.origins.recall(origin, self.settings.max_origins)
    }

    /// Returns whether a message was meant for this process and not for one before it.
    ///
    /// The incarnation of a running process can rise, so that a higher one is
    /// its own.
    fn is_own_incarnation(&self, incarnation: Incarnation) -> bool {
        incarnation >= self.identity.incarnation
    }

    /// Answers for a call that has ended, and returns whether the call is known.
    fn answer_known(&mut self, request: RequestId, entry_address: SocketAddr) -> bool {
        let Some(&key) = self.by_request.get(&request) else {
            return false;
        };
        if let CallPhase::Ended(result) = &self.calls[key].phase {
            let result = CallResult::clone(result);
            self.reply(entry_address, result);
        }
        true
    }
}
