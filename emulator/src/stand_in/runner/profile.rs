//! Kind, capacity and timing of a target, and the faults to inject into it.

use std::time::Duration;

use bytes::Bytes;

use crate::stand_in::{BrokenOff, endless::EndlessFault};

/// Kind of a stand-in target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunnerKind {
    /// Engine that runs the prefill stage.
    Prefill,
    /// Engine that runs the decode stage.
    Decode,
    /// Plain service.
    Plain,
}

/// Kind, capacity and timing of a target.
#[derive(Debug, Clone, Copy)]
pub struct RunnerProfile {
    /// Kind at start; an order can change an engine's.
    pub kind: RunnerKind,
    /// Number of concurrent requests.
    pub slots: usize,
    /// Prefill speed, in prompt tokens per millisecond. A decode engine that has to
    /// prefill a prompt itself takes twice as long.
    pub tokens_per_ms: u64,
    /// Delay before each event of a stream.
    pub event_gap: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub memory_tokens: u64,
    /// Duration of a call to a plain service.
    pub call_time: Duration,
}

/// Faults to inject into a target.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunnerFaults {
    /// Responds 503 with a `not-executed` header to every request.
    pub decline: bool,
    /// With `decline`, states for how long it wants no more requests, as its `retry-after`.
    pub retry_after: Option<String>,
    /// Runs the request and responds with a signed 500.
    pub fail: bool,
    /// Runs the request and closes the connection without a response.
    pub lose_answer: bool,
    /// Delay before each event of a stream, instead of that of the profile.
    pub event_gap: Option<Duration>,
    /// Pauses before each event of a stream, and in the middle of any other answer, to requests
    /// whose ids begin like this.
    pub slow: Option<(String, Duration)>,
    /// Pads the data of each event of a stream by this many bytes.
    pub event_padding: usize,
    /// Aborts streams after the event with this id.
    pub break_after: Option<u64>,
    /// Responds with the id of another request.
    pub cross_answers: bool,
    /// Omits the `server-signature` header.
    pub unsigned: bool,
    /// Returns KV cache handles that are already expired.
    pub forget_handles: bool,
    /// Sends all responses with neither a length nor chunks, so that the end of the connection
    /// ends them.
    pub unframed: bool,
    /// States in all responses that it leaves, while its registration says that it is ready.
    pub says_leaving: bool,
    /// States in its responses, as its `server-limit`, how many requests a second it takes.
    pub limit: Option<String>,
    /// With `limit`, omits the statement from about one response in this many; 0 omits none.
    pub limit_gap: u64,
    /// Breaks each response to a run off after as many bytes of its body as the number at the
    /// end of the request's id states.
    pub cut: Option<BrokenOff>,
    /// Sends responses that never end.
    pub endless: Option<EndlessFault>,
    /// Crashes on requests with this body: the connection closes during the run.
    pub poison: Option<Bytes>,
    /// Prompt segments that crash it, shortly after it begins to write the answer to a request
    /// that has one of them in its shared prefix.
    pub crashing_segments: Vec<u64>,
    /// Requests that crash it shortly after it begins to run them, by what their ids begin with.
    pub crashing_requests: Vec<String>,
}

impl RunnerFaults {
    /// Returns the pause in the answer to a request, if there is one.
    pub(super) fn pause(&self, id: &str) -> Option<Duration> {
        let (begin, pause) = self.slow.as_ref()?;
        id.starts_with(begin).then_some(*pause)
    }
}
