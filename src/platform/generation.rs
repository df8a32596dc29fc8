//! Generation of the store's content, which tells apart what was read before and after the store
//! was restored from an older copy.

use std::sync::Arc;

use hyper::header::{HeaderMap, HeaderName};
use tokio::sync::watch;

use crate::direct::StoreGeneration;

static STORE_ERA: HeaderName = HeaderName::from_static("store-era");

/// Highest generation that any call of this process has seen; clones share it.
///
/// All clients of a process share one, so that whichever call sees a restored store first tells
/// the others. `None` is a store that does not state its generation.
#[derive(Debug, Clone)]
pub struct GenerationWatch {
    highest: Arc<watch::Sender<Option<StoreGeneration>>>,
}

impl Default for GenerationWatch {
    fn default() -> GenerationWatch {
        GenerationWatch { highest: Arc::new(watch::Sender::new(None)) }
    }
}

impl GenerationWatch {
    /// Returns the highest generation that was seen.
    pub fn highest(&self) -> Option<StoreGeneration> {
        *self.highest.borrow()
    }

    /// Waits until a higher generation than this one was seen, and returns it.
    pub async fn wait_for_restore(&self, known: Option<StoreGeneration>) -> StoreGeneration {
        let mut generations = self.highest.subscribe();
        // `self` keeps the sender, so that the wait does not fail.
        match generations.wait_for(|highest| *highest > known).await {
            Ok(highest) => highest.unwrap_or_default(),
            Err(_) => std::future::pending().await,
        }
    }

    /// Records the generation that a response states, and returns whether it is the highest one
    /// seen so far. A response without one comes from no known generation.
    pub(super) fn observe(&self, stated: Option<StoreGeneration>) -> bool {
        let Some(stated) = stated else { return true };
        let raise = |highest: &mut Option<StoreGeneration>| {
            let rises = *highest < Some(stated);
            if rises {
                *highest = Some(stated);
            }
            rises
        };
        self.highest.send_if_modified(raise);
        self.highest() == Some(stated)
    }
}

/// Returns the generation that a response of the store states.
pub(super) fn stated_generation(headers: &HeaderMap) -> Option<StoreGeneration> {
    headers.get(&STORE_ERA)?.to_str().ok()?.trim().parse().ok()
}
