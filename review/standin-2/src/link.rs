//! The way from one machine to another, which can be cut like a partition does it: nothing
//! passes, new connections hang, and nobody is told.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

const STEP: Duration = Duration::from_millis(2);

pub struct Link {
    address: SocketAddr,
    is_cut: AtomicBool,
    listener: TcpListener,
    /// The connections that fill the queue of a cut link, so that further ones hang.
    fillers: Mutex<Vec<TcpStream>>,
}

impl Link {
    pub fn new(listener: TcpListener, target: SocketAddr) -> Arc<Self> {
        let address = listener.local_addr().unwrap();
        listener.set_nonblocking(true).unwrap();
        let link = Arc::new(Self {
            address,
            is_cut: AtomicBool::new(false),
            listener,
            fillers: Mutex::new(Vec::new()),
        });
        let own = Arc::clone(&link);
        thread::spawn(move || own.accept(target));
        link
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::SeqCst)
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        thread::sleep(STEP * 3);
        // SAFETY: the socket is open and listens.
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        let mut fillers = self.fillers.lock().unwrap();
        for _ in 0..4 {
            match TcpStream::connect_timeout(&self.address, Duration::from_millis(20)) {
                Ok(filler) => fillers.push(filler),
                Err(_) => break,
            }
        }
    }

    pub fn heal(&self) {
        self.fillers.lock().unwrap().clear();
        // SAFETY: the socket is open and listens.
        unsafe { listen(self.listener.as_raw_fd(), 1_024) };
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn accept(self: Arc<Self>, target: SocketAddr) {
        loop {
            thread::sleep(STEP);
            if self.is_cut() {
                continue;
            }
            while let Ok((near, _)) = self.listener.accept() {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (from, to) = (from.try_clone().unwrap(), to.try_clone().unwrap());
                    let link = Arc::clone(&self);
                    thread::spawn(move || link.pump(from, to));
                }
            }
        }
    }

    fn pump(&self, mut from: TcpStream, mut to: TcpStream) {
        let _ = from.set_read_timeout(Some(Duration::from_millis(20)));
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = from.read(&mut buffer);
            while self.is_cut() {
                thread::sleep(STEP);
            }
            match read {
                Ok(0) => break,
                Ok(count) => {
                    if to.write_all(&buffer[..count]).is_err() {
                        break;
                    }
                }
                Err(fault) if matches!(fault.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => break,
            }
        }
        let _ = to.shutdown(Shutdown::Write);
    }
}
