//! State machine that brings engines to the assignments of the plan.

use std::collections::BTreeMap;

use jujubewall_types::config::Assignment;
use jujubewall_types::id::FencingNumber;
use jujubewall_types::id::UpstreamName;
use jujubewall_upstream::engine::EngineAction;
use jujubewall_upstream::engine::EngineOrder;
use jujubewall_upstream::engine::EngineStatus;
use jujubewall_upstream::error::UpstreamError;
use tokio::time::Instant;

use super::action::ReadToken;
use super::action::ReconcileAction;
use super::action::ReconcileActions;
use super::authority::Authority;
use super::engine::EngineState;
use super::engine::Task;
use super::settings::ReconcileSettings;
use crate::invariant::Invariant;
use crate::plan::document::Plan;

/// Brings the engines on one agent's host to the assignments of the plan.
///
/// Every handler returns the actions that the caller has to carry out.
#[derive(Debug)]
pub struct Reconciler {
    settings: ReconcileSettings,
    authority: Authority,
    plan: Plan,
    engines: BTreeMap<UpstreamName, EngineState>,
    last_tick: Instant,
    stale_plan_count: u64,
    actions: ReconcileActions,
}

impl Reconciler {
    /// Creates the reconciler of an agent that has just started, without engines.
    pub fn new(settings: ReconcileSettings, now: Instant) -> Self {
        Self {
            settings,
            authority: Authority::new(),
            plan: Plan::default(),
            engines: BTreeMap::new(),
            last_tick: now,
            stale_plan_count: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the engines on this agent's host, each with the number of layers that fit into
    /// its memory. Engines that were known before keep their state.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (UpstreamName, u32)>) {
        let mut before = std::mem::take(&mut self.engines);
        for (name, max_layers) in engines {
            let mut state = before
                .remove(&name)
                .unwrap_or_else(|| EngineState::new(max_layers));
            state.max_layers = max_layers;
            self.engines.insert(name, state);
        }
    }

    /// Requests the actions that are due.
    ///
    /// Must be called several times per pause threshold, since a longer gap between calls
    /// counts as a pause of the process.
    pub fn on_tick(&mut self, now: Instant) -> ReconcileActions {
        self.detect_pause(now);
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the plan that was read from the key-value service for `token`.
    ///
    /// If the service holds no plan, `number` is zero and the plan is empty.
    pub fn on_plan_read(
        &mut self,
        now: Instant,
        token: ReadToken,
        number: FencingNumber,
        plan: Plan,
    ) -> ReconcileActions {
        self.detect_pause(now);
        if number < self.authority.highest() {
            self.stale_plan_count += 1;
        }
        if let Authority::Unconfirmed(unconfirmed) = self.authority
            && let Ok(confirmed) = unconfirmed.confirm(token, number)
        {
            self.authority = Authority::Confirmed(confirmed);
            self.plan = plan;
        }
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles a plan that was received from a watch or from another process.
    pub fn on_plan_received(
        &mut self,
        now: Instant,
        number: FencingNumber,
        plan: Plan,
    ) -> ReconcileActions {
        self.detect_pause(now);
        if number < self.authority.highest() {
            self.stale_plan_count += 1;
        }
        if self.authority.raise_to(number) {
            self.plan = plan;
        }
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles an engine's status.
    pub fn on_status(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        status: EngineStatus,
    ) -> ReconcileActions {
        self.detect_pause(now);
        if status.fencing > self.authority.highest() {
            self.authority = self.authority.revoke(status.fencing);
        }
        if let Some(state) = self.engines.get_mut(engine)
            && state.task != Some(Task::Ordered)
        {
            state.loaded = Some(status.loaded.into_iter().collect());
        }
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the end of a transfer from the weight store.
    pub fn on_fetched(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        is_done: bool,
    ) -> ReconcileActions {
        self.detect_pause(now);
        if let Some(state) = self.engines.get_mut(engine)
            && let Some(Task::Fetching(assignment)) = &state.task
        {
            let assignment = assignment.clone();
            state.task = is_done.then_some(Task::Fetched(assignment));
        }
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the report that a drained assignment has no work left.
    pub fn on_idle(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        idle: &Assignment,
    ) -> ReconcileActions {
        self.detect_pause(now);
        if let Some(state) = self.engines.get_mut(engine)
            && let Some(Task::Draining {
                assignment,
                is_idle,
            }) = &mut state.task
        {
            *is_idle |= assignment == idle;
        }
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the order that was announced by `OrderReady`, to be sent at once.
    ///
    /// Checks the clock again between the decision and the sending: after a pause, no order
    /// is returned until the plan has been read again.
    pub fn release_order(&mut self, now: Instant, engine: &UpstreamName) -> Option<EngineOrder> {
        self.detect_pause(now);
        let state = self.engines.get_mut(engine)?;
        let Some(Task::Offered { action, until }) = state.task.take() else {
            return None;
        };
        let confirmed = self.authority.confirmed().filter(|_| now <= until)?;
        let order = confirmed.sign(action);
        Invariant::OrderNumberRises.check(
            order.fencing >= state.last_sent,
            format_args!("order {} after {}", order.fencing, state.last_sent),
        );
        state.last_sent = order.fencing;
        state.loaded = None;
        state.task = Some(Task::Ordered);
        Some(order)
    }

    /// Handles the answer to an order.
    pub fn on_order_answer(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        answer: &Result<(), UpstreamError>,
    ) -> ReconcileActions {
        self.detect_pause(now);
        if let Some(state) = self.engines.get_mut(engine) {
            state.task = None;
            state.requested_at = None;
        }
        if *answer == Err(UpstreamError::Fenced) {
            self.authority = self.authority.revoke(FencingNumber::default());
        }
        self.request_due_actions(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the current authority.
    pub const fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Returns the number of plans that were ignored because of an old fencing number.
    pub const fn stale_plan_count(&self) -> u64 {
        self.stale_plan_count
    }

    /// Revokes the authority if this process has been paused since the last call.
    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < self.settings.pause_threshold {
            return;
        }
        self.authority = self.authority.revoke(FencingNumber::default());
        for state in self.engines.values_mut() {
            // Meanwhile the engine may have carried out orders of another process.
            state.requested_at = None;
            if state.task != Some(Task::Ordered) {
                state.loaded = None;
            }
        }
    }

    fn request_due_actions(&mut self, now: Instant) {
        if let Authority::Unconfirmed(unconfirmed) = &mut self.authority {
            if let Some(token) = unconfirmed.begin_read(now, self.settings.read_timeout) {
                self.actions.push(ReconcileAction::ReadPlan { token });
            }
            return;
        }
        for (name, state) in &mut self.engines {
            if begin_status_read(state, now, &self.settings) {
                let engine = name.clone();
                self.actions.push(ReconcileAction::ReadStatus { engine });
            }
            if self.plan.engines.contains_key(name) {
                let hold = self.plan.hold(name);
                let until = now + self.settings.send_window;
                advance(name, state, hold, now, until, &mut self.actions);
            }
        }
    }
}

/// Returns whether an engine's status is due, and if so records the request.
fn begin_status_read(state: &mut EngineState, now: Instant, settings: &ReconcileSettings) -> bool {
    let is_fresh = |asked| now < asked + settings.status_period;
    if state.task == Some(Task::Ordered) || state.requested_at.is_some_and(is_fresh) {
        return false;
    }
    state.requested_at = Some(now);
    true
}

/// Takes an engine one step closer to the assignments that it has to hold.
fn advance(
    name: &UpstreamName,
    state: &mut EngineState,
    hold: &[Assignment],
    now: Instant,
    until: Instant,
    actions: &mut ReconcileActions,
) {
    if state.loaded.is_none() {
        return;
    }
    cancel_stale_task(name, state, hold, now, actions);
    let engine = name.clone();
    match &state.task {
        None => start_task(name, state, hold, actions),
        Some(Task::Fetched(assignment)) => {
            let action = EngineAction::Load(assignment.clone());
            state.task = Some(Task::Offered { action, until });
            actions.push(ReconcileAction::OrderReady { engine });
        }
        Some(Task::Draining {
            assignment,
            is_idle: true,
        }) => {
            let action = EngineAction::Drop(assignment.clone());
            state.task = Some(Task::Offered { action, until });
            actions.push(ReconcileAction::OrderReady { engine });
        }
        Some(_) => {}
    }
}

/// Cancels a task that the plan no longer requires, or an order that was not taken in time.
fn cancel_stale_task(
    name: &UpstreamName,
    state: &mut EngineState,
    hold: &[Assignment],
    now: Instant,
    actions: &mut ReconcileActions,
) {
    let is_stale = match &state.task {
        Some(Task::Fetched(assignment)) => {
            !hold.contains(assignment) || assignment.layers.len() > state.free_layers()
        }
        Some(Task::Draining { assignment, .. }) => hold.contains(assignment),
        Some(Task::Offered { until, .. }) => now > *until,
        _ => false,
    };
    if !is_stale {
        return;
    }
    if let Some(Task::Draining { assignment, .. }) = state.task.take() {
        let engine = name.clone();
        actions.push(ReconcileAction::EndDrain { engine, assignment });
    }
}

/// Starts the next task; loading into free memory takes precedence over dropping.
fn start_task(
    name: &UpstreamName,
    state: &mut EngineState,
    hold: &[Assignment],
    actions: &mut ReconcileActions,
) {
    let engine = name.clone();
    if let Some(assignment) = state.next_load(hold) {
        state.task = Some(Task::Fetching(assignment.clone()));
        actions.push(ReconcileAction::Fetch { engine, assignment });
    } else if let Some(assignment) = state.next_drop(hold) {
        state.task = Some(Task::Draining {
            assignment: assignment.clone(),
            is_idle: false,
        });
        actions.push(ReconcileAction::Drain { engine, assignment });
    }
}
