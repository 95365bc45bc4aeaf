//! Addresses for components that must know each other's before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// A loopback address with a port that was free a moment ago. Its host is used by this process only,
/// since the connections of all processes take ports of 127.0.0.1.
///
/// # Errors
/// No port is free.
pub fn reserve_address() -> std::io::Result<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    TcpListener::bind((Ipv4Addr::new(127, 250, high, low), 0))?.local_addr()
}

/// Any free loopback port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
