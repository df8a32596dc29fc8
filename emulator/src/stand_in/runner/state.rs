//! What a target knows and has done.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::{task::JoinHandle, time::Instant};

use super::RunnerFaults;
use crate::stand_in::{orders::OrderBook, slots::PrioritySlots};

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

/// Call of a request that reached a target, whatever became of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedCall {
    /// Value of the `request-id` header.
    pub request: String,
    /// When the call arrived.
    pub at: Instant,
    /// Whether it asked for a separate prefill only.
    pub is_prefill: bool,
    /// Ids of the prompt segments, in order.
    pub segments: Vec<u64>,
    /// Customer that it names.
    pub customer: Option<String>,
    /// Whether it holds credentials of its caller.
    pub has_credentials: bool,
}

/// Crash of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord {
    /// When it crashed.
    pub at: Instant,
    /// What crashed it; `None` if it crashed by itself.
    pub cause: Option<CrashCause>,
}

/// What crashes a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CrashCause {
    /// A segment of a prompt.
    Segment(u64),
    /// A request, named by what its ids begin with.
    Request(String),
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
    /// Id of its present start, under which it registers.
    pub(super) instance: Arc<str>,
    /// Number of registrations since its start.
    pub(super) sequence: u64,
    /// Task that accepts connections; `None` while the target is down.
    pub(super) server: Option<JoinHandle<()>>,
    pub(super) slots: PrioritySlots,
    pub(super) prefill_lock: Arc<tokio::sync::Mutex<()>>,
    pub(super) faults: RunnerFaults,
    pub(super) received: Vec<ReceivedCall>,
    pub(super) crashes: Vec<CrashRecord>,
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
    pub(super) fn new(instance: Arc<str>, slots: usize) -> RunnerState {
        RunnerState {
            version: "v1".to_owned(),
            starts: 1,
            instance,
            sequence: 0,
            server: None,
            slots: PrioritySlots::new(slots),
            prefill_lock: Arc::default(),
            faults: RunnerFaults::default(),
            received: Vec::new(),
            crashes: Vec::new(),
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

    /// Begins the next start under an id, without anything of the previous one.
    pub(super) fn start_again(&mut self, instance: Arc<str>, slots: usize) {
        self.starts += 1;
        self.instance = instance;
        self.sequence = 0;
        // Requests that the crash cut off may still hold the old ones.
        self.slots = PrioritySlots::new(slots);
        self.prefill_lock = Arc::default();
        self.segments.clear();
        self.orders = OrderBook::default();
    }
}

pub(super) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
