//! The explanation of a choice by the state of the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use jujubewall_routing::fleet::explain::bound_candidates;
use jujubewall_routing::fleet::explain::explain_call;
use jujubewall_routing::fleet::instances::Evidence;
use jujubewall_routing::fleet::instances::InstanceTable;
use jujubewall_routing::fleet::layer_path::CapacityLimits;
use jujubewall_routing::fleet::layer_path::PathRequest;
use jujubewall_routing::fleet::layer_path::Preference;
use jujubewall_routing::fleet::layer_path::StreamNeed;
use jujubewall_routing::fleet::layer_path::choose_path;
use jujubewall_routing::fleet::layer_path::explain_path;
use jujubewall_routing::fleet::service_choice::CALL_WORK;
use jujubewall_testutils::engine_spec::engine_spec;
use jujubewall_types::explain::ExplainedPart;
use jujubewall_types::fleet::Instance;
use jujubewall_types::fleet::InstanceState;
use jujubewall_types::id::FailureDomainName;
use jujubewall_types::id::ServiceName;
use jujubewall_types::layer::LayerRange;
use smol_str::format_smolstr;
use tokio::time::Instant;

fn service() -> ServiceName {
    ServiceName::new("model").unwrap()
}

fn instance(index: u16, layers: Option<LayerRange>) -> Instance {
    Instance {
        id: format_smolstr!("upstream-{index:03}"),
        born_unix_ms: 1,
        service: service(),
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index)),
        failure_domain: FailureDomainName::new("a").unwrap(),
        state: InstanceState::Ready,
        slots: 2,
        accelerator: layers.map(|_| "large".into()),
        layers,
    }
}

/// An explanation that left out a belief would not show why an upstream gets nothing.
#[test]
fn test_explained_call_lists_each_exclusion_with_its_age() {
    let mut now = Instant::now();
    let mut table = InstanceTable::new();
    let keys: Vec<_> = (0..5)
        .map(|index| table.upsert(instance(index, None), now))
        .collect();
    table.suspect(keys[0], Evidence::Silent, now);
    table.note_health(keys[1], false, now);
    table.pause(keys[2], Duration::from_secs(2), now);
    for _ in 0..6 {
        table.begin_work(keys[3], &CALL_WORK, now);
    }
    now += Duration::from_millis(700);
    let explained = explain_call(&table, &service(), now);
    let exclusions: Vec<_> = explained
        .iter()
        .map(|candidate| {
            let mut exclusions = candidate.exclusions.iter();
            let first = exclusions.next();
            first.map(|exclusion| {
                let belief = exclusion.belief.to_string();
                (belief, exclusion.age_ms, exclusion.ends_in_ms)
            })
        })
        .collect();
    let expected = |belief: &str, age_ms, ends_in_ms| Some((belief.to_owned(), age_ms, ends_in_ms));
    assert_eq!(
        exclusions,
        [
            expected("suspected: it was silent", Some(700), None),
            expected(
                "it may be leaving: a health check has to tell",
                Some(700),
                None
            ),
            expected("it asks for no requests", None, Some(1_300)),
            expected("full", None, None),
            None,
        ]
    );
    assert_eq!(explained[4].free_slots, 6);
}

/// The chosen engines come first, so that the bound of the document never hides them.
#[test]
fn test_explained_path_is_bounded_and_begins_with_the_chosen_engines() {
    let now = Instant::now();
    let spec = engine_spec();
    let mut table = InstanceTable::new();
    for index in 0..300 {
        let first = u32::from(index % 4) * 20;
        table.upsert(
            instance(index, Some(LayerRange::new(first, first + 20))),
            now,
        );
    }
    let choice = PathRequest {
        service: &service(),
        spec: &spec,
        need: &StreamNeed {
            prompt_tokens: 800.0,
            answer_tokens: 200.0,
        },
        excluded: &[],
        limits: CapacityLimits::UNRANKED,
        may_cross: false,
        preference: Preference::default(),
    };
    let path = choose_path(&table, &choice, now).unwrap();
    let used: Vec<ExplainedPart> = path
        .parts
        .iter()
        .map(|part| ExplainedPart {
            upstream: table.get(part.instance).unwrap().instance.id.clone(),
            layers: Some(part.layers),
        })
        .collect();
    let explained = explain_path(&table, &choice, now);
    assert_eq!(explained.len(), 300);
    let is_used =
        |used: &[ExplainedPart], upstream: &str| used.iter().any(|part| part.upstream == upstream);
    let chosen = explained
        .iter()
        .filter(|candidate| is_used(&used, &candidate.upstream));
    for candidate in chosen {
        assert_eq!(candidate.exclusions, []);
        assert!(candidate.free_context_tokens.unwrap() > 1_000);
    }
    // Without use, the order of equal costs is that of the names.
    let last = ExplainedPart {
        upstream: "upstream-299".into(),
        layers: None,
    };
    for used in [&used[..], &[last]] {
        let mut bounded = explained.clone();
        assert_eq!(bound_candidates(&mut bounded, used), 200);
        let first = &bounded[..used.len()];
        assert!(
            first
                .iter()
                .all(|candidate| is_used(used, &candidate.upstream))
        );
    }
}
