//! Crashes of a target, and its next start.

use std::{io, time::Duration};

use hyper::header::HeaderMap;
use tokio::{
    task::JoinHandle,
    time::{Instant, sleep},
};

use super::{
    CrashCause, CrashRecord, RunnerFaults, RunnerModel,
    response::{header_text, prompt_segments},
    state::locked,
};

/// Longest time from the begin of an answer to the crash that its prompt causes.
const MAX_CRASH_DELAY_MS: u64 = 100;
/// Shortest time from a crash to the next start, and what each of four crashes adds to it.
const MIN_DOWN_TIME: Duration = Duration::from_millis(600);
const DOWN_TIME_STEP: Duration = Duration::from_millis(300);
/// Delay before a failed start is tried again.
const START_RETRY_DELAY: Duration = Duration::from_millis(20);

impl RunnerModel {
    /// Crashes it without any request as the cause. All its connections close or reset, and
    /// it starts again after 0.6 to 1.5 s, mostly under a new id. Does nothing while it is down.
    pub fn crash(&self) {
        self.crash_by(None);
    }

    /// Returns its crashes, oldest first.
    pub fn crashes(&self) -> Vec<CrashRecord> {
        locked(&self.state).crashes.clone()
    }

    /// Returns whether it accepts connections and sends heartbeats.
    pub fn is_up(&self) -> bool {
        locked(&self.state).server.is_some()
    }

    /// Returns what in a request crashes this target: a segment in the shared prefix of its
    /// prompt, or the request as a whole.
    pub(super) fn crash_cause(faults: &RunnerFaults, headers: &HeaderMap) -> Option<CrashCause> {
        let segments = prompt_segments(headers);
        let shared = segments.split_last().map_or(&[][..], |(_, shared)| shared);
        let segment = shared.iter().copied().find(|id| faults.crashing_segments.contains(id));
        let id = header_text(headers, "request-id").unwrap_or_default();
        let request = faults.crashing_requests.iter().find(|name| id.starts_with(name.as_str()));
        segment.map(CrashCause::Segment).or(request.cloned().map(CrashCause::Request))
    }

    /// Crashes it shortly, after a delay that depends on the request's id.
    pub(super) fn crash_soon(&self, cause: CrashCause, headers: &HeaderMap) {
        let id = header_text(headers, "request-id").unwrap_or_default();
        let delay = Duration::from_millis(1 + hash(&id) % MAX_CRASH_DELAY_MS);
        let (runner, instance) = (self.clone(), self.instance());
        tokio::spawn(async move {
            sleep(delay).await;
            // It may have crashed and started again since.
            if runner.instance() == instance {
                runner.crash_by(Some(cause));
            }
        });
    }

    fn crash_by(&self, cause: Option<CrashCause>) {
        let (server, crashes) = {
            let mut state = locked(&self.state);
            let Some(server) = state.server.take() else { return };
            state.crashes.push(CrashRecord { at: Instant::now(), cause });
            (server, state.crashes.len() as u32)
        };
        server.abort();
        locked(&self.caches).retain(|_, (holder, _)| *holder != self.address);
        let down_time = MIN_DOWN_TIME + DOWN_TIME_STEP * (crashes % 4);
        tokio::spawn(self.clone().start_again(server, down_time));
    }

    async fn start_again(self, server: JoinHandle<()>, down_time: Duration) -> io::Result<()> {
        // The listener is closed once its aborted task has ended.
        server.await.ok();
        sleep(down_time).await;
        {
            let mut state = locked(&self.state);
            let next = state.starts + 1;
            let keeps_id = next.is_multiple_of(4);
            let instance = match keeps_id {
                true => state.instance.clone(),
                false => format!("{}.{next}", self.id).into(),
            };
            state.start_again(instance, self.profile.slots);
        }
        while self.listen().await.is_err() {
            sleep(START_RETRY_DELAY).await;
        }
        Ok(())
    }
}

fn hash(text: &str) -> u64 {
    text.bytes().fold(7, |sum, byte| (sum * 31 + u64::from(byte)) % 1_000_003)
}
