//! Admission of streams at gateways over a model of a fleet whose capacity is released as streams
//! end. Each gateway decides alone, from reports that are late.

use std::collections::VecDeque;
use std::time::Duration;

use jujubewall_routing::admission::Applicant;
use jujubewall_routing::admission::ClientPatience;
use jujubewall_routing::admission::NotAdmittedCause;
use jujubewall_routing::admission::StreamAdmission;
use jujubewall_routing::admission::StreamTicket;
use jujubewall_types::id::AccountName;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);
const STEP: Duration = Duration::from_millis(5);
const TARGET: Duration = Duration::from_millis(500);
/// The range of the times that streams run.
const STREAM_LIFE_S: std::ops::Range<f64> = 1.0..5.0;
const FIRST_EVENT: Duration = Duration::from_millis(100);
const CAPACITY: usize = 600;
const ACCOUNTS: usize = 24;
/// The streams a second that end when all capacity is in use.
const FULL_RATE: f64 = 200.0;

/// The requests of one rank or account.
#[derive(Clone, Copy, Default)]
struct Count {
    offered: f64,
    in_time: f64,
    late: f64,
    refused: f64,
}

impl Count {
    fn refused_share(&self) -> f64 {
        self.refused / self.offered
    }

    fn served_share(&self) -> f64 {
        self.in_time / self.offered
    }
}

struct Load {
    gateways: usize,
    report_age: Duration,
    /// Whether one account sends a third of all requests.
    has_large_account: bool,
    /// The load of each rank at a time in seconds, as a share of the capacity.
    rank_loads: fn(f64) -> [f64; 3],
}

impl Load {
    const EVEN: Self = Self {
        gateways: 6,
        report_age: Duration::from_millis(200),
        has_large_account: false,
        rank_loads: |_| [0.3; 3],
    };
}

struct Outcome {
    ranks: [Count; 3],
    accounts: Vec<Count>,
}

impl Outcome {
    fn total(&self) -> Count {
        let mut total = Count::default();
        for count in &self.ranks {
            total.offered += count.offered;
            total.in_time += count.in_time;
            total.late += count.late;
            total.refused += count.refused;
        }
        total
    }

    fn assert_no_rank_starves(&self) {
        let total = self.total().served_share();
        for count in &self.ranks {
            assert!(count.served_share() >= total / 4.0);
        }
    }
}

struct Gateway {
    admission: StreamAdmission,
    waiting: Vec<(StreamTicket, Applicant, Instant)>,
    ends: Vec<Instant>,
    /// The number of running streams at each recent step.
    history: VecDeque<usize>,
}

struct Model {
    load: Load,
    gateways: Vec<Gateway>,
    outcome: Outcome,
    now: Instant,
    rng: ChaCha8Rng,
}

impl Model {
    fn new(load: Load) -> Self {
        let now = Instant::now();
        let gateway = |_| Gateway {
            admission: StreamAdmission::new(now),
            waiting: Vec::new(),
            ends: Vec::new(),
            history: VecDeque::new(),
        };
        Self {
            gateways: (0..load.gateways).map(gateway).collect(),
            load,
            outcome: Outcome {
                ranks: [Count::default(); 3],
                accounts: vec![Count::default(); ACCOUNTS],
            },
            now,
            rng: ChaCha8Rng::seed_from_u64(20_261_206),
        }
    }

    /// Plays `seconds` of load after five seconds that are not counted.
    fn run(load: Load, seconds: f64) -> Outcome {
        let mut model = Self::new(load);
        let start = model.now;
        let mut is_counted = false;
        loop {
            let time_s = (model.now - start).as_secs_f64() - 5.0;
            if time_s >= 0.0 && !is_counted {
                is_counted = true;
                model.outcome.ranks = [Count::default(); 3];
                model.outcome.accounts.fill(Count::default());
            }
            if time_s >= seconds {
                return model.outcome;
            }
            model.release();
            for (rank, load) in (model.load.rank_loads)(time_s).into_iter().enumerate() {
                let per_step = load * FULL_RATE * STEP.as_secs_f64();
                // Two trials a step keep the arrivals random at up to twice one a step.
                for _ in 0..2 {
                    if model.rng.random_bool((per_step / 2.0).min(1.0)) {
                        let is_large = model.load.has_large_account && model.rng.random_bool(0.31);
                        let account = if is_large {
                            0
                        } else {
                            model.rng.random_range(0..ACCOUNTS)
                        };
                        let gateway = model.rng.random_range(0..model.gateways.len());
                        model.arrive(gateway, rank, account);
                    }
                }
            }
            model.search_again();
            model.now += STEP;
        }
    }

    fn release(&mut self) {
        let now = self.now;
        for gateway in &mut self.gateways {
            let ended = gateway.ends.extract_if(.., |end| *end <= now).count();
            for _ in 0..ended {
                gateway.admission.on_ended(now);
            }
            gateway.history.push_back(gateway.ends.len());
            let steps = self.load.report_age.as_millis() / STEP.as_millis();
            while gateway.history.len() as u128 > steps.max(1) {
                gateway.history.pop_front();
            }
        }
    }

    fn arrive(&mut self, index: usize, rank: usize, account: usize) {
        let applicant = Applicant {
            rank: u32::try_from(rank).unwrap(),
            account: AccountName::new(format!("account-{account}")).unwrap(),
            received_at: self.now,
            target: TARGET,
            is_overdue: false,
        };
        self.count(&applicant, |count| count.offered += 1.0);
        let now = self.now;
        let admission = &mut self.gateways[index].admission;
        admission.on_offered(&applicant, now);
        if !admission.must_wait(&applicant, now) && self.try_start(index, &applicant, None) {
            return;
        }
        let gateway = &mut self.gateways[index];
        match gateway.admission.enqueue(&applicant, now) {
            Ok(placed) => {
                let waiting = (placed.ticket, applicant, placed.start_by);
                gateway.waiting.push(waiting);
            }
            Err(_) => self.count(&applicant, |count| count.refused += 1.0),
        }
    }

    /// Starts a stream if this gateway knows of enough capacity.
    fn try_start(
        &mut self,
        index: usize,
        applicant: &Applicant,
        place: Option<StreamTicket>,
    ) -> bool {
        let now = self.now;
        let own = self.gateways[index].ends.len();
        let mut others = self.gateways.iter().enumerate();
        let others: usize = others
            .by_ref()
            .filter(|(other, _)| *other != index)
            .map(|(_, other)| other.history.front().copied().unwrap_or_default())
            .sum();
        let running: usize = self.gateways.iter().map(|gateway| gateway.ends.len()).sum();
        let gateway = &mut self.gateways[index];
        let limits = gateway
            .admission
            .limits(applicant, true, self.load.report_age, now);
        if (own + others) as f64 + 1.0 > limits.context_memory * CAPACITY as f64 {
            return false;
        }
        gateway.admission.on_started(applicant, place, 1_000, now);
        gateway.admission.on_first_event(FIRST_EVENT);
        let life = Duration::from_secs_f64(self.rng.random_range(STREAM_LIFE_S));
        gateway.ends.push(now + life);
        // What exceeds the capacity waits at an engine, and is late.
        let is_late = running >= CAPACITY;
        self.count(applicant, |count| {
            if is_late {
                count.late += 1.0;
            } else {
                count.in_time += 1.0;
            }
        });
        true
    }

    fn search_again(&mut self) {
        for index in 0..self.gateways.len() {
            let now = self.now;
            let gateway = &mut self.gateways[index];
            let is_over = |entry: &(StreamTicket, Applicant, Instant),
                           gateway: &StreamAdmission| {
                entry.2 <= now || !gateway.is_waiting(entry.0)
            };
            let (over, waiting) = std::mem::take(&mut gateway.waiting)
                .into_iter()
                .partition(|entry| is_over(entry, &gateway.admission));
            gateway.waiting = waiting;
            for (ticket, applicant, _) in Vec::from_iter::<Vec<_>>(over) {
                self.gateways[index].admission.leave(ticket);
                self.count(&applicant, |count| count.refused += 1.0);
            }
            while let Some(head) = self.gateways[index].admission.head() {
                let waiting = &self.gateways[index].waiting;
                let position = waiting.iter().position(|(ticket, ..)| *ticket == head);
                let position = position.unwrap();
                let applicant = waiting[position].1.clone();
                if !self.try_start(index, &applicant, Some(head)) {
                    break;
                }
                self.gateways[index].waiting.swap_remove(position);
            }
        }
    }

    fn count(&mut self, applicant: &Applicant, add: impl Fn(&mut Count)) {
        add(&mut self.outcome.ranks[applicant.rank as usize]);
        let name = applicant.account.as_str();
        let account: usize = name.rsplit('-').next().unwrap().parse().unwrap();
        add(&mut self.outcome.accounts[account]);
    }
}

fn show(name: &str, outcome: &Outcome) {
    for (rank, count) in outcome.ranks.iter().enumerate() {
        println!(
            "{name}: rank {rank} refused {:.3} late {:.3} in time {:.3}",
            count.refused_share(),
            count.late / count.offered,
            count.served_share()
        );
    }
}

fn applicant(rank: u32, account: &str, received_at: Instant) -> Applicant {
    Applicant {
        rank,
        account: AccountName::new(account).unwrap(),
        received_at,
        target: TARGET,
        is_overdue: false,
    }
}

/// Returns the admission of a gateway at which `per_s` streams end a second.
fn admission_with_releases(per_s: u32, now: Instant) -> StreamAdmission {
    let mut admission = StreamAdmission::new(now - 10 * SECOND);
    for step in 0..10 * per_s {
        let at = now - 10 * SECOND + SECOND / per_s * step;
        admission.on_started(&applicant(2, "a", at), None, 1_000, at);
        admission.on_ended(at);
    }
    admission
}

/// Sixty streams at once where 100 end a second, of which about 40 start within the objective.
/// Guards against requests that are held until their deadline, and against clients that left or
/// less urgent requests that keep the place of others.
#[test]
fn test_sixty_streams_at_once_wait_only_as_long_as_they_can_be_served() {
    let now = Instant::now() + 20 * SECOND;
    let mut admission = admission_with_releases(100, now);
    let placed: Vec<_> = (0..60)
        .filter_map(|_| admission.enqueue(&applicant(2, "a", now), now).ok())
        .collect();
    assert!((35..=45).contains(&placed.len()), "{} wait", placed.len());
    let refused = admission.enqueue(&applicant(2, "a", now), now);
    assert_eq!(refused.unwrap_err().cause, NotAdmittedCause::ExpectedWait);
    // The places of clients that leave are free at once.
    for place in &placed[..10] {
        admission.leave(place.ticket);
    }
    assert!(admission.enqueue(&applicant(2, "a", now), now).is_ok());
    // Another account is served next, and a more urgent stream before it.
    let other = admission.enqueue(&applicant(2, "b", now), now).unwrap();
    assert_eq!(admission.head(), Some(other.ticket));
    let urgent = admission.enqueue(&applicant(0, "a", now), now).unwrap();
    assert_eq!(admission.head(), Some(urgent.ticket));
    // More urgent streams take the last places when the queue is full.
    let evicted: Vec<_> = (0..35)
        .filter_map(|_| {
            admission
                .enqueue(&applicant(0, "a", now), now)
                .ok()?
                .evicted
        })
        .collect();
    assert!(!evicted.is_empty());
    assert!(evicted.iter().all(|ticket| !admission.is_waiting(*ticket)));
}

/// Clients of two ranks that are rejected at once, while 100 streams end and 60 urgent ones arrive
/// a second. Guards against clients that return as told, all at once, and are rejected again.
#[test]
fn test_rejected_clients_return_spread_and_the_urgent_first() {
    let now = Instant::now() + 20 * SECOND;
    let mut admission = admission_with_releases(100, now);
    for step in 0..600 {
        let at = now - 10 * SECOND + SECOND / 60 * step;
        admission.on_offered(&applicant(0, "a", at), at);
        admission.on_offered(&applicant(2, "a", at), at);
    }
    let longest = 10 * SECOND;
    let mut told = |rank| -> Vec<Duration> {
        let draws = (0..40_u32).map(|step| f64::from(step * 7 % 40) / 40.0);
        let times = draws.map(|draw| {
            let applicant = applicant(rank, "a", now);
            admission.next_retry_after(&applicant, longest, draw, now)
        });
        times.map(Option::unwrap).collect()
    };
    let urgent = told(0);
    let late = told(2);
    assert!(urgent.iter().max() < late.iter().min());
    for times in [urgent, late] {
        assert!(times.iter().all(|time| *time <= longest));
        let first = times.iter().min().unwrap();
        let at_once = times.iter().filter(|time| **time < *first + SECOND / 10);
        assert!(at_once.count() <= 8, "{times:?}");
    }
}

/// A burst of the least urgent rank of 2.2 times its usual load, four of every eight seconds.
/// Guards against rejections that hit all ranks alike.
#[test]
fn test_burst_of_the_least_urgent_rank_spares_the_more_urgent() {
    let load = Load {
        rank_loads: |time_s| [0.3, 0.3, if time_s % 8.0 < 4.0 { 0.66 } else { 0.3 }],
        ..Load::EVEN
    };
    let outcome = Model::run(load, 24.0);
    show("least urgent", &outcome);
    let [most, _, least] = &outcome.ranks;
    assert!(least.refused_share() > 0.05);
    assert!(most.refused_share() <= least.refused_share() / 4.0);
    outcome.assert_no_rank_starves();
}

/// A burst of the most urgent rank of 2.2 times its usual load. Guards against urgent requests
/// that are rejected as often as others, and against others that are not served at all.
#[test]
fn test_burst_of_the_most_urgent_rank_precedes_others_without_starving_them() {
    let load = Load {
        rank_loads: |time_s| [if time_s % 8.0 < 4.0 { 0.66 } else { 0.3 }, 0.3, 0.3],
        ..Load::EVEN
    };
    let outcome = Model::run(load, 24.0);
    show("most urgent", &outcome);
    let [most, _, least] = &outcome.ranks;
    assert!(most.refused_share() <= least.refused_share() / 4.0);
    outcome.assert_no_rank_starves();
}

/// One account of 24 sends a third of 1.2 times what the fleet serves. Guards against rejections
/// that hit accounts below their fair share because of it.
#[test]
fn test_one_large_account_is_rejected_before_accounts_below_their_fair_share() {
    let load = Load {
        has_large_account: true,
        rank_loads: |_| [0.4; 3],
        ..Load::EVEN
    };
    let outcome = Model::run(load, 30.0);
    let small = &outcome.accounts[1..];
    let refused: f64 = small.iter().map(|count| count.refused).sum();
    let offered: f64 = small.iter().map(|count| count.offered).sum();
    let large = &outcome.accounts[0];
    show("large account", &outcome);
    println!(
        "small refused {:.3}, large refused {:.3}",
        refused / offered,
        large.refused_share()
    );
    assert!(refused / offered <= 0.05);
    assert!(large.served_share() >= outcome.total().served_share() / 4.0);
}

/// Twice the load that the fleet serves. Guards against capacity that is kept free, or given to
/// streams that are late, while requests are rejected.
#[test]
fn test_twice_the_load_serves_as_much_in_time_as_the_peak() {
    let peak = Model::run(
        Load {
            rank_loads: |_| [0.33; 3],
            ..Load::EVEN
        },
        20.0,
    );
    let double = Model::run(
        Load {
            rank_loads: |_| [0.667; 3],
            ..Load::EVEN
        },
        20.0,
    );
    show("peak", &peak);
    show("double", &double);
    let relative = double.total().in_time / peak.total().in_time;
    println!("served in time at twice the load, relative to the peak: {relative:.3}");
    assert!(relative >= 0.95);
    let [most, _, least] = &double.ranks;
    assert!(most.refused_share() <= least.refused_share() / 4.0);
    double.assert_no_rank_starves();
}

/// Thirty gateways that learn of each other's streams 400 ms late, at 1.3 times the load that the
/// fleet serves. Guards against gateways that all give away the same capacity.
#[test]
fn test_thirty_gateways_with_late_reports_start_few_streams_too_many() {
    let load = Load {
        gateways: 30,
        report_age: Duration::from_millis(400),
        rank_loads: |_| [0.433; 3],
        ..Load::EVEN
    };
    let outcome = Model::run(load, 20.0);
    show("thirty gateways", &outcome);
    let [most, _, least] = &outcome.ranks;
    let total = outcome.total();
    assert!(total.late / total.offered <= 0.05);
    assert!(most.refused_share() <= least.refused_share() / 4.0);
    outcome.assert_no_rank_starves();
}

/// Guards against clients that return after a rejection taking the capacity of those that can
/// still be served in time: their own objective has passed.
#[test]
fn test_returning_clients_wait_behind_those_that_can_be_served_in_time() {
    let now = Instant::now();
    let mut patience = ClientPatience::new();
    let route = SmolStr::new("route");
    let whole = Duration::from_secs(20);
    assert!(!patience.is_overdue(&route, whole, TARGET, now));
    let later_by_half = whole.saturating_sub(TARGET / 2);
    assert!(!patience.is_overdue(&route, later_by_half, TARGET, now));
    let returned_at = now + Duration::from_secs(4);
    let left = Duration::from_secs(16);
    assert!(patience.is_overdue(&route, left, TARGET, returned_at));

    let mut admission = admission_with_releases(50, now);
    let returned = Applicant {
        is_overdue: true,
        ..applicant(0, "first", now)
    };
    let returned = admission.enqueue(&returned, now).unwrap();
    let fresh = admission
        .enqueue(&applicant(2, "second", now), now)
        .unwrap();
    assert_eq!(admission.head(), Some(fresh.ticket));
    // A returned client waits for what is left, beyond its objective.
    assert!(returned.start_by > now + TARGET);
}

/// Guards against a route whose clients name less time after a change of the configuration, and
/// would all be taken for returning ones for good.
#[test]
fn test_clients_that_all_name_less_time_are_not_taken_for_returning_ones() {
    let now = Instant::now();
    let mut patience = ClientPatience::new();
    let route = SmolStr::new("route");
    assert!(!patience.is_overdue(&route, Duration::from_secs(20), TARGET, now));
    let later = now + Duration::from_secs(11);
    assert!(!patience.is_overdue(&route, Duration::from_secs(5), TARGET, later));
}
