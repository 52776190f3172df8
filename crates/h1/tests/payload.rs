//! Bodies in parts.

use base::hash;
use h1::payload::Buffer;
use rstest::rstest;

/// Allowance for the first and the last part, in bytes.
const SPARE: usize = 32_768;

fn received(body: &[u8], step: usize, announced: bool) -> Buffer {
    let empty = if announced { Buffer::new().with_length(body.len()) } else { Buffer::new() };
    body.chunks(step).fold(empty, |mut buffer, part| {
        buffer.extend(part);
        buffer
    })
}

/// Guards against buffers that take twice the memory of their bodies, in whatever pieces these arrive.
#[rstest]
fn a_large_body_takes_hardly_more_memory_than_its_length(
    #[values(1, 16, 4_096, 65_536)] step: usize,
    #[values(false, true)] announced: bool,
) {
    let body = vec![7; 1_000_000];
    let buffer = received(&body, step, announced);
    assert_eq!(buffer.len(), body.len());
    assert!(buffer.capacity() < body.len() + SPARE, "{} bytes", buffer.capacity());
}

/// Guards against a body of a few bytes that takes a large part.
#[rstest]
#[case::announced(true, 400)]
#[case::in_chunks(false, 4_096)]
fn a_small_body_takes_little_memory(#[case] announced: bool, #[case] max_bytes: usize) {
    assert!(received(&[7; 400], 100, announced).capacity() <= max_bytes);
}

/// Guards against a body that changes, and against a re-send that is not recognised because its body came in other pieces.
#[rstest]
fn equal_bodies_are_equal_whatever_the_pieces(
    #[values(1, 3, 4_096, 5_000, 100_000)] step: usize,
    #[values(false, true)] announced: bool,
    #[values(0, 1, 4_095, 4_097, 99_999)] length: usize,
) {
    let body: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let payload = received(&body, step, announced).finish();
    assert_eq!(payload.parts().collect::<Vec<_>>().concat(), body);
    assert_eq!((payload.len(), payload.is_empty()), (length, length == 0));
    assert_eq!(hash::parts(payload.parts()), hash::bytes(&body));
}
