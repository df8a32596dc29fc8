//! What an entry does after the store was restored from an older copy, which lacks the last
//! records.
//!
//! Whoever still knows a lost record writes it again, and removes one that came back. Entries
//! take turns, so that the later ones find what the earlier ones wrote. See
//! [docs/design/platform.md](../../docs/design/platform.md).

use std::time::Duration;

use super::{DirectMachine, StoreGeneration};
use crate::ids::ClockTime;

/// Time between the turns of two entries. It is longer than the store takes to answer, and short
/// enough that 1,300 entries have had theirs within half a minute.
const TURN_TIME: Duration = Duration::from_millis(20);

impl DirectMachine {
    /// Returns the time from a restore of the store to this entry's turn to write lost records.
    pub fn restore_delay(&self) -> Duration {
        let own = &self.settings.name;
        let before = self.peers.names().filter(|peer| *peer < own).count();
        TURN_TIME.saturating_mul(u32::try_from(before).unwrap_or(u32::MAX))
    }

    pub(super) fn store_restored(&mut self, now: ClockTime, generation: StoreGeneration) {
        if self.authority.store_restored(now, generation) {
            self.planner.forget_orders();
        }
        if let Some(usage) = &mut self.usage {
            usage.store_restored(now, generation);
        }
        if let Some(scale) = &mut self.scale {
            scale.store_restored(now, generation);
        }
    }
}
