//! Hashing that is the same in every process and every version.

use xxhash_rust::xxh3;

/// A 64-bit hash of `bytes`.
pub fn bytes(bytes: &[u8]) -> u64 {
    xxh3::xxh3_64(bytes)
}

/// A 128-bit hash of `bytes`, for names that must not collide.
pub fn bytes_128(bytes: &[u8]) -> u128 {
    xxh3::xxh3_128(bytes)
}

/// Mixes two words into one; used to rank members for a key without allocating.
pub const fn combine(key: u64, member: u64) -> u64 {
    let mut word = key ^ member.rotate_left(32).wrapping_mul(0x9E37_79B9_7F4A_7C15);
    word ^= word >> 32;
    word = word.wrapping_mul(0xD6E8_FEB8_6659_FD93);
    word ^= word >> 32;
    word = word.wrapping_mul(0xD6E8_FEB8_6659_FD93);
    word ^ (word >> 32)
}

/// Maps a hash onto the range zero to one.
pub fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
