//! Admission at each of the engines beside an agent.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use jujubewall_protocol::stream::OpenStream;
use jujubewall_routing::admission::AdmissionController;
use jujubewall_routing::admission::AdmissionRequest;
use jujubewall_routing::admission::AdmissionSettings;
use jujubewall_routing::admission::Decision;
use jujubewall_routing::admission::Refusal;
use jujubewall_routing::stream::agent::StageKey;
use jujubewall_types::config::Configuration;
use jujubewall_types::error::Failure;
use jujubewall_types::id::UpstreamName;
use tokio::time::Instant;

/// The weight of an account that the configuration does not name.
const UNKNOWN_ACCOUNT_WEIGHT: u32 = 1;

/// The answer to a stage that asked to be admitted.
#[derive(Debug)]
pub struct Admitted {
    /// The stage.
    pub ticket: StageKey,
    /// Whether it may run.
    pub result: Result<(), Failure>,
}

/// The admissions of an agent's engines.
#[derive(Debug, Default)]
pub struct Admissions {
    configuration: Arc<Configuration>,
    by_upstream: HashMap<UpstreamName, AdmissionController<StageKey>>,
    upstreams: HashMap<StageKey, UpstreamName>,
    is_draining: bool,
}

impl Admissions {
    /// Follows the configuration, which holds the accounts' weights.
    pub fn apply(&mut self, configuration: Arc<Configuration>) {
        self.by_upstream
            .retain(|name, _| configuration.upstreams.contains_key(name));
        self.configuration = configuration;
    }

    /// Asks for a stage to be admitted; without an answer it waits.
    pub fn offer(&mut self, now: Instant, ticket: StageKey, open: &OpenStream) -> Option<Admitted> {
        let stage = open.route.get(usize::from(open.stage))?;
        let positions = u64::from(open.prompt_tokens) + u64::from(open.max_answer_tokens);
        let request = AdmissionRequest {
            id: ticket,
            account: open.account.clone(),
            weight: self.weight_of(open),
            priority: open.priority,
            cost: positions * u64::from(stage.layers.len()),
            is_resumed: open.known_tokens > open.prompt_tokens,
            deadline: now + Duration::from_millis(open.deadline_ms),
        };
        self.upstreams.insert(ticket, stage.upstream.clone());
        let is_draining = self.is_draining;
        let admission = self
            .by_upstream
            .entry(stage.upstream.clone())
            .or_insert_with(|| new_admission(is_draining));
        match admission.offer(now, request) {
            Decision::Admit => Some(admitted(ticket)),
            Decision::Queue => None,
            Decision::Refuse(refusal) => {
                self.upstreams.remove(&ticket);
                Some(refused(ticket, refusal))
            }
        }
    }

    /// Gives back what an ended stage held, and answers those that waited for it.
    pub fn on_ended(&mut self, now: Instant, ticket: StageKey, used_cost: u64) -> Vec<Admitted> {
        let Some(upstream) = self.upstreams.remove(&ticket) else {
            return Vec::new();
        };
        if let Some(admission) = self.by_upstream.get_mut(&upstream) {
            admission.on_finished(now, ticket, used_cost);
            // A stage that has ended while it waited leaves the queue.
            admission.cancel(now, ticket);
        }
        self.release(now, &upstream)
    }

    /// Notes the time that an engine took for one position.
    pub fn on_response(
        &mut self,
        now: Instant,
        ticket: StageKey,
        response: Duration,
    ) -> Vec<Admitted> {
        let Some(upstream) = self.upstreams.get(&ticket).cloned() else {
            return Vec::new();
        };
        if let Some(admission) = self.by_upstream.get_mut(&upstream) {
            admission.on_response(now, response);
        }
        self.release(now, &upstream)
    }

    /// Answers every stage that has waited until its deadline.
    pub fn on_tick(&mut self, now: Instant) -> Vec<Admitted> {
        let upstreams: Vec<_> = self.by_upstream.keys().cloned().collect();
        let released = upstreams
            .iter()
            .flat_map(|upstream| self.release(now, upstream));
        released.collect()
    }

    /// Returns whether any stage waits.
    pub fn has_waiting(&self) -> bool {
        let mut admissions = self.by_upstream.values();
        admissions.any(|admission| admission.waiting() > 0)
    }

    /// Refuses every new stage from now on.
    pub fn drain(&mut self) {
        self.is_draining = true;
        for admission in self.by_upstream.values_mut() {
            admission.drain();
        }
    }

    fn release(&mut self, now: Instant, upstream: &UpstreamName) -> Vec<Admitted> {
        let Some(admission) = self.by_upstream.get_mut(upstream) else {
            return Vec::new();
        };
        let released = admission.release_waiting(now);
        for (ticket, _) in &released.refused {
            self.upstreams.remove(ticket);
        }
        let admitted_now = released.admitted.into_iter().map(admitted);
        let refused_now = released
            .refused
            .into_iter()
            .map(|(ticket, refusal)| refused(ticket, refusal));
        admitted_now.chain(refused_now).collect()
    }

    fn weight_of(&self, open: &OpenStream) -> u32 {
        let account = self.configuration.accounts.get(&open.account);
        account.map_or(UNKNOWN_ACCOUNT_WEIGHT, |owned| owned.item.weight)
    }
}

fn new_admission(is_draining: bool) -> AdmissionController<StageKey> {
    let mut admission = AdmissionController::new(AdmissionSettings::default());
    if is_draining {
        admission.drain();
    }
    admission
}

fn admitted(ticket: StageKey) -> Admitted {
    Admitted {
        ticket,
        result: Ok(()),
    }
}

fn refused(ticket: StageKey, refusal: Refusal) -> Admitted {
    let failure = Failure::new(refusal.reason.kind(), "the engine has no room now")
        .with_retry_after_ms(refusal.retry_after_ms);
    Admitted {
        ticket,
        result: Err(failure),
    }
}
