//! Clients, by the platform's protocol.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Message;
use crate::http::Reader;

pub const HOST: &str = "desk.example";

pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub key: &'a str,
    pub id: &'a str,
    pub deadline: Duration,
    pub body: &'a [u8],
}

/// Sends a request on a new connection; `None` if there is no whole answer.
pub fn send(front: SocketAddr, request: &Request<'_>) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    let limit = request.deadline + Duration::from_secs(2);
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut bytes = format!(
        "{} {} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n\
         Authorization: Bearer {}\r\nContent-Length: {}\r\n\r\n",
        request.method,
        request.path,
        request.id,
        request.deadline.as_millis(),
        request.key,
        request.body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(request.body);
    stream.write_all(&bytes).ok()?;
    Reader::new(stream).message(true)
}

pub fn get(address: SocketAddr, path: &str, limit: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    Reader::new(stream).message(true)
}

/// Returns whether an answer is a success with the runner's whole body.
pub fn is_whole(answer: &Message, id: &str) -> bool {
    answer.status() == 200
        && answer.field("response-stamp").is_some()
        && answer.body == format!("done {id}").as_bytes()
}
