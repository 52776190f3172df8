//! Measures the overhead in bytes of one exchange between daemons beyond its JSON message:
//! `cargo run --release -p daemon --example wire`.

use std::io::{Read as _, Write as _};
use std::net::TcpListener;

use jsonrpsee_http_client::HttpClientBuilder;
use serde_json::json;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let payload = json!({"f": {"n": "entry-00001"}});
    let reader = std::thread::spawn(move || -> std::io::Result<usize> {
        let (mut stream, _) = listener.accept()?;
        let mut bytes = vec![0; 65_536];
        let read = stream.read(&mut bytes)?;
        stream.write_all(b"HTTP/1.1 500 x\r\ncontent-length: 0\r\n\r\n")?;
        Ok(read)
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let _guard = runtime.enter();
    let client = HttpClientBuilder::default().build(format!("http://{address}"))?;
    let parameters = jsonrpsee::core::params::ArrayParams::new();
    let mut parameters = parameters;
    parameters.insert(&payload)?;
    let answer: Result<serde_json::Value, _> =
        runtime.block_on(jsonrpsee::core::client::ClientT::request(&client, "exchange", parameters));
    drop(answer);
    let request = reader.join().map_err(|_panic| "the reader stopped")??;
    let own = serde_json::to_vec(&payload)?.len();
    println!("request: {request} bytes, {} around a message of {own}", request - own);
    println!("TCP and IP headers: 8 packets of 52 bytes, 416 bytes for a connection of its own");
    Ok(())
}
