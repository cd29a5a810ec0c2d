//! A TCP relay whose open connections can go silent while new ones work.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

/// The relay. Connections that were opened before the last silence pass nothing on.
pub struct Relay {
    pub address: SocketAddr,
    generation: AtomicU64,
    /// The sockets of silent connections, which stay open.
    silent: Mutex<Vec<TcpStream>>,
}

impl Relay {
    pub fn start(listener: TcpListener, target: SocketAddr) -> Arc<Self> {
        let relay = Arc::new(Self {
            address: listener.local_addr().expect("a bound address"),
            generation: AtomicU64::new(0),
            silent: Mutex::new(Vec::new()),
        });
        let accepting = Arc::clone(&relay);
        thread::spawn(move || {
            for client in listener.incoming() {
                let Ok(client) = client else { continue };
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = client.set_nodelay(true);
                let _ = server.set_nodelay(true);
                let generation = accepting.generation.load(Ordering::SeqCst);
                let pairs = [
                    (client.try_clone(), server.try_clone()),
                    (Ok(server), Ok(client)),
                ];
                for pair in pairs {
                    if let (Ok(from), Ok(to)) = pair {
                        let relay = Arc::clone(&accepting);
                        thread::spawn(move || relay.pass_on(from, to, generation));
                    }
                }
            }
        });
        relay
    }

    /// Makes all open connections silent for good.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    fn pass_on(&self, mut from: TcpStream, mut to: TcpStream, generation: u64) {
        let mut buffer = vec![0; 64 * 1024];
        loop {
            let read = from.read(&mut buffer);
            if self.generation.load(Ordering::SeqCst) != generation {
                // What arrives is lost, and neither side hears of the other's end.
                let mut silent = self.silent.lock().expect("the silent connections");
                silent.extend([from, to]);
                return;
            }
            let len = match read {
                Ok(0) | Err(_) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(len) => len,
            };
            if to.write_all(&buffer[..len]).is_err() {
                let _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
    }
}
