//! A list of keys, put together from the pages in which the store returns it.
//!
//! A page that the store refuses for good, or that brings no key after the one before it, is passed over together with the
//! keys up to the next position that the store may be able to read, so that one key costs no others. The keys in
//! between are unknown.

use crate::Entry;

/// Characters of which positions after a refused one are made, in order: those that mean the same wherever they stand.
const PLAIN: &str = "-./0123456789:ABCDEFGHIJKLMNOPQRSTUVWXYZ_abcdefghijklmnopqrstuvwxyz~";

/// Keys of which a list says nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The gap begins after this key.
    pub after: String,
    /// The last key of the gap; `None` if it is open.
    pub to: Option<String>,
}

impl Gap {
    /// Whether the list says nothing of `key`.
    pub fn contains(&self, key: &str) -> bool {
        key > self.after.as_str() && self.to.as_deref().is_none_or(|to| key <= to)
    }
}

/// A page that cannot be passed over: it is the first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the store returns no first page")]
pub struct NoFirstPage;

/// The result of adding or passing over a page.
pub type Result<T> = std::result::Result<T, NoFirstPage>;

/// A list as far as its pages were read.
#[derive(Debug, Clone, Default)]
pub struct Pages {
    entries: Vec<Entry>,
    gaps: Vec<Gap>,
    /// The next page begins after this key; empty for the first page.
    position: String,
    complete: bool,
}

impl Pages {
    /// Creates a list of which no page was read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key after which the next page begins, empty for the first page; `None` once the list is complete.
    pub fn next(&self) -> Option<&str> {
        (!self.complete).then_some(self.position.as_str())
    }

    /// Adds the next page; `more` says whether other pages follow. A page without a key after the position, although more
    /// follow, is passed over.
    pub fn add(&mut self, entries: Vec<Entry>, more: bool) -> Result<()> {
        let before = self.entries.len();
        self.entries.extend(entries.into_iter().filter(|entry| before == 0 || entry.key > self.position));
        self.complete = !more;
        match self.entries[before..].last() {
            Some(last) => last.key.clone_into(&mut self.position),
            None if more => self.pass_over()?,
            None => {}
        }
        Ok(())
    }

    /// Passes over the next page.
    pub fn pass_over(&mut self) -> Result<()> {
        if self.position.is_empty() {
            return Err(NoFirstPage);
        }
        let to = beyond(&self.position);
        let after = std::mem::replace(&mut self.position, to.clone().unwrap_or_default());
        self.complete = to.is_none();
        self.gaps.push(Gap { after, to });
        Ok(())
    }

    /// Returns the keys of the list and the gaps between them.
    pub fn into_parts(self) -> (Vec<Entry>, Vec<Gap>) {
        (self.entries, self.gaps)
    }
}

/// Returns a position after `key`, made of plain characters, that leaves out as few keys as possible: the first character that is
/// not plain, or else the one before it, becomes the next plain one. A key of plain characters is left out with the rest of its
/// folder. `None` if there is no such position.
fn beyond(key: &str) -> Option<String> {
    let Some(odd) = key.find(|character| !PLAIN.contains(character)) else {
        // The character after the slash: all keys of the folder come before it.
        return key.split_once('/').map(|(folder, _)| format!("{folder}0"));
    };
    let mut characters: Vec<char> = key[..odd].chars().chain(key[odd..].chars().next()).collect();
    while let Some(last) = characters.pop() {
        if let Some(next) = PLAIN.chars().find(|plain| *plain > last) {
            characters.push(next);
            return Some(characters.into_iter().collect());
        }
    }
    None
}
