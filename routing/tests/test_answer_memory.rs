//! The memory that all unfinished answers of a gateway share.

use std::rc::Rc;

use jujubewall_routing::fleet::answer_memory::AnswerMemory;
use jujubewall_routing::fleet::answer_memory::AnswerShare;
use jujubewall_routing::fleet::answer_memory::MIN_ANSWER_BYTES;

/// The memory of a process on the smallest host of all deployments.
const PROCESS_BYTES: usize = 160 * 1024 * 1024;

/// The largest event that a stream may hold.
const LARGE_ANSWER_BYTES: usize = 1024 * 1024;

const GROWTH_BYTES: usize = 16 * 1024;

/// Lets a share grow until it may not hold more, or has the size of a large answer.
fn grow(share: &mut AnswerShare) -> usize {
    let mut bytes = 0;
    while bytes < LARGE_ANSWER_BYTES && share.try_hold(bytes + GROWTH_BYTES) {
        bytes += GROWTH_BYTES;
    }
    bytes
}

/// Guards against limits for one answer that do not bound what all answers take.
#[test]
fn test_answers_without_end_take_no_more_than_the_capacity() {
    let memory = AnswerMemory::new(PROCESS_BYTES);
    let mut shares: Vec<AnswerShare> = (0..1_900).map(|_| AnswerShare::new(&memory)).collect();
    let largest = shares.iter_mut().map(grow).max();
    assert_eq!(largest, Some(LARGE_ANSWER_BYTES));
    assert!(memory.used_bytes() <= memory.capacity_bytes());
    drop(shares);
    assert_eq!(memory.used_bytes(), 0);
}

#[test]
fn test_small_answers_are_held_beside_answers_without_end() {
    let memory = AnswerMemory::new(PROCESS_BYTES);
    let mut endless: Vec<AnswerShare> = (0..1_000).map(|_| AnswerShare::new(&memory)).collect();
    for share in &mut endless {
        grow(share);
    }
    let mut small = AnswerShare::new(&memory);
    assert!(small.try_hold(MIN_ANSWER_BYTES));
    // What is held may always become less.
    assert!(endless.iter_mut().all(|share| share.try_hold(0)));
    assert_eq!(memory.used_bytes(), MIN_ANSWER_BYTES);
}

#[test]
fn test_large_answer_is_held_while_there_is_room() {
    let memory = AnswerMemory::new(PROCESS_BYTES);
    let mut share = AnswerShare::new(&memory);
    assert_eq!(grow(&mut share), LARGE_ANSWER_BYTES);
    assert!(!share.try_hold(memory.capacity_bytes()));
    assert_eq!(memory.used_bytes(), LARGE_ANSWER_BYTES);
    assert_eq!(Rc::strong_count(&memory), 2);
}
