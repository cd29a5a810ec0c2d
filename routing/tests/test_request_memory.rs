//! The memory that all unfinished requests of a process share.

use std::time::Duration;

use jujubewall_routing::fleet::request_memory;
use jujubewall_routing::fleet::request_memory::HolderKey;
use jujubewall_routing::fleet::request_memory::MAX_SMALL_BYTES;
use jujubewall_routing::fleet::request_memory::MIN_PROGRESS_BYTES;
use jujubewall_routing::fleet::request_memory::Need;
use jujubewall_routing::fleet::request_memory::RequestMemory;
use jujubewall_routing::fleet::request_memory::STALL_TIMEOUT;
use tokio::time::Instant;

/// The memory of the smallest host of all deployments.
const PROCESS_BYTES: usize = 160 * 1024 * 1024;

/// The largest body of the default configuration.
const LARGE_BYTES: usize = 4 * 1024 * 1024;

fn memory() -> RequestMemory {
    RequestMemory::new(request_memory::capacity_bytes(PROCESS_BYTES))
}

/// Adds a request that is being received and asks for memory.
fn receive(memory: &mut RequestMemory, bytes: usize, now: Instant) -> Option<HolderKey> {
    let key = memory.add();
    if !memory.try_hold(key, bytes) {
        memory.remove(key);
        return None;
    }
    memory.begin_receiving(key, now);
    Some(key)
}

/// Guards against limits for one body that do not bound what all bodies take, and against large
/// bodies that leave no memory for ordinary ones.
#[test]
fn test_large_bodies_leave_memory_for_small_ones() {
    let mut memory = memory();
    let now = Instant::now();
    let large: Vec<_> = (0..100)
        .filter_map(|_| receive(&mut memory, LARGE_BYTES, now))
        .collect();
    assert_eq!(large.len(), 3);
    let small: Vec<_> = (0..1_000)
        .filter_map(|_| receive(&mut memory, MAX_SMALL_BYTES, now))
        .collect();
    assert!(small.len() >= 80, "{}", small.len());
    assert!(memory.used_bytes() <= memory.capacity_bytes());
    for key in large.into_iter().chain(small) {
        memory.remove(key);
    }
    assert_eq!(memory.used_bytes(), 0);
}

/// Guards against a configured limit above the capacity that no request could use.
#[test]
fn test_single_body_above_the_capacity_is_held() {
    let mut memory = memory();
    let now = Instant::now();
    let bytes = 2 * memory.capacity_bytes();
    assert!(receive(&mut memory, bytes, now).is_some());
    assert!(receive(&mut memory, 1, now).is_none());
}

/// Guards against senders that stop, or send a few bytes now and then, and keep their memory.
#[test]
fn test_sender_that_stopped_for_longest_gives_way_first() {
    let mut memory = memory();
    let start = Instant::now();
    let [sending, stopped, slow] = [(); 3].map(|()| receive(&mut memory, 100, start).unwrap());
    let head_without_memory = memory.add();
    memory.begin_receiving(head_without_memory, start);
    let later = start + STALL_TIMEOUT / 2;
    memory.on_progress(sending, MIN_PROGRESS_BYTES, later);
    memory.on_progress(slow, 1, later);
    assert_eq!(memory.take_stalled(Need::Memory, later), None);
    let end = start + STALL_TIMEOUT;
    assert_eq!(memory.next_stall_at(Need::Memory), Some(end));
    assert_eq!(memory.take_stalled(Need::Memory, end), Some(stopped));
    assert_eq!(memory.take_stalled(Need::Memory, end), Some(slow));
    assert_eq!(memory.take_stalled(Need::Memory, end), None);
    let taken = memory.take_stalled(Need::Connection, end);
    assert_eq!(taken, Some(head_without_memory));
    assert_eq!(memory.take_stalled(Need::Connection, end), None);
}

/// Guards against requests that give way although they have arrived completely.
#[test]
fn test_complete_request_does_not_give_way() {
    let mut memory = memory();
    let now = Instant::now();
    let key = receive(&mut memory, 100, now).unwrap();
    memory.end_receiving(key);
    let late = now + Duration::from_mins(1);
    assert_eq!(memory.take_stalled(Need::Memory, late), None);
    assert_eq!(memory.next_stall_at(Need::Connection), None);
    assert_eq!(memory.used_bytes(), 100);
}
