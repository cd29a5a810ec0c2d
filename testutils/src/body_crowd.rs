//! Clients that send request heads and bodies without finishing them.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

/// One client in this number finishes its body.
const FINISHING_DIVISOR: usize = 10;

/// The largest number of bytes that are written in one call.
const WRITE_BYTES: usize = 64 * 1024;

/// What each client of a crowd sends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Unfinished {
    /// A body of an announced length, except for its last byte.
    Announced {
        /// The announced length.
        bytes: usize,
    },
    /// A chunked body without its end.
    Chunked {
        /// The bytes of the body.
        bytes: usize,
        /// The bytes of each chunk.
        chunk_bytes: usize,
    },
    /// A head without its end.
    Head {
        /// The bytes that are sent of it.
        bytes: usize,
    },
    /// No byte at all.
    Nothing,
}

/// Clients whose connections stay open until the crowd is dropped.
#[derive(Debug)]
pub struct BodyCrowd {
    clients: JoinSet<()>,
}

impl BodyCrowd {
    /// Starts `count` clients. `fields` are the lines of each head beside those of the body.
    pub fn start(
        address: SocketAddr,
        count: usize,
        path: &str,
        fields: &str,
        shape: Unfinished,
    ) -> Self {
        let mut clients = JoinSet::new();
        for index in 0..count {
            let head = format!("POST {path} HTTP/1.1\r\nhost: desk.example\r\n{fields}");
            let finishes = index % FINISHING_DIVISOR == 0;
            clients.spawn(async move {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    // The process may close the connection at any time.
                    let _ = send(&mut stream, &head, shape, finishes).await;
                    // Reads what is answered, and stays.
                    let mut buffer = vec![0; 4 * 1024];
                    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
                }
            });
        }
        Self { clients }
    }

    /// Waits until `send_time` has passed or all clients have been disconnected.
    pub async fn settle(&mut self, send_time: Duration) {
        let _ = timeout(send_time, async {
            while self.clients.join_next().await.is_some() {}
        })
        .await;
        // What was written last is still on its way to the process.
        sleep(Duration::from_millis(100)).await;
    }
}

async fn send(
    stream: &mut TcpStream,
    head: &str,
    shape: Unfinished,
    finishes: bool,
) -> std::io::Result<()> {
    match shape {
        Unfinished::Nothing => Ok(()),
        Unfinished::Head { bytes } => {
            stream.write_all(head.as_bytes()).await?;
            let line = format!("padding: {}\r\n", "p".repeat(1_000));
            let mut left = bytes.saturating_sub(head.len());
            while left > 0 {
                let part = left.min(line.len());
                stream.write_all(&line.as_bytes()[..part]).await?;
                left -= part;
            }
            Ok(())
        }
        Unfinished::Announced { bytes } => {
            let head = format!("{head}content-length: {bytes}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let block = vec![b'b'; WRITE_BYTES];
            let mut left = if finishes { bytes } else { bytes - 1 };
            while left > 0 {
                let part = left.min(WRITE_BYTES);
                stream.write_all(&block[..part]).await?;
                left -= part;
            }
            Ok(())
        }
        Unfinished::Chunked { bytes, chunk_bytes } => {
            let head = format!("{head}transfer-encoding: chunked\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "c".repeat(chunk_bytes));
            let chunks_at_once = WRITE_BYTES.div_ceil(chunk.len());
            let mut chunks_left = bytes / chunk_bytes;
            while chunks_left > 0 {
                let chunks = chunks_left.min(chunks_at_once);
                stream.write_all(chunk.repeat(chunks).as_bytes()).await?;
                chunks_left -= chunks;
            }
            if finishes {
                stream.write_all(b"0\r\n\r\n").await?;
            }
            Ok(())
        }
    }
}
