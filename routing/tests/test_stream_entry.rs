//! Tests of an entry's decisions about a stream, message by message.

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use jujubewall_protocol::stream::GeneratedToken;
use jujubewall_protocol::stream::HeldState;
use jujubewall_protocol::stream::Route;
use jujubewall_protocol::stream::RouteStage;
use jujubewall_protocol::stream::StageFailed;
use jujubewall_protocol::stream::StageHeld;
use jujubewall_protocol::stream::StreamId;
use jujubewall_protocol::stream::StreamMessage;
use jujubewall_routing::stream::action::EntryAction;
use jujubewall_routing::stream::entry::EntryStreams;
use jujubewall_routing::stream::entry::StreamRequest;
use jujubewall_routing::stream::settings::EntrySettings;
use jujubewall_types::error::ErrorKind;
use jujubewall_types::error::Failure;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Attempt;
use jujubewall_types::id::ModelName;
use jujubewall_types::id::Position;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::id::VersionName;
use jujubewall_types::layer::LayerRange;
use jujubewall_types::priority::Priority;
use tokio::time::Instant;

const REQUEST: RequestId = RequestId(7);
const FIRST: u8 = 1;
const SECOND: u8 = 2;
const REPLACEMENT: u8 = 3;

fn address(engine: u8) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, engine], 80))
}

/// Returns a route over two engines of two layers each.
fn route(engines: [u8; 2]) -> Route {
    let stages = [(0, engines[0]), (2, engines[1])].into_iter();
    let stage = |(first, engine)| RouteStage {
        upstream: UpstreamName::new(format!("e-{engine}")).unwrap(),
        agent_address: address(engine),
        layers: LayerRange {
            first,
            end: first + 2,
        },
    };
    stages.map(stage).collect()
}

/// A stream at its entry, and the time.
struct World {
    streams: EntryStreams,
    now: Instant,
}

impl World {
    /// Starts a stream whose two stages have opened.
    fn running() -> Self {
        let now = Instant::now();
        let mut streams = EntryStreams::new(address(0), EntrySettings::default());
        let request = StreamRequest {
            request: REQUEST,
            account: AccountName::new("account").unwrap(),
            model: ModelName::new("model").unwrap(),
            version: VersionName::new("v1").unwrap(),
            priority: Priority::Normal,
            layer_count: 4,
            prompt: vec![1, 2, 3],
            max_answer_tokens: 8,
            deadline: now + Duration::from_mins(1),
            route: route([FIRST, SECOND]),
        };
        streams.start(now, request);
        let mut world = Self { streams, now };
        for (stage, engine) in [(0, FIRST), (1, SECOND)] {
            let opened = StageHeld {
                id: id(1),
                stage,
                held: HeldState::default(),
                tokens: Vec::new(),
            };
            world.receive(engine, StreamMessage::Opened(opened));
        }
        world
    }

    fn receive(&mut self, engine: u8, message: StreamMessage) -> Vec<EntryAction> {
        self.streams.on_message(self.now, address(engine), message)
    }

    fn fail_second(&mut self, kind: ErrorKind) -> Vec<EntryAction> {
        let failed = stage_failed(1, kind);
        self.receive(SECOND, StreamMessage::Failed(failed))
    }

    fn find_no_route(&mut self) -> Vec<EntryAction> {
        let failure = Failure::new(ErrorKind::NoUpstream, "no engine is left for a stage");
        self.streams.on_route(self.now, REQUEST, Err(failure))
    }

    /// Advances the clock until a route is asked for.
    fn run_until_reroute(&mut self) {
        while let Some(next) = self.streams.next_wakeup() {
            self.now = next;
            if asks_for_route(&self.streams.on_tick(self.now)) {
                return;
            }
        }
        panic!("the stream has ended");
    }
}

fn id(attempt: u32) -> StreamId {
    StreamId {
        request: REQUEST,
        attempt: Attempt(attempt),
    }
}

fn stage_failed(attempt: u32, kind: ErrorKind) -> StageFailed {
    StageFailed {
        id: id(attempt),
        stage: 1,
        failure: Failure::new(kind, "failed"),
    }
}

fn asks_for_route(actions: &[EntryAction]) -> bool {
    let is_asked = |action: &EntryAction| matches!(action, EntryAction::ChooseRoute(_));
    actions.iter().any(is_asked)
}

fn has_failed(actions: &[EntryAction]) -> bool {
    let is_failure = |action: &EntryAction| matches!(action, EntryAction::Fail { .. });
    actions.iter().any(is_failure)
}

/// Returns the engines to which `Open` is sent for an attempt.
fn opened_at(actions: &[EntryAction], attempt: u32) -> Vec<SocketAddr> {
    let opened = |action: &EntryAction| match action {
        EntryAction::Send {
            to,
            message: StreamMessage::Open(open),
        } if open.id == id(attempt) => Some(*to),
        _ => None,
    };
    actions.iter().filter_map(opened).collect()
}

/// A stream whose stage was silent was cut when the replacement refused it.
#[test]
fn test_silent_pipeline_is_kept_when_its_replacement_refuses() {
    let mut world = World::running();
    world.run_until_reroute();
    let chosen = Ok(route([FIRST, REPLACEMENT]));
    world.streams.on_route(world.now, REQUEST, chosen);
    let refused = StreamMessage::Refused(stage_failed(2, ErrorKind::Overloaded));
    assert!(asks_for_route(&world.receive(REPLACEMENT, refused)));
    let actions = world.find_no_route();
    assert!(!has_failed(&actions));
    assert_eq!(opened_at(&actions, 3), [address(FIRST), address(SECOND)]);
}

/// A stream whose engine was silent was cut when no other could take it.
#[test]
fn test_pipeline_is_kept_when_only_the_engine_is_silent() {
    let mut world = World::running();
    assert!(asks_for_route(
        &world.fail_second(ErrorKind::OutcomeUnknown)
    ));
    let actions = world.find_no_route();
    assert!(!has_failed(&actions));
    assert_eq!(opened_at(&actions, 2), [address(FIRST), address(SECOND)]);
}

#[test]
fn test_failed_stage_without_a_replacement_ends_the_stream_at_once() {
    let mut world = World::running();
    assert!(asks_for_route(&world.fail_second(ErrorKind::StreamLost)));
    assert!(has_failed(&world.find_no_route()));
}

/// A kept pipeline of which a part has failed for certain is not kept on.
#[test]
fn test_kept_pipeline_ends_when_a_stage_of_it_refuses() {
    let mut world = World::running();
    world.run_until_reroute();
    world.find_no_route();
    let refused = StreamMessage::Refused(stage_failed(2, ErrorKind::Overloaded));
    assert!(asks_for_route(&world.receive(SECOND, refused)));
    assert!(has_failed(&world.find_no_route()));
}

/// A pipeline that stays silent is kept for the route timeout, and routes are asked for
/// meanwhile.
#[test]
fn test_kept_pipeline_that_stays_silent_fails_after_the_route_timeout() {
    let mut world = World::running();
    world.run_until_reroute();
    let kept_at = world.now;
    let mut choices = 0;
    while !has_failed(&world.find_no_route()) {
        choices += 1;
        world.run_until_reroute();
    }
    let timeout = Duration::from_millis(EntrySettings::default().route_timeout_ms);
    assert_eq!(world.now - kept_at, timeout);
    assert_eq!(choices, 2);
    assert!(world.streams.is_idle());
}

/// A token of an earlier attempt that arrives after the pipeline was opened again is not
/// delivered, since the new attempt generates the position again.
#[test]
fn test_late_token_of_an_earlier_attempt_is_dropped() {
    let mut world = World::running();
    world.run_until_reroute();
    world.find_no_route();
    let token = GeneratedToken {
        id: id(1),
        position: Position(3),
        token: 9,
        layers_done: 4,
    };
    let actions = world.receive(SECOND, StreamMessage::Token(token));
    assert_matches!(&actions[..], []);
}
