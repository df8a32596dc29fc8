//! Draws the engines that a decision compares where a service has very many.
//!
//! It serves fleets of hundreds of entries, each with a small part of a core: a decision that
//! compares thousands of engines takes longer than the request itself. The best of a few dozen
//! drawn ones is nearly the best of all, and entries that know the same reports do not all find the
//! same one.

use rand::{RngExt, rngs::SmallRng};
use smallvec::SmallVec;

use super::target::TargetState;
use crate::ids::DataCentreId;

/// Largest number of engines of a stage that a decision compares.
const MAX_COMPARED: usize = 64;
/// Number of them that are kept for engines in other data centres, for the case that the local
/// ones are busy.
const REMOTE_COMPARED: usize = 16;

pub(super) type ComparedEngines<'a> = SmallVec<[&'a TargetState; 32]>;

/// Returns all engines, or a random part of many that prefers those of a data centre.
pub(super) fn draw_compared<'a>(
    rng: &mut SmallRng,
    engines: ComparedEngines<'a>,
    data_centre: &DataCentreId,
) -> ComparedEngines<'a> {
    if engines.len() <= MAX_COMPARED {
        return engines;
    }
    let is_local = |state: &&TargetState| state.target.data_centre == *data_centre;
    let (mut local, mut remote): (ComparedEngines<'_>, ComparedEngines<'_>) =
        engines.into_iter().partition(is_local);
    let local_count = (MAX_COMPARED - REMOTE_COMPARED.min(remote.len())).min(local.len());
    draw(rng, &mut local, local_count);
    draw(rng, &mut remote, MAX_COMPARED - local_count);
    local.extend(remote);
    local
}

/// Keeps a random part.
fn draw(rng: &mut SmallRng, engines: &mut ComparedEngines<'_>, count: usize) {
    for position in 0..count.min(engines.len()) {
        let drawn = rng.random_range(position..engines.len());
        engines.swap(position, drawn);
    }
    engines.truncate(count);
}
