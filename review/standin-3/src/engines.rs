//! The runners of a model whose layers are spread over them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::http::Reply;
use crate::http::serve;
use crate::record::Record;
use crate::site::Store;

/// The time that a request waits at its first runner before it is passed along its path.
const QUEUE_TIME: Duration = Duration::from_millis(200);
/// The time to load all layers.
const LOAD_TIME: Duration = Duration::from_millis(500);
/// The layers of the model.
pub const LAYERS: u32 = 12;
/// The events of a stream.
const EVENTS: u64 = 20;
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// The start of the first runner, as it says.
const FIRST_BORN_UNIX_MS: usize = 1_770_000_100_000;

struct Engine {
    id: String,
    address: SocketAddr,
    /// The first layer that it holds and the one after the last.
    layers: Option<(u32, u32)>,
    orders: u64,
    /// Whether it loads layers.
    is_busy: bool,
    is_leaving: bool,
    /// Whether its answers say that it leaves.
    says_leaving: bool,
    writes: u64,
}

/// All runners of the model.
pub struct Engines {
    store: Arc<Store>,
    record: Arc<Record>,
    engines: Mutex<Vec<Engine>>,
}

impl Engines {
    /// Starts so many runners, which hold no layers.
    pub fn start(count: usize, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        let engines = Arc::new(Self {
            store: Arc::clone(store),
            record: Arc::clone(record),
            engines: Mutex::default(),
        });
        for index in 0..count {
            let served = Arc::clone(&engines);
            let address = serve(move |request| served.answer(index, request));
            engines.lock().push(Engine {
                id: format!("engine-{index}"),
                address,
                layers: None,
                orders: 0,
                is_busy: false,
                is_leaving: false,
                says_leaving: false,
                writes: 0,
            });
            engines.write_entry(index);
        }
        engines
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Engine>> {
        self.engines.lock().expect("no runner has failed")
    }

    /// Returns the runner that holds the first layer, if one does.
    pub fn first_holder(&self) -> Option<usize> {
        let holds_first = |engine: &Engine| engine.layers.is_some_and(|(first, _)| first == 0);
        self.lock().iter().position(holds_first)
    }

    /// Returns the number of layers that all runners hold together.
    pub fn held_layers(&self) -> u32 {
        let engines = self.lock();
        let layers = engines.iter().filter_map(|engine| engine.layers);
        layers.map(|(first, end)| end - first).sum()
    }

    /// Lets a runner leave: it reports that it drains, and its answers say so.
    pub fn leave(&self, index: usize, says_leaving: bool) {
        {
            let mut engines = self.lock();
            engines[index].is_leaving = true;
            engines[index].says_leaving = says_leaving;
        }
        self.write_entry(index);
    }

    /// Removes the entry of a runner that has left, which takes no request any more.
    pub fn remove(&self, index: usize) {
        let id = self.lock()[index].id.clone();
        self.store.remove(&format!("servers/{id}"));
    }

    /// Returns a line that tells what each runner holds.
    pub fn text(&self) -> String {
        let engines = self.lock();
        let engines = engines.iter().map(|engine| {
            let layers = engine.layers.map(|(first, end)| format!("{first}-{end}"));
            let leaving = if engine.is_leaving { " (leaving)" } else { "" };
            format!("{} {}{leaving}", engine.id, layers.unwrap_or_default())
        });
        engines.collect::<Vec<_>>().join(", ")
    }

    fn write_entry(&self, index: usize) {
        let mut engines = self.lock();
        let engine = &mut engines[index];
        engine.writes += 1;
        let layers = engine.layers.map_or(String::new(), |(first, end)| {
            format!(r#","layers":{{"from":{first},"target":{end},"version":1}}"#)
        });
        let entry = format!(
            r#"{{"service":"llm","address":"{}","zone":"hall","version":"v1","slots":24,
"state":"{}","cold_remaining_ms":0,"seq":{},"born":{},"kind":"card","stage":"both",
"models":[{{"name":"m","version":1,"adapters":[]}}]{layers}}}"#,
            engine.address,
            if engine.is_leaving {
                "draining"
            } else {
                "ready"
            },
            engine.writes,
            FIRST_BORN_UNIX_MS + index,
        );
        let key = format!("servers/{}", engine.id);
        self.store.put(&key, &entry);
    }

    fn answer(self: &Arc<Self>, index: usize, request: &Message) -> Reply {
        let mut reply = match request.target() {
            "/health" => self.health(index).into(),
            "/v1/report" => self.report(index).into(),
            "/v1/order" => self.order(index, request).into(),
            _ => self.run(index, request),
        };
        // A runner that leaves says so in all its answers.
        if self.lock()[index].says_leaving {
            let (Reply::Whole(head) | Reply::Events { head, .. }) = &mut reply;
            head.fields
                .push(("server-leaving".to_owned(), "1".to_owned()));
        }
        reply
    }

    fn health(&self, index: usize) -> Message {
        let engines = self.lock();
        let status = if engines[index].is_leaving { 503 } else { 200 };
        Message::reply(status, "").with("instance-id", &engines[index].id)
    }

    fn report(&self, index: usize) -> Message {
        let engines = self.lock();
        let engine = &engines[index];
        let layers = engine.layers.map_or(String::new(), |(first, end)| {
            format!(r#","layers":{{"from":{first},"target":{end},"version":1}}"#)
        });
        let report = format!(
            r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{},
"seq":{},"queued":0,"running":0,"kv_used":0,"kv_total":100000,"handles":0,"pace":1.0,
"born":{},"stalled":[]{layers}}}"#,
            engine.is_busy,
            engine.orders,
            FIRST_BORN_UNIX_MS + index,
        );
        Message::reply(200, &report).with("content-type", "application/json")
    }

    fn order(self: &Arc<Self>, index: usize, request: &Message) -> Message {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
            let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
            digits.parse::<u64>().ok()
        };
        if !body.contains(r#""op":"place""#) {
            return Message::reply(409, "");
        }
        let layer = |name| number(name).and_then(|layer| u32::try_from(layer).ok());
        let Some((first, end)) = layer("from").zip(layer("target")) else {
            return Message::reply(400, "");
        };
        let (kept, text) = {
            let mut engines = self.lock();
            let engine = &mut engines[index];
            if engine.is_busy || number("expected") != Some(engine.orders) {
                return Message::reply(409, "");
            }
            engine.orders += 1;
            engine.is_busy = true;
            // Layers that are given up accept nothing new.
            let kept = engine.layers.unwrap_or_default();
            let kept = (kept.0.max(first), kept.1.min(end));
            engine.layers = (kept.0 < kept.1).then_some(kept);
            let text = format!("{} is ordered to hold {first}-{end}", engine.id);
            (engine.layers.map_or(0, |(first, end)| end - first), text)
        };
        self.record.line(&text);
        self.write_entry(index);
        let load_time = LOAD_TIME * (end - first - kept) / LAYERS;
        let engines = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(load_time);
            {
                let mut engines = engines.lock();
                engines[index].layers = Some((first, end));
                engines[index].is_busy = false;
            }
            engines.write_entry(index);
        });
        Message::reply(202, "")
    }

    fn run(&self, index: usize, request: &Message) -> Reply {
        let id = request.field("request-id").to_owned();
        if request.field("expect-instance") != self.lock()[index].id {
            let reply = Message::reply(421, "").with("request-id", &id);
            return reply.into();
        }
        thread::sleep(QUEUE_TIME);
        let engines = self.lock();
        let own = &engines[index];
        let path = request.field("hop-count");
        let parts = path.split(',').filter_map(|part| part.split_once('='));
        for (address, layers) in parts {
            let part = engines
                .iter()
                .find(|part| part.address.to_string() == address);
            let range = layers.split_once('-').and_then(|(first, end)| {
                Some((first.parse::<u32>().ok()?, end.parse::<u32>().ok()?))
            });
            let holds = part.zip(range).is_some_and(|(part, (first, end))| {
                part.layers
                    .is_some_and(|(held, held_end)| held <= first && end <= held_end)
            });
            if !holds {
                self.record.line(&format!(
                    "{} refuses {id}: {} gives up its part {layers}{}",
                    own.id,
                    part.map_or(address, |part| &part.id),
                    if own.says_leaving {
                        ", and says that it leaves itself"
                    } else {
                        ""
                    },
                ));
                let reply = Message::reply(503, "").with("request-id", &id);
                return reply.with("not-run", "1").with("at-server", address).into();
            }
        }
        let head = Message::reply(200, "")
            .with("request-id", &id)
            .with("response-stamp", &format!("{}.{id}", own.id));
        let last = request.field("last-event-id").parse::<u64>();
        Reply::Events {
            head,
            ids: last.map_or(0, |last| last + 1)..EVENTS,
            interval: EVENT_INTERVAL,
        }
    }
}
