//! The processes: I/O around the state machines.
//!
//! One thread holds the fold and the role's machine; the others carry traffic.
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
pub mod peer;
pub mod platform;
pub mod side;
pub mod stop;
pub mod tail;
pub mod target;

/// Locks a mutex; a panic while it was held has left its data whole.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
