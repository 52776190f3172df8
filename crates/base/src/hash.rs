//! Hash functions whose results are the same in every process and version.

use xxhash_rust::xxh3;

/// Returns a 64-bit hash of `bytes`.
pub fn bytes(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// Returns the hash that [`bytes`] returns for all `parts` together.
pub fn parts<'a>(parts: impl Iterator<Item = &'a [u8]>) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    parts.for_each(|part| hash.update(part));
    hash.digest()
}

/// Returns a 128-bit hash of `bytes`, for names that must not collide.
pub fn bytes_128(bytes: &[u8]) -> u128 {
    xxh3::xxh3_128(bytes)
}

/// Combines two hashes into one without allocating, for instance to rank members for a key (rendezvous hashing).
pub const fn combine(key: u64, member: u64) -> u64 {
    let mut hash = key ^ member.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xD6E8_FEB8_6659_FD93);
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0xD6E8_FEB8_6659_FD93);
    hash ^ (hash >> 32)
}

/// Maps a hash to a number from zero (inclusive) to one (exclusive).
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
