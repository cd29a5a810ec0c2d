//! Gateways before upstreams that some requests crash. These requests come again and again, at
//! any gateway and under new identifiers, beside sound ones.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::gateway_site::GatewayProcess;
use crate::gateway_site::Site;
use crate::gateway_site::neighbour_at;
use crate::gateway_site::wait_until;
use crate::gateway_traffic::LastPart;
use crate::gateway_traffic::RequestTemplate;
use crate::gateway_traffic::Sent;
use crate::gateway_traffic::Traffic;

/// The parts of prompts that sound requests and those that crash upstreams share.
pub const SHARED_PARTS: [&str; 2] = ["5c1e07a2", "e4402b7d"];

/// The time between two sound requests.
pub const SOUND_INTERVAL: Duration = Duration::from_millis(60);

/// The time that each call to the plain service takes.
pub const CALL_TIME: Duration = Duration::from_millis(60);

/// The time that calls take which are in flight when their upstream crashes.
pub const LONG_CALL_TIME: Duration = Duration::from_millis(250);

/// The time that the platform allows, from the last of the crashes that it expects, until
/// few sends of a request reach upstreams.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// The requests that crash upstreams which are tried until a sound one ran on one of these.
const MAX_CRASH_ROUNDS: usize = 5;

/// The sound requests that are in flight together when an upstream crashes.
pub const IN_FLIGHT: usize = 36;

/// The burst of the retry budget, on top of a fifth of the requests. It is never used up.
const RETRY_BURST: u32 = 200;

/// The engines of each failure domain.
const ENGINES_PER_ZONE: u32 = 6;

/// The runners of the plain service.
const LEDGERS: u32 = 12;

/// The times between two sends of a request that crashes upstreams, in turn.
const FATAL_INTERVALS: [Duration; 3] = [
    Duration::from_millis(150),
    Duration::from_millis(400),
    Duration::from_millis(250),
];

/// The time after which a crashed upstream is back.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// The crashes after which the platform expects that a request is known.
const CRASHES_ALLOWED: usize = 3;

/// The longest wait for that many crashes; there are fewer if the request is known earlier.
const CRASH_WAIT: Duration = Duration::from_secs(4);

/// The sends of a request that may reach upstreams after the stable window.
const MAX_LATE_SENDS: usize = 3;

/// The attempts of a request with which a gateway shows that it knows it.
const KNOWN_ATTEMPTS: usize = 6;

/// Kinds of requests, by what a gateway may do with them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// A call that may run once.
    Order,
    /// A call that may be repeated.
    Query,
    /// A stream.
    Stream,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Order, Self::Query, Self::Stream];

    /// Returns a request of the kind. Those of one kind have the same path and the same client
    /// account.
    pub fn request(self, body: &str) -> RequestTemplate {
        match self {
            Self::Order => RequestTemplate::call("POST", "/orders/new", body),
            Self::Query => RequestTemplate::call("GET", "/stock/items", body),
            Self::Stream => RequestTemplate::stream("/notes/7", body),
        }
    }

    /// Returns the `index`-th sound request of the kind.
    pub fn sound(self, index: usize) -> RequestTemplate {
        let sound = self.request(&format!("sound {index}"));
        match self {
            Self::Stream => sound.with_prompt(&SHARED_PARTS, LastPart::New),
            Self::Order | Self::Query => sound,
        }
    }
}

/// What came of requests that crash upstreams and of sound ones beside them.
#[derive(Debug)]
pub struct Played {
    /// The requests that crash upstreams.
    pub fatal: Vec<Sent>,
    /// The sound requests.
    pub sound: Vec<Sent>,
}

/// A site and its gateways.
pub struct PoisonFleet {
    /// The site with the first gateway.
    pub site: Site,
    /// The other gateways.
    pub others: Vec<GatewayProcess>,
}

impl PoisonFleet {
    /// Starts a site with a gateway of each of the programs.
    ///
    /// # Panics
    ///
    /// Panics if there is no program, or a gateway does not serve in time.
    pub async fn start(programs: &[&Path]) -> Self {
        let (first, others) = programs.split_first().expect("a program");
        let site = Site::start_with_runners(first, RETRY_BURST, ENGINES_PER_ZONE, LEDGERS).await;
        site.runners.set_restart_delay(RESTART_DELAY);
        site.runners.set_call_time(CALL_TIME);
        let mut fleet = Self {
            site,
            others: Vec::new(),
        };
        for program in others {
            fleet.add_gateway(program).await;
        }
        wait_until_serving(&fleet.site.gateway).await;
        fleet
    }

    /// Starts another gateway and waits until it serves. Returns it.
    ///
    /// # Panics
    ///
    /// Panics if it does not serve in time.
    pub async fn add_gateway(&mut self, program: &Path) -> &GatewayProcess {
        let index = u8::try_from(self.others.len() + 1).expect("few gateways");
        let peers = neighbour_at(self.site.gateway.peers, index);
        let name = format!("front-{}", index + 1);
        let started = self.site.start_another(program, &name, peers, RETRY_BURST);
        wait_until_serving(&started).await;
        self.others.push(started);
        &self.others[usize::from(index) - 1]
    }

    /// Kills all gateways, starts them again at their addresses and waits until they serve.
    ///
    /// # Panics
    ///
    /// Panics if they do not serve in time.
    pub async fn restart_all(&mut self, program: &Path) {
        self.site.gateway.kill().await;
        for gateway in &mut self.others {
            gateway.kill().await;
        }
        let first_peers = self.site.gateway.peers;
        self.site.gateway = self
            .site
            .start_another(program, "front-1", first_peers, RETRY_BURST);
        for (index, gateway) in self.others.iter_mut().enumerate() {
            let name = format!("front-{}", index + 2);
            *gateway = self
                .site
                .start_another(program, &name, gateway.peers, RETRY_BURST);
        }
        for gateway in self.gateways() {
            wait_until_serving(gateway).await;
        }
    }

    /// Returns all gateways.
    pub fn gateways(&self) -> Vec<&GatewayProcess> {
        let first = [&self.site.gateway];
        first.into_iter().chain(&self.others).collect()
    }

    /// Sends sound requests of these kinds to all gateways in turn.
    ///
    /// # Panics
    ///
    /// Panics if there is no kind.
    pub async fn play_sound(&self, kinds: &[Kind], count: usize) -> Vec<Sent> {
        let gateways = self.gateways();
        let mut traffic = Traffic::new("before");
        for index in 0..count {
            let kind = kinds[index % kinds.len()];
            traffic.send(&gateways, &kind.sound(index));
            sleep(SOUND_INTERVAL).await;
        }
        traffic.answers().await
    }

    /// Sends requests that crash upstreams to all gateways in turn, beside sound ones, until so
    /// long after the third crash by each.
    ///
    /// # Panics
    ///
    /// Panics if there is no kind.
    pub async fn play(
        &self,
        fatal: &[RequestTemplate],
        sound_kinds: &[Kind],
        then: Duration,
    ) -> Played {
        let gateways = self.gateways();
        for template in fatal {
            self.site.runners.crash_on_request(template.as_fatal());
        }
        let begun = Instant::now();
        let mut fatal_traffic = Traffic::new("fatal");
        let mut sound_traffic = Traffic::new("sound");
        let mut next_fatal = vec![begun; fatal.len()];
        let mut next_sound = begun;
        loop {
            let now = Instant::now();
            let known_at = |template| {
                let third_crash_at = self.third_crash_at(template);
                third_crash_at.unwrap_or(begun + CRASH_WAIT)
            };
            let known_at = fatal.iter().map(known_at).max();
            if known_at.is_none_or(|known_at| now >= known_at + then) {
                break;
            }
            for (template, next) in fatal.iter().zip(&mut next_fatal) {
                if now >= *next {
                    let sent = fatal_traffic.sent_count();
                    // Both keys belong to the same account.
                    let key = ["key-1", "key-2"][sent / 2 % 2];
                    fatal_traffic.send(&gateways, &template.clone().with_key(key));
                    *next = now + FATAL_INTERVALS[sent % FATAL_INTERVALS.len()];
                }
            }
            if now >= next_sound {
                let sent = sound_traffic.sent_count();
                let kind = sound_kinds[sent % sound_kinds.len()];
                sound_traffic.send(&gateways, &kind.sound(sent));
                next_sound += SOUND_INTERVAL;
            }
            let next = next_fatal.iter().copied().chain([next_sound]).min();
            sleep_until(next.unwrap_or(now)).await;
        }
        let (fatal_sent, sound_sent) =
            tokio::join!(fatal_traffic.answers(), sound_traffic.answers());
        Played {
            fatal: fatal_sent,
            sound: sound_sent,
        }
    }

    /// Returns when a request had crashed three upstreams.
    pub fn third_crash_at(&self, fatal: &RequestTemplate) -> Option<Instant> {
        let crashes = self.site.runners.crashes_by(&fatal.as_fatal());
        crashes.get(CRASHES_ALLOWED - 1).map(|(_, at)| *at)
    }

    /// Checks that after the third crash by each request and the stable window few more sends
    /// of it reached upstreams.
    ///
    /// # Panics
    ///
    /// Panics if more did, or if a request crashed nothing.
    pub fn assert_bound_holds(&self, fatal: &[RequestTemplate]) {
        self.assert_bound_holds_for(fatal, |_| true);
    }

    /// Checks the same of those attempts alone whose identifiers match.
    ///
    /// # Panics
    ///
    /// Panics if more did, or if a request crashed nothing.
    pub fn assert_bound_holds_for(
        &self,
        fatal: &[RequestTemplate],
        is_counted: impl Fn(&str) -> bool,
    ) {
        let counted = |mut attempts: Vec<(String, Instant)>| {
            attempts.retain(|(id, _)| is_counted(id));
            attempts
        };
        let runners = &self.site.runners;
        let late_counts = fatal.iter().map(|template| {
            let request = template.as_fatal();
            let crashes = counted(runners.crashes_by(&request));
            let reached = counted(runners.reached_by(&request));
            let third = crashes.get(CRASHES_ALLOWED - 1);
            let late = reached
                .iter()
                .filter(|(_, at)| third.is_some_and(|(_, third)| *at >= *third + STABLE_WINDOW))
                .count();
            println!(
                "{}: {} sends reached upstreams, {late} of them late; {} crashes",
                request.path,
                reached.len(),
                crashes.len()
            );
            assert!(!crashes.is_empty(), "the request crashes upstreams");
            late
        });
        let late_counts: Vec<usize> = late_counts.collect();
        assert!(
            late_counts.iter().all(|late| *late <= MAX_LATE_SENDS),
            "{late_counts:?} sends reached upstreams"
        );
    }

    /// Sends a request that crashes upstreams to a gateway and checks that each attempt is
    /// rejected without being sent.
    ///
    /// # Panics
    ///
    /// Panics if one is not.
    pub async fn assert_known(&self, gateway: &GatewayProcess, fatal: &RequestTemplate) {
        let runners = &self.site.runners;
        let reached = runners.reached_by(&fatal.as_fatal()).len();
        let mut traffic = Traffic::new("known");
        for index in 0..KNOWN_ATTEMPTS {
            traffic.send(&[gateway], fatal);
            sleep(FATAL_INTERVALS[index % FATAL_INTERVALS.len()]).await;
        }
        let answers = traffic.answers().await;
        let again = runners.reached_by(&fatal.as_fatal()).len() - reached;
        assert_eq!(again, 0, "{again} sends reached upstreams");
        for sent in answers {
            sent.assert_rejected_well(runners);
        }
    }

    /// Sends requests to each gateway and checks that all are served.
    ///
    /// # Panics
    ///
    /// Panics if one is not.
    pub async fn assert_served(&self, name: &'static str, requests: &[RequestTemplate]) {
        for gateway in self.gateways() {
            let mut traffic = Traffic::new(name);
            for request in requests {
                traffic.send(&[gateway], request);
                sleep(SOUND_INTERVAL).await;
            }
            for sent in traffic.answers().await {
                assert!(sent.is_complete(), "{sent:?}");
            }
        }
    }

    /// Crashes upstreams by a request, three of them at least, while sound requests run there.
    /// Goes on with other such requests until a sound one ran on one of the upstreams when it
    /// crashed, and returns those that did.
    ///
    /// # Panics
    ///
    /// Panics if too few crash in time, or if no sound request ever ran there.
    pub async fn crash_beside(
        &self,
        fatal: &RequestTemplate,
        mut sound: impl FnMut(usize) -> RequestTemplate,
    ) -> Vec<Sent> {
        for round in 0..MAX_CRASH_ROUNDS {
            let fatal = fatal.numbered(round);
            let broken = self.crash_beside_once(&fatal, &mut sound).await;
            if !broken.is_empty() {
                return broken;
            }
        }
        panic!("no sound request ran on an upstream that crashed");
    }

    async fn crash_beside_once(
        &self,
        fatal: &RequestTemplate,
        mut sound: impl FnMut(usize) -> RequestTemplate,
    ) -> Vec<Sent> {
        let runners = &self.site.runners;
        let gateways = self.gateways();
        runners.set_call_time(LONG_CALL_TIME);
        runners.crash_on_request(fatal.as_fatal());
        let mut traffic = Traffic::new("beside");
        let mut fatal_traffic = Traffic::new("fatal");
        wait_until("three upstreams have crashed", async || {
            for _ in 0..IN_FLIGHT {
                let request = sound(traffic.sent_count());
                traffic.send(&gateways, &request);
            }
            sleep(SOUND_INTERVAL).await;
            fatal_traffic.send(&gateways, fatal);
            sleep(LONG_CALL_TIME).await;
            self.third_crash_at(fatal).is_some()
        })
        .await;
        for sent in fatal_traffic.answers().await {
            sent.assert_truthful(runners);
        }
        let crashes = runners.crashes();
        let ran = runners.ran();
        let mut broken = traffic.answers().await;
        let all = broken.len();
        let mut crashed_with = BTreeSet::new();
        broken.retain(|sent| {
            let ran = ran.iter().filter(|ran| ran.id == sent.id);
            let lost = ran.filter(|ran| {
                let mut crashes = crashes.iter();
                crashes.any(|crash| {
                    let is_due = ran.at <= crash.at && crash.at < ran.at + LONG_CALL_TIME;
                    crash.id == ran.runner && is_due
                })
            });
            let lost: Vec<&str> = lost.map(|ran| ran.runner.as_str()).collect();
            crashed_with.extend(lost.iter().map(|runner| (*runner).to_owned()));
            !lost.is_empty()
        });
        println!(
            "{} of {all} requests ran on {} of {} upstreams that crashed",
            broken.len(),
            crashed_with.len(),
            crashes.len()
        );
        broken
    }
}

/// Waits until a gateway serves requests of each kind.
///
/// # Panics
///
/// Panics if it does not in time.
pub async fn wait_until_serving(gateway: &GatewayProcess) {
    wait_until("the gateway is ready", async || gateway.is_ready().await).await;
    for kind in Kind::ALL {
        wait_until("the gateway serves sound requests", async || {
            let mut traffic = Traffic::new("warm-up");
            traffic.send(&[gateway], &kind.sound(0));
            traffic.answers().await.iter().all(Sent::is_complete)
        })
        .await;
    }
}

/// Returns the share of the requests that were served.
pub fn share_served(sent: &[&Sent]) -> f64 {
    let served = sent.iter().filter(|sent| sent.is_complete()).count();
    served as f64 / sent.len() as f64
}
