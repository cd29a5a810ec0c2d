//! The reconciler.

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

/// Brings the engines beside one agent to what the plan says.
#[derive(Debug)]
pub struct Reconciler {
    settings: ReconcileSettings,
    authority: Authority,
    plan: Plan,
    engines: BTreeMap<UpstreamName, EngineState>,
    last_tick: Instant,
    refused_numbers: u64,
    actions: ReconcileActions,
}

impl Reconciler {
    /// Creates the reconciler of an agent that has just started.
    pub fn new(settings: ReconcileSettings, now: Instant) -> Self {
        Self {
            settings,
            authority: Authority::new(),
            plan: Plan::default(),
            engines: BTreeMap::new(),
            last_tick: now,
            refused_numbers: 0,
            actions: Vec::new(),
        }
    }

    /// Sets the engines beside this agent, each with the layers that fit into its memory.
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

    /// Does what is due; to be called several times within the pause threshold.
    pub fn on_tick(&mut self, now: Instant) -> ReconcileActions {
        self.note_time(now);
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the plan as read from the key-value service for `token`.
    ///
    /// A service without a plan has the number zero and an empty plan.
    pub fn on_plan_read(
        &mut self,
        now: Instant,
        token: ReadToken,
        number: FencingNumber,
        plan: Plan,
    ) -> ReconcileActions {
        self.note_time(now);
        if number < self.authority.highest() {
            self.refused_numbers += 1;
        }
        if let Authority::Unconfirmed(unconfirmed) = self.authority
            && let Ok(confirmed) = unconfirmed.confirm(token, number)
        {
            self.authority = Authority::Confirmed(confirmed);
            self.plan = plan;
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles a plan that a watch or another process has passed on.
    pub fn on_plan_told(
        &mut self,
        now: Instant,
        number: FencingNumber,
        plan: Plan,
    ) -> ReconcileActions {
        self.note_time(now);
        if number < self.authority.highest() {
            self.refused_numbers += 1;
        }
        if self.authority.raise(number) {
            self.plan = plan;
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles an engine's status.
    pub fn on_status(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        status: EngineStatus,
    ) -> ReconcileActions {
        self.note_time(now);
        if status.fencing > self.authority.highest() {
            self.authority = self.authority.doubt(status.fencing);
        }
        if let Some(state) = self.engines.get_mut(engine)
            && state.task != Some(Task::Ordered)
        {
            state.loaded = Some(status.loaded.into_iter().collect());
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the end of a transfer from the weight store.
    pub fn on_fetched(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        is_done: bool,
    ) -> ReconcileActions {
        self.note_time(now);
        if let Some(state) = self.engines.get_mut(engine)
            && let Some(Task::Fetching(assignment)) = &state.task
        {
            let assignment = assignment.clone();
            state.task = is_done.then_some(Task::Fetched(assignment));
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Handles the report that a drained assignment has no work left.
    pub fn on_idle(
        &mut self,
        now: Instant,
        engine: &UpstreamName,
        idle: &Assignment,
    ) -> ReconcileActions {
        self.note_time(now);
        if let Some(state) = self.engines.get_mut(engine)
            && let Some(Task::Draining {
                assignment,
                is_idle,
            }) = &mut state.task
        {
            *is_idle |= assignment == idle;
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Gives out the order that was announced, to be sent at once.
    ///
    /// The clock is compared here, between the decision and the sending: after
    /// a pause there is no order until the plan has been read again.
    pub fn release_order(&mut self, now: Instant, engine: &UpstreamName) -> Option<EngineOrder> {
        self.note_time(now);
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
        self.note_time(now);
        if let Some(state) = self.engines.get_mut(engine) {
            state.task = None;
            state.asked_at = None;
        }
        if *answer == Err(UpstreamError::Fenced) {
            self.authority = self.authority.doubt(FencingNumber::default());
        }
        self.decide(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns the authority.
    pub const fn authority(&self) -> &Authority {
        &self.authority
    }

    /// Returns how many plans with an old number were refused.
    pub const fn refused_numbers(&self) -> u64 {
        self.refused_numbers
    }

    /// Withdraws the authority if this process has been paused.
    fn note_time(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if gap < self.settings.pause_threshold {
            return;
        }
        self.authority = self.authority.doubt(FencingNumber::default());
        for state in self.engines.values_mut() {
            // The engine may have changed under another process's orders.
            state.asked_at = None;
            if state.task != Some(Task::Ordered) {
                state.loaded = None;
            }
        }
    }

    fn decide(&mut self, now: Instant) {
        if let Authority::Unconfirmed(unconfirmed) = &mut self.authority {
            if let Some(token) = unconfirmed.ask(now, self.settings.read_timeout) {
                self.actions.push(ReconcileAction::ReadPlan { token });
            }
            return;
        }
        for (name, state) in &mut self.engines {
            if ask_status(state, now, &self.settings) {
                let engine = name.clone();
                self.actions.push(ReconcileAction::ReadStatus { engine });
            }
            if self.plan.engines.contains_key(name) {
                let hold = self.plan.hold(name);
                let until = now + self.settings.send_window;
                step(name, state, hold, now, until, &mut self.actions);
            }
        }
    }
}

/// Returns whether an engine's status is due.
fn ask_status(state: &mut EngineState, now: Instant, settings: &ReconcileSettings) -> bool {
    let is_fresh = |asked| now < asked + settings.status_period;
    if state.task == Some(Task::Ordered) || state.asked_at.is_some_and(is_fresh) {
        return false;
    }
    state.asked_at = Some(now);
    true
}

/// Takes an engine one step closer to what it is to hold.
fn step(
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
    drop_stale(name, state, hold, now, actions);
    let engine = name.clone();
    match &state.task {
        None => start(name, state, hold, actions),
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

/// Ends a task that the plan no longer asks for or that was not taken up in time.
fn drop_stale(
    name: &UpstreamName,
    state: &mut EngineState,
    hold: &[Assignment],
    now: Instant,
    actions: &mut ReconcileActions,
) {
    let is_stale = match &state.task {
        Some(Task::Fetched(assignment)) => {
            !hold.contains(assignment) || assignment.layers.len() > state.room()
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

/// Starts the next task: loading beside what is there goes before dropping.
fn start(
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
