//! Addresses for components that must know each other's before they start.

use std::net::{SocketAddr, TcpListener};

/// A loopback address that was free a moment ago.
///
/// # Errors
/// No port is free.
pub fn reserve_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}

/// Any free loopback port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
