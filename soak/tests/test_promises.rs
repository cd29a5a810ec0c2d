//! Each promise is found broken in a history that breaks it, and in no sound one.

use std::time::Duration;

use jujubewall_soak::promises::Bounds;
use jujubewall_soak::promises::History;
use jujubewall_soak::promises::Kind;
use jujubewall_soak::promises::Outcome;
use jujubewall_soak::promises::Promise;
use jujubewall_soak::promises::Run;
use jujubewall_soak::promises::Sent;
use jujubewall_soak::promises::check;
use tokio::time::Instant;

const BOUNDS: Bounds = Bounds {
    drain: Duration::from_secs(2),
    config_apply: Duration::from_secs(2),
    retry_ratio: 0.2,
    retry_burst: 3,
    retry_window: Duration::from_secs(1),
};

/// A history of one served order, to which a test adds what it breaks.
struct Case {
    start: Instant,
    history: History,
}

impl Case {
    fn new() -> Self {
        let mut case = Self {
            start: Instant::now(),
            history: History::default(),
        };
        case.send("sound", Kind::Order, 0, answer(200));
        case.run("sound", 0);
        case
    }

    fn send(&mut self, id: &str, kind: Kind, at_ms: u64, outcome: Outcome) -> &mut Sent {
        self.history.sent.push(Sent {
            id: id.to_owned(),
            kind,
            key: "key",
            gateway_life: 1,
            at: self.start + Duration::from_millis(at_ms),
            is_calm: true,
            disturbed_at: None,
            is_planned_only: false,
            outcome,
        });
        self.history.sent.last_mut().unwrap()
    }

    fn run(&mut self, id: &str, at_ms: u64) {
        self.history.runs.push(Run {
            id: id.to_owned(),
            runner: "runner".to_owned(),
            at: self.start + Duration::from_millis(at_ms),
        });
    }

    fn broken(&self) -> Vec<Promise> {
        let broken = check(&self.history, &BOUNDS);
        broken.into_iter().map(|broken| broken.promise).collect()
    }
}

fn answer(status: u16) -> Outcome {
    Outcome::Answer {
        status,
        is_whole: true,
        is_own: true,
    }
}

#[test]
fn test_sound_history_breaks_nothing() {
    let mut case = Case::new();
    case.send("refused", Kind::Order, 5, answer(503));
    case.send("lost", Kind::Order, 6, Outcome::Broken);
    case.run("lost", 7);
    case.send("resumed", Kind::Stream, 8, answer(200));
    case.run("resumed", 9);
    case.run("resumed", 10);
    assert_eq!(case.broken(), []);
}

#[test]
fn test_answers_that_are_torn_or_of_another_request() {
    for (is_whole, is_own) in [(false, true), (true, false)] {
        let mut case = Case::new();
        let outcome = Outcome::Answer {
            status: 200,
            is_whole,
            is_own,
        };
        case.send("torn", Kind::Stream, 5, outcome);
        assert_eq!(case.broken(), [Promise::WholeAnswers]);
    }
}

#[test]
fn test_answer_with_a_status_that_http_does_not_define() {
    for status in [0, 99, 600, 999] {
        let mut case = Case::new();
        case.send("invalid", Kind::Stock, 5, answer(status));
        assert_eq!(case.broken(), [Promise::WholeAnswers]);
    }
}

#[test]
fn test_order_that_runs_again() {
    let mut case = Case::new();
    case.run("sound", 5);
    assert_eq!(case.broken(), [Promise::AtMostOnce]);
}

#[test]
fn test_order_that_ran_though_it_was_said_not_to() {
    for status in [408, 421, 429, 503] {
        let mut case = Case::new();
        case.send("lie", Kind::Order, 5, answer(status));
        case.run("lie", 900);
        assert_eq!(case.broken(), [Promise::TrueNotRun]);
    }
}

#[test]
fn test_request_at_a_runner_that_left() {
    let mut case = Case::new();
    case.history.drained.insert("runner".to_owned(), case.start);
    case.send("soon", Kind::Stock, 1_900, answer(200));
    case.run("soon", 1_900);
    case.send("cut off", Kind::Stock, 2_050, answer(200))
        .is_calm = false;
    case.run("cut off", 2_050);
    let frozen_at = case.start + Duration::from_millis(1_950);
    case.send("frozen", Kind::Stream, 1_900, answer(200))
        .disturbed_at = Some(frozen_at);
    case.run("frozen", 4_900);
    assert_eq!(case.broken(), []);
    case.send("late", Kind::Stock, 2_100, answer(200));
    case.run("late", 2_100);
    assert_eq!(case.broken(), [Promise::Drained]);
    let frozen_at = case.start + Duration::from_millis(2_300);
    case.send("frozen later", Kind::Stock, 2_100, answer(200))
        .disturbed_at = Some(frozen_at);
    case.run("frozen later", 2_200);
    assert_eq!(case.broken(), [Promise::Drained; 2]);
}

#[test]
fn test_key_that_was_taken_away() {
    let mut case = Case::new();
    case.history.revoked.insert("key", case.start);
    case.send("soon", Kind::Stock, 1_900, answer(200));
    assert_eq!(case.broken(), []);
    case.send("late", Kind::Stock, 2_100, answer(200)).is_calm = false;
    assert_eq!(case.broken(), []);
    case.send("late", Kind::Stock, 2_100, answer(200));
    assert_eq!(case.broken(), [Promise::RevokedKeys]);
}

#[test]
fn test_gateway_that_goes_back_behind_a_refusal() {
    let mut case = Case::new();
    case.history.revoked.insert("key", case.start);
    case.send("refused", Kind::Stock, 500, answer(401));
    assert_eq!(case.broken(), []);
    case.send("back", Kind::Stock, 600, answer(200));
    assert_eq!(case.broken(), [Promise::RevokedKeys]);
}

#[test]
fn test_refusals_of_what_is_allowed() {
    for status in [401, 403, 404] {
        let mut case = Case::new();
        case.send("refused", Kind::Stock, 5, answer(status));
        assert_eq!(case.broken(), [Promise::AllowedServed]);
    }
}

#[test]
fn test_more_repeated_runs_than_the_budget_allows() {
    let mut case = Case::new();
    for number in 0..10 {
        let id = format!("s-{number}");
        case.send(&id, Kind::Stream, number, answer(200));
        case.run(&id, number);
    }
    // A fifth of eleven requests, and three.
    for number in 0..5 {
        case.run(&format!("s-{number}"), 20 + number);
    }
    assert_eq!(case.broken(), []);
    case.run("s-5", 30);
    assert_eq!(case.broken(), [Promise::RetryBudget]);
}

#[test]
fn test_request_that_planned_work_cut() {
    let mut case = Case::new();
    case.send("cut", Kind::Stock, 5, Outcome::Broken)
        .is_planned_only = true;
    assert_eq!(case.broken(), []);
    case.run("cut", 6);
    assert_eq!(case.broken(), [Promise::NothingCut]);
}

#[test]
fn test_requests_at_too_many_runners_are_found_unless_runners_ended() {
    let mut case = Case::new();
    for number in 0..4 {
        let id = format!("stream-{number}");
        case.send(&id, Kind::Stream, 0, answer(200));
        for (index, runner) in ["a", "b", "c"].into_iter().enumerate() {
            case.run(&id, 100 * index as u64);
            case.history.runs.last_mut().unwrap().runner = runner.to_owned();
        }
    }
    assert!(case.broken().contains(&Promise::MaxAttempts));
    let ended_at = case.start + Duration::from_millis(50);
    case.history.ended.push(("a".to_owned(), ended_at));
    assert!(!case.broken().contains(&Promise::MaxAttempts));
}

#[test]
fn test_head_within_the_limit_that_is_refused_is_found() {
    let mut case = Case::new();
    case.send("large", Kind::Order, 0, answer(431));
    assert_eq!(case.broken(), [Promise::AllowedServed]);
    let mut case = Case::new();
    case.send("large", Kind::Order, 0, answer(431)).is_calm = false;
    assert_eq!(case.broken(), []);
}
