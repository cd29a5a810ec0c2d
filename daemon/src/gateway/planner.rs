//! Assigns layers to engines. The gateway that holds the planner lease issues the orders.
//!
//! The lease only avoids duplicate work; orders are safe without it. Every order carries
//! the number of orders that its engine has begun, so an order from a second planner, or
//! one that is carried out late, cannot undo a newer order.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use jujubewall_control::placement::Contact;
use jujubewall_control::placement::PlacedEngine;
use jujubewall_control::placement::Placement;
use jujubewall_control::placement::place;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::LeaseId;
use jujubewall_platform::site::order::OrderAnswer;
use jujubewall_platform::site::order::place_order;
use jujubewall_platform::site::store::WriteOutcome;
use jujubewall_routing::fleet::claims::PlannerRole;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::TrackedInstance;
use jujubewall_routing::fleet::planner_election::PlannerElection;
use jujubewall_routing::fleet::planner_election::PlannerStep;
use jujubewall_routing::fleet::planner_election::StallDetector;
use jujubewall_types::fleet::EngineSpec;
use jujubewall_types::fleet::EngineState;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::Revision;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use log::info;
use log::warn;
use smol_str::SmolStr;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::gateway::clock;
use crate::gateway::probe;
use crate::gateway::state::Gateway;

/// The store key that names the current planner; it is attached to the planner's lease.
const PLANNER_KEY: &str = "jujubewall/planner";

/// The time to live of the planner lease, after which another gateway can take over.
/// Several renewals fit into it, so one lost renewal does not end the lease.
const LEASE_TTL: Duration = Duration::from_secs(2);

/// The interval between lease renewals, or between attempts to acquire the lease.
const LEASE_INTERVAL: Duration = Duration::from_millis(400);

/// The interval between evaluations of the placement.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which the number of engines must stay the same before layers are assigned
/// in a fleet that holds none. Engines register within about a second of each other.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// The time for which an engine that refuses connections must be suspected before its layers
/// are assigned to others. Within it, the engine is probed at once and again after 300 ms. One
/// that is only silent gets longer, since replacing its layers aborts streams on sound
/// engines.
const LOSS_CONFIRMATION_TIME: Duration = Duration::from_millis(350);

/// The time, in addition to the expected load time, after which an engine that shows no
/// effect of its order is queried for its state.
const ORDER_GRACE: Duration = Duration::from_millis(800);

/// The longest time for which an order is expected to take.
const MAX_LOAD_TIME: Duration = Duration::from_hours(1);

/// The interval between queries for an engine's slowdown, and so the time for which an
/// engine that turns slow can delay the streams of its failure domain unnoticed.
const SLOWDOWN_INTERVAL: Duration = Duration::from_secs(1);

/// The slowdown factor from which an engine's layers are assigned to others. Loading the
/// layers elsewhere takes about a second; a smaller slowdown usually lasts seconds and
/// costs less than that.
const MIN_SLOW_FACTOR: f64 = 2.0;

/// The factor on the expected load time, since concurrent loads share the weight store.
const SHARED_LOAD_FACTOR: f64 = 2.0;

/// An order whose effect has not been observed yet.
#[derive(Clone, Debug)]
struct OpenOrder {
    born_unix_ms: u64,
    layers: LayerRange,
    query_at: Instant,
    is_querying: bool,
}

/// The planner's state between evaluations.
#[derive(Default)]
pub struct PlannerState {
    is_planner: Cell<bool>,
    lease: Cell<Option<LeaseId>>,
    /// The open orders, by the identifier of the engine instance.
    open_orders: RefCell<HashMap<SmolStr, OpenOrder>>,
    /// The start time and the number of begun orders of engines, by identifier, where
    /// newer than their registry entries.
    order_counts: RefCell<HashMap<SmolStr, (u64, u64)>>,
}

impl PlannerState {
    /// Drops a lease that the store has lost, since the store may assign its identifier to
    /// another gateway.
    pub fn forget_lease(&self) {
        if self.lease.take().is_some() {
            info!("event=lease_forgotten");
            self.is_planner.set(false);
        }
    }
}

/// Starts the planner's tasks, which issue orders only while this gateway is the planner.
pub fn start(gateway: &Rc<Gateway>) {
    gateway.spawn_loop("hold_lease", hold_lease);
    gateway.spawn_loop("plan", plan_loop);
    gateway.spawn_loop("watch_slowdowns", poll_slowdowns);
}

/// Polls the slowdown of all engines, which their registry entries do not contain.
async fn poll_slowdowns(gateway: Rc<Gateway>) {
    loop {
        sleep(SLOWDOWN_INTERVAL).await;
        if !is_planner(&gateway) {
            continue;
        }
        let engines: Vec<InstanceKey> = {
            let instances = gateway.instances();
            let now = Instant::now();
            let engines = instances.iter().filter(|(_, tracked)| {
                let can_be_queried = tracked.is_usable() && !tracked.is_paused(now);
                can_be_queried && tracked.instance.accelerator.is_some()
            });
            engines.map(|(key, _)| key).collect()
        };
        for key in engines {
            let gateway = Rc::clone(&gateway);
            spawn_local(async move {
                if let Some(report) = probe::poll_report(&gateway, key).await {
                    record_slowdown(&gateway, key, report.slowdown);
                }
            });
        }
    }
}

fn record_slowdown(gateway: &Gateway, key: InstanceKey, factor: f64) {
    let has_changed = gateway
        .instances_mut()
        .set_slowdown(key, factor, Instant::now());
    if !has_changed {
        return;
    }
    if let Some(tracked) = gateway.instances().get(key) {
        info!(
            "event=slowdown upstream={} factor={factor:.1} in_flight={}",
            tracked.instance.id,
            tracked.own_work().requests
        );
    }
}

/// Returns whether this gateway is the planner.
pub fn is_planner(gateway: &Gateway) -> bool {
    gateway.planner.is_planner.get()
}

/// Returns whether this gateway is the planner, and whether it holds the lease.
pub fn role(gateway: &Gateway) -> PlannerRole {
    if !is_planner(gateway) {
        PlannerRole::None
    } else if gateway.planner.lease.get().is_some() {
        PlannerRole::LeaseHolder
    } else {
        PlannerRole::Substitute
    }
}

/// Stops planning and revokes the lease, so that another gateway can take over at once.
pub async fn resign(gateway: &Gateway) {
    set_planner(gateway, false);
    if let Some(lease) = gateway.planner.lease.take()
        && let Err(failure) = gateway.store().end_lease(lease).await
    {
        info!("event=lease_not_ended reason=\"{failure}\"");
    }
}

fn set_planner(gateway: &Gateway, is_planner: bool) {
    if gateway.planner.is_planner.replace(is_planner) != is_planner {
        info!("event=planner holds={is_planner}");
        gateway
            .metrics
            .count(if is_planner { "plans" } else { "plans_no_more" });
        if is_planner {
            gateway.planner.open_orders.borrow_mut().clear();
        }
    }
}

async fn hold_lease(gateway: Rc<Gateway>) {
    let mut election = PlannerElection::new();
    loop {
        if gateway.is_draining() {
            return;
        }
        match gateway.planner.lease.get() {
            Some(lease) => renew_lease(&gateway, lease).await,
            None => ensure_planner(&gateway, &mut election).await,
        }
        sleep(LEASE_INTERVAL).await;
    }
}

/// Takes over as planner if no other gateway plans.
async fn ensure_planner(gateway: &Gateway, election: &mut PlannerElection) {
    // Only gateways that follow the store see the engines' entries first-hand.
    if !gateway.peers.follows() {
        return;
    }
    let step = election.step(&gateway.peers.gossip(), is_planner(gateway), Instant::now());
    let PlannerStep::TakeOver {
        plans_without_lease,
    } = step
    else {
        set_planner(gateway, false);
        return;
    };
    // While the store is unavailable, the request for the lease may take long to fail.
    if plans_without_lease {
        set_planner(gateway, true);
    }
    match acquire_lease(gateway).await {
        LeaseAttempt::HeldByOther => set_planner(gateway, plans_without_lease),
        // Orders are safe without the lease, and while the store does not answer, no other
        // gateway can acquire it either.
        LeaseAttempt::Acquired | LeaseAttempt::Unknown => set_planner(gateway, true),
    }
}

async fn renew_lease(gateway: &Gateway, lease: LeaseId) {
    let begun_at = Instant::now();
    let renewed = gateway.store().keep_alive(lease).await;
    gateway.record_store_call(&renewed, begun_at);
    gateway.apply_store_era(gateway.store().era());
    // A new store era has begun, so the lease is lost; its identifier may belong to another
    // gateway by now.
    if gateway.planner.lease.get() != Some(lease) {
        return;
    }
    match renewed {
        Ok(()) => set_planner(gateway, true),
        Err(PlatformError::LeaseLapsed) => {
            gateway.planner.lease.set(None);
            set_planner(gateway, false);
        }
        // An unavailable store does not end planning: orders are safe without the lease,
        // and no other gateway can acquire it.
        Err(failure) => {
            info!("event=lease_not_renewed reason=\"{failure}\"");
            // After the process was held up, the lease does not count until it is confirmed.
            if !is_planner(gateway) {
                gateway.planner.lease.set(None);
            }
        }
    }
}

/// The result of an attempt to acquire the planner lease.
enum LeaseAttempt {
    /// This gateway holds the lease.
    Acquired,
    /// Another gateway holds the lease.
    HeldByOther,
    /// The store did not answer.
    Unknown,
}

async fn acquire_lease(gateway: &Gateway) -> LeaseAttempt {
    match try_acquire_lease(gateway).await {
        Ok(attempt) => attempt,
        // If the write succeeded after all, the key expires with its lease.
        Err(failure) => {
            info!("event=planner_unknown reason=\"{failure}\"");
            LeaseAttempt::Unknown
        }
    }
}

async fn try_acquire_lease(gateway: &Gateway) -> Result<LeaseAttempt, PlatformError> {
    let store = gateway.store();
    let is_held = store.get(PLANNER_KEY).await?.is_some();
    let era = store.era();
    gateway.apply_store_era(era);
    if is_held {
        return Ok(LeaseAttempt::HeldByOther);
    }
    let min_ttl = Duration::from_millis(gateway.settings().min_lease_ttl_ms);
    let lease = store.grant_lease(LEASE_TTL.max(min_ttl)).await?;
    let member = Bytes::from(gateway.settings().member.as_str().to_owned());
    let outcome = store
        .write_if(PLANNER_KEY, Revision(0), member, lease)
        .await?;
    gateway.apply_store_era(store.era());
    match outcome {
        // The era changed between the calls: the store may have assigned the lease's
        // identifier to another gateway again.
        WriteOutcome::Done(_) if store.era() != era => Ok(LeaseAttempt::HeldByOther),
        WriteOutcome::Done(_) => {
            gateway.planner.lease.set(Some(lease));
            Ok(LeaseAttempt::Acquired)
        }
        WriteOutcome::Conflict => Ok(LeaseAttempt::HeldByOther),
    }
}

async fn plan_loop(gateway: Rc<Gateway>) {
    let mut engine_counts = EngineCounts::default();
    let mut stall_detector = StallDetector::new(clock::boot_time());
    loop {
        sleep(PLAN_INTERVAL).await;
        if stall_detector.has_stalled(clock::boot_time()) && is_planner(&gateway) {
            warn!("event=planner_held_up");
            gateway.metrics.count("planner_held_up");
            set_planner(&gateway, false);
        }
        if !gateway.planner.is_planner.get() {
            continue;
        }
        let Some(routes) = gateway.routes() else {
            continue;
        };
        for service in &routes.config().services {
            if let Some(spec) = &service.engine {
                plan(&gateway, &service.name, spec, &mut engine_counts);
            }
        }
    }
}

/// Tracks since when the number of engines of each service is unchanged.
#[derive(Default)]
struct EngineCounts {
    by_service: HashMap<ServiceName, (usize, Instant)>,
}

impl EngineCounts {
    /// Returns since when `service` has had `count` engines.
    fn unchanged_since(&mut self, service: &ServiceName, count: usize) -> Instant {
        let now = Instant::now();
        let known = self
            .by_service
            .entry(service.clone())
            .or_insert((count, now));
        if known.0 != count {
            *known = (count, now);
        }
        known.1
    }
}

fn plan(
    gateway: &Rc<Gateway>,
    service: &ServiceName,
    spec: &EngineSpec,
    engine_counts: &mut EngineCounts,
) {
    close_settled_orders(gateway);
    let engines = placed_engines(gateway, service, spec);
    let since = engine_counts.unchanged_since(service, engines.len());
    let has_no_layers = engines.iter().all(|engine| engine.layers.is_none());
    if has_no_layers && since.elapsed() < SETTLE_TIME {
        return;
    }
    for placement in place(spec, &engines) {
        issue_order(gateway, spec, placement);
    }
}

/// Returns the engines that hold or can be assigned layers. An engine with an open order
/// counts as holding the layers that were ordered.
fn placed_engines(
    gateway: &Gateway,
    service: &ServiceName,
    spec: &EngineSpec,
) -> Vec<PlacedEngine> {
    let open_orders = gateway.planner.open_orders.borrow();
    let instances = gateway.instances();
    let now = Instant::now();
    let present = instances.of_service(service).filter(|(_, tracked)| {
        let is_refusing = tracked.suspected_since().and(tracked.refused_since());
        let since = is_refusing.unwrap_or(now);
        tracked.is_presumed_alive(now) && since.elapsed() < LOSS_CONFIRMATION_TIME
    });
    let present = present.map(|(_, tracked)| (tracked, false));
    let lingering = instances.lingering(service, now);
    present
        .chain(lingering.map(|tracked| (tracked, true)))
        .filter_map(|(tracked, is_lingering)| {
            let instance = &tracked.instance;
            let accelerator = spec.accelerator(instance.accelerator.as_deref()?)?;
            // An entry with layers beyond the model is no engine of this service.
            if instance.layers.is_some_and(|held| !spec.has_layers(held)) {
                return None;
            }
            let order = open_orders
                .get(&instance.id)
                .filter(|order| order.born_unix_ms == instance.born_unix_ms);
            Some(PlacedEngine {
                id: instance.id.clone(),
                failure_domain: instance.failure_domain.clone(),
                memory_mb: accelerator.memory_mb,
                step_factor: accelerator.step_factor,
                prompt_factor: accelerator.prompt_factor,
                layers: order.map_or(instance.layers, |order| Some(order.layers)),
                is_busy: order.is_some(),
                is_slow: tracked.slowdown() >= MIN_SLOW_FACTOR,
                contact: if is_silent(tracked) {
                    Contact::Silent
                } else {
                    Contact::Answering
                },
                is_leaving: is_lingering || is_leaving(tracked),
            })
        })
        .collect()
}

/// Returns whether an engine is about to end, by its own word or by another sign that it has not
/// taken back for a while.
fn is_leaving(tracked: &TrackedInstance) -> bool {
    let inferred_at = tracked.inferred_leaving_since();
    tracked.instance.state == InstanceState::Draining
        || tracked.has_announced_leaving()
        || inferred_at.is_some_and(|at| at.elapsed() >= LOSS_CONFIRMATION_TIME)
}

/// Returns whether an engine has been silent for so long that others should hold its layers
/// too, if that aborts no streams.
fn is_silent(tracked: &TrackedInstance) -> bool {
    let since = tracked.suspected_since();
    since.is_some_and(|since| since.elapsed() >= LOSS_CONFIRMATION_TIME)
}

/// Closes orders whose effect shows in the engine's entry, and queries engines whose orders
/// are overdue.
fn close_settled_orders(gateway: &Rc<Gateway>) {
    let now = Instant::now();
    let mut overdue: Vec<(SmolStr, SocketAddr)> = Vec::new();
    {
        let instances = gateway.instances();
        let mut open_orders = gateway.planner.open_orders.borrow_mut();
        open_orders.retain(|id, order| {
            let Some(tracked) = instances.by_id(id) else {
                return false;
            };
            let instance = &tracked.instance;
            if instance.born_unix_ms != order.born_unix_ms {
                return false;
            }
            if instance.layers == Some(order.layers) {
                return false;
            }
            if order.query_at <= now && !order.is_querying {
                order.is_querying = true;
                overdue.push((id.clone(), instance.address));
            }
            true
        });
    }
    for (id, address) in overdue {
        let gateway = Rc::clone(gateway);
        spawn_local(async move {
            let report = probe::query_report(&gateway, address).await;
            on_report(&gateway, &id, report);
        });
    }
}

/// Processes the state of an engine that was queried about an overdue order.
fn on_report(gateway: &Gateway, id: &str, report: Option<EngineState>) {
    let mut open_orders = gateway.planner.open_orders.borrow_mut();
    let Some(order) = open_orders.get_mut(id) else {
        return;
    };
    order.is_querying = false;
    order.query_at = Instant::now() + ORDER_GRACE;
    let Some(report) = report else {
        return;
    };
    gateway
        .planner
        .order_counts
        .borrow_mut()
        .insert(SmolStr::new(id), (report.born_unix_ms, report.order_count));
    if report.is_busy {
        return;
    }
    info!(
        "event=order_settled id={id} wanted={} holds={} orders={}",
        order.layers,
        report
            .layers
            .map_or_else(|| "none".to_owned(), |layers| layers.to_string()),
        report.order_count
    );
    let layers = report.layers;
    open_orders.remove(id);
    drop(open_orders);
    gateway
        .instances_mut()
        .set_layers(id, layers, Instant::now());
}

/// Issues an order, or queries the engine for its number of begun orders if that is unknown.
fn issue_order(gateway: &Rc<Gateway>, spec: &EngineSpec, placement: Placement) {
    let target = gateway.instances().by_id(&placement.id).map(|tracked| {
        let instance = &tracked.instance;
        (instance.address, instance.born_unix_ms, instance.layers)
    });
    let Some((address, born_unix_ms, held_layers)) = target else {
        return;
    };
    let known_count = gateway
        .planner
        .order_counts
        .borrow()
        .get(&placement.id)
        .copied();
    let expected_count = match known_count {
        Some((counted_life, count)) if counted_life == born_unix_ms => Some(count),
        // An engine that holds no layers has begun no order since it started.
        _ if held_layers.is_none() => Some(0),
        _ => None,
    };
    let added_layers = placement.layers.len() - overlap(placement.layers, held_layers);
    let load_time = Duration::try_from_secs_f64(
        SHARED_LOAD_FACTOR * spec.load_s * f64::from(added_layers) / f64::from(spec.layer_count),
    );
    let load_time = load_time.map_or(MAX_LOAD_TIME, |time| time.min(MAX_LOAD_TIME));
    let can_issue = expected_count.is_some();
    gateway.planner.open_orders.borrow_mut().insert(
        placement.id.clone(),
        OpenOrder {
            born_unix_ms,
            layers: placement.layers,
            query_at: Instant::now()
                + if can_issue {
                    load_time + ORDER_GRACE
                } else {
                    Duration::ZERO
                },
            is_querying: false,
        },
    );
    let Some(expected_count) = expected_count else {
        return;
    };
    gateway.metrics.count("order");
    let gateway = Rc::clone(gateway);
    spawn_local(async move {
        let body = place_order(placement.layers, placement.give_up, expected_count);
        let answer = probe::send_order(&gateway, address, body).await;
        info!(
            "event=order id={} layers={} give_up={:?} expected={expected_count} answer={answer:?} \
             store={}",
            placement.id,
            placement.layers,
            placement.give_up,
            gateway.is_store_up()
        );
        on_order_answer(
            &gateway,
            &placement.id,
            born_unix_ms,
            expected_count,
            answer,
        );
    });
}

/// Processes an engine's answer to an order.
fn on_order_answer(
    gateway: &Gateway,
    id: &SmolStr,
    born_unix_ms: u64,
    expected_count: u64,
    answer: Option<OrderAnswer>,
) {
    match answer {
        Some(OrderAnswer::Begun) => {
            let order_counts = &gateway.planner.order_counts;
            let count = (born_unix_ms, expected_count.saturating_add(1));
            order_counts.borrow_mut().insert(id.clone(), count);
        }
        Some(OrderAnswer::Holds) => {}
        Some(OrderAnswer::Conflict | OrderAnswer::Refused(_)) | None => {
            if let Some(order) = gateway.planner.open_orders.borrow_mut().get_mut(id) {
                order.query_at = Instant::now();
            }
        }
    }
}

/// Returns the number of layers that two ranges share.
fn overlap(a: LayerRange, b: Option<LayerRange>) -> u32 {
    b.map_or(0, |b| {
        LayerRange::new(a.first.max(b.first), a.end.min(b.end)).len()
    })
}
