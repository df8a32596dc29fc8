//! Queue of one target: fair between customers, then by priority and deadline.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::ids::{AttemptId, ClockTime, CustomerId};

/// Number of priorities.
pub const PRIORITY_LEVELS: usize = 10;

/// Order in which a queue serves its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum QueueOrder {
    /// Start-time fair queueing by contract share, then priority and deadline.
    Fair,
    /// In order of arrival; a baseline for measurements.
    #[serde(rename = "Arrival")]
    Fifo,
}

/// One queued attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct QueuedWork {
    /// The attempt.
    pub attempt: AttemptId,
    /// The customer.
    pub customer: CustomerId,
    /// Share in millionths of the fleet.
    pub share_ppm: u32,
    /// Priority from 0 (first) to 9 (last).
    pub priority: u8,
    /// When the answer has to be complete.
    pub deadline: ClockTime,
    /// Estimated work, in prompt tokens.
    pub cost: u64,
    /// Prompt tokens to read.
    pub prompt_tokens: u32,
    /// Memory to reserve, in pieces.
    pub pieces: u32,
    /// Whether the target must run nothing else meanwhile.
    #[serde(rename = "alone")]
    pub isolated: bool,
}

/// Queue of one target.
#[derive(Debug, Clone, Serialize)]
pub struct WorkQueue {
    order: QueueOrder,
    flows: BTreeMap<CustomerId, CustomerFlow>,
    virtual_time: f64,
    arrivals: u64,
    tokens: [u64; PRIORITY_LEVELS],
    len: usize,
}

#[derive(Debug, Clone, Default, Serialize)]
struct CustomerFlow {
    finish: f64,
    #[serde(skip)]
    work: BTreeMap<WorkRank, QueuedWork>,
}

type WorkRank = (u8, ClockTime, u64);

impl WorkQueue {
    /// Makes an empty queue.
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

    /// Adds work.
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

    /// Removes and returns the work that is served next among that for which `fits` holds.
    ///
    /// Work that does not fit keeps its place: what is served before it is
    /// charged to its own customer.
    pub fn pop_fitting(&mut self, fits: impl Fn(&QueuedWork) -> bool) -> Option<QueuedWork> {
        let customer = self.next_flow(fits)?;
        let flow = self.flows.get_mut(&customer)?;
        let (_, work) = flow.work.pop_first()?;
        self.virtual_time = self.virtual_time.max(flow.finish);
        flow.finish += work.cost as f64 / f64::from(work.share_ppm.max(1));
        self.forget(&work);
        Some(work)
    }

    /// Removes and returns the work that is served next.
    pub fn pop(&mut self) -> Option<QueuedWork> {
        self.pop_fitting(|_| true)
    }

    /// Removes one attempt.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedWork> {
        let flow = self
            .flows
            .values_mut()
            .find(|flow| flow.work.values().any(|w| w.attempt == attempt))?;
        let rank =
            flow.work.iter().find(|(_, work)| work.attempt == attempt).map(|(rank, _)| *rank)?;
        let work = flow.work.remove(&rank)?;
        self.forget(&work);
        Some(work)
    }

    /// Returns the attempts for which `test` holds.
    pub fn select(&self, test: impl Fn(&QueuedWork) -> bool) -> Vec<AttemptId> {
        let all = self.flows.values().flat_map(|flow| flow.work.values());
        all.filter(|work| test(work)).map(|work| work.attempt).collect()
    }

    /// Returns the prompt tokens that wait, by priority.
    pub fn waiting_tokens(&self) -> &[u64; PRIORITY_LEVELS] {
        &self.tokens
    }

    /// Returns the number of attempts that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the order.
    pub fn order(&self) -> QueueOrder {
        self.order
    }

    fn forget(&mut self, work: &QueuedWork) {
        self.tokens[usize::from(work.priority).min(PRIORITY_LEVELS - 1)] -=
            u64::from(work.prompt_tokens);
        self.len -= 1;
        let virtual_time = self.virtual_time;
        self.flows.retain(|_, flow| !flow.work.is_empty() || flow.finish > virtual_time);
    }

    fn next_flow(&self, fits: impl Fn(&QueuedWork) -> bool) -> Option<CustomerId> {
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
