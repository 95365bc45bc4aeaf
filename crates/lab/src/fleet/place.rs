//! Addresses for components that must know each other's before they start.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

/// Maximum number of ports that are tried for one address.
const MAX_TRIED_PORTS: usize = 1 << 12;

/// A loopback address with a port that was free a moment ago. Its host is used by this process only,
/// since the connections of all processes take ports of 127.0.0.1. No address is returned twice.
///
/// # Errors
/// No port is free.
pub fn reserve_address() -> io::Result<SocketAddr> {
    static RESERVED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..MAX_TRIED_PORTS {
        // The port is free again once the listener is dropped.
        let listener = TcpListener::bind((Ipv4Addr::new(127, 250, high, low), 0))?;
        let address = listener.local_addr()?;
        if reserved.insert(address.port()) {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// Any free loopback port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
