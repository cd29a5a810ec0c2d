//! Checks of the addresses in the settings.

use std::net::SocketAddr;

use super::fault::FaultList;
use super::fault::SettingsProblem;

/// A TCP listener with its place in the document.
pub(super) struct Listener {
    /// The path of the address in the document.
    pub(super) path: &'static str,
    /// The address, if it could be read.
    pub(super) address: Option<SocketAddr>,
}

/// Checks that no two TCP listeners take the same port.
pub(super) fn check_clashes(listeners: &[Listener], faults: &FaultList) {
    for (index, listener) in listeners.iter().enumerate() {
        let clashing = |earlier: &&Listener| clash(earlier, listener);
        if let Some(earlier) = listeners[..index].iter().find(clashing) {
            faults.add(listener.path, SettingsProblem::PortClash(earlier.path));
        }
    }
}

/// Checks an address that peers are told to dial.
pub(super) fn check_peer_address(address: SocketAddr, faults: &FaultList) {
    if address.ip().is_unspecified() {
        faults.add("peer_address", SettingsProblem::UnspecifiedAddress);
    }
}

/// Checks an address that the process dials.
pub(super) fn check_remote(path: &str, address: SocketAddr, faults: &FaultList) {
    if address.ip().is_unspecified() {
        faults.add(path, SettingsProblem::UnspecifiedAddress);
    }
    if address.port() == 0 {
        faults.add(path, SettingsProblem::NoPort);
    }
}

/// Returns whether two TCP listeners cannot both be opened.
///
/// Port 0 asks the operating system for a free port and clashes with nothing.
fn clash(a: &Listener, b: &Listener) -> bool {
    let (Some(a), Some(b)) = (a.address, b.address) else {
        return false;
    };
    let overlap = a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified();
    overlap && a.port() == b.port() && a.port() != 0
}
