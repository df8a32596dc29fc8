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
const ESTIMATE_LIFETIME: Duration = Duration::from_millis(1500);

/// Index of a target in the table.
pub(crate) type EstimateIndex = usize;

/// Belief about one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetEstimate {
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
    /// Memory placed since the report, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
    #[serde(rename = "added_pieces")]
    pub added_pages: u32,
    #[serde(skip)]
    prefixes: HashSet<PrefixHash>,
}

/// Beliefs about all targets.
#[derive(Debug, Clone, Default, Serialize)]
pub struct EstimateTable {
    targets: Vec<TargetEstimate>,
    #[serde(skip)]
    by_name: HashMap<TargetId, EstimateIndex>,
    #[serde(skip)]
    by_route: BTreeMap<String, Vec<EstimateIndex>>,
    #[serde(skip)]
    by_prefix: HashMap<PrefixHash, Vec<EstimateIndex>>,
}

impl TargetEstimate {
    /// Tells whether the target may be chosen at `now`.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        self.linked && self.load.accepting && now <= self.received + ESTIMATE_LIFETIME
    }

    /// Tells whether the cache is believed to hold a prefix.
    pub fn has_prefix(&self, prefix: PrefixHash) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns the prompt tokens placed since the report that are read before a priority.
    pub fn added_tokens_ahead(&self, priority: u8) -> u64 {
        let before = self.added_tokens.iter().filter(|(other, _)| *other <= priority);
        before.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the free memory, in pages of [`crate::request::KV_PAGE_TOKENS`] tokens.
    pub fn free_pages(&self) -> u32 {
        self.load.free_pages.saturating_sub(self.added_pages)
    }
}

impl EstimateTable {
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
            let index = self.find_or_insert(side, &description.offer, &load);
            if let Some(prefixes) = &load.prefixes {
                self.update_prefixes(index, prefixes);
            }
            let estimate = &mut self.targets[index];
            estimate.side = side.clone();
            estimate.load = load;
            estimate.received = now;
            estimate.linked = true;
            estimate.added_tokens.clear();
            estimate.added = 0;
            estimate.added_pages = 0;
        }
    }

    /// Stops the choice of a side's targets until it reports again.
    pub fn unlink(&mut self, side: &SideId) {
        for estimate in self.targets.iter_mut().filter(|estimate| estimate.side == *side) {
            estimate.linked = false;
        }
    }

    /// Counts work that was placed after the newest report.
    pub fn add(&mut self, target: &TargetId, priority: u8, tokens: u32, kv_pages: u32) {
        if let Some(index) = self.by_name.get(target) {
            let estimate = &mut self.targets[*index];
            estimate.added_tokens.push((priority, tokens));
            estimate.added += 1;
            estimate.added_pages += kv_pages;
        }
    }

    /// Stops the choice of a target until its next report.
    pub fn refuse(&mut self, target: &TargetId) {
        if let Some(index) = self.by_name.get(target) {
            self.targets[*index].load.accepting = false;
        }
    }

    /// Returns a target's estimate.
    pub fn get(&self, target: &str) -> Option<&TargetEstimate> {
        self.by_name.get(target).map(|index| &self.targets[*index])
    }

    /// Returns all estimates.
    pub fn iter(&self) -> impl Iterator<Item = &TargetEstimate> {
        self.targets.iter()
    }

    pub(crate) fn at(&self, index: EstimateIndex) -> &TargetEstimate {
        &self.targets[index]
    }

    pub(crate) fn route(&self, route: &str) -> &[EstimateIndex] {
        self.by_route.get(route).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn holders(&self, prefix: PrefixHash) -> &[EstimateIndex] {
        self.by_prefix.get(&prefix).map_or(&[], Vec::as_slice)
    }

    fn find_or_insert(
        &mut self,
        side: &SideId,
        offer: &TargetOffer,
        load: &TargetLoad,
    ) -> EstimateIndex {
        if let Some(index) = self.by_name.get(&load.target) {
            return *index;
        }
        let index = self.targets.len();
        self.targets.push(TargetEstimate {
            side: side.clone(),
            load: load.clone(),
            offer: offer.clone(),
            received: ClockTime::ZERO,
            linked: true,
            added_tokens: SmallVec::new(),
            added: 0,
            added_pages: 0,
            prefixes: HashSet::new(),
        });
        self.by_name.insert(load.target.clone(), index);
        self.by_route.entry(route_name(offer).to_owned()).or_default().push(index);
        index
    }

    fn update_prefixes(&mut self, index: EstimateIndex, prefixes: &[PrefixHash]) {
        let fresh: HashSet<PrefixHash> = prefixes.iter().copied().collect();
        let estimate = &mut self.targets[index];
        if estimate.prefixes == fresh {
            return;
        }
        let known = std::mem::replace(&mut estimate.prefixes, fresh.clone());
        let mut lost: Vec<PrefixHash> = known.difference(&fresh).copied().collect();
        lost.sort_unstable();
        for lost in &lost {
            if let Some(holders) = self.by_prefix.get_mut(lost) {
                holders.retain(|holder| *holder != index);
                if holders.is_empty() {
                    self.by_prefix.remove(lost);
                }
            }
        }
        for gained in prefixes.iter().filter(|prefix| !known.contains(prefix)) {
            let holders = self.by_prefix.entry(*gained).or_default();
            if !holders.contains(&index) {
                holders.push(index);
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
