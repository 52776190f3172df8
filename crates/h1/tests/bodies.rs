//! Framing of messages whose bytes arrive in arbitrary pieces.

use bytes::BytesMut;
use h1::body::{Decoder, Framing};
use h1::error::Error;
use h1::{encode, head};
use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode};
use rstest::rstest;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let pairs = lines.iter().map(|(name, value)| (HeaderName::from_static(name), HeaderValue::from_static(value)));
    let mut map = HeaderMap::new();
    pairs.for_each(|(name, value)| {
        map.append(name, value);
    });
    map
}

#[rstest]
#[case::none(&[], Ok(Framing::Length(0)))]
#[case::length(&[("content-length", "12")], Ok(Framing::Length(12)))]
#[case::chunks(&[("transfer-encoding", "chunked")], Ok(Framing::Chunked))]
#[case::both(&[("content-length", "1"), ("transfer-encoding", "chunked")], Err(Error::Ambiguous))]
#[case::two_lengths(&[("content-length", "1"), ("content-length", "1")], Err(Error::Ambiguous))]
#[case::signed(&[("content-length", "+1")], Err(Error::Ambiguous))]
#[case::too_long(&[("content-length", "99999999999999999999")], Err(Error::Ambiguous))]
#[case::other_encoding(&[("transfer-encoding", "gzip, chunked")], Err(Error::Ambiguous))]
#[case::twice_chunked(&[("transfer-encoding", "chunked"), ("transfer-encoding", "chunked")], Err(Error::Ambiguous))]
fn a_request_that_can_be_read_in_two_ways_is_an_error(
    #[case] lines: &[(&'static str, &'static str)],
    #[case] framing: Result<Framing, Error>,
) {
    assert_eq!(Framing::of_request(&headers(lines)), framing);
}

#[rstest]
#[case::until_close(Method::GET, StatusCode::OK, &[], Framing::UntilClose)]
#[case::head(Method::HEAD, StatusCode::OK, &[("content-length", "9")], Framing::Length(0))]
#[case::no_content(Method::GET, StatusCode::NO_CONTENT, &[("content-length", "9")], Framing::Length(0))]
#[case::not_modified(Method::GET, StatusCode::NOT_MODIFIED, &[], Framing::Length(0))]
#[case::length(Method::GET, StatusCode::OK, &[("content-length", "9")], Framing::Length(9))]
fn the_framing_of_an_answer_depends_on_its_request_and_status(
    #[case] method: Method,
    #[case] status: StatusCode,
    #[case] lines: &[(&'static str, &'static str)],
    #[case] framing: Framing,
) {
    assert_eq!(Framing::of_response(&method, status, &headers(lines)), Ok(framing));
}

/// Decodes `bytes` in random pieces; returns the body and the bytes after it.
fn feed(framing: Framing, bytes: &[u8], rng: &mut fastrand::Rng) -> Result<(Vec<u8>, Vec<u8>), Error> {
    let (mut decoder, mut buffer, mut body, mut rest) = (Decoder::new(framing), BytesMut::new(), Vec::new(), bytes);
    loop {
        while let Some(part) = decoder.decode(&mut buffer)? {
            body.extend_from_slice(&part);
        }
        if decoder.is_complete() || rest.is_empty() {
            break;
        }
        let (piece, later) = rest.split_at(rng.usize(1..=rest.len().min(7)));
        buffer.extend_from_slice(piece);
        rest = later;
    }
    decoder.close()?;
    Ok((body, [&buffer[..], rest].concat()))
}

#[rstest]
#[case::length(Framing::Length(11), "hello world", "hello world")]
#[case::chunks(Framing::Chunked, "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n", "hello world")]
#[case::trailer(Framing::Chunked, "b\r\nhello world\r\n0\r\nx: y\r\n\r\n", "hello world")]
#[case::bare_line_ends(Framing::Chunked, "5\r\nhello\n0\r\n\n", "hello")]
fn a_body_is_decoded_from_any_pieces(#[case] framing: Framing, #[case] bytes: &str, #[case] body: &str) {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let next = "GET / HTTP/1.1\r\n\r\n";
        let fed = feed(framing, format!("{bytes}{next}").as_bytes(), &mut rng);
        let expected = Ok((body.as_bytes().to_vec(), next.as_bytes().to_vec()));
        assert_eq!(fed, expected, "seed {seed}: the bytes after the body belong to the next message");
    }
}

#[rstest]
#[case::length(Framing::Length(11), "hello", Error::Cut)]
#[case::within_a_chunk(Framing::Chunked, "5\r\nhel", Error::Cut)]
#[case::before_the_last_chunk(Framing::Chunked, "5\r\nhello\r\n", Error::Cut)]
#[case::within_the_trailer(Framing::Chunked, "5\r\nhello\r\n0\r\n", Error::Cut)]
#[case::no_break(Framing::Chunked, "5\r\nhelloX\r\n0\r\n\r\n", Error::Malformed)]
#[case::no_size(Framing::Chunked, "hello\r\n", Error::Malformed)]
#[case::size_too_large(Framing::Chunked, "fffffffffffffffff\r\n", Error::Malformed)]
fn a_body_that_is_truncated_or_malformed_is_never_complete(
    #[case] framing: Framing,
    #[case] bytes: &str,
    #[case] error: Error,
) {
    for seed in 0..50 {
        assert_eq!(feed(framing, bytes.as_bytes(), &mut fastrand::Rng::with_seed(seed)), Err(error), "seed {seed}");
    }
}

#[test]
fn a_head_is_parsed_once_it_is_complete_and_refused_if_it_is_too_large() {
    let text = "\r\nPOST /a?b=c HTTP/1.1\r\nhost: x\r\nconnection: keep-alive, Close\r\n\r\nbody";
    for end in 0..text.len() - 4 {
        let parsed = head::Request::parse(&mut BytesMut::from(&text[..end]), 1_000);
        assert!(matches!(parsed, Ok(None)), "{end}: {parsed:?}");
    }
    let mut buffer = BytesMut::from(text);
    let head = head::Request::parse(&mut buffer, 1_000).expect("it is valid").expect("it is complete");
    assert_eq!((head.path(), head.query(), head.keep_alive), ("/a", Some("b=c"), false));
    assert_eq!(&buffer[..], b"body");
    let mut endless = BytesMut::from(format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(2_000)).as_str());
    assert!(matches!(head::Request::parse(&mut endless, 1_000), Err(Error::HeadTooLarge)));
}

#[test]
fn an_encoded_request_is_parsed_with_a_single_framing() {
    let mut out = BytesMut::new();
    let given = headers(&[("x-one", "1"), ("transfer-encoding", "chunked")]);
    encode::request(&mut out, &Method::POST, "/orders?a=b", &given, 3);
    out.extend_from_slice(b"abc");
    let head = head::Request::parse(&mut out, 1_000).expect("it is valid").expect("it is complete");
    assert_eq!((head.method, head.target.as_str()), (Method::POST, "/orders?a=b"));
    assert_eq!(Framing::of_request(&head.headers), Ok(Framing::Length(3)), "only the framing of the encoder");
    assert_eq!(&out[..], b"abc");
}

/// Guards against a proper request that is refused with 431, and a server's answer that is replaced by 502, for the number of
/// their header lines although the head is within its limit of bytes.
#[rstest]
#[case::usual(100)]
#[case::many(101)]
#[case::all_that_fit(4_000)]
fn a_head_within_its_limit_may_have_any_number_of_lines(#[case] lines: usize) {
    let lines = "a:\r\n".repeat(lines);
    let (limit, count) = (16_384, lines.len() / 4);
    let text = format!("GET / HTTP/1.1\r\n{lines}\r\n");
    for end in [text.len() / 2, text.len() - 1] {
        let parsed = head::Request::parse(&mut BytesMut::from(&text[..end]), limit);
        assert!(matches!(parsed, Ok(None)), "{parsed:?}");
    }
    let request = head::Request::parse(&mut BytesMut::from(text.as_str()), limit).expect("it is within the limit");
    assert_eq!(request.expect("it is complete").headers.len(), count);
    let text = format!("HTTP/1.1 200 OK\r\n{lines}\r\n");
    let response = head::Response::parse(&mut BytesMut::from(text.as_str()), limit).expect("it is within the limit");
    assert_eq!(response.expect("it is complete").headers.len(), count);
}

/// Guards against a head whose lines take far more memory than its bytes.
#[test]
fn the_number_of_lines_is_limited_where_the_limit_of_bytes_is_high() {
    let text = format!("GET / HTTP/1.1\r\n{}\r\n", "a:\r\n".repeat(100_000));
    let parsed = head::Request::parse(&mut BytesMut::from(text.as_str()), 1 << 20);
    assert!(matches!(parsed, Err(Error::HeadTooLarge)), "{parsed:?}");
}

/// Guards against heads that no memory budget counts: a head takes at least its text, and twice that while it is sent to a server.
#[rstest]
#[case::long_lines(90, 650)]
#[case::many_lines(2_000, 5)]
fn a_head_takes_the_memory_of_its_text(#[case] lines: usize, #[case] length: usize) {
    let lines: String = (0..lines).map(|line| format!("x-{line}: {}\r\n", "y".repeat(length))).collect();
    let text = format!("GET /a HTTP/1.1\r\n{lines}\r\n");
    let parsed = head::Request::parse(&mut BytesMut::from(text.as_str()), 65_536).expect("it is within the limit");
    let memory = parsed.expect("it is complete").memory_bytes();
    assert!(memory > lines.len() * 3 / 2, "{memory} bytes for {} of text", lines.len());
}

/// Guards against a target in absolute form that is read as a path, or as that of another host.
#[rstest]
#[case("http://a.example/b?c=d", "a.example", "/b?c=d")]
#[case("http://a.example:80?c=d", "a.example:80", "/?c=d")]
#[case("http://a.example", "a.example", "/")]
#[case("http://user@a.example/", "a.example", "/")]
#[case("/b/http://a.example/", "x", "/b/http://a.example/")]
#[case("*", "x", "*")]
fn a_target_in_absolute_form_gives_host_and_path(#[case] target: &str, #[case] host: &str, #[case] path: &str) {
    let text = format!("GET {target} HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n");
    let parsed = head::Request::parse(&mut BytesMut::from(text.as_str()), 1_000).expect("it is valid");
    let head = parsed.expect("it is complete");
    assert_eq!(head.target, path);
    assert_eq!(head::text(&head.headers, &http::header::HOST), Some(host));
}

#[test]
fn a_target_without_a_host_is_malformed() {
    let text = "GET http:///b HTTP/1.1\r\nhost: x\r\n\r\n";
    let parsed = head::Request::parse(&mut BytesMut::from(text), 1_000);
    assert!(matches!(parsed, Err(Error::Malformed)), "{parsed:?}");
}

/// Guards against a proper request that is refused with 400 for what stands between and behind its chunks, although it is within the
/// limit of the head.
#[rstest]
#[case::extension(format!("5;x={}\r\nhello\r\n0\r\n\r\n", "y".repeat(10_000)))]
#[case::trailer(format!("5\r\nhello\r\n0\r\nx: {}\r\n\r\n", "y".repeat(10_000)))]
#[case::trailers(format!("5\r\nhello\r\n0\r\n{}\r\n", "x: y\r\n".repeat(2_000)))]
fn lines_between_chunks_may_be_as_long_as_a_head(#[case] text: String) {
    let decode = |max_line_bytes: usize| {
        let mut decoder = Decoder::new(Framing::Chunked).with_max_line_bytes(max_line_bytes);
        let mut buffer = BytesMut::new();
        let mut body = Vec::new();
        for piece in text.as_bytes().chunks(1_000) {
            buffer.extend_from_slice(piece);
            while let Some(part) = decoder.decode(&mut buffer)? {
                body.extend_from_slice(&part);
            }
        }
        decoder.close().map(|()| body)
    };
    assert_eq!(decode(16_384), Ok(b"hello".to_vec()));
    assert_eq!(decode(8_192), Err(Error::Malformed), "the limit holds");
}
