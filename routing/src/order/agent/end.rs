//! The ends of calls and their eviction from memory.

use std::net::SocketAddr;

use jujubewall_protocol::call::CallResult;
use jujubewall_protocol::call::ServiceReply;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::RequestId;
use jujubewall_types::outcome::Outcome;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::ServiceResponse;
use tokio::time::Instant;

use super::AgentOrders;
use super::Expiry;
use super::call::CallKey;
use super::call::CallPhase;
use crate::order::action::AgentOrderAction;
use crate::order::invariant::OrderInvariant;
use crate::order::outcome::completed;
use crate::order::outcome::failed;
use crate::order::record::KeyState;

impl AgentOrders {
    /// Ends a call that was sent, with the result from its upstream.
    pub(super) fn end_begun(
        &mut self,
        now: Instant,
        request: RequestId,
        result: Result<ServiceResponse, UpstreamError>,
    ) {
        let Some(&key) = self.by_request.get(&request) else {
            return;
        };
        let is_begun = self.calls[key].is_begun();
        self.invariants.check(OrderInvariant::BegunOnce, is_begun);
        if !is_begun {
            return;
        }
        let result = call_result(request, result);
        self.record_end(key, &result);
        self.end(now, key, result);
    }

    /// Ends a call that was not sent, and releases its key.
    pub(super) fn end_unsent(
        &mut self,
        now: Instant,
        key: CallKey,
        kind: ErrorKind,
        message: &str,
    ) {
        let call = &self.calls[key];
        let request = call.request;
        let is_unsent = call.is_unsent();
        self.invariants
            .check(OrderInvariant::NotRunIsTrue, is_unsent);
        if let Some(claim) = &call.claim {
            let shard = claim.shard;
            if claim.is_granted {
                let release = claim.entry.with_state(KeyState::NotRun);
                self.ledger.push(shard, release);
            } else {
                // A claim that is already part of a write is released once it is granted.
                self.ledger.withdraw(shard, request);
            }
        }
        self.end(now, key, failed(request, kind, message));
    }

    /// Ends a call and sends the result to its entry.
    pub(super) fn end(&mut self, now: Instant, key: CallKey, result: CallResult) {
        self.count_outcome(result.outcome);
        let call = &mut self.calls[key];
        if matches!(call.phase, CallPhase::Claiming(_)) {
            self.claiming_count -= 1;
        }
        call.phase = CallPhase::Ended(Box::new(result.clone()));
        self.timers.disarm(&mut call.timer, key);
        let entry_address = call.entry_address;
        self.schedule_eviction(now, key);
        self.reply(entry_address, result);
    }

    /// Requests that a result is sent to an entry.
    pub(super) fn reply(&mut self, entry_address: SocketAddr, result: CallResult) {
        self.actions.push(AgentOrderAction::Reply {
            entry_address,
            result,
        });
    }

    /// Counts a result by its outcome.
    pub(super) const fn count_outcome(&mut self, outcome: Outcome) {
        let counters = &mut self.ledger.counters;
        match outcome {
            Outcome::Completed => counters.completed += 1,
            Outcome::NotRun => counters.not_run += 1,
            Outcome::Unknown => counters.unknown += 1,
        }
    }

    /// Schedules the eviction of an ended call from memory.
    pub(super) fn schedule_eviction(&mut self, now: Instant, call: CallKey) {
        let at = now + self.settings.result_retention;
        self.expiries.push_back(Expiry { at, call });
    }

    /// Evicts the ended calls whose results have been kept for long enough.
    pub(super) fn evict_expired(&mut self, now: Instant) {
        while let Some(expiry) = self.expiries.pop_front_if(|expiry| expiry.at <= now) {
            if self.has_unconfirmed_claim(expiry.call) {
                self.schedule_eviction(now, expiry.call);
                continue;
            }
            if let Some(call) = self.calls.remove(expiry.call) {
                self.origins.record_evicted(&call.origin);
                self.by_request.remove(&call.request);
            }
        }
    }

    /// Returns whether a call's claim may still be granted, and would have to be released.
    fn has_unconfirmed_claim(&self, key: CallKey) -> bool {
        let claim = self.calls.get(key).and_then(|call| call.claim.as_ref());
        let Some(claim) = claim.filter(|claim| !claim.is_granted) else {
            return false;
        };
        let newest = self.ledger.latest(claim.shard, claim.entry.key);
        newest == Some(&claim.entry)
    }

    /// Records the end of a call with a key, which answers later calls with that key.
    fn record_end(&mut self, key: CallKey, result: &CallResult) {
        let Some(claim) = &self.calls[key].claim else {
            return;
        };
        let state = match result.outcome {
            Outcome::Completed => KeyState::Completed(self.kept_reply(result.reply.as_ref())),
            Outcome::NotRun => KeyState::NotRun,
            // The claim already records that the call may have run.
            Outcome::Unknown => return,
        };
        let entry = claim.entry.with_state(state);
        let shard = claim.shard;
        self.ledger.push(shard, entry);
    }

    /// Returns the reply to record, or `None` if it is too large.
    fn kept_reply(&self, reply: Option<&ServiceReply>) -> Option<ServiceReply> {
        let reply = reply?;
        let is_small = reply.body.len() <= self.settings.kept_reply_bytes;
        is_small.then(|| reply.clone())
    }
}

/// Converts the response or error of an upstream to a call result.
fn call_result(request: RequestId, result: Result<ServiceResponse, UpstreamError>) -> CallResult {
    match result {
        Ok(response) => {
            let reply = ServiceReply {
                status: response.status,
                content_type: response.content_type,
                body: response.body,
            };
            completed(request, Some(reply))
        }
        Err(UpstreamError::NotSent(message)) => failed(request, ErrorKind::NoUpstream, &message),
        Err(error @ (UpstreamError::Refused(_) | UpstreamError::Fenced)) => {
            failed(request, ErrorKind::UpstreamRefused, &error.to_string())
        }
        Err(UpstreamError::ReplyLost(message)) => {
            failed(request, ErrorKind::OutcomeUnknown, &message)
        }
    }
}
