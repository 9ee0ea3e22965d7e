//! As much of HTTP/1.1 as the stand-ins speak, strict about framing.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

pub type Reader = BufReader<TcpStream>;

#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.path().split_once('?')?.1;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(n, _)| *n == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

fn invalid(text: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.into())
}

fn read_line(reader: &mut Reader) -> io::Result<String> {
    let mut line = Vec::new();
    reader
        .by_ref()
        .take(64 * 1024)
        .read_until(b'\n', &mut line)?;
    if !line.ends_with(b"\r\n") {
        return Err(match line.is_empty() {
            true => io::ErrorKind::UnexpectedEof.into(),
            false => invalid(format!("no line: {:?}", String::from_utf8_lossy(&line))),
        });
    }
    line.truncate(line.len() - 2);
    String::from_utf8(line).map_err(|e| invalid(e.to_string()))
}

/// Reads a start line and headers.
pub fn read_head(reader: &mut Reader) -> io::Result<Message> {
    let mut message = Message {
        start: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid(line.clone()))?;
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads a request; the nodes send all bodies with a length.
pub fn read_request(reader: &mut Reader) -> io::Result<Message> {
    let mut request = read_head(reader)?;
    let length = request.number("content-length").unwrap_or(0);
    request.body = vec![0; length as usize];
    reader.read_exact(&mut request.body)?;
    Ok(request)
}

/// Reads the head of a response. One that is none is an error of kind `InvalidData`.
pub fn read_response_head(reader: &mut Reader) -> io::Result<Message> {
    let head = read_head(reader)?;
    match head.start.starts_with("HTTP/1.1 ") && head.status() >= 100 {
        true => Ok(head),
        false => Err(invalid(format!("no status line: {:?}", head.start))),
    }
}

/// Reads a body and passes its pieces on as they arrive, until one is an error. A 204 has no body,
/// whatever its headers.
pub fn read_body(
    reader: &mut Reader,
    head: &Message,
    mut piece: impl FnMut(&[u8]) -> io::Result<()>,
) -> io::Result<()> {
    if head.status() == 204 {
        return Ok(());
    }
    let mut buf = vec![0; 64 * 1024];
    if head.header("transfer-encoding") != Some("chunked") {
        let mut left = head
            .number("content-length")
            .ok_or_else(|| invalid("no length"))?;
        while left > 0 {
            let most = (left as usize).min(buf.len());
            let n = reader.read(&mut buf[..most])?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            piece(&buf[..n])?;
            left -= n as u64;
        }
        return Ok(());
    }
    loop {
        let size = read_line(reader)?;
        let size = usize::from_str_radix(&size, 16).map_err(|e| invalid(e.to_string()))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        piece(&chunk[..size])?;
    }
}

/// Writes a response with a length.
pub fn respond(to: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    to.write_all(
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}").as_bytes(),
    )
}

pub fn write_chunk(to: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    to.write_all(&chunk)
}
