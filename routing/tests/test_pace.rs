//! The pace of upstreams that are new or have recovered, simulated on virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::instances::PeerReport;
use jujubewall_routing::fleet::instances::PeerSharing;
use jujubewall_routing::fleet::instances::Suspicion;
use jujubewall_routing::fleet::instances::TimedAnswer;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::LayerPath;
use jujubewall_routing::fleet::layer_path::PathRequest;
use jujubewall_routing::fleet::layer_path::Preference;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::layer_path::choose_path;
use jujubewall_routing::fleet::layer_path::part_work;
use jujubewall_routing::fleet::pace::PaceStep;
use jujubewall_routing::fleet::pace::Recovery;
use jujubewall_routing::fleet::pace::predicted_first_event;
use jujubewall_routing::fleet::service_choice::CALL_WORK;
use jujubewall_routing::fleet::service_choice::choose_upstream;
use jujubewall_testutils::engine_spec::engine_spec;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use smol_str::format_smolstr;
use tokio::time::Instant;

/// The calls that an upstream runs at once.
const SLOTS: usize = 8;

/// The time of a call on a warm upstream.
const CALL_TIME: Duration = Duration::from_millis(40);

/// The time for which an upstream is cold after its start, and the factor on the time of calls
/// that begin in it.
const COLD_TIME: Duration = Duration::from_secs(1);
const COLD_FACTOR: f64 = 4.0;

/// The time in which calls should be answered.
const TARGET: Duration = Duration::from_millis(150);

/// The calls a second for each upstream, 0.4 of its capacity.
const CALLS_PER_S: usize = 80;

/// The interval at which gateways report their work to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

fn service() -> ServiceName {
    ServiceName::new("plain").unwrap()
}

fn domain() -> FailureDomainName {
    FailureDomainName::new("a").unwrap()
}

fn instance(index: usize, born_unix_ms: u64) -> Instance {
    Instance {
        id: format_smolstr!("upstream-{index}"),
        born_unix_ms,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap())),
        failure_domain: domain(),
        state: InstanceState::Ready,
        slots: u32::try_from(SLOTS).unwrap(),
        accelerator: None,
        layers: None,
    }
}

/// An upstream that runs calls in the order of their arrival.
struct Upstream {
    slot_free_at: [Instant; SLOTS],
    warm_at: Instant,
    /// The factor on the time of every call.
    slow_factor: f64,
    started_at: Vec<Instant>,
    latencies: Vec<Duration>,
}

/// A call in flight, ordered by its end: the gateway, the upstream, its key and the start.
type Call = Reverse<(Instant, usize, usize, InstanceKey, Instant)>;

/// Gateways that call the upstreams of a plain service.
struct World {
    now: Instant,
    tables: Vec<InstanceTable>,
    upstreams: Vec<Upstream>,
    calls: BinaryHeap<Call>,
    reported_at: Instant,
    arrivals: usize,
    rejected: usize,
}

impl World {
    /// Creates gateways that know all upstreams. Without pacing, they behave as before the
    /// first fill of their tables.
    fn new(gateways: usize, upstreams: usize, has_pacing: bool) -> Self {
        let now = Instant::now();
        let table = |seed: usize| {
            let mut table = InstanceTable::new();
            for index in 0..upstreams {
                table.upsert(instance(index, 1), now);
            }
            if has_pacing {
                table.set_filled();
            }
            table.set_pace_seed(seed as u64 * 7_919);
            table.set_peer_sharing(PeerSharing {
                own_domain: Some(domain()),
                same_domain_peers: (gateways - 1) as f64,
                cross_domain_peers: 0.0,
                report_age: REPORT_INTERVAL,
            });
            table
        };
        let upstream = |_| Upstream {
            slot_free_at: [now; SLOTS],
            warm_at: now,
            slow_factor: 1.0,
            started_at: Vec::new(),
            latencies: Vec::new(),
        };
        let mut world = Self {
            now,
            tables: (0..gateways).map(table).collect(),
            upstreams: (0..upstreams).map(upstream).collect(),
            calls: BinaryHeap::new(),
            reported_at: now,
            arrivals: 0,
            rejected: 0,
        };
        world.run(Duration::from_secs(3));
        world
    }

    /// Replaces an upstream by a new, cold incarnation.
    fn restart(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.slot_free_at = [self.now; SLOTS];
        upstream.warm_at = self.now + COLD_TIME;
        upstream.started_at.clear();
        upstream.latencies.clear();
        for table in &mut self.tables {
            table.upsert(instance(index, 2), self.now);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let interval = Duration::from_secs(1)
            / u32::try_from(self.upstreams.len()).unwrap()
            / u32::try_from(CALLS_PER_S).unwrap();
        while self.now < end {
            self.now += interval;
            self.end_calls();
            if self.now - self.reported_at >= REPORT_INTERVAL {
                self.reported_at = self.now;
                self.exchange_reports();
            }
            self.arrivals += 1;
            self.start_call(self.arrivals * 37 % self.tables.len());
        }
    }

    fn end_calls(&mut self) {
        while let Some(Reverse((ended_at, gateway, index, key, started_at))) =
            self.calls.peek().copied()
            && ended_at <= self.now
        {
            self.calls.pop();
            let table = &mut self.tables[gateway];
            table.end_work(key, &CALL_WORK);
            let answer = TimedAnswer {
                service: &service(),
                predicted: TARGET,
                started_at,
            };
            table.note_answer([key].into_iter(), &answer, ended_at);
            table.note_outcome(key, false, ended_at);
            self.upstreams[index].latencies.push(ended_at - started_at);
        }
    }

    fn exchange_reports(&mut self) {
        let reports: Vec<_> = self
            .tables
            .iter()
            .map(InstanceTable::work_reports)
            .collect();
        for (reporter, work) in reports.iter().enumerate() {
            let name = MemberName::new(format!("gateway-{reporter}")).unwrap();
            let report = PeerReport {
                work,
                suspects: &[],
                failing: &[],
                lifetime: 3 * REPORT_INTERVAL,
            };
            for (index, table) in self.tables.iter_mut().enumerate() {
                if index != reporter {
                    table.apply_peer_report(&name, &report, self.now);
                }
            }
        }
    }

    fn start_call(&mut self, gateway: usize) {
        let table = &mut self.tables[gateway];
        let draw = (self.arrivals as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let Ok(key) = choose_upstream(table, &service(), &[], draw, self.now) else {
            self.rejected += 1;
            return;
        };
        table.begin_work(key, &CALL_WORK, self.now);
        let port = table.get(key).unwrap().instance.address.port();
        let index = usize::from(port - 1_000);
        let upstream = &mut self.upstreams[index];
        upstream.started_at.push(self.now);
        let slot = upstream.slot_free_at.iter_mut().min().unwrap();
        let begins_at = (*slot).max(self.now);
        let cold = if begins_at < upstream.warm_at {
            COLD_FACTOR
        } else {
            1.0
        };
        *slot = begins_at + CALL_TIME.mul_f64(cold * upstream.slow_factor);
        self.calls
            .push(Reverse((*slot, gateway, index, key, self.now)));
    }

    /// Returns the number of calls started at an upstream in the last `time`.
    fn starts_in_last(&self, index: usize, time: Duration) -> usize {
        let since = self.now - time;
        let starts = self.upstreams[index].started_at.iter();
        starts.filter(|at| **at > since).count()
    }

    /// Returns the number of answers of an upstream that took longer than the target.
    fn late_answers(&self, index: usize) -> usize {
        let latencies = self.upstreams[index].latencies.iter();
        latencies.filter(|latency| **latency > TARGET).count()
    }

    /// Returns the number of gateways that pace an upstream.
    fn pacing_gateways(&self, index: usize) -> usize {
        let is_pacing = |table: &&InstanceTable| {
            let tracked = table.by_id(&format!("upstream-{index}")).unwrap();
            tracked.is_paced(self.now)
        };
        self.tables.iter().filter(is_pacing).count()
    }

    fn steps(&mut self, gateway: usize) -> Vec<PaceStep> {
        let changes = self.tables[gateway].take_pace_changes(self.now);
        changes.into_iter().map(|change| change.step).collect()
    }
}

/// Restarts upstreams with and without pacing. Returns for each case the calls that the first
/// of them got in its first 200 ms, and the late answers of all in six seconds.
fn compare_restart(gateways: usize, upstreams: usize, restarted: usize) -> [(usize, usize); 2] {
    [true, false].map(|has_pacing| {
        let mut world = World::new(gateways, upstreams, has_pacing);
        for index in 0..restarted {
            world.restart(index);
        }
        world.run(Duration::from_millis(200));
        let first_starts = world.starts_in_last(0, Duration::from_millis(200));
        world.run(Duration::from_millis(5_800));
        let late = (0..restarted).map(|index| world.late_answers(index)).sum();
        println!(
            "gateways={gateways} restarted={restarted}/{upstreams} paced={has_pacing} \
             first_starts={first_starts} late={late} rejected={} last_s={:?} pacing={}",
            world.rejected,
            (0..restarted)
                .map(|index| world.starts_in_last(index, Duration::from_secs(1)))
                .collect::<Vec<_>>(),
            world.pacing_gateways(0)
        );
        assert_eq!(world.rejected, 0);
        for index in 0..restarted {
            // An upstream that is left idle after its return is the other fault.
            let starts = world.starts_in_last(index, Duration::from_secs(1));
            assert!(starts >= CALLS_PER_S * 7 / 10, "{index}: {starts}");
        }
        // A gateway that is not sent more than its pace stops pacing.
        world.run(Duration::from_secs(6));
        for index in 0..restarted {
            assert_eq!(world.pacing_gateways(index), 0);
        }
        (first_starts, late)
    })
}

/// A gateway sent calls to an upstream that had just started until it had as many in flight as
/// the others, which delayed them while it was cold.
#[test]
fn test_one_returning_upstream_gets_calls_at_its_pace() {
    let [paced, unpaced] = compare_restart(1, 12, 1);
    assert!(paced.0 < unpaced.0, "{paced:?} {unpaced:?}");
    assert!(paced.1 * 2 <= unpaced.1, "{paced:?} {unpaced:?}");
}

/// A third of the upstreams that return at once drew most calls to themselves while cold.
#[test]
fn test_third_of_upstreams_that_return_get_calls_at_their_pace() {
    let [paced, unpaced] = compare_restart(6, 12, 4);
    assert!(paced.1 * 2 <= unpaced.1, "{paced:?} {unpaced:?}");
}

/// Thirty gateways that found an idle upstream at the same moment each sent it a call at once.
#[test]
fn test_thirty_gateways_share_the_pace() {
    let [paced, unpaced] = compare_restart(30, 12, 1);
    assert!(paced.0 * 2 <= unpaced.0, "{paced:?} {unpaced:?}");
    assert!(paced.1 * 2 <= unpaced.1, "{paced:?} {unpaced:?}");
}

/// An upstream that is slow for good was given calls until it had as many in flight as the
/// others, all of them late. Pacing it without end would withhold its capacity for good.
#[test]
fn test_slow_upstream_gets_few_calls_until_the_time_limit() {
    let [paced, unpaced] = [true, false].map(|has_pacing| {
        let mut world = World::new(6, 12, has_pacing);
        world.upstreams[0].slow_factor = 6.0;
        world.restart(0);
        world.run(Duration::from_secs(50));
        let counts = (
            world.starts_in_last(0, Duration::from_secs(40)),
            world.rejected,
        );
        if has_pacing {
            assert_eq!(world.pacing_gateways(0), 6);
            world.run(Duration::from_secs(11));
            assert_eq!(world.pacing_gateways(0), 0);
            let steps = world.steps(0);
            assert!(steps.contains(&PaceStep::LowerLate), "{steps:?}");
            assert_eq!(steps.last(), Some(&PaceStep::EndTimeLimit));
            assert_eq!(
                steps
                    .iter()
                    .filter(|step| **step == PaceStep::Raise)
                    .count(),
                0
            );
        }
        counts
    });
    println!("slow: paced={paced:?} unpaced={unpaced:?}");
    assert!(paced.0 * 4 <= unpaced.0, "{paced:?} {unpaced:?}");
    assert_eq!((paced.1, unpaced.1), (0, 0));
}

/// An upstream that is suspected and cleared again and again got the full pace of a recovered
/// one each time.
#[test]
fn test_flapping_upstream_begins_at_lower_paces() {
    let mut world = World::new(1, 4, true);
    let key = world.tables[0].at_address(instance(0, 1).address).unwrap();
    let mut begins = Vec::new();
    for _ in 0..5 {
        let table = &mut world.tables[0];
        let suspicion = table.suspect(key, Evidence::Silent, world.now);
        assert_eq!(suspicion, Suspicion::New);
        world.run(Duration::from_millis(500));
        let now = world.now;
        let table = &mut world.tables[0];
        assert!(table.clear_suspicion(key, now).is_some());
        for change in table.take_pace_changes(now) {
            if change.step == PaceStep::Begin(Recovery::SuspicionCleared) {
                begins.push(change.starts_per_s);
            }
        }
        world.run(Duration::from_millis(500));
    }
    assert_eq!(begins.len(), 5);
    let is_lower = |pair: &[f64]| pair[1] < pair[0] || pair[0] <= begins[0] / 4.0;
    assert!(begins.windows(2).all(is_lower), "{begins:?}");
    assert_eq!(world.rejected, 0);
    // Once it stays, its pace rises until it ends.
    world.run(Duration::from_secs(6));
    assert_eq!(world.pacing_gateways(0), 0);
}

/// Failures and slowdowns that have fallen back count as recoveries; without hysteresis, each
/// small change would.
#[test]
fn test_failures_and_slowdowns_that_end_begin_a_pace() {
    let mut now = Instant::now();
    let mut table = InstanceTable::new();
    let keys: Vec<InstanceKey> = (0..4)
        .map(|index| table.upsert(instance(index, 1), now))
        .collect();
    table.set_filled();
    for _ in 0..10 {
        table.note_outcome(keys[0], true, now);
    }
    assert!(!table.get(keys[0]).unwrap().is_paced(now));
    now += Duration::from_secs(8);
    table.begin_work(keys[0], &CALL_WORK, now);
    assert!(table.get(keys[0]).unwrap().is_paced(now));
    table.set_slowdown(keys[1], 4.0, now);
    assert!(!table.get(keys[1]).unwrap().is_paced(now));
    table.set_slowdown(keys[1], 1.4, now);
    assert!(!table.get(keys[1]).unwrap().is_paced(now));
    table.set_slowdown(keys[1], 1.0, now);
    table.set_slowdown(keys[2], 1.4, now);
    table.set_slowdown(keys[2], 1.0, now);
    assert!(table.get(keys[1]).unwrap().is_paced(now));
    assert!(!table.get(keys[2]).unwrap().is_paced(now));
}

const NEED: StreamNeed = StreamNeed {
    prompt_tokens: 760.0,
    answer_tokens: 180.0,
};

fn engine(id: &str, layers: LayerRange) -> Instance {
    Instance {
        id: id.into(),
        accelerator: Some("large".into()),
        layers: Some(layers),
        slots: 192,
        ..instance(id.bytes().map(usize::from).sum(), 1)
    }
}

fn choose(table: &InstanceTable, now: Instant) -> LayerPath {
    let choice = PathRequest {
        service: &service(),
        spec: &engine_spec(),
        need: &NEED,
        excluded: &[],
        limits: CapacityLimits::UNRANKED,
        may_cross: false,
        preference: Preference::default(),
    };
    choose_path(table, &choice, now).unwrap()
}

/// A paced engine that alone holds a layer must take every stream; one of two holders takes
/// those within its pace.
#[test]
fn test_only_holder_of_a_layer_is_never_withheld() {
    let mut now = Instant::now();
    let mut table = InstanceTable::new();
    for first in [0, 20, 40, 60] {
        let layers = LayerRange::new(first, first + 20);
        table.upsert(engine(&format!("a-{first}"), layers), now);
        if first != 40 {
            table.upsert(engine(&format!("b-{first}"), layers), now);
        }
    }
    table.set_filled();
    let middle = LayerRange::new(40, 60);
    let mut begin = |table: &mut InstanceTable, is_ended: bool| {
        let path = choose(table, now);
        for part in &path.parts {
            table.begin_work(part.instance, &part_work(&NEED, part), now);
        }
        if is_ended {
            for part in &path.parts {
                table.end_work(part.instance, &part_work(&NEED, part));
            }
        }
        now += Duration::from_millis(5);
        path
    };
    let restarted = Instance {
        born_unix_ms: 2,
        ..engine("a-40", middle)
    };
    let only = table.upsert(restarted, Instant::now());
    for _ in 0..200 {
        let path = begin(&mut table, true);
        assert!(path.parts.iter().any(|part| part.instance == only));
    }
    let at = now;
    assert!(table.get(only).unwrap().is_at_pace(at));

    // With another holder, the streams beyond the pace go there.
    table.upsert(engine("b-40", middle), now);
    let second = table.by_id("b-40").unwrap().instance.address;
    let second = table.at_address(second).unwrap();
    let mut begin_at = now;
    let mut starts = 0;
    for _ in 0..200 {
        let path = choose(&table, begin_at);
        for part in &path.parts {
            table.begin_work(part.instance, &part_work(&NEED, part), begin_at);
            table.end_work(part.instance, &part_work(&NEED, part));
        }
        starts += usize::from(path.parts.iter().any(|part| part.instance == second));
        begin_at += Duration::from_millis(5);
    }
    // Twenty a second, and those of the time in which both are at their pace.
    assert!((10..150).contains(&starts), "{starts}");
}

/// The prediction for a path is what lateness is judged by; one that left out the prefill would
/// make every first event late.
#[test]
fn test_late_first_events_lower_the_pace_of_paced_engines_only() {
    let spec = engine_spec();
    let start = Instant::now();
    let mut table = InstanceTable::new();
    // Two starts a second are this gateway's share, so one answer is a round.
    table.set_peer_sharing(PeerSharing {
        own_domain: Some(domain()),
        same_domain_peers: 9.0,
        ..PeerSharing::default()
    });
    let keys = [0, 40].map(|first| {
        let layers = LayerRange::new(first, first + 40);
        table.upsert(engine(&format!("a-{first}"), layers), start);
        let restarted = Instance {
            born_unix_ms: 1 + u64::from(first > 0),
            ..engine(&format!("a-{first}"), layers)
        };
        table.set_filled();
        table.upsert(restarted, start)
    });
    let path = choose(&table, start);
    let predicted = predicted_first_event(&table, &spec, &NEED, &path);
    let prefill_s = NEED.prompt_tokens / spec.prompt_tokens_per_s;
    let first_event_s = prefill_s + spec.tokens_per_event * path.token_ms / 1_000.0;
    let difference_s = predicted.as_secs_f64() - first_event_s;
    assert!(difference_s.abs() < 1e-6, "{predicted:?} {first_event_s}");
    let mut pace_after = |factor: f64, started_at: Instant| {
        let answer = TimedAnswer {
            service: &service(),
            predicted,
            started_at,
        };
        let answered_at = started_at + predicted.mul_f64(factor);
        for part in &path.parts {
            table.begin_work(part.instance, &part_work(&NEED, part), started_at);
        }
        table.note_answer(keys.into_iter(), &answer, answered_at);
        assert!(!table.get(keys[0]).unwrap().is_paced(answered_at));
        table
            .get(keys[1])
            .unwrap()
            .starts_per_s(answered_at)
            .unwrap()
    };
    let later = |ms| start + Duration::from_millis(ms);
    let raised = pace_after(1.0, later(300));
    assert!(raised > 2.0, "{raised}");
    assert!(pace_after(20.0, later(700)) < raised);
}
