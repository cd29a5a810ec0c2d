//! Tests of single decisions about calls that must not be repeated.

mod order_world;

use std::time::Duration;

use jujubewall_protocol::call::CallMessage;
use jujubewall_routing::order::settings::AgentOrderSettings;
use jujubewall_testutils::key_value::Outage;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::id::Incarnation;
use jujubewall_types::outcome::Outcome;

use crate::order_world::DEADLINE;
use crate::order_world::Io;
use crate::order_world::World;
use crate::order_world::agent_address;

fn world() -> World {
    World::new(2, 2, AgentOrderSettings::default())
}

fn told(world: &World, order: usize) -> (Outcome, Option<ErrorKind>) {
    let answer = &world.orders[order].answers[0];
    let kind = answer.failure.as_ref().map(|failure| failure.kind);
    (answer.outcome, kind)
}

#[test]
fn test_key_repeated_anywhere_gets_the_recorded_reply() {
    let mut world = world();
    let first = world.submit(0, 0, Some("k"), "body");
    world.settle();
    let repeat = world.submit(1, 1, Some("k"), "body");
    world.settle();
    world.restart_agent(0);
    let after_restart = world.submit(1, 0, Some("k"), "body");
    let reused = world.submit(0, 1, Some("k"), "another body");
    world.settle();
    for order in [first, repeat, after_restart] {
        assert_eq!(told(&world, order), (Outcome::Completed, None));
    }
    let expected = (Outcome::NotRun, Some(ErrorKind::KeyReused));
    assert_eq!(told(&world, reused), expected);
    assert_eq!(world.service.runs(), 1);
    world.check_truth();
}

#[test]
fn test_key_whose_reply_was_lost_stays_unknown() {
    let mut world = world();
    world
        .service
        .set_faults(|faults| faults.lose_next_replies = 1);
    let first = world.submit(0, 0, Some("k"), "body");
    world.settle();
    let repeat = world.submit(1, 1, Some("k"), "body");
    world.settle();
    for order in [first, repeat] {
        let expected = (Outcome::Unknown, Some(ErrorKind::OutcomeUnknown));
        assert_eq!(told(&world, order), expected);
    }
    assert_eq!(world.service.runs(), 1);
}

#[test]
fn test_refused_call_gives_its_key_back() {
    let mut world = world();
    world.service.set_faults(|faults| faults.refuses = true);
    let refused = world.submit(0, 0, Some("k"), "body");
    world.settle();
    world.service.set_faults(|faults| faults.refuses = false);
    let repeat = world.submit(1, 1, Some("k"), "body");
    world.settle();
    let expected = (Outcome::NotRun, Some(ErrorKind::UpstreamRefused));
    assert_eq!(told(&world, refused), expected);
    assert_eq!(told(&world, repeat).0, Outcome::Completed);
    world.check_truth();
}

#[test]
fn test_outage_refuses_calls_with_a_key_at_once_and_runs_the_others() {
    let mut world = world();
    world
        .key_value
        .set_faults(|faults| faults.outage = Outage::Refusing);
    let early = world.submit(0, 0, Some("early"), "early");
    world.settle();
    let begin = world.now();
    let keyed = world.submit(0, 0, Some("k"), "keyed");
    let plain = world.submit(0, 0, None, "plain");
    world.deliver(0);
    world.deliver(0);
    world.deliver(0);
    assert_eq!(world.now(), begin);
    let refused = (Outcome::NotRun, Some(ErrorKind::PlatformUnavailable));
    assert_eq!(told(&world, keyed), refused);
    world.settle();
    assert_eq!(told(&world, early), refused);
    assert_eq!(told(&world, plain), (Outcome::Completed, None));
    world
        .key_value
        .set_faults(|faults| faults.outage = Outage::None);
    world.advance(Duration::from_secs(1));
    world.settle();
    let repeat = world.submit(0, 0, Some("k"), "keyed");
    world.settle();
    assert_eq!(told(&world, repeat), (Outcome::Completed, None));
    world.check_truth();
}

/// Freezes an agent at each point between accepting a call and its reply.
#[test]
fn test_agent_that_wakes_after_the_deadline_neither_doubles_nor_falsifies() {
    for steps in 0..12 {
        for key in [None, Some("k")] {
            let mut world = world();
            let order = world.submit(0, 0, key, "body");
            world.deliver(0);
            for _ in 0..steps {
                world.run_io(0, 0);
                world.tick();
            }
            world.agents[0].is_frozen = true;
            world.advance(DEADLINE / 2);
            let repeat = key.map(|key| world.submit(1, 1, Some(key), "body"));
            world.advance(2 * DEADLINE);
            world.check_truth();
            let answered_early = !world.orders[order].answers.is_empty();
            assert!(answered_early, "the caller is answered at the deadline");
            world.agents[0].is_frozen = false;
            world.settle();
            world.check_truth();
            world.check_answered();
            if let Some(repeat) = repeat {
                assert_ne!(told(&world, repeat).0, Outcome::NotRun);
            }
        }
    }
}

/// Kills an agent at each of these points; what it had sent takes effect late or never.
#[test]
fn test_agent_that_is_killed_neither_doubles_nor_falsifies() {
    for steps in 0..12 {
        for (key, takes_effect) in [(None, true), (Some("k"), true), (Some("k"), false)] {
            let mut world = world();
            world.submit(0, 0, key, "body");
            world.deliver(0);
            for _ in 0..steps {
                world.run_io(0, 0);
                world.tick();
            }
            world.kill_agent(0);
            let body = if key.is_some() { "body" } else { "other" };
            let repeat = world.submit(1, 1, key, body);
            for _ in 0..40 {
                world.deliver(0);
                world.run_io(1, 0);
                world.advance(Duration::from_millis(25));
            }
            while !world.orphans.is_empty() {
                world.run_orphan(0, takes_effect);
            }
            world.restart_agent(0);
            world.settle();
            world.check_truth();
            world.check_answered();
            let is_told = world.orders[repeat].answers[0].outcome != Outcome::NotRun;
            assert!(is_told, "the repeat is never called not run");
        }
    }
}

#[test]
fn test_cancel_keeps_an_unsent_call_from_running() {
    let mut world = world();
    let lost = world.submit(0, 0, None, "lost");
    let late_call = world.network.pop().unwrap();
    world.on_entry(0, |orders| orders.on_connection_lost(agent_address(0)));
    world.settle();
    world.network.push(late_call);
    world.settle();
    assert_eq!(told(&world, lost).0, Outcome::NotRun);
    assert_eq!(world.service.runs(), 0);
}

#[test]
fn test_forgotten_call_is_never_called_not_run() {
    let mut world = world();
    let order = world.submit(0, 0, None, "body");
    let (agent, call) = world.network[0].clone();
    world.on_entry(0, |orders| orders.on_connection_lost(agent_address(0)));
    let late_cancel = world.network.pop().unwrap();
    world.entries[0].is_frozen = true;
    world.deliver(0);
    for _ in 0..4 {
        world.run_io(0, 0);
    }
    // The result is lost, and the agent forgets the call before the cancellation arrives.
    world.network.clear();
    world.advance(2 * AgentOrderSettings::default().result_retention);
    world.network.extend([late_cancel, (agent, call)]);
    world.deliver(0);
    world.deliver(0);
    let results: Vec<_> = world.network.drain(..).collect();
    assert_eq!(results.len(), 2);
    for (_, message) in &results {
        let CallMessage::Result(result) = message else {
            panic!("{message:?} is no result");
        };
        assert_eq!(result.outcome, Outcome::Unknown);
    }
    world.entries[0].is_frozen = false;
    world.settle();
    assert_eq!(world.service.runs(), 1);
    assert_eq!(told(&world, order).0, Outcome::Unknown);
}

#[test]
fn test_restarted_agent_runs_no_older_call() {
    let mut world = world();
    let order = world.submit(0, 0, None, "body");
    world.restart_agent(0);
    world.settle();
    assert_eq!(
        told(&world, order),
        (Outcome::NotRun, Some(ErrorKind::NoUpstream))
    );
    let asked = world.submit(0, 0, None, "other");
    world.deliver(0);
    while !matches!(world.agents[0].io[..], [Io::Served(..)]) {
        world.run_io(0, 0);
    }
    world.restart_agent(0);
    world.on_entry(0, |orders| orders.on_connection_lost(agent_address(0)));
    world.settle();
    assert_eq!(told(&world, asked).0, Outcome::Unknown);
    let replaced = world.submit(0, 1, None, "third");
    world.network.clear();
    let address = agent_address(1);
    world.on_entry(0, |orders| {
        orders.on_agent_replaced(address, Incarnation(2))
    });
    assert_eq!(told(&world, replaced).0, Outcome::Unknown);
    world.check_truth();
}

#[test]
fn test_two_agents_that_seal_the_same_segment_lose_no_key() {
    let settings = AgentOrderSettings {
        shards: 1,
        segment_bytes: 300,
        commit_interval: Duration::from_millis(1),
        ..AgentOrderSettings::default()
    };
    let mut world = World::new(2, 1, settings);
    for round in 0..40 {
        for agent in 0..2 {
            let key = format!("key-{round}-{agent}");
            world.submit(0, agent, Some(&key), &key);
        }
        for step in 0..8 {
            world.deliver(0);
            world.run_io(round % 2, step);
            world.run_io(step % 2, 0);
            world.advance(Duration::from_millis(1));
        }
    }
    world.settle();
    for round in 0..40 {
        for agent in 0..2 {
            let key = format!("key-{round}-{agent}");
            let repeat = world.submit(0, 1 - agent, Some(&key), &key);
            world.settle();
            assert_eq!(told(&world, repeat).0, Outcome::Completed, "{key}");
        }
    }
    world.check_truth();
    let conflicts: u64 = (0..2)
        .map(|agent| world.agents[agent].orders.as_ref().unwrap())
        .map(|orders| orders.counters().conflicts)
        .sum();
    assert!(conflicts > 0);
}

#[test]
fn test_agent_that_missed_a_sealed_segment_reads_it_before_it_claims() {
    let settings = AgentOrderSettings {
        shards: 1,
        segment_bytes: 300,
        ..AgentOrderSettings::default()
    };
    let mut world = World::new(2, 1, settings);
    world.submit(0, 1, Some("other"), "other");
    world.settle();
    for index in 0..8 {
        let key = format!("key-{index}");
        world.submit(0, 0, Some(&key), &key);
        world.settle();
    }
    let repeat = world.submit(0, 1, Some("key-0"), "key-0");
    world.settle();
    assert_eq!(told(&world, repeat).0, Outcome::Completed);
    world.check_truth();
}

#[test]
fn test_segment_sealed_too_early_is_completed_before_it_is_used() {
    let mut world = world();
    world.settings.shards = 1;
    world.settings.segment_bytes = 10_000;
    world.restart_agent(1);
    world.settings.segment_bytes = 300;
    world.restart_agent(0);
    for index in 0..12 {
        // The second agent seals later than the first and appends to a head that is full.
        for agent in [0, 1, 1] {
            let key = format!("key-{index}-{agent}");
            world.submit(0, agent, Some(&key), &key);
            world.settle();
        }
    }
    world.restart_agent(1);
    for index in 0..12 {
        let key = format!("key-{index}-1");
        let repeat = world.submit(0, 1, Some(&key), &key);
        world.settle();
        assert_eq!(told(&world, repeat).0, Outcome::Completed);
    }
    world.check_truth();
}

#[test]
fn test_old_segments_are_dropped_and_full_shards_refuse() {
    let settings = AgentOrderSettings {
        shards: 1,
        segment_bytes: 300,
        max_segments: 3,
        key_retention: Duration::from_mins(1),
        ..AgentOrderSettings::default()
    };
    let mut world = World::new(1, 1, settings);
    let mut outcomes = Vec::new();
    for index in 0..20 {
        let key = format!("key-{index}");
        let order = world.submit(0, 0, Some(&key), &key);
        world.settle();
        outcomes.push(told(&world, order));
    }
    let full = (Outcome::NotRun, Some(ErrorKind::Overloaded));
    assert_eq!(outcomes.last(), Some(&full));
    let ran = outcomes.iter().filter(|told| told.0 == Outcome::Completed);
    assert_eq!(ran.count(), world.service.runs() as usize);
    world.advance(Duration::from_mins(2));
    let order = world.submit(0, 0, Some("later"), "later");
    world.settle();
    assert_eq!(told(&world, order), (Outcome::Completed, None));
    let kept = world.runtime.block_on(async {
        use jujubewall_platform::key_value::KeyValue;
        world.key_value.list("orders/").await.unwrap().len()
    });
    assert!(kept <= 2, "{kept} records are kept");
}

#[test]
fn test_leaving_agent_takes_no_call_and_ends_those_it_has() {
    let mut world = world();
    let known = world.submit(0, 0, Some("k"), "known");
    world.deliver(0);
    world.on_agent(0, |orders| {
        orders.leave();
        Vec::new()
    });
    let new = world.submit(0, 0, None, "new");
    world.settle();
    assert_eq!(told(&world, known), (Outcome::Completed, None));
    assert_eq!(
        told(&world, new),
        (Outcome::NotRun, Some(ErrorKind::Draining))
    );
}
