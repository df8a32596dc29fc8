//! Prefill of prompts, and the caches that it leaves.

use std::time::Duration;

use hyper::{Response, StatusCode, header::HeaderMap};
use serde_json::json;
use tokio::time::sleep;

use super::{RunnerFaults, RunnerKind, RunnerModel, response::header_text, state::locked};
use crate::stand_in::{BrokenOff, StandInBody};

impl RunnerModel {
    pub(super) async fn prefill(
        &self,
        headers: &HeaderMap,
        faults: &RunnerFaults,
    ) -> Result<Response<StandInBody>, BrokenOff> {
        if self.kind() != RunnerKind::Prefill {
            return Ok(self.response(StatusCode::MISDIRECTED_REQUEST, headers, ""));
        }
        self.prefill_prompt(headers, 1).await;
        let id = header_text(headers, "request-id").unwrap_or_default();
        let number = {
            let mut state = locked(&self.state);
            state.prefills += 1;
            state.prefills
        };
        let handle = format!("{}-{number}", self.id);
        if !faults.forget_handles {
            locked(&self.caches).insert(handle.clone(), (self.address, id));
        }
        let body = json!({ "handle": handle, "tokens": 1, "version": 1 }).to_string();
        Ok(self.response(StatusCode::OK, headers, body))
    }

    pub(super) fn import_cache(&self, source: &str, headers: &HeaderMap) -> bool {
        let Some((address, name)) = source.split_once('/') else { return false };
        let Some((holder, owner)) = locked(&self.caches).remove(name) else { return false };
        if header_text(headers, "request-id").as_deref() != Some(&owner) {
            locked(&self.state).foreign_caches += 1;
        }
        holder.to_string() == address
    }

    /// Prefills the segments of a prompt that are not cached, and returns their length
    /// in tokens. `slowness` multiplies the duration.
    pub(super) async fn prefill_prompt(&self, headers: &HeaderMap, slowness: u64) -> u64 {
        let prefix = header_text(headers, "prompt-prefix").unwrap_or_default();
        let mut uncached = 0;
        {
            let mut state = locked(&self.state);
            for (id, tokens) in prefix.split(',').filter_map(|segment| segment.split_once(':')) {
                let tokens = tokens.parse::<u64>().unwrap_or(0);
                let cached = state.segments.iter().position(|(known, _)| known == id);
                if cached.and_then(|index| state.segments.remove(index)).is_none() {
                    uncached += tokens;
                }
                state.segments.push_back((id.to_owned(), tokens));
            }
            // Evict the least recently used segments.
            while state.segments.iter().map(|(_, tokens)| tokens).sum::<u64>()
                > self.profile.memory_tokens
            {
                state.segments.pop_front();
            }
        }
        let time = Duration::from_millis(uncached * slowness / self.profile.tokens_per_ms.max(1));
        // A target prefills one prompt at a time.
        let lock = locked(&self.state).prefill_lock.clone();
        let _guard = lock.lock().await;
        sleep(time).await;
        uncached
    }
}
