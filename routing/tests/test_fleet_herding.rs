//! Many gateways that choose paths by load reports of some age.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::fleet::instances::InstanceKey;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::instances::PeerReport;
use jujubewall_routing::fleet::instances::PeerSharing;
use jujubewall_routing::fleet::instances::WorkReport;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::PathRequest;
use jujubewall_routing::fleet::layer_path::Preference;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::layer_path::choose_path;
use jujubewall_routing::fleet::layer_path::part_work;
use jujubewall_testutils::engine_spec::engine_spec;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use smol_str::format_smolstr;
use tokio::time::Instant;

const GATEWAYS: usize = 103;
const DOMAINS: usize = 5;

/// The copies of the model in each domain, of ten engines each.
const COPIES: u32 = 2;

const NEED: StreamNeed = StreamNeed {
    prompt_tokens: 760.0,
    answer_tokens: 180.0,
};

/// The time between two streams of the fleet: 330 a second, as at a site with a hundred
/// gateways.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(3);

/// The duration of a stream.
const STREAM_TIME: Duration = Duration::from_millis(3_200);

fn domain(index: usize) -> FailureDomainName {
    FailureDomainName::new(format!("domain-{}", index % DOMAINS)).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("model").unwrap()
}

/// Creates the instance table of one gateway, with complete copies of the model on large
/// engines.
fn table(now: Instant) -> (InstanceTable, Vec<InstanceKey>) {
    let mut table = InstanceTable::new();
    let mut keys = Vec::new();
    for at in 0..DOMAINS {
        for copy in 0..COPIES {
            for first in (0..80).step_by(8) {
                let port = 1_000 + u16::try_from(keys.len()).unwrap();
                keys.push(table.upsert(
                    Instance {
                        id: format_smolstr!("{at}-{copy}-{first}"),
                        born_unix_ms: 1,
                        service: service(),
                        address: SocketAddr::from(([10, 0, 0, 1], port)),
                        failure_domain: domain(at),
                        state: InstanceState::Ready,
                        slots: 192,
                        accelerator: Some("small".into()),
                        layers: Some(LayerRange::new(first, first + 8)),
                    },
                    now,
                ));
            }
        }
    }
    (table, keys)
}

/// The observed load on first engines.
struct LoadSpread {
    /// The most streams that one engine had at once, as a factor on the mean.
    busiest_factor: f64,
    /// The number of pairs of a gateway and a first engine that were used.
    pairs: usize,
    /// The number of streams for which no path was found.
    rejected: usize,
}

/// Simulates streams that arrive evenly at gateways which learn of each other's work after
/// `age`, and measures the load on the first engines.
fn simulate(age: Duration, prefers: bool) -> LoadSpread {
    let spec = engine_spec();
    let start = Instant::now();
    let mut gateways: Vec<(InstanceTable, Vec<InstanceKey>)> =
        (0..GATEWAYS).map(|_| table(start)).collect();
    let names: Vec<MemberName> = (0..GATEWAYS)
        .map(|index| MemberName::new(format!("front-{index}")).unwrap())
        .collect();
    let mut reported_at = vec![start; GATEWAYS];
    let mut ends: VecDeque<(
        Instant,
        usize,
        jujubewall_routing::fleet::layer_path::LayerPath,
    )> = VecDeque::new();
    let mut load = vec![0_u32; gateways[0].1.len()];
    let mut busiest = 0.0_f64;
    let mut pairs = std::collections::BTreeSet::new();
    let mut rejected = 0;
    let mut now = start;
    for arrival in 0..2_600_usize {
        now += ARRIVAL_INTERVAL;
        while let Some((end, _, _)) = ends.front()
            && *end <= now
        {
            let Some((_, gateway, path)) = ends.pop_front() else {
                break;
            };
            let (table, keys) = &mut gateways[gateway];
            for part in &path.parts {
                table.end_work(part.instance, &part_work(&NEED, part));
            }
            let first = keys.iter().position(|key| *key == path.parts[0].instance);
            load[first.unwrap()] -= 1;
        }
        // One gateway at a time reports to all others, so reports are up to `age` old.
        let reporter = arrival % GATEWAYS;
        let due = now - reported_at[reporter] >= age;
        if due {
            reported_at[reporter] = now;
            let work: Vec<WorkReport> = gateways[reporter].0.work_reports();
            let report = PeerReport {
                work: &work,
                suspects: &[],
                failing: &[],
                lifetime: age * 3,
            };
            for (index, (table, _)) in gateways.iter_mut().enumerate() {
                if index != reporter {
                    table.apply_peer_report(&names[reporter], &report, now);
                }
            }
        }
        // The order in which clients arrive is independent of the order of the reports.
        let gateway = arrival * 37 % GATEWAYS;
        let own_domain = domain(gateway);
        let preference = if prefers {
            Preference {
                own_domain: Some(&own_domain),
                domain_order_seed: gateway as u64,
                jitter_seed: 1 + arrival as u64 * 7_919,
            }
        } else {
            Preference::default()
        };
        let choice = PathRequest {
            service: &service(),
            spec: &spec,
            need: &NEED,
            excluded: &[],
            may_cross: false,
            preference,
            limits: CapacityLimits::UNRANKED,
        };
        let (table, keys) = &mut gateways[gateway];
        let Ok(path) = choose_path(table, &choice, now) else {
            rejected += 1;
            continue;
        };
        for part in &path.parts {
            table.begin_work(part.instance, &part_work(&NEED, part), now);
        }
        let first = keys.iter().position(|key| *key == path.parts[0].instance);
        let first = first.unwrap();
        load[first] += 1;
        pairs.insert((gateway, first));
        // After the first streams have ended, the load is steady.
        if now > start + STREAM_TIME {
            let mean = ends.len() as f64 / (DOMAINS as f64 * f64::from(COPIES));
            busiest = busiest.max(f64::from(load[first]) / mean);
        }
        ends.push_back((now + STREAM_TIME, gateway, path));
    }
    LoadSpread {
        busiest_factor: busiest,
        pairs: pairs.len(),
        rejected,
    }
}

/// Guards against herding at a hundred gateways under calm load: all took the cheapest path
/// by reports up to two seconds old, so first engines were overloaded in turn.
#[test]
fn test_gateways_with_old_reports_spread_over_all_copies() {
    for (age_ms, most) in [(100, 2.0), (500, 2.0), (2_000, 2.0)] {
        let age = Duration::from_millis(age_ms);
        let before = simulate(age, false);
        let after = simulate(age, true);
        println!(
            "age {age_ms} ms: busiest {:.2} before, {:.2} after; pairs {} and {}",
            before.busiest_factor, after.busiest_factor, before.pairs, after.pairs
        );
        assert!(after.busiest_factor <= most, "{age_ms} ms");
        assert!(after.busiest_factor <= before.busiest_factor, "{age_ms} ms");
        assert!(after.rejected <= before.rejected);
        // Connections are kept for each pair of a gateway and a first engine.
        assert!(after.pairs * 2 <= before.pairs, "{age_ms} ms");
    }
}

/// Guards against herding after all gateways have restarted: there are no reports yet, and
/// the clients of all broken streams arrive at once. The copy that seemed cheapest got
/// nearly all of them.
#[test]
fn test_gateways_without_reports_do_not_overload_one_copy() {
    let shares = [false, true].map(|has_estimate| {
        let now = Instant::now();
        let mut first_counts = [0_u32; 2];
        for gateway in 0..21 {
            let (mut table, keys) = table(now);
            // The first copy of the own domain is slightly slower.
            assert!(table.set_slowdown(keys[0], 1.4, now));
            if has_estimate {
                table.set_peer_sharing(PeerSharing {
                    own_domain: Some(domain(0)),
                    same_domain_peers: 20.0,
                    cross_domain_peers: 5.0,
                    report_age: Duration::from_millis(200),
                });
            }
            for stream in 0..6_u64 {
                let own_domain = domain(0);
                let choice = PathRequest {
                    service: &service(),
                    spec: &engine_spec(),
                    need: &NEED,
                    excluded: &[],
                    may_cross: false,
                    preference: Preference {
                        own_domain: Some(&own_domain),
                        domain_order_seed: gateway,
                        jitter_seed: 1 + stream,
                    },
                    limits: CapacityLimits::UNRANKED,
                };
                let path = choose_path(&table, &choice, now).unwrap();
                for part in &path.parts {
                    table.begin_work(part.instance, &part_work(&NEED, part), now);
                }
                let first = keys.iter().position(|key| *key == path.parts[0].instance);
                match first.unwrap() {
                    0 => first_counts[0] += 1,
                    10 => first_counts[1] += 1,
                    _ => {}
                }
            }
        }
        let all = 21.0 * 6.0;
        f64::from(first_counts[0].max(first_counts[1])) / all
    });
    let [before, after] = shares;
    assert!(after <= 0.55, "{after} of all streams on one copy");
    assert!(after < before, "{before} before");
}
