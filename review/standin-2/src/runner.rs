//! Runners of a plain service, by the platform's protocol.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Answer;
use crate::http::Message;
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Mode {
    Well,
    /// It refuses each request and wants no other one until then; the header says how long.
    PauseUntil(Instant),
}

/// A request that reached a runner.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: Instant,
    /// How long the answer asked for no further request.
    pub pause: Option<Duration>,
}

struct State {
    mode: Mode,
    /// Whether it reaches the store.
    reaches_store: bool,
    heard_at: Instant,
    has_entry: bool,
    /// Whether it leaves: it serves on, and all its answers say so.
    is_leaving: bool,
    seq: u64,
    arrivals: Vec<Arrival>,
}

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    work: Duration,
    born: u64,
    state: Mutex<State>,
    store: Arc<Store>,
}

impl Runner {
    pub fn start(
        store: &Arc<Store>,
        record: &Arc<Record>,
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let runner = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().unwrap(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            work,
            born: since.unwrap().as_millis() as u64,
            state: Mutex::new(State {
                mode: Mode::Well,
                reaches_store: true,
                heard_at: Instant::now(),
                has_entry: false,
                is_leaving: false,
                seq: 0,
                arrivals: Vec::new(),
            }),
            store: Arc::clone(store),
        });
        runner.write_entry();
        let own = Arc::clone(&runner);
        let log = Arc::clone(record);
        http::serve(listener, move |request, _| Some(own.answer(request, &log)));
        let own = Arc::clone(&runner);
        let log = Arc::clone(record);
        thread::spawn(move || own.beat(&log));
        runner
    }

    fn beat(&self, record: &Record) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let (reaches, silent, has_entry) = {
                let state = self.state.lock().unwrap();
                if state.is_leaving {
                    return;
                }
                (state.reaches_store, state.heard_at.elapsed(), state.has_entry)
            };
            if reaches && silent >= HEARTBEAT {
                if !has_entry {
                    record.note(&format!("store: the entry of {} is back", self.id));
                }
                self.write_entry();
            } else if !reaches && has_entry && silent >= 3 * HEARTBEAT {
                self.state.lock().unwrap().has_entry = false;
                self.store.remove(&format!("servers/{}", self.id));
                record.note(&format!(
                    "store: the entry of {} is removed after three intervals of silence",
                    self.id
                ));
            }
        }
    }

    fn write_entry(&self) {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        state.heard_at = Instant::now();
        state.has_entry = true;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{},\"born\":{}}}",
            self.service, self.address, self.zone, state.seq, self.born
        );
        drop(state);
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Removes its entry, as a runner does that leaves without a word; returns when the store has
    /// acknowledged that.
    pub fn leave(&self) -> Instant {
        let mut state = self.state.lock().unwrap();
        state.is_leaving = true;
        state.has_entry = false;
        self.store.remove(&format!("servers/{}", self.id))
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    pub fn set_reaches_store(&self, reaches_store: bool) {
        self.state.lock().unwrap().reaches_store = reaches_store;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.lock().unwrap().arrivals.clone()
    }

    fn answer(&self, request: &Message, record: &Record) -> Answer {
        if request.path() == "/health" {
            return Answer::new(200, "").with("Instance-Id", &self.id);
        }
        let id = request.field("request-id").unwrap_or("").to_owned();
        let at = Instant::now();
        let is_other = request.field("expect-instance").is_some_and(|other| other != self.id);
        let (mode, is_leaving) = {
            let state = self.state.lock().unwrap();
            (state.mode.clone(), state.is_leaving)
        };
        let pause = match mode {
            Mode::PauseUntil(until) if until > at => Some(until - at),
            _ => None,
        };
        let status = match pause {
            _ if is_other => 421,
            Some(_) => 503,
            None => 200,
        };
        record.note(&format!("{}: {} {id} -> {status}", self.id, request.method()));
        let arrival = Arrival { id: id.clone(), at, pause };
        self.state.lock().unwrap().arrivals.push(arrival);
        let mut answer = match status {
            200 => {
                thread::sleep(self.work);
                let stamp = format!("{}.{id}", self.id);
                Answer::new(200, format!("done {id}")).with("Response-Stamp", &stamp)
            }
            _ => {
                // An overloaded server answers a little later.
                thread::sleep(Duration::from_millis(20));
                Answer::new(status, "").with("Not-Run", "1")
            }
        };
        if let Some(pause) = pause {
            answer = answer.with("Retry-After", &format!("{:.3}", pause.as_secs_f64()));
        }
        if is_leaving {
            answer = answer.with("Server-Leaving", "1");
        }
        answer.with("Request-Id", &id)
    }
}
