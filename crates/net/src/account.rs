//! Account of the bytes that the peers of a process make it hold.
//!
//! [`HeldBytes`] decides who is admitted and who is aborted; this module tells the holders.

use luglink_limits::{Growth, HeldAbort, HeldBytes, HeldBytesLimit, HolderId};
use luglink_types::TenantName;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Change of an account.
#[derive(Clone, Copy, Debug)]
pub enum AccountEvent<'event> {
    /// A holder was refused before it held anything.
    Refused {
        /// Name of the holder.
        name: &'event str,
        /// Bytes that it announced.
        announced: u64,
        /// Bytes held by all others.
        held: u64,
        /// Limit that left no room.
        limit: HeldBytesLimit,
    },
    /// A holder was aborted or denied more bytes.
    Aborted {
        /// Name of the holder.
        name: &'event str,
        /// Bytes that it held.
        bytes: u64,
        /// Bytes held by all others.
        held: u64,
        /// Reason, in the words of logs and metrics.
        reason: &'static str,
    },
    /// The number of held bytes has changed.
    Changed {
        /// Bytes held by all.
        held: u64,
    },
}

/// Bytes that all peers of a process make it hold.
pub struct ByteAccount {
    bytes: RefCell<HeldBytes>,
    holders: RefCell<HashMap<HolderId, Rc<Holder>>>,
    on_event: Box<dyn Fn(AccountEvent<'_>)>,
}

impl fmt::Debug for ByteAccount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut debug = formatter.debug_struct("ByteAccount");
        debug.field("bytes", &self.bytes).finish_non_exhaustive()
    }
}

/// State through which a holder learns that it is aborted.
#[derive(Debug)]
struct Holder {
    name: String,
    aborted_by: Cell<Option<HeldBytesLimit>>,
    abort_signal: Notify,
}

impl ByteAccount {
    /// Creates an empty account whose changes are passed to `on_event`.
    pub fn new(bytes: HeldBytes, on_event: impl Fn(AccountEvent<'_>) + 'static) -> Rc<Self> {
        Rc::new(Self {
            bytes: RefCell::new(bytes),
            holders: RefCell::default(),
            on_event: Box::new(on_event),
        })
    }

    /// Admits a holder that is about to receive `announced` bytes from its peer. Longer ones that have not
    /// received all yet give way to it, and it gives way to others until
    /// [`ByteGuard::set_abortable`] is called.
    ///
    /// # Errors
    /// Returns the limit that leaves no room. Nothing was received.
    pub fn admit(
        self: &Rc<Self>,
        name: &str,
        tenant: Option<TenantName>,
        announced: u64,
    ) -> Result<ByteGuard, HeldBytesLimit> {
        let cuts = self
            .bytes
            .borrow_mut()
            .make_room(tenant.as_ref(), announced);
        cuts.iter().for_each(|cut| self.abort(cut));
        let mut bytes = self.bytes.borrow_mut();
        let admitted = bytes.admit(tenant, announced);
        let held = bytes.total();
        if let Ok(holder) = admitted {
            bytes.set_receiving(holder);
        }
        drop(bytes);
        let holder = admitted.inspect_err(|limit| {
            (self.on_event)(AccountEvent::Refused {
                name,
                announced,
                held,
                limit: *limit,
            });
        })?;
        let state = Rc::new(Holder {
            name: name.to_owned(),
            aborted_by: Cell::new(None),
            abort_signal: Notify::new(),
        });
        let mut holders = self.holders.borrow_mut();
        holders.insert(holder, Rc::clone(&state));
        drop(holders);
        self.tell_total();
        Ok(ByteGuard {
            account: Rc::clone(self),
            holder,
            state,
        })
    }

    /// Returns the maximum number of bytes that one holder may have.
    #[must_use]
    pub fn max_holder_bytes(&self) -> u64 {
        self.bytes.borrow().tenant_limit()
    }

    fn tell_total(&self) {
        let held = self.bytes.borrow().total();
        (self.on_event)(AccountEvent::Changed { held });
    }

    fn resize(&self, holder: HolderId, bytes: u64) -> Result<(), HeldBytesLimit> {
        let growth = self.bytes.borrow_mut().resize(holder, bytes);
        let result = match growth {
            Growth::Granted(cuts) => {
                cuts.iter().for_each(|cut| self.abort(cut));
                Ok(())
            }
            Growth::Denied(limit) => Err(limit),
        };
        self.tell_total();
        result
    }

    fn abort(&self, cut: &HeldAbort) {
        let Some(holder) = self.holders.borrow_mut().remove(&cut.holder) else {
            return;
        };
        self.tell_aborted(&holder.name, cut.bytes, cut.bound.as_str());
        holder.aborted_by.set(Some(cut.bound));
        holder.abort_signal.notify_one();
    }

    fn tell_aborted(&self, name: &str, bytes: u64, reason: &'static str) {
        let held = self.bytes.borrow().total();
        (self.on_event)(AccountEvent::Aborted {
            name,
            bytes,
            held,
            reason,
        });
    }
}

/// Bytes of one holder. Dropping the guard releases all of them.
#[derive(Debug)]
pub struct ByteGuard {
    account: Rc<ByteAccount>,
    holder: HolderId,
    state: Rc<Holder>,
}

impl ByteGuard {
    /// Sets the number of bytes that the holder has or is about to have.
    ///
    /// # Errors
    /// Returns the limit that the new size would exceed, or by which the holder was aborted.
    pub fn resize(&self, bytes: u64) -> Result<(), HeldBytesLimit> {
        if let Some(limit) = self.state.aborted_by.get() {
            return Err(limit);
        }
        let resized = self.account.resize(self.holder, bytes);
        resized.inspect_err(|limit| self.tell_aborted(limit.as_str()))
    }

    /// Sets whether the holder may be aborted from now on, after it has received all from its peer.
    pub fn set_abortable(&self, can_be_cut: bool) {
        let mut bytes = self.account.bytes.borrow_mut();
        bytes.set_abortable(self.holder, can_be_cut);
    }

    /// Waits until the holder is aborted. Returns the limit that was exceeded.
    pub async fn wait_for_abort(&self) -> HeldBytesLimit {
        loop {
            if let Some(limit) = self.state.aborted_by.get() {
                return limit;
            }
            self.state.abort_signal.notified().await;
        }
    }

    /// Reports that the holder is aborted for a reason of its own, with the bytes that it holds.
    pub fn tell_aborted(&self, reason: &'static str) {
        let bytes = self.account.bytes.borrow().of_holder(self.holder);
        let bytes = bytes.unwrap_or_default();
        self.account.tell_aborted(&self.state.name, bytes, reason);
    }
}

impl Drop for ByteGuard {
    fn drop(&mut self) {
        self.account.holders.borrow_mut().remove(&self.holder);
        self.account.bytes.borrow_mut().release(self.holder);
        self.account.tell_total();
    }
}
