//! Handling of messages from entries.

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
use crate::order::origin::ReplayCheck;
use crate::order::outcome::failed;
use crate::timer::TimerSlot;

/// The longest accepted time from the arrival of a call to its deadline.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

impl AgentOrders {
    /// Accepts a call, or answers at once why it is refused.
    pub(super) fn receive_call(&mut self, now: Instant, call: ServiceCall) {
        let request = call.request;
        let entry_address = call.entry_address;
        if self.reply_if_known(request, entry_address) {
            return;
        }
        let refusal = self.refusal_reason(now, &call);
        if let Some((kind, message)) = refusal {
            self.count_outcome(kind.answer().outcome);
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

    /// Cancels a call if it has not been sent, else replies with its result once it has one.
    pub(super) fn receive_cancel(&mut self, now: Instant, cancel: &CancelCall) {
        let request = cancel.request;
        let Some(&key) = self.by_request.get(&request) else {
            self.cancel_unknown_call(now, cancel);
            return;
        };
        if self.calls[key].is_unsent() {
            let message = "the call was cancelled before it was sent";
            self.end_unsent(now, key, ErrorKind::DeadlineUnreachable, message);
            return;
        }
        self.reply_if_known(request, cancel.entry_address);
    }

    /// Handles the cancellation of a call that is not in memory.
    ///
    /// If the call cannot have been sent, records it as ended, so that it is
    /// not sent if it arrives later.
    fn cancel_unknown_call(&mut self, now: Instant, cancel: &CancelCall) {
        let request = cancel.request;
        let is_own = self.is_own_incarnation(cancel.agent_incarnation);
        if !is_own || self.check_replay(&cancel.origin) == ReplayCheck::MaybeEvicted {
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
        self.schedule_eviction(now, key);
        self.reply(cancel.entry_address, result);
    }

    /// Returns the reason for which a call is refused, or `None` if it is accepted.
    fn refusal_reason(
        &mut self,
        now: Instant,
        call: &ServiceCall,
    ) -> Option<(ErrorKind, &'static str)> {
        if !self.is_own_incarnation(call.agent_incarnation) {
            let message = "the agent was restarted before the call arrived";
            return Some((ErrorKind::NoUpstream, message));
        }
        match self.check_replay(&call.origin) {
            ReplayCheck::NeverSeen => {}
            ReplayCheck::MaybeEvicted => {
                let message = "the call came too late to tell whether it was sent before";
                return Some((ErrorKind::OutcomeUnknown, message));
            }
            ReplayCheck::TooManyEntries => {
                return Some((ErrorKind::Overloaded, "too many entries call"));
            }
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

    /// Checks whether a call that is not in memory may have been evicted.
    fn check_replay(&mut self, origin: &CallOrigin) -> ReplayCheck {
        self.origins.check(origin, self.settings.max_origins)
    }

    /// Returns whether a message was addressed to this process and not to a predecessor.
    ///
    /// A running process can raise its incarnation, so a higher one than it
    /// started with is also its own.
    fn is_own_incarnation(&self, incarnation: Incarnation) -> bool {
        incarnation >= self.identity.incarnation
    }

    /// Replies with the result of a call that has ended.
    ///
    /// Returns whether the call is in memory, ended or not.
    fn reply_if_known(&mut self, request: RequestId, entry_address: SocketAddr) -> bool {
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
