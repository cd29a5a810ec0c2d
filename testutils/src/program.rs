//! Starts programs from tests.

use std::io;

use tokio::process::Child;
use tokio::process::Command;

use crate::ports::lock_inheritable_sockets;

/// Starts a program, and returns once it has replaced the image of this process.
///
/// Waits while another thread chooses a free address, whose sockets the program would
/// inherit for a moment.
///
/// # Errors
///
/// Returns the error of the operating system if the program cannot be started.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _guard = lock_inheritable_sockets();
    command.spawn()
}

/// Returns how many file descriptors a process has open.
///
/// # Panics
///
/// Panics if the process has ended.
pub fn open_descriptors(id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count()
}

/// Returns the most memory that a process has used so far, in bytes.
///
/// # Panics
///
/// Panics if the process has ended.
pub fn peak_memory_bytes(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
    kilobytes.unwrap().trim().parse::<u64>().unwrap() * 1_024
}
