//! Claims of idempotency keys.

use jujubewall_protocol::call::ServiceCall;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::RequestId;
use tokio::time::Instant;

use super::AgentOrders;
use super::call::CallKey;
use super::call::CallPhase;
use super::call::Claim;
use crate::order::action::AgentOrderAction;
use crate::order::invariant::OrderInvariant;
use crate::order::key::KeyDigest;
use crate::order::key::ShardName;
use crate::order::key::call_digest;
use crate::order::ledger::LedgerEvent;
use crate::order::outcome::completed;
use crate::order::outcome::failed;
use crate::order::record::KeyState;
use crate::order::record::LedgerEntry;
use crate::order::shard::is_claimable;

impl AgentOrders {
    /// Queues the claim of a call's key, unless the key is known to be claimed already.
    pub(super) fn claim(&mut self, now: Instant, key: CallKey, call: ServiceCall) {
        let idempotency_key = call.idempotency_key.as_deref().unwrap_or_default();
        let digest = KeyDigest::new(&call.account, idempotency_key);
        let shard = digest.shard(self.settings.shards);
        let name = ShardName::new(call.service.clone(), shard);
        let shard = self.ledger.shard(name);
        let entry = LedgerEntry {
            key: digest,
            call_digest: call_digest(&call),
            request: call.request,
            claimer: self.identity.claimer,
            claimed_at_unix_s: self.unix_s(now),
            state: KeyState::Claimed,
        };
        self.calls[key].claim = Some(Claim {
            shard,
            entry: entry.clone(),
            is_granted: false,
        });
        self.calls[key].phase = CallPhase::Claiming(Box::new(call));
        self.claiming_count += 1;
        let taken = self.ledger.latest(shard, digest).cloned();
        let Some(taken) = taken.filter(|taken| !is_claimable(Some(taken))) else {
            self.ledger.push(shard, entry);
            return;
        };
        let may_have_ended = taken.state == KeyState::Claimed && taken.claimer != entry.claimer;
        if may_have_ended && taken.call_digest == entry.call_digest {
            // Another agent may have recorded the end of that call since the shard was read.
            self.ledger.push(shard, entry);
            self.ledger.refresh(shard, now);
            return;
        }
        self.end_already_claimed(now, key, &taken);
    }

    /// Handles the outcomes of claims.
    pub(super) fn handle_ledger_events(&mut self, now: Instant) {
        for event in self.ledger.take_events() {
            match event {
                LedgerEvent::Granted(request) => self.claim_granted(request),
                LedgerEvent::Taken(request, taken) => {
                    if let Some(key) = self.claiming_call(request) {
                        self.end_already_claimed(now, key, &taken);
                    }
                }
                LedgerEvent::DoubleClaim => {
                    let invariant = OrderInvariant::KeyClaimedOnce;
                    self.invariants.check(invariant, false);
                }
                LedgerEvent::Full(request) => {
                    if let Some(key) = self.claiming_call(request) {
                        let message = "the service's keys have no room for more";
                        self.end_unsent(now, key, ErrorKind::Overloaded, message);
                    }
                }
            }
        }
    }

    /// Releases a call for sending, or its key if the call has ended in the meantime.
    fn claim_granted(&mut self, request: RequestId) {
        let Some(&key) = self.by_request.get(&request) else {
            return;
        };
        let call = &mut self.calls[key];
        let Some(claim) = &mut call.claim else { return };
        if claim.is_granted {
            return;
        }
        claim.is_granted = true;
        let entry = claim.entry.clone();
        let shard = claim.shard;
        self.ledger.counters.claimed += 1;
        match std::mem::replace(&mut call.phase, CallPhase::Begun) {
            CallPhase::Claiming(service_call) => {
                call.phase = CallPhase::Ready(service_call);
                self.claiming_count -= 1;
                self.actions.push(AgentOrderAction::Send { request });
            }
            ended => {
                call.phase = ended;
                let release = entry.with_state(KeyState::NotRun);
                self.ledger.push(shard, release);
            }
        }
    }

    /// Ends the calls that wait for a claim if the key-value service is down.
    pub(super) fn refuse_in_outage(&mut self, now: Instant) {
        if self.claiming_count == 0 || !self.ledger.is_down(now) {
            return;
        }
        let waiting = self
            .calls
            .iter()
            .filter(|(_, call)| matches!(call.phase, CallPhase::Claiming(_)));
        let waiting: Vec<CallKey> = waiting.map(|(key, _)| key).collect();
        for key in waiting {
            self.ledger.counters.refused_in_outage += 1;
            let message = "the key could not be claimed, since the key-value service is down";
            self.end_unsent(now, key, ErrorKind::PlatformUnavailable, message);
        }
    }

    /// Returns the call of a request if it waits for its claim.
    fn claiming_call(&self, request: RequestId) -> Option<CallKey> {
        let key = *self.by_request.get(&request)?;
        let is_claiming = matches!(self.calls[key].phase, CallPhase::Claiming(_));
        is_claiming.then_some(key)
    }

    /// Ends a call whose key is already claimed by another call.
    fn end_already_claimed(&mut self, now: Instant, key: CallKey, taken: &LedgerEntry) {
        let call = &self.calls[key];
        let request = call.request;
        let is_reused = call
            .claim
            .as_ref()
            .is_some_and(|claim| claim.entry.call_digest != taken.call_digest);
        if is_reused {
            self.ledger.counters.reused_keys += 1;
            let message = "the key was used for another call";
            self.end_unsent(now, key, ErrorKind::KeyReused, message);
            return;
        }
        self.ledger.counters.repeated_keys += 1;
        let result = match &taken.state {
            KeyState::Completed(reply) => completed(request, reply.clone()),
            KeyState::Claimed | KeyState::NotRun => {
                let message = "a call with this key was accepted and may have run";
                failed(request, ErrorKind::OutcomeUnknown, message)
            }
        };
        self.end(now, key, result);
    }
}
