//! Queue of one target: fair queueing between customers, then priority and deadline.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ids::{AttemptId, ClockTime, CustomerId};

/// Number of priority levels, from 0 (first) to 9 (last).
pub const PRIORITY_LEVELS: usize = 10;

/// Order in which a [`WorkQueue`] serves its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum QueueOrder {
    /// Start-time fair queueing between customers, weighted by contract share; each customer's
    /// work is served by priority, then deadline.
    Fair,
    /// First in, first out; a baseline for comparisons.
    #[serde(rename = "Arrival")]
    Fifo,
}

/// Attempt in a [`WorkQueue`], with what decides its order and whether it fits.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueuedWork {
    /// Attempt to start.
    pub attempt: AttemptId,
    /// Customer whose share the work is charged to.
    pub customer: CustomerId,
    /// Contract share of the customer, in millionths of the fleet.
    pub share_ppm: u32,
    /// Priority level, from 0 (first) to 9 (last).
    pub priority: u8,
    /// Time by which the answer has to be complete.
    pub deadline: ClockTime,
    /// Estimated work, in prompt tokens.
    pub cost: u64,
    /// Prompt tokens to prefill.
    pub prompt_tokens: u32,
    /// KV cache memory to reserve, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
    #[serde(rename = "pieces")]
    pub kv_pages: u32,
    /// Whether the target must run nothing else meanwhile.
    #[serde(rename = "alone")]
    pub isolated: bool,
}

/// Queue of the attempts that wait for one target.
#[derive(Debug, Clone, Serialize)]
pub struct WorkQueue {
    order: QueueOrder,
    flows: BTreeMap<CustomerId, CustomerFlow>,
    virtual_time: f64,
    arrivals: u64,
    /// Queued prompt tokens by priority level.
    tokens: [u64; PRIORITY_LEVELS],
    len: usize,
}

#[derive(Debug, Clone, Default, Serialize)]
struct CustomerFlow {
    /// Virtual finish time of the work served last, at which the next one starts.
    finish: f64,
    #[serde(skip)]
    work: BTreeMap<ServiceRank, QueuedWork>,
}

/// Priority, deadline and arrival number; the lowest is served first.
type ServiceRank = (u8, ClockTime, u64);

impl WorkQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> WorkQueue {
        WorkQueue {
            order,
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            arrivals: 0,
            tokens: [0; PRIORITY_LEVELS],
            len: 0,
        }
    }

    /// Adds work to its customer's flow.
    pub fn push(&mut self, work: QueuedWork) {
        self.arrivals += 1;
        self.tokens[usize::from(work.priority).min(PRIORITY_LEVELS - 1)] +=
            u64::from(work.prompt_tokens);
        self.len += 1;
        let rank = match self.order {
            QueueOrder::Fair => (work.priority, work.deadline, self.arrivals),
            QueueOrder::Fifo => (0, ClockTime::ZERO, self.arrivals),
        };
        let flow = self.flows.entry(work.customer.clone()).or_default();
        if flow.work.is_empty() {
            flow.finish = flow.finish.max(self.virtual_time);
        }
        flow.work.insert(rank, work);
    }

    /// Removes and returns the next work for which `fits` holds.
    ///
    /// Only the first work of each customer is considered, and in FIFO order only the first
    /// of all. A customer whose first work does not fit keeps its place, as work that
    /// overtakes it is charged to its own customer.
    pub fn pop_fitting(&mut self, fits: impl Fn(&QueuedWork) -> bool) -> Option<QueuedWork> {
        let customer = self.select_customer(fits)?;
        let flow = self.flows.get_mut(&customer)?;
        let (_, work) = flow.work.pop_first()?;
        self.virtual_time = self.virtual_time.max(flow.finish);
        flow.finish += work.cost as f64 / f64::from(work.share_ppm.max(1));
        self.subtract_totals(&work);
        Some(work)
    }

    /// Removes and returns the next work, whatever its size.
    pub fn pop(&mut self) -> Option<QueuedWork> {
        self.pop_fitting(|_| true)
    }

    /// Removes an attempt, or returns `None` if it is not queued.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedWork> {
        let flow = self
            .flows
            .values_mut()
            .find(|flow| flow.work.values().any(|w| w.attempt == attempt))?;
        let rank =
            flow.work.iter().find(|(_, work)| work.attempt == attempt).map(|(rank, _)| *rank)?;
        let work = flow.work.remove(&rank)?;
        self.subtract_totals(&work);
        Some(work)
    }

    /// Returns the queued attempts for which `predicate` holds.
    pub fn attempts_where(&self, predicate: impl Fn(&QueuedWork) -> bool) -> Vec<AttemptId> {
        let all = self.flows.values().flat_map(|flow| flow.work.values());
        all.filter(|work| predicate(work)).map(|work| work.attempt).collect()
    }

    /// Returns the queued prompt tokens, by priority level.
    pub fn waiting_tokens(&self) -> &[u64; PRIORITY_LEVELS] {
        &self.tokens
    }

    /// Returns the number of queued attempts.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no attempt is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the order in which the queue serves its work.
    pub fn order(&self) -> QueueOrder {
        self.order
    }

    fn subtract_totals(&mut self, work: &QueuedWork) {
        self.tokens[usize::from(work.priority).min(PRIORITY_LEVELS - 1)] -=
            u64::from(work.prompt_tokens);
        self.len -= 1;
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.work.is_empty() || flow.finish > virtual_time);
    }

    fn select_customer(&self, fits: impl Fn(&QueuedWork) -> bool) -> Option<CustomerId> {
        fn head(flow: &CustomerFlow) -> Option<&QueuedWork> {
            flow.work.values().next()
        }
        let first_arrival = |flow: &CustomerFlow| flow.work.keys().next().copied();
        let next = match self.order {
            QueueOrder::Fair => self
                .flows
                .iter()
                .filter(|(_, flow)| head(flow).is_some_and(&fits))
                .min_by(|(_, a), (_, b)| a.finish.total_cmp(&b.finish)),
            QueueOrder::Fifo => self
                .flows
                .iter()
                .filter(|(_, flow)| !flow.work.is_empty())
                .min_by_key(|(_, flow)| first_arrival(flow))
                .filter(|(_, flow)| head(flow).is_some_and(fits)),
        };
        next.map(|(customer, _)| customer.clone())
    }
}
