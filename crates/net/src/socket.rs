//! Options of sockets between luglink processes and towards replicas.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which unacknowledged bytes break a connection. Without it a connection through a
/// cut hangs, and after the cut waits for the next retransmission, which may be seconds away.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Makes a connection notice a silent other end, and send small messages at once.
///
/// # Errors
/// The operating system refuses an option.
pub fn set_liveness(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}
