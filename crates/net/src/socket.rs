//! Socket options for connections between luglink processes and to replicas.

use socket2::SockRef;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time after which unacknowledged bytes close a connection. Without this limit, a connection hangs
/// during a network partition, and after the partition heals it waits for the next retransmission,
/// which may be seconds away.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Disables Nagle's algorithm, so that small messages are sent immediately, and sets the TCP user
/// timeout, so that an unresponsive peer is detected.
///
/// # Errors
/// The operating system rejects an option.
pub fn set_tcp_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Sets the size of the connection's send buffer in bytes. The operating system reports a full
/// buffer as writable only after a third of it has been read. With the default size of several
/// megabytes, a peer that reads slowly looks for seconds like one that does not read at all.
///
/// # Errors
/// The operating system rejects the option.
pub fn set_send_buffer(stream: &TcpStream, bytes: usize) -> std::io::Result<()> {
    SockRef::from(stream).set_send_buffer_size(bytes)
}

/// Lets the close of the connection reset it. The peer then cannot take the end of the data for the end
/// of a message.
///
/// # Errors
/// The operating system rejects the option.
pub fn set_reset_on_close(stream: &TcpStream) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}
