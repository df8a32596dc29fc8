//! What a target knows and has done.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::time::Instant;

use super::RunnerFaults;
use crate::stand_in::orders::OrderBook;

/// Run of a request on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunRecord {
    /// Value of the `request-id` header.
    pub request: String,
    /// Path of the request's URI.
    pub path: String,
    /// Start of the run, after any prefill on this target.
    pub at: Instant,
    /// Prompt tokens that this target prefilled for the run; 0 if the KV cache was imported.
    pub read: u64,
}

/// KV caches of all engines by handle, with the address of the engine that holds
/// the cache and the id of its request.
pub type CacheRegistry = Arc<Mutex<HashMap<String, (SocketAddr, String)>>>;

#[derive(Debug)]
pub(super) struct RunnerState {
    /// Version of its software.
    pub(super) version: String,
    /// Number of its starts, from which its registration's start time follows.
    pub(super) starts: u64,
    pub(super) faults: RunnerFaults,
    pub(super) segments: VecDeque<(String, u64)>,
    pub(super) runs: Vec<RunRecord>,
    pub(super) prefills: u64,
    pub(super) declined: Vec<Instant>,
    pub(super) foreign_caches: u64,
    pub(super) cancelled: Vec<String>,
    pub(super) arrivals: Vec<String>,
    pub(super) orders: OrderBook,
}

impl RunnerState {
    pub(super) fn new() -> RunnerState {
        RunnerState {
            version: "v1".to_owned(),
            starts: 1,
            faults: RunnerFaults::default(),
            segments: VecDeque::new(),
            runs: Vec::new(),
            prefills: 0,
            declined: Vec::new(),
            foreign_caches: 0,
            cancelled: Vec::new(),
            arrivals: Vec::new(),
            orders: OrderBook::default(),
        }
    }
}

pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
