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
