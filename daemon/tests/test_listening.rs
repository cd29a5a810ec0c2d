//! Connections that come in a burst while a process is held up wait until it accepts them.
//!
//! Guards against a short queue of the system: it answers no connection beyond it, and clients
//! try again only after one second, then three, seven and so on.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use futures_util::future::join_all;
use jujubewall_testutils::daemon::Signal;
use jujubewall_testutils::fleet::Fleet;
use jujubewall_testutils::scripted_upstream::ScriptedSite;
use jujubewall_testutils::site::SiteShape;
use jujubewall_testutils::site::TestSite;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The connections that come at once.
const BURST: usize = 1_000;

/// The time in which a connection opens, shorter than the system's time for a second try.
const CONNECT_TIME: Duration = Duration::from_millis(900);

/// The time in which a process that goes on answers a request.
const ANSWER_TIME: Duration = Duration::from_secs(10);

/// Opens many connections at once to a process that is held up. Returns those that opened.
async fn open_burst(target: SocketAddr) -> Vec<TcpStream> {
    let attempts = (0..BURST).map(|_| timeout(CONNECT_TIME, TcpStream::connect(target)));
    let opened = join_all(attempts).await.into_iter();
    opened.filter_map(|attempt| attempt.ok()?.ok()).collect()
}

/// Fails if a request on this connection is not answered in time.
async fn check_answered(mut stream: TcpStream) {
    let request = b"GET / HTTP/1.1\r\nhost: desk.example\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request).await.unwrap();
    let mut start = [0; 9];
    let read = timeout(ANSWER_TIME, stream.read_exact(&mut start)).await;
    read.expect("an answer in time").unwrap();
    assert_eq!(&start, b"HTTP/1.1 ");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_connections_wait_for_a_gateway_that_is_held_up() {
    let site = ScriptedSite::start(Path::new(PROGRAM), |_| {}).await;
    site.gateway.pause().await;
    let mut opened = open_burst(site.gateway.clients).await;
    site.gateway.resume().await;
    assert_eq!(opened.len(), BURST);
    check_answered(opened.pop().unwrap()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn test_connections_wait_for_an_entry_that_is_held_up() {
    let mut site = TestSite::start(SiteShape::default()).await;
    site.set_limit("max_connections", 2 * u64::try_from(BURST).unwrap());
    let fleet = Fleet::start_at(Path::new(PROGRAM), site).await;
    let entry = &fleet.entries[0];
    entry.signal(Signal::Pause);
    let mut opened = open_burst(entry.address("caller_address")).await;
    entry.signal(Signal::Resume);
    assert_eq!(opened.len(), BURST);
    check_answered(opened.pop().unwrap()).await;
}
