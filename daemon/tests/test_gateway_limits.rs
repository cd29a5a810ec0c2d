//! Tests limits that a configuration changes under open connections.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use jujubewall_testutils::gateway_site::Site;
use jujubewall_testutils::gateway_site::config;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// The program under test.
const PROGRAM: &str = env!("CARGO_BIN_EXE_jujubewalld");

/// The time within which a configuration is in force, by the platform's bounds.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// A little more than that.
const APPLIED: Duration = Duration::from_millis(2_100);

/// The time for which a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// The clients, each with a connection that it keeps.
const CLIENTS: usize = 6;

/// A client that keeps its connection until an answer says that it is closed.
struct Client {
    clients: SocketAddr,
    stream: TcpStream,
    bytes: Vec<u8>,
    is_closed: bool,
}

impl Client {
    async fn new(site: &Site) -> Self {
        Self::connect(site.gateway.clients).await
    }

    async fn connect(clients: SocketAddr) -> Self {
        Self {
            clients,
            stream: TcpStream::connect(clients).await.unwrap(),
            bytes: Vec::new(),
            is_closed: false,
        }
    }

    async fn write(&mut self, text: &str) {
        if self.is_closed {
            *self = Self::connect(self.clients).await;
        }
        // A write to a connection that has ended shows in the answer, which does not come.
        let _ = self.stream.write_all(text.as_bytes()).await;
    }

    /// Returns the status of the next answer; zero if the connection ends before it.
    async fn status(&mut self) -> u16 {
        timeout(PATIENCE, self.read_answer()).await.unwrap_or(0)
    }

    async fn read_answer(&mut self) -> u16 {
        loop {
            let text = String::from_utf8_lossy(&self.bytes).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let head = head.to_ascii_lowercase();
                let length = head
                    .lines()
                    .find_map(|line| line.strip_prefix("content-length:"))
                    .map(|length| length.trim().parse::<usize>().unwrap());
                let body_bytes = match length {
                    Some(length) => (body.len() >= length).then_some(length),
                    None => body.find("0\r\n\r\n").map(|end| end + 5),
                };
                if let Some(body_bytes) = body_bytes {
                    self.bytes.drain(..head.len() + 4 + body_bytes);
                    self.is_closed = head.contains("connection: close");
                    return head.split(' ').nth(1).unwrap().parse().unwrap();
                }
            }
            match self.stream.read_buf(&mut self.bytes).await {
                Ok(0) | Err(_) => return 0,
                Ok(_) => {}
            }
        }
    }

    /// Sends an order whose head has about a size.
    async fn order(&mut self, id: &str, head_bytes: usize) -> u16 {
        self.write(&order(id, head_bytes)).await;
        self.status().await
    }
}

fn order(id: &str, head_bytes: usize) -> String {
    format!(
        "POST /orders/1 HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
         request-id: {id}\r\ndeadline-ms: 4000\r\nnotes: {}\r\ncontent-length: 4\r\n\r\nbody",
        "n".repeat(head_bytes.saturating_sub(150))
    )
}

fn put_limit(site: &Site, version: u64, max_header_bytes: usize) {
    let mut document = config(version);
    document["limits"]["max_header_bytes"] = json!(max_header_bytes);
    site.store.put_config(&document);
}

async fn start_site(max_header_bytes: usize) -> Site {
    let site = Site::start(Path::new(PROGRAM), 200).await;
    put_limit(&site, 8, max_header_bytes);
    sleep(CONFIG_APPLY).await;
    site
}

async fn clients(site: &Site) -> Vec<Client> {
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = Client::new(site).await;
        let id = format!("first-{number}");
        assert_eq!(client.order(&id, 200).await, 200);
        clients.push(client);
    }
    clients
}

/// Guards against heads that the configuration in force allows being refused on connections that
/// are older than it, also after several raises.
#[tokio::test(flavor = "multi_thread")]
async fn test_raised_limit_on_heads_holds_for_kept_connections() {
    let site = start_site(8_192).await;
    let mut clients = clients(&site).await;
    let mut faults = Vec::new();
    for (version, limit, head_bytes) in [(9, 16_384, 16_000), (10, 65_536, 60_000)] {
        put_limit(&site, version, limit);
        sleep(APPLIED).await;
        for (number, client) in clients.iter_mut().enumerate() {
            for head_bytes in [head_bytes, 300, head_bytes] {
                let id = format!("v{version}-{number}-{head_bytes}");
                let status = client.order(&id, head_bytes).await;
                if status != 200 {
                    faults.push(format!("{id}: {status}"));
                }
            }
        }
    }
    assert!(faults.is_empty(), "{faults:?}");
}

/// A lowered limit holds on connections that are older, and on new ones.
#[tokio::test(flavor = "multi_thread")]
async fn test_lowered_limit_on_heads_holds_for_kept_connections() {
    let site = start_site(16_384).await;
    let mut kept = clients(&site).await;
    put_limit(&site, 9, 8_192);
    sleep(APPLIED).await;
    kept.push(Client::new(&site).await);
    for (number, client) in kept.iter_mut().enumerate() {
        assert_eq!(client.order(&format!("small-{number}"), 4_000).await, 200);
        assert_eq!(client.order(&format!("large-{number}"), 12_000).await, 431);
    }
}

/// Guards against an answer being lost over a change: clients go on with their connections, some
/// of which carry a stream, a request that has arrived in part, or several at once.
#[tokio::test(flavor = "multi_thread")]
async fn test_no_answer_is_lost_while_the_limit_on_heads_changes() {
    let site = start_site(8_192).await;
    let changes = async {
        for version in 9..21 {
            let limit = if version % 2 == 0 { 8_192 } else { 16_384 };
            put_limit(&site, version, limit);
            sleep(Duration::from_millis(250)).await;
        }
    };
    let busy = async |number: usize| {
        let mut client = Client::new(&site).await;
        let mut lost = Vec::new();
        for index in 0..150 {
            let id = format!("busy-{number}-{index}");
            let status = match number % 4 {
                0 => client.order(&id, 300).await,
                // In two parts.
                1 => {
                    let order = order(&id, 6_000);
                    client.write(&order[..3_000]).await;
                    sleep(Duration::from_millis(15)).await;
                    client.write(&order[3_000..]).await;
                    client.status().await
                }
                // Two at once, of which the second may wait in the library.
                2 => {
                    let second = order(&format!("{id}-second"), 300);
                    client.write(&(order(&id, 300) + &second)).await;
                    let first = client.status().await;
                    first.min(client.status().await)
                }
                // Refused while its body arrives, which looks like a request.
                _ => {
                    let body = order(&format!("smuggled-{id}"), 300);
                    let head = format!(
                        "POST /orders/1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: {id}\r\n\
                         content-length: {}\r\n\r\n",
                        body.len()
                    );
                    client.write(&head).await;
                    sleep(Duration::from_millis(15)).await;
                    client.write(&body).await;
                    let refused = client.status().await;
                    if refused == 401 { 200 } else { refused }
                }
            };
            if status != 200 {
                lost.push(format!("{id}: {status}"));
                client = Client::new(&site).await;
            }
            sleep(Duration::from_millis(5)).await;
        }
        lost
    };
    let clients = futures_util::future::join_all((0..16).map(busy));
    let ((), lost) = tokio::join!(changes, clients);
    let lost: Vec<String> = lost.into_iter().flatten().collect();
    assert!(lost.is_empty(), "{lost:?}");
    let ran = site.runners.ran();
    let smuggled = ran.iter().filter(|ran| ran.id.starts_with("smuggled"));
    assert_eq!(smuggled.count(), 0);
}
