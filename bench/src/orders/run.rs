//! One run of an entry and the agents of a service over the stand-ins.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::WrapErr as _;
use hdrhistogram::Histogram;
use jujubewall_platform::error::PlatformError;
use jujubewall_platform::key_value::KeyValue as _;
use jujubewall_platform::key_value::KeyValueEntry;
use jujubewall_platform::key_value::Swap;
use jujubewall_protocol::call::CallResult;
use jujubewall_routing::order::action::AgentOrderAction;
use jujubewall_routing::order::action::EntryOrderAction;
use jujubewall_routing::order::action::ShardKey;
use jujubewall_routing::order::agent::AgentIdentity;
use jujubewall_routing::order::agent::AgentOrders;
use jujubewall_routing::order::counters::AgentOrderCounters;
use jujubewall_routing::order::entry::AgentTarget;
use jujubewall_routing::order::entry::EntryOrders;
use jujubewall_routing::order::entry::NewCall;
use jujubewall_routing::order::key::KeyDigest;
use jujubewall_routing::order::key::ShardName;
use jujubewall_routing::order::record::ClaimerId;
use jujubewall_routing::order::settings::AgentOrderSettings;
use jujubewall_routing::order::settings::EntryOrderSettings;
use jujubewall_testutils::key_value::FakeKeyValue;
use jujubewall_testutils::key_value::Outage;
use jujubewall_testutils::service::FakeService;
use jujubewall_testutils::service::request_of_call;
use jujubewall_types::id::AccountName;
use jujubewall_types::id::Incarnation;
use jujubewall_types::id::MemberName;
use jujubewall_types::id::RequestId;
use jujubewall_types::id::ServiceName;
use jujubewall_types::id::UpstreamName;
use jujubewall_types::outcome::Outcome;
use jujubewall_upstream::error::UpstreamError;
use jujubewall_upstream::service::Service as _;
use jujubewall_upstream::service::ServiceResponse;
use smol_str::format_smolstr;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::report::RunReport;
use super::report::Told;
use super::report::Waits;

/// The number of agents before the service.
const AGENTS: usize = 3;
/// The time of a call to the key-value service.
const KEY_VALUE_DELAY: Duration = Duration::from_millis(3);
/// The time of a call to the plain service.
const SERVICE_DELAY: Duration = Duration::from_millis(2);
/// The time that a caller waits.
const DEADLINE: Duration = Duration::from_secs(5);

/// What a run sends.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    orders_per_s: u32,
    run_s: u64,
    outage_s: Option<(u64, u64)>,
    by_shard: bool,
    has_key: bool,
}

impl Load {
    /// Sends calls with keys at a steady rate.
    pub const fn steady(orders_per_s: u32, run_s: u64, by_shard: bool) -> Self {
        Self {
            orders_per_s,
            run_s,
            outage_s: None,
            by_shard,
            has_key: true,
        }
    }

    /// Sends calls before, during and after an outage of the key-value service.
    pub const fn outage(orders_per_s: u32, around_s: u64, outage_s: u64, has_key: bool) -> Self {
        Self {
            orders_per_s,
            run_s: 2 * around_s + outage_s,
            outage_s: Some((around_s, around_s + outage_s)),
            by_shard: true,
            has_key,
        }
    }
}

enum Event {
    Loaded(usize, ShardKey, Result<Vec<KeyValueEntry>, PlatformError>),
    Written(usize, ShardKey, Result<Swap, PlatformError>),
    Served(usize, RequestId, Result<ServiceResponse, UpstreamError>),
}

/// Runs a load to its end.
pub async fn run(load: Load) -> eyre::Result<RunReport> {
    let mut run = Run::new(load)?;
    let begin = Instant::now();
    let interval = Duration::from_secs(1) / load.orders_per_s;
    let total = u64::from(load.orders_per_s) * load.run_s;
    let mut sent = 0;
    while sent < total || !run.entry.is_idle() {
        let next_send = begin + interval * u32::try_from(sent)?;
        run.set_outage(begin);
        if sent < total && Instant::now() >= next_send {
            run.submit(sent)?;
            sent += 1;
            continue;
        }
        let next_send = (sent < total).then_some(next_send);
        run.wait(next_send).await;
    }
    run.report(begin.elapsed())
}

struct Run {
    load: Load,
    key_value: FakeKeyValue,
    service: FakeService,
    entry: EntryOrders,
    agents: Vec<AgentOrders>,
    upstreams: Vec<UpstreamName>,
    sender: mpsc::UnboundedSender<Event>,
    receiver: mpsc::UnboundedReceiver<Event>,
    started: HashMap<RequestId, Instant>,
    begin: Instant,
    told: [Told; 2],
    waits: [Histogram<u64>; 2],
    back_at: Option<Instant>,
    writes_by_s: BTreeMap<u64, u64>,
    write_bytes: u64,
}

impl Run {
    fn new(load: Load) -> eyre::Result<Self> {
        let now = Instant::now();
        let (sender, receiver) = mpsc::unbounded_channel();
        let key_value = FakeKeyValue::new();
        key_value.set_faults(|faults| faults.delay = KEY_VALUE_DELAY);
        let service = FakeService::new();
        service.set_faults(|faults| faults.delay = SERVICE_DELAY);
        let agent = |index: usize| {
            let identity = AgentIdentity {
                incarnation: Incarnation(1),
                claimer: ClaimerId(index as u64),
                started_at_unix_s: 0,
            };
            AgentOrders::new(AgentOrderSettings::default(), identity, now)
        };
        let upstream = |index| UpstreamName::new(format!("bays-{index}"));
        let histogram = || Histogram::new(3);
        Ok(Self {
            load,
            key_value,
            service,
            entry: EntryOrders::new(
                EntryOrderSettings::default(),
                MemberName::new("entry-1")?,
                Incarnation(1),
                agent_address(AGENTS),
            ),
            agents: (0..AGENTS).map(agent).collect(),
            upstreams: (0..AGENTS).map(upstream).collect::<Result<_, _>>()?,
            sender,
            receiver,
            started: HashMap::new(),
            begin: now,
            told: [Told::default(); 2],
            waits: [histogram()?, histogram()?],
            back_at: None,
            writes_by_s: BTreeMap::new(),
            write_bytes: 0,
        })
    }

    fn submit(&mut self, index: u64) -> eyre::Result<()> {
        let now = Instant::now();
        let service = ServiceName::new("bays")?;
        let account = AccountName::new("trust")?;
        let key = format_smolstr!("order-{index}");
        let agent = self.pick_agent(index, &account, &service, &key);
        let request = RequestId(u128::from(index));
        let call = NewCall {
            request,
            account,
            service,
            upstream: self.upstreams[agent].clone(),
            idempotency_key: self.load.has_key.then_some(key),
            idempotent: false,
            method: "POST".into(),
            path: "/orders".into(),
            content_type: Some("application/json".into()),
            body: Bytes::from(format!("{{\"item\":{index}}}")),
        };
        let target = AgentTarget {
            address: agent_address(agent),
            incarnation: Incarnation(1),
        };
        self.started.insert(request, now);
        let actions = self.entry.start(now, target, call, now + DEADLINE);
        self.carry_out_entry(actions);
        Ok(())
    }

    fn pick_agent(
        &self,
        index: u64,
        account: &AccountName,
        service: &ServiceName,
        key: &str,
    ) -> usize {
        let any = usize::try_from(index).unwrap_or(0) % AGENTS;
        if !self.load.by_shard {
            return any;
        }
        let shards = AgentOrderSettings::default().shards;
        let shard = KeyDigest::new(account, key).shard(shards);
        let shard = ShardName::new(service.clone(), shard);
        let preferred = shard.preferred(&self.upstreams);
        let found = self
            .upstreams
            .iter()
            .position(|name| Some(name) == preferred);
        found.unwrap_or(any)
    }

    fn set_outage(&self, begin: Instant) {
        let is_down = self.is_outage(begin.elapsed());
        let outage = if is_down {
            Outage::Refusing
        } else {
            Outage::None
        };
        self.key_value.set_faults(|faults| faults.outage = outage);
    }

    fn is_outage(&self, at: Duration) -> bool {
        let outage = self.load.outage_s;
        outage.is_some_and(|(first, end)| (first..end).contains(&at.as_secs()))
    }

    /// Waits for the next event, timer or call.
    async fn wait(&mut self, next_send: Option<Instant>) {
        let now = Instant::now();
        let agents = self.agents.iter();
        let wakeups = agents.filter_map(|agent| agent.next_wakeup(now));
        let wakeup = wakeups.chain(self.entry.next_wakeup()).chain(next_send);
        let wakeup = wakeup.min().unwrap_or(now + DEADLINE);
        tokio::select! {
            biased;
            Some(event) = self.receiver.recv() => self.on_event(event),
            () = sleep_until(wakeup) => self.on_tick(),
        }
    }

    fn on_tick(&mut self) {
        let now = Instant::now();
        for agent in 0..AGENTS {
            let actions = self.agents[agent].on_tick(now);
            self.carry_out_agent(agent, actions);
        }
        let actions = self.entry.on_tick(now);
        self.carry_out_entry(actions);
    }

    fn on_event(&mut self, event: Event) {
        let now = Instant::now();
        let (agent, actions) = match event {
            Event::Loaded(agent, shard, result) => {
                let actions = self.agents[agent].on_shard_loaded(now, shard, result);
                (agent, actions)
            }
            Event::Written(agent, shard, result) => {
                let actions = self.agents[agent].on_shard_written(now, shard, result);
                (agent, actions)
            }
            Event::Served(agent, request, result) => {
                let actions = self.agents[agent].on_service_result(now, request, result);
                (agent, actions)
            }
        };
        self.carry_out_agent(agent, actions);
    }

    fn carry_out_entry(&mut self, actions: Vec<EntryOrderAction>) {
        for action in actions {
            match action {
                EntryOrderAction::Send {
                    agent_address,
                    message,
                } => {
                    let agent = usize::from(agent_address.port()) - 1;
                    let actions = self.agents[agent].on_message(Instant::now(), message);
                    self.carry_out_agent(agent, actions);
                }
                EntryOrderAction::Answer(result) => self.answered(&result),
            }
        }
    }

    fn carry_out_agent(&mut self, agent: usize, actions: Vec<AgentOrderAction>) {
        let key_value = self.key_value.clone();
        let sender = self.sender.clone();
        for action in actions {
            let key_value = key_value.clone();
            match action {
                AgentOrderAction::Reply { result, .. } => {
                    let actions = self.entry.on_result(result);
                    self.carry_out_entry(actions);
                }
                AgentOrderAction::Send { request } => self.send(agent, request),
                AgentOrderAction::LoadShard { shard, prefix } => {
                    tell(sender.clone(), async move {
                        Event::Loaded(agent, shard, key_value.list(&prefix).await)
                    });
                }
                AgentOrderAction::WriteShard { shard, write } => {
                    self.write_bytes += write.value.len() as u64;
                    let second = self.begin.elapsed().as_secs();
                    *self.writes_by_s.entry(second).or_default() += 1;
                    tell(sender.clone(), async move {
                        let swap = key_value.compare_and_swap(
                            &write.key,
                            write.expected,
                            write.value,
                            None,
                        );
                        Event::Written(agent, shard, swap.await)
                    });
                }
                AgentOrderAction::DeleteSegment { key, expected } => {
                    tokio::spawn(async move { key_value.delete(&key, expected).await });
                }
            }
        }
    }

    fn send(&mut self, agent: usize, request: RequestId) {
        let Some(call) = self.agents[agent].begin_send(Instant::now(), request) else {
            return;
        };
        let service = self.service.clone();
        tell(self.sender.clone(), async move {
            Event::Served(agent, request, service.call(request_of_call(call)).await)
        });
    }

    fn answered(&mut self, result: &CallResult) {
        let Some(started) = self.started.remove(&result.request) else {
            return;
        };
        let in_outage = self.is_outage(started - self.begin);
        let told = &mut self.told[usize::from(in_outage)];
        match result.outcome {
            Outcome::Completed => told.completed += 1,
            Outcome::NotRun => told.not_run += 1,
            Outcome::Unknown => told.unknown += 1,
        }
        let wait_ms = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
        self.waits[usize::from(in_outage)].saturating_record(wait_ms);
        let is_after = self.outage_end().is_some_and(|end| started >= end);
        if is_after && result.outcome == Outcome::Completed {
            self.back_at.get_or_insert(Instant::now());
        }
    }

    fn outage_end(&self) -> Option<Instant> {
        let (_, end_s) = self.load.outage_s?;
        Some(self.begin + Duration::from_secs(end_s))
    }

    fn report(self, elapsed: Duration) -> eyre::Result<RunReport> {
        let counters: Vec<_> = self.agents.iter().map(AgentOrders::counters).collect();
        let sum = |count: fn(&AgentOrderCounters) -> u64| counters.iter().map(count).sum::<u64>();
        let completed = self.told[0].completed + self.told[1].completed;
        let runs = u64::from(self.service.runs());
        eyre::ensure!(completed == runs, "{completed} calls completed, {runs} ran");
        let elapsed_s = elapsed.as_secs_f64();
        let recovery = self.back_at.zip(self.outage_end());
        let recovery_ms = recovery.map(|(back, end)| (back - end).as_millis());
        Ok(RunReport {
            orders_per_s: self.load.orders_per_s,
            by_shard: self.load.by_shard,
            has_key: self.load.has_key,
            told: self.told[0],
            told_in_outage: self.told[1],
            service_runs: runs,
            writes_per_s: sum(|counters| counters.writes) as f64 / elapsed_s,
            max_writes_in_1_s: self.writes_by_s.values().copied().max().unwrap_or(0),
            write_bytes_per_s: self.write_bytes as f64 / elapsed_s,
            reads_per_s: sum(|counters| counters.reads) as f64 / elapsed_s,
            conflicts: sum(|counters| counters.conflicts),
            waits: Waits::new(&self.waits[0]),
            waits_in_outage: Waits::new(&self.waits[1]),
            recovery_ms: recovery_ms
                .map(u64::try_from)
                .transpose()
                .wrap_err("the recovery took too long")?,
        })
    }
}

fn tell(sender: mpsc::UnboundedSender<Event>, event: impl Future<Output = Event> + Send + 'static) {
    tokio::spawn(async move {
        // A run that has ended needs no events.
        let _ = sender.send(event.await);
    });
}

fn agent_address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).unwrap_or(u16::MAX);
    SocketAddr::from(([127, 0, 0, 1], port))
}
