//! What an entry believes about targets, from their sides' load reports.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use serde::Serialize;
use smallvec::SmallVec;

use crate::{
    fold::FleetView,
    frame::TargetLoad,
    ids::{ClockTime, PrefixHash, SideId, TargetId},
    record::{EngineRole, TargetOffer},
};

/// Age at which a report is no longer believed.
const BELIEF_LIFETIME: Duration = Duration::from_millis(1500);

/// Index of a target in the table.
pub(crate) type BeliefSlot = usize;

/// Belief about one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetBelief {
    /// Its side.
    pub side: SideId,
    /// The newest report.
    pub load: TargetLoad,
    /// What it serves.
    pub offer: TargetOffer,
    /// When the report arrived.
    pub received: ClockTime,
    /// Whether the link to the side works.
    pub linked: bool,
    /// Prompt tokens placed since the report.
    pub added_tokens: SmallVec<[(u8, u32); 4]>,
    /// Requests placed since the report.
    pub added: u32,
    /// Memory placed since the report, in pieces.
    pub added_pieces: u32,
    #[serde(skip)]
    prefixes: HashSet<PrefixHash>,
}

/// Beliefs about all targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct BeliefTable {
    targets: Vec<TargetBelief>,
    #[serde(skip)]
    by_name: HashMap<TargetId, BeliefSlot>,
    #[serde(skip)]
    by_route: BTreeMap<String, Vec<BeliefSlot>>,
    #[serde(skip)]
    by_prefix: HashMap<PrefixHash, Vec<BeliefSlot>>,
}

impl TargetBelief {
    /// Tells whether the target may be chosen at `now`.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        self.linked && self.load.accepting && now <= self.received + BELIEF_LIFETIME
    }

    /// Tells whether the cache is believed to hold a prefix.
    pub fn has_prefix(&self, prefix: PrefixHash) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns the prompt tokens placed since the report that are read before a priority.
    pub fn added_before(&self, priority: u8) -> u64 {
        let before = self.added_tokens.iter().filter(|(other, _)| *other <= priority);
        before.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the free memory, in pieces.
    pub fn free_pieces(&self) -> u32 {
        self.load.free_pieces.saturating_sub(self.added_pieces)
    }
}

impl BeliefTable {
    /// Takes in a side's report.
    pub fn report(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: &SideId,
        loads: Vec<TargetLoad>,
    ) {
        let Some(entry) = view.sides.get(side) else { return };
        for load in loads {
            let description = entry.attachment.targets.iter().find(|d| d.target == load.target);
            let Some(description) = description else { continue };
            let slot = self.slot(side, &description.offer, &load);
            if let Some(prefixes) = &load.prefixes {
                self.update_prefixes(slot, prefixes);
            }
            let belief = &mut self.targets[slot];
            belief.side = side.clone();
            belief.load = load;
            belief.received = now;
            belief.linked = true;
            belief.added_tokens.clear();
            belief.added = 0;
            belief.added_pieces = 0;
        }
    }

    /// Stops the choice of a side's targets until it reports again.
    pub fn unlink(&mut self, side: &SideId) {
        for belief in self.targets.iter_mut().filter(|belief| belief.side == *side) {
            belief.linked = false;
        }
    }

    /// Counts work that was placed after the newest report.
    pub fn add(&mut self, target: &TargetId, priority: u8, tokens: u32, pieces: u32) {
        if let Some(slot) = self.by_name.get(target) {
            let belief = &mut self.targets[*slot];
            belief.added_tokens.push((priority, tokens));
            belief.added += 1;
            belief.added_pieces += pieces;
        }
    }

    /// Stops the choice of a target until its next report.
    pub fn refuse(&mut self, target: &TargetId) {
        if let Some(slot) = self.by_name.get(target) {
            self.targets[*slot].load.accepting = false;
        }
    }

    /// Returns a target's belief.
    pub fn get(&self, target: &str) -> Option<&TargetBelief> {
        self.by_name.get(target).map(|slot| &self.targets[*slot])
    }

    /// Returns all beliefs.
    pub fn iter(&self) -> impl Iterator<Item = &TargetBelief> {
        self.targets.iter()
    }

    pub(crate) fn at(&self, slot: BeliefSlot) -> &TargetBelief {
        &self.targets[slot]
    }

    pub(crate) fn route(&self, route: &str) -> &[BeliefSlot] {
        self.by_route.get(route).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn holders(&self, prefix: PrefixHash) -> &[BeliefSlot] {
        self.by_prefix.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn slot(&mut self, side: &SideId, offer: &TargetOffer, load: &TargetLoad) -> BeliefSlot {
        if let Some(slot) = self.by_name.get(&load.target) {
            return *slot;
        }
        let slot = self.targets.len();
        self.targets.push(TargetBelief {
            side: side.clone(),
            load: load.clone(),
            offer: offer.clone(),
            received: ClockTime::ZERO,
            linked: true,
            added_tokens: SmallVec::new(),
            added: 0,
            added_pieces: 0,
            prefixes: HashSet::new(),
        });
        self.by_name.insert(load.target.clone(), slot);
        self.by_route.entry(route_name(offer).to_owned()).or_default().push(slot);
        slot
    }

    fn update_prefixes(&mut self, slot: BeliefSlot, prefixes: &[PrefixHash]) {
        let fresh: HashSet<PrefixHash> = prefixes.iter().copied().collect();
        let belief = &mut self.targets[slot];
        if belief.prefixes == fresh {
            return;
        }
        let known = std::mem::replace(&mut belief.prefixes, fresh.clone());
        let mut lost: Vec<PrefixHash> = known.difference(&fresh).copied().collect();
        lost.sort_unstable();
        for lost in &lost {
            if let Some(holders) = self.by_prefix.get_mut(lost) {
                holders.retain(|holder| *holder != slot);
                if holders.is_empty() {
                    self.by_prefix.remove(lost);
                }
            }
        }
        for gained in prefixes.iter().filter(|prefix| !known.contains(prefix)) {
            let holders = self.by_prefix.entry(*gained).or_default();
            if !holders.contains(&slot) {
                holders.push(slot);
            }
        }
    }
}

/// Returns the name under which requests find a target: its model or service.
pub(crate) fn route_name(offer: &TargetOffer) -> &str {
    match offer {
        TargetOffer::Engine { model, .. } => model,
        TargetOffer::Service { service, .. } => service,
    }
}

/// Tells whether an engine of this role reads prompts.
pub(crate) fn reads_prompts(role: EngineRole) -> bool {
    matches!(role, EngineRole::Prefill | EngineRole::Mixed)
}

/// Tells whether an engine of this role generates.
pub(crate) fn generates(role: EngineRole) -> bool {
    matches!(role, EngineRole::Decode | EngineRole::Mixed)
}
