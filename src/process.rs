//! Processes: the I/O that drives the state machines.
//!
//! In an entry or a side, the control thread owns the folded log and the role's state machine;
//! the other threads do network I/O.
//! See [docs/ARCHITECTURE.md](../docs/ARCHITECTURE.md).

use std::sync::{Mutex, MutexGuard, PoisonError};

pub mod admin;
pub mod control;
pub mod dial;
pub mod direct;
pub mod entry;
pub mod http;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod paced_body;
pub mod peer;
pub mod platform;
pub mod read_limit;
pub mod side;
pub mod stop;
pub mod tail;
pub mod target;

/// Locks a mutex and ignores poisoning, as no update under such a lock can panic halfway.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
