//! What an entry does after the store was restored from an older copy, which lacks the last
//! records. See [docs/design/platform.md](../../docs/design/platform.md).

use super::{DirectMachine, StoreGeneration};
use crate::ids::ClockTime;

impl DirectMachine {
    pub(super) fn store_restored(&mut self, now: ClockTime, generation: StoreGeneration) {
        if self.authority.store_restored(now, generation) {
            self.planner.reset();
        }
    }
}
