//! Selection of the sides that an entry links to, as linking to all would cost too much.
//!
//! See [docs/CAPACITY.md](../docs/CAPACITY.md).

use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{Hash, Hasher},
};

use siphasher::sip::SipHasher13;

use crate::{
    fold::FleetView,
    ids::{SideId, VmId},
    record::TargetOffer,
};

/// Returns the sides that the entry on `vm` links to: for each route, the `limit` sides
/// that rank highest by a hash of both names (rendezvous hashing).
///
/// Entries select independently, so links spread evenly, and a side that attaches or
/// detaches changes the selection of few entries.
pub fn select_sides(view: &FleetView, vm: &VmId, limit: usize) -> BTreeSet<SideId> {
    let mut routes: BTreeMap<&str, Vec<(u64, &SideId)>> = BTreeMap::new();
    for (side, state) in view.sides.iter().filter(|(_, state)| !state.detached) {
        let rank = hash_rank(vm, side);
        for description in &state.attachment.targets {
            let route = match &description.offer {
                TargetOffer::Engine { model, .. } => model,
                TargetOffer::Service { service, .. } => service,
            };
            let ranked = routes.entry(route).or_default();
            if ranked.last() != Some(&(rank, side)) {
                ranked.push((rank, side));
            }
        }
    }
    let mut selected = BTreeSet::new();
    for ranked in routes.values_mut() {
        ranked.sort_unstable();
        selected.extend(ranked.iter().rev().take(limit).map(|(_, side)| (*side).clone()));
    }
    selected
}

fn hash_rank(vm: &str, side: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    vm.hash(&mut hasher);
    side.hash(&mut hasher);
    hasher.finish()
}
