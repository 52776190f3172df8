//! Servers on plain sockets whose answers a test scripts, also such as no HTTP library sends.

use std::io::{BufRead, BufReader};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;

/// A received request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The request line with its end.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body without its framing.
    pub body: Vec<u8>,
}

impl Request {
    /// Reads the next request of a connection; `None` if the connection ends first.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut request = Self::read_head(reader)?;
        request.read_body(reader)?;
        Some(request)
    }

    /// Reads the next request up to its body.
    pub fn read_head(reader: &mut impl BufRead) -> Option<Self> {
        let mut request = Self::default();
        reader.read_line(&mut request.line).ok().filter(|bytes| *bytes > 0)?;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            if line.trim_end().is_empty() {
                return Some(request);
            }
            let (name, value) = line.trim_end().split_once(':')?;
            request.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads the body, with a length or in chunks without trailers.
    pub fn read_body(&mut self, reader: &mut impl BufRead) -> Option<()> {
        if self.header("transfer-encoding").is_none() {
            let length = self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            self.body = vec![0; length];
            return reader.read_exact(&mut self.body).ok();
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            self.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(());
            }
        }
    }

    /// Returns the value of the header `name`, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the id that the request names, under either name of its header; empty if it names none.
    pub fn id(&self) -> &str {
        self.header("request-id").or_else(|| self.header("x-request-id")).unwrap_or_default()
    }
}

/// Listens on `address` and calls `serve` for each connection on its own thread; returns the bound address.
pub fn listen(address: &str, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> String {
    let listener = TcpListener::bind(address).expect("the address is free");
    let bound = listener.local_addr().expect("it is bound").to_string();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(stream));
        }
    });
    bound
}

/// Passes the head of each request, and its connection, to `script`, which reads the body; closes the connection when `script`
/// returns false. Returns the bound address.
pub fn listen_for_heads(
    address: &str,
    script: impl Fn(Request, &mut BufReader<TcpStream>, &mut TcpStream) -> bool + Send + Sync + 'static,
) -> String {
    listen(address, move |stream| {
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Some(request) = Request::read_head(&mut reader) {
            if !script(request, &mut reader, &mut writer) {
                return;
            }
        }
    })
}
