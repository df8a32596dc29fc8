//! Prompts that await prefill at an engine, by priority.
//!
//! It serves loads in which urgent short prompts and long ones share engines. An engine
//! prefills one prompt at a time: the most urgent one first, in the order of arrival within a
//! priority, and ends the prompt that it has begun before a more urgent one.

use std::ops::Range;

use serde::{Deserialize, Serialize};

/// Number of priorities that engines tell apart. 0 is the most urgent.
pub(super) const PRIORITY_COUNT: u8 = 10;
/// Highest priority of requests that were late on arrival.
pub(super) const FIRST_LATE_PRIORITY: u8 = 5;
const QUEUE_COUNT: usize = PRIORITY_COUNT as usize;

/// Prompts of one priority.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct PromptQueue {
    prompts: u32,
    tokens: u32,
}

/// Encoded form of one priority's prompts: priority, number of prompts, tokens.
type QueueRecord = (u8, u32, u32);

/// Prompts that await prefill at an engine, or are in prefill.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<QueueRecord>", into = "Vec<QueueRecord>")]
pub struct PrefillBacklog {
    queues: [PromptQueue; QUEUE_COUNT],
}

impl PrefillBacklog {
    /// Adds a prompt. One without tokens to prefill does not count.
    pub fn add(&mut self, priority: u8, tokens: u32) {
        let queue = self.queue(priority);
        queue.prompts += u32::from(tokens > 0);
        queue.tokens = queue.tokens.saturating_add(tokens);
    }

    /// Removes a prompt whose prefill is done or was abandoned.
    pub fn remove(&mut self, priority: u8, tokens: u32) {
        let queue = self.queue(priority);
        queue.prompts = queue.prompts.saturating_sub(u32::from(tokens > 0));
        queue.tokens = queue.tokens.saturating_sub(tokens);
    }

    /// Returns how many tokens are prefilled before a new prompt of a priority.
    ///
    /// Less urgent prompts count only as far as one of them may be in prefill: by the mean of
    /// their lengths, and the share that they have in all tokens.
    pub fn tokens_ahead(&self, priority: u8) -> u32 {
        let (ahead, behind) = self.queues.split_at(queue_index(priority) + 1);
        let sum = |queues: &[PromptQueue]| -> PromptQueue {
            queues.iter().fold(PromptQueue::default(), |sum, queue| sum.plus(*queue))
        };
        let (ahead, behind) = (sum(ahead), sum(behind));
        if behind.tokens == 0 {
            return ahead.tokens;
        }
        let mean = behind.tokens as f32 / behind.prompts.max(1) as f32;
        let share = behind.tokens as f32 / (ahead.tokens as f32 + behind.tokens as f32);
        ahead.tokens.saturating_add((mean * share) as u32)
    }

    /// Returns the number of prompts that a new one of a priority is prefilled before.
    pub fn prompts_behind(&self, priority: u8) -> u32 {
        let behind = &self.queues[queue_index(priority) + 1..];
        behind.iter().fold(0, |sum: u32, queue| sum.saturating_add(queue.prompts))
    }

    /// Returns the tokens of all prompts in a range of priorities.
    pub(super) fn tokens(&self, priorities: Range<u8>) -> u32 {
        let queues = &self.queues[usize::from(priorities.start)..usize::from(priorities.end)];
        queues.iter().fold(0, |sum: u32, queue| sum.saturating_add(queue.tokens))
    }

    fn queue(&mut self, priority: u8) -> &mut PromptQueue {
        &mut self.queues[queue_index(priority)]
    }
}

fn queue_index(priority: u8) -> usize {
    usize::from(priority).min(QUEUE_COUNT - 1)
}

impl PromptQueue {
    fn plus(self, other: PromptQueue) -> PromptQueue {
        PromptQueue {
            prompts: self.prompts.saturating_add(other.prompts),
            tokens: self.tokens.saturating_add(other.tokens),
        }
    }
}

/// Sum of many backlogs, from which each can be taken away again.
///
/// It is exact, as a backlog of 32-bit numbers that saturated could not be reduced again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct BacklogSum {
    /// Prompts and tokens by priority.
    queues: [(u64, u64); QUEUE_COUNT],
}

impl BacklogSum {
    pub(super) fn add(&mut self, backlog: &PrefillBacklog) {
        for ((prompts, tokens), queue) in self.queues.iter_mut().zip(backlog.queues) {
            *prompts += u64::from(queue.prompts);
            *tokens += u64::from(queue.tokens);
        }
    }

    /// Takes a backlog away that was added before.
    pub(super) fn remove(&mut self, backlog: &PrefillBacklog) {
        for ((prompts, tokens), queue) in self.queues.iter_mut().zip(backlog.queues) {
            *prompts -= u64::from(queue.prompts);
            *tokens -= u64::from(queue.tokens);
        }
    }

    /// Returns the sum as one backlog.
    pub(super) fn backlog(&self) -> PrefillBacklog {
        let narrow = |number| u32::try_from(number).unwrap_or(u32::MAX);
        let queues = self.queues.map(|(prompts, tokens)| PromptQueue {
            prompts: narrow(prompts),
            tokens: narrow(tokens),
        });
        PrefillBacklog { queues }
    }
}

impl std::ops::Add for PrefillBacklog {
    type Output = PrefillBacklog;

    fn add(self, other: PrefillBacklog) -> PrefillBacklog {
        let queues = std::array::from_fn(|level| self.queues[level].plus(other.queues[level]));
        PrefillBacklog { queues }
    }
}

impl From<Vec<QueueRecord>> for PrefillBacklog {
    fn from(records: Vec<QueueRecord>) -> PrefillBacklog {
        let mut backlog = PrefillBacklog::default();
        for (priority, prompts, tokens) in records {
            let queue = backlog.queue(priority);
            *queue = queue.plus(PromptQueue { prompts, tokens });
        }
        backlog
    }
}

impl From<PrefillBacklog> for Vec<QueueRecord> {
    fn from(backlog: PrefillBacklog) -> Vec<QueueRecord> {
        let queues = backlog.queues.into_iter().zip(0_u8..);
        let used = queues.filter(|(queue, _)| *queue != PromptQueue::default());
        used.map(|(queue, priority)| (priority, queue.prompts, queue.tokens)).collect()
    }
}
