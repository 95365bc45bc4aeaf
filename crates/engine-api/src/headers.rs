//! Names of HTTP headers.

/// Program of a call.
pub const HEADER_PROGRAM: &str = "x-luglink-program";
/// Index of a call in its program.
pub const HEADER_SEQUENCE: &str = "x-luglink-sequence";
/// Owner epoch of the daemon that sends a call to an engine.
pub const HEADER_EPOCH: &str = "x-luglink-owner-epoch";
/// Latest time at which the engine may start a request, in microseconds since the Unix epoch. The
/// engine rejects the request after it, because the sender has given up the request by then.
pub const HEADER_START_BY: &str = "x-luglink-start-by";
/// Index of an attempt in its call.
pub const HEADER_ATTEMPT: &str = "x-luglink-attempt";
/// Tenant of a call without a program.
pub const HEADER_TENANT: &str = "x-luglink-tenant";
/// Class of a call without a program.
pub const HEADER_CLASS: &str = "x-luglink-class";
/// Priority of a call.
pub const HEADER_PRIORITY: &str = "x-luglink-priority";
/// Permission to run a call twice after a failure.
pub const HEADER_REPEATABLE: &str = "x-luglink-repeatable";
/// Adapter of a call.
pub const HEADER_MODEL_ADAPTER: &str = "x-luglink-adapter";
/// Key that the caller chose for a request.
pub const HEADER_IDEMPOTENCY_KEY: &str = "idempotency-key";
