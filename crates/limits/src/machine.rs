//! Shares of a machine's memory and open files.

/// Memory that one connection of HTTP may hold outside the account of held bytes, in bytes: buffers for
/// a head of the usual maximum size, and the state of the connection.
const HTTP_CONNECTION_BYTES: u64 = 32 << 10;

/// Memory that one internal connection may hold outside the account of held bytes, in bytes.
const INTERNAL_CONNECTION_BYTES: u64 = 8 << 10;

/// Fraction of the memory that peers may make a process hold.
const HELD_BYTES_DIVISOR: u64 = 4;

/// Fraction of the memory that may wait to be sent on internal connections.
const QUEUED_BYTES_DIVISOR: u64 = 8;

/// Minimum number of connections that any listener accepts.
const MIN_CONNECTIONS: u64 = 8;

/// Listener of a process, by its share of the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers of a gateway.
    Callers,
    /// Processes of the fleet.
    Internal,
    /// Clients that resolve gateways.
    Resolution,
    /// Readiness checks.
    Readiness,
    /// Operators.
    Operators,
    /// Collectors of metrics.
    Metrics,
}

impl ListenerKind {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Internal => "internal",
            Self::Resolution => "resolution",
            Self::Readiness => "readiness",
            Self::Operators => "operators",
            Self::Metrics => "metrics",
        }
    }

    /// Returns the divisor of the open files that gives the maximum number of connections.
    const fn files_divisor(self) -> u64 {
        match self {
            Self::Callers | Self::Internal => 2,
            Self::Resolution | Self::Readiness => 8,
            Self::Operators | Self::Metrics => 16,
        }
    }

    /// Returns the divisor of the memory that all connections may use outside the account.
    const fn memory_divisor(self) -> u64 {
        2 * self.files_divisor()
    }

    const fn connection_bytes(self) -> u64 {
        match self {
            Self::Internal => INTERNAL_CONNECTION_BYTES,
            _ => HTTP_CONNECTION_BYTES,
        }
    }
}

/// Memory and open files of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Maximum memory of the process, in bytes.
    pub memory_bytes: u64,
    /// Maximum number of open files and sockets of the process.
    pub open_files: u64,
}

impl Machine {
    /// Returns the number of bytes that all peers together may make the process hold. One peer may
    /// hold half of them.
    #[must_use]
    pub const fn held_bytes(self) -> u64 {
        self.memory_bytes / HELD_BYTES_DIVISOR
    }

    /// Returns the number of bytes that may wait to be sent on internal connections.
    #[must_use]
    pub const fn queued_bytes(self) -> u64 {
        self.memory_bytes / QUEUED_BYTES_DIVISOR
    }

    /// Returns the maximum number of connections of a listener.
    #[must_use]
    pub fn connections(self, listener: ListenerKind) -> usize {
        let by_files = self.open_files / listener.files_divisor();
        let share = self.memory_bytes / listener.memory_divisor();
        let by_memory = share / listener.connection_bytes();
        let connections = by_files.min(by_memory).max(MIN_CONNECTIONS);
        usize::try_from(connections).unwrap_or(usize::MAX)
    }
}

impl Default for Machine {
    /// Returns a machine of 256 MiB with 4,096 open files.
    fn default() -> Self {
        Self {
            memory_bytes: 256 << 20,
            open_files: 4_096,
        }
    }
}
