//! Keys of accounts: digests and look-ups.

use accounts::Directory;
use accounts::key::Digest;
use rstest::rstest;

/// Guards against a key that identifies another account, or one that was taken away.
#[test]
fn a_key_identifies_the_account_that_holds_it() {
    let digests = ["one", "two", "three"].map(|key| Digest::of(key.as_bytes()));
    let directory = Directory::new(7).with_account("a", &digests[..2]).with_account("b", &digests[2..]);
    assert_eq!(directory.account_of(b"one"), Some("a"));
    assert_eq!(directory.account_of(b"two"), Some("a"));
    assert_eq!(directory.account_of(b"three"), Some("b"));
    assert_eq!(directory.account_of(b""), None);
    let later = Directory::new(7).with_account("a", &digests[..1]).with_account("b", &digests[1..]);
    assert_eq!(later.account_of(b"two"), Some("b"), "a key can move to another account");
}

#[rstest]
#[case("")]
#[case("one")]
#[case("sha256:")]
#[case("sha256:zz")]
#[case("sha256:7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431e")]
#[case("md5:7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed")]
fn a_text_that_is_no_digest_is_refused(#[case] text: &str) {
    text.parse::<Digest>().expect_err("it is malformed");
}

/// Guards against a key that is written in place of its digest, and against a digest in logs.
#[test]
fn a_digest_survives_its_text_and_is_not_shown_in_logs() {
    let digest = Digest::of(b"one");
    assert_eq!(digest.to_string(), "sha256:7692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed");
    assert_eq!(digest.to_string().parse(), Ok(digest));
    assert_eq!(format!("{digest:?}"), "Digest(..)");
}
