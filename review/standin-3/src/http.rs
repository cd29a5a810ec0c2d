//! As much of HTTP/1.1 as the stand-ins need.

use std::io;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message with a body of known length.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// The header fields, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Creates a reply.
    pub fn reply(status: u16, body: &str) -> Self {
        Self {
            first_line: format!("HTTP/1.1 {status} Status"),
            fields: Vec::new(),
            body: body.as_bytes().to_vec(),
        }
    }

    /// Adds a header field.
    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Returns the value of a header field, or nothing.
    pub fn field(&self, name: &str) -> &str {
        let mut fields = self.fields.iter();
        let field = fields.find(|(known, _)| known == name);
        field.map_or("", |(_, value)| value)
    }

    /// Returns the method, or the version of a reply.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request, or the status of a reply.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Reads a message; `None` if the connection ends before it begins.
    pub fn read(stream: &mut TcpStream) -> io::Result<Option<Self>> {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte)? == 0 {
                return if head.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            head.push(byte[0]);
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let mut lines = text.lines();
        let first_line = lines.next().unwrap_or_default().to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Self {
            first_line,
            fields,
            body: Vec::new(),
        };
        let length = message.field("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        stream.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    /// Returns the first line and the header fields.
    fn head_text(&self) -> String {
        let mut text = format!("{}\r\n", self.first_line);
        for (name, value) in &self.fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text
    }

    /// Writes the message.
    pub fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let length = self.body.len();
        let text = format!("{}content-length: {length}\r\n\r\n", self.head_text());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }
}

/// What a stand-in answers.
pub enum Reply {
    /// A whole message.
    Whole(Message),
    /// A head, and events that follow it one by one.
    Events {
        /// The head.
        head: Message,
        /// The identifiers of the events.
        ids: Range<u64>,
        /// The time before each of them.
        interval: Duration,
    },
}

impl From<Message> for Reply {
    fn from(message: Message) -> Self {
        Self::Whole(message)
    }
}

impl Reply {
    fn write(self, stream: &mut TcpStream) -> io::Result<()> {
        match self {
            Self::Whole(message) => message.write(stream),
            Self::Events {
                head,
                ids,
                interval,
            } => {
                let head = head
                    .with("content-type", "text/event-stream")
                    .with("transfer-encoding", "chunked");
                stream.write_all(format!("{}\r\n", head.head_text()).as_bytes())?;
                for id in ids {
                    thread::sleep(interval);
                    let event = format!("id: {id}\ndata: word\n\n");
                    let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                    stream.write_all(chunk.as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
        }
    }
}

/// Serves requests at a free loopback address, each connection on a thread of its own.
pub fn serve<R: Into<Reply>>(answer: impl Fn(&Message) -> R + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("there is a free port");
    let address = listener.local_addr().expect("a listener has an address");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                let mut stream = stream;
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = Message::read(&mut stream) {
                    if answer(&request).into().write(&mut stream).is_err() {
                        break;
                    }
                }
            });
        }
    });
    address
}

/// Sends a request on a connection of its own and reads the answer.
pub fn call(address: SocketAddr, request: &Message, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    request.write(&mut stream)?;
    Message::read(&mut stream)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
