//! A small HTTP/1.1 server and client over blocking sockets.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// The head and the body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is as long as its head says.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (
            words.next().unwrap_or_default(),
            words.next().unwrap_or_default(),
        )
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head; `None` if the connection ends before it.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if from.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            let value = value.trim().to_owned();
            message.fields.push((name.trim().to_owned(), value));
        }
    }
}

/// Reads the body that a head announces.
pub fn read_body(from: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.is_chunked() {
        let mut line = String::new();
        loop {
            line.clear();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.field("content-length") {
        let length = length.parse().unwrap_or(0);
        let mut body = vec![0; length];
        from.read_exact(&mut body)?;
        message.body = body;
    }
    message.is_whole = true;
    Ok(())
}

/// What a server does with a request.
pub enum Reply {
    /// Answers and keeps the connection.
    Answer(u16, Vec<(&'static str, String)>, Vec<u8>),
    /// Answers and closes the connection.
    Last(u16, Vec<(&'static str, String)>, Vec<u8>),
    /// Closes the connection without an answer.
    Close,
}

pub fn json(status: u16, body: String) -> Reply {
    let kind = ("Content-Type", "application/json".to_owned());
    Reply::Answer(status, vec![kind], body.into_bytes())
}

/// Serves requests until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(&Message) -> Reply + Send + Sync + 'static) {
    serve_while(listener, Arc::new(AtomicBool::new(true)), handle);
}

/// Serves requests while `is_running` holds. Then the port is closed, and so is each connection
/// when its next request has arrived.
pub fn serve_while(
    listener: TcpListener,
    is_running: Arc<AtomicBool>,
    handle: impl Fn(&Message) -> Reply + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    listener
        .set_nonblocking(true)
        .expect("a socket that does not block");
    thread::spawn(move || {
        while is_running.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let handle = Arc::clone(&handle);
            thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &(impl Fn(&Message) -> Reply + ?Sized)) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut request).is_err() {
            return;
        }
        let (status, fields, body, closes) = match handle(&request) {
            Reply::Answer(status, fields, body) => (status, fields, body, false),
            Reply::Last(status, fields, body) => (status, fields, body, true),
            Reply::Close => return,
        };
        let mut text = format!("HTTP/1.1 {status} Status\r\n");
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if closes {
            text.push_str("Connection: close\r\n");
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&body);
        if writer.write_all(&bytes).is_err() || closes {
            return;
        }
    }
}

/// Sends a request over a new connection and reads the answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some(mut answer) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    if answer.field("content-length").is_none() && !answer.is_chunked() {
        reader.read_to_end(&mut answer.body)?;
        answer.is_whole = true;
    } else {
        // A broken body leaves the answer as not whole.
        let _ = read_body(&mut reader, &mut answer);
    }
    Ok(answer)
}
