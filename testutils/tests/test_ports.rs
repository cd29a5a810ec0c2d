//! Addresses for programs, chosen while other tests of the process start theirs.
//!
//! A program that is being started holds copies of all open sockets of the test process
//! until it replaces its image. An address that was chosen in that moment must still be
//! free for its user.

use std::net::TcpListener;
use std::net::UdpSocket;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use jujubewall_testutils::ports::free_address;
use jujubewall_testutils::program;
use tokio::process::Command;
use tokio::task::JoinSet;

const STARTERS: usize = 4;
const ADDRESSES: usize = 3_000;

#[tokio::test(flavor = "multi_thread", worker_threads = 5)]
async fn test_chosen_addresses_are_free_while_programs_start() {
    let is_done = Arc::new(AtomicBool::new(false));
    let mut starters = JoinSet::new();
    for _ in 0..STARTERS {
        let is_done = Arc::clone(&is_done);
        starters.spawn(async move {
            while !is_done.load(Ordering::Relaxed) {
                let mut command = Command::new("true");
                command.stdin(Stdio::null()).stdout(Stdio::null());
                let mut child = program::spawn(&mut command).expect("the program can be started");
                child.wait().await.expect("the program ends");
            }
        });
    }
    let choice = tokio::task::spawn_blocking(|| {
        (0..ADDRESSES)
            .map(|_| free_address())
            .filter(|address| {
                TcpListener::bind(address).is_err() || UdpSocket::bind(address).is_err()
            })
            .count()
    });
    let taken = choice.await.expect("addresses can be chosen");
    is_done.store(true, Ordering::Relaxed);
    while let Some(starter) = starters.join_next().await {
        starter.expect("the starter ends");
    }
    assert_eq!(taken, 0, "of {ADDRESSES} addresses");
}
