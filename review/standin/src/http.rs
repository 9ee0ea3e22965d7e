//! HTTP/1.1 messages over blocking sockets, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> Option<u16> {
        self.start.split(' ').nth(1)?.parse().ok()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decode_percent(value))
    }
}

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((&byte, tail)) = rest.split_first() {
        let hex = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(decoded) if byte == b'%' => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 || !line.ends_with('\n') {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

/// Reads a message; `None` if the connection ends before its head is complete.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(start) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        start,
        ..Message::default()
    };
    loop {
        match read_line(reader)? {
            None => return Ok(None),
            Some(line) if line.is_empty() => break,
            Some(line) => {
                let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                let header = (name.to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
    }
    let chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").map(str::parse::<u64>);
    message.whole = match (chunked, length) {
        (true, _) => read_chunks(reader, &mut message.body),
        (false, Some(Ok(length))) => {
            // An error means the same as an early end: the body is not whole.
            let read = reader.take(length).read_to_end(&mut message.body);
            read.is_ok() && message.body.len() as u64 == length
        }
        (false, _) => true,
    };
    Ok(Some(message))
}

/// Reads a chunked body; returns whether it is whole.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Ok(Some(size)) = read_line(reader) else {
            return false;
        };
        let Ok(size) = u64::from_str_radix(&size, 16) else {
            return false;
        };
        let before = body.len() as u64;
        let read = reader.by_ref().take(size).read_to_end(body);
        if read.is_err() || body.len() as u64 - before < size {
            return false;
        }
        if !matches!(read_line(reader), Ok(Some(line)) if line.is_empty()) {
            return false;
        }
        if size == 0 {
            return true;
        }
    }
}

/// Sends a response with a complete body.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Serves each connection in a thread of its own. `handle` returns whether the connection
/// stays open.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(copy) = stream.try_clone() else {
                    return;
                };
                let (mut reader, mut stream) = (BufReader::new(copy), stream);
                while let Ok(Some(request)) = read_message(&mut reader) {
                    if !handle(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Opens a connection, which takes a second at most.
pub fn connect(addr: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(BufReader::new(stream))
}

/// How an exchange ended, as the client sees it.
#[derive(Debug)]
pub enum Outcome {
    /// A response head arrived; the body may be cut off.
    Answered(Message),
    /// The peer closed the connection, having read all bytes that were sent to it.
    Closed,
    /// The peer reset the connection, for instance because it closed with unread bytes.
    Reset,
    /// The client gave up, or there was no connection.
    NoAnswer,
}

/// Sends one request on a connection and reads the response.
pub fn exchange(
    reader: &mut BufReader<TcpStream>,
    request: &str,
    timeout: Duration,
) -> io::Result<Outcome> {
    reader.get_ref().set_read_timeout(Some(timeout))?;
    let answer = match reader.get_mut().write_all(request.as_bytes()) {
        Ok(()) => read_message(reader),
        Err(e) => Err(e),
    };
    Ok(match answer {
        Ok(Some(answer)) => Outcome::Answered(answer),
        Ok(None) => Outcome::Closed,
        Err(e) => match e.kind() {
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe => Outcome::Reset,
            _ => Outcome::NoAnswer,
        },
    })
}

/// Sends one request on a new connection; `None` without an answer.
pub fn call(addr: SocketAddr, request: &str, timeout: Duration) -> Option<Message> {
    match exchange(&mut connect(addr)?, request, timeout).ok()? {
        Outcome::Answered(answer) => Some(answer),
        _ => None,
    }
}
