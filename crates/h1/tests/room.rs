//! Memory for answers that are being read.

use h1::Room;
use h1::room::Part;

const BYTES: usize = 1_000_000;

/// Load: 50 servers send without end, all at once, in pieces of 4 KB; after each round an answer of half an even
/// part comes.
#[test]
fn answers_without_an_end_take_bounded_room_and_usual_ones_come_through() {
    let room = Room::new(BYTES);
    let mut endless: Vec<Part<'_>> = (0..50).map(|_| room.part()).collect();
    let mut most = 0;
    for _ in 0..1_000 {
        for part in &mut endless {
            part.take(4_096);
        }
        let mut usual = room.part();
        assert!((0..5).all(|_| usual.take(BYTES / 500)), "{} held", room.held());
        most = most.max(room.held());
    }
    assert!(most <= BYTES + 20_000, "{most} bytes held");
    drop(endless);
    assert_eq!(room.held(), 0, "all of it is given back");
}

#[test]
fn one_answer_may_have_all_the_room_while_nobody_else_wants_it() {
    let room = Room::new(BYTES);
    let mut part = room.part();
    assert!(part.take(BYTES));
    assert!(!part.take(1));
    let mut other = room.part();
    assert!(other.take(BYTES / 2) && !other.take(1));
}
