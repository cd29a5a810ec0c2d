//! HTTP/1.1 over blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

pub struct Message {
    /// The first line.
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A value of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let value = query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })?;
        let bytes = value.as_bytes();
        let mut out = Vec::new();
        let mut at = 0;
        while at < bytes.len() {
            if bytes[at] == b'%' {
                out.push(u8::from_str_radix(value.get(at + 1..at + 3)?, 16).ok()?);
                at += 3;
            } else {
                out.push(bytes[at]);
                at += 1;
            }
        }
        String::from_utf8(out).ok()
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection, and keeps what was read beyond one.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn more(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Some(line);
            }
            if self.more().ok()? == 0 {
                return None;
            }
        }
    }

    fn exactly(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if self.more().ok()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    /// Reads a message; `None` if the connection ends before its end. An answer without a
    /// length ends with the connection.
    pub fn message(&mut self, is_answer: bool) -> Option<Message> {
        let line = self.line()?;
        let mut fields = Vec::new();
        loop {
            let field = self.line()?;
            if field.is_empty() {
                break;
            }
            let (name, value) = field.split_once(':')?;
            fields.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut message = Message { line, fields, body: Vec::new() };
        if message.field("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                let chunk = self.exactly(size)?;
                self.line()?;
                if size == 0 {
                    break;
                }
                message.body.extend(chunk);
            }
        } else if let Some(length) = message.field("content-length") {
            let length = length.parse().ok()?;
            message.body = self.exactly(length)?;
        } else if is_answer && message.status() >= 200 && message.status() != 204 {
            while self.more().ok()? > 0 {}
            message.body = std::mem::take(&mut self.buffer);
        }
        Some(message)
    }
}

pub struct Answer {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, fields: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} -\r\n", self.status);
        for (name, value) in &self.fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// Serves a listener with a thread for each connection. A handler that returns nothing ends
/// the connection.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(&Message, &TcpStream) -> Option<Answer> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Some(message) = reader.message(false) {
                    let Some(answer) = handler(&message, &reader.stream) else {
                        return;
                    };
                    if reader.stream.write_all(&answer.bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
}
