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
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Bounds what the operating system holds of what is written to a connection, in bytes. It tells of
/// progress only once a third of that was taken: with the megabytes that it takes of its own accord,
/// an end that reads slowly looks for seconds like one that does not read.
///
/// # Errors
/// The operating system refuses the option.
pub fn set_send_buffer(stream: &TcpStream, bytes: usize) -> std::io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}
