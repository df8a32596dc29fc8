//! Estimated load of targets: their sides' newest reports plus the work placed since.

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

/// Maximum age of a load report that placement relies on.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// Index of a target in an [`EstimateTable`].
pub(crate) type EstimateIndex = usize;

/// Estimated load of one target.
#[derive(Debug, Clone, Serialize)]
pub struct TargetEstimate {
    /// Side in front of the target.
    pub side: SideId,
    /// Newest load report.
    pub load: TargetLoad,
    /// Model or service that the target serves.
    pub offer: TargetOffer,
    /// Local time at which the newest report arrived.
    pub received: ClockTime,
    /// Whether the link to the side is up.
    pub linked: bool,
    /// Prompt tokens placed since the report, with the priority of each request.
    pub added_tokens: SmallVec<[(u8, u32); 4]>,
    /// Number of requests placed since the report.
    pub added: u32,
    /// KV cache memory placed since the report, in pages of
    /// [`crate::request::KV_PAGE_TOKENS`] tokens.
    #[serde(rename = "added_pieces")]
    pub added_pages: u32,
    #[serde(skip)]
    prefixes: HashSet<PrefixHash>,
}

/// Load estimates of all known targets, indexed by name, route and cached prefix.
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
    /// Returns whether the target may be chosen at `now`.
    pub fn is_usable(&self, now: ClockTime) -> bool {
        self.linked && self.load.accepting && now <= self.received + MAX_REPORT_AGE
    }

    /// Returns whether the newest report lists a prefix as cached.
    pub fn has_prefix(&self, prefix: PrefixHash) -> bool {
        self.prefixes.contains(&prefix)
    }

    /// Returns the prompt tokens placed since the report that run before a new request of a
    /// priority.
    pub fn added_tokens_ahead(&self, priority: u8) -> u64 {
        let before = self.added_tokens.iter().filter(|(other, _)| *other <= priority);
        before.map(|(_, tokens)| u64::from(*tokens)).sum()
    }

    /// Returns the free KV cache memory less what was placed since the report, in pages of
    /// [`crate::request::KV_PAGE_TOKENS`] tokens.
    pub fn free_pages(&self) -> u32 {
        self.load.free_pages.saturating_sub(self.added_pages)
    }
}

impl EstimateTable {
    /// Replaces the estimates of a side's targets by its new load report.
    pub fn apply_report(
        &mut self,
        now: ClockTime,
        view: &FleetView,
        side: &SideId,
        loads: Vec<TargetLoad>,
    ) {
        let Some(side_state) = view.sides.get(side) else { return };
        for load in loads {
            let description =
                side_state.attachment.targets.iter().find(|d| d.target == load.target);
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

    /// Excludes a side's targets from placement until its next report.
    pub fn mark_unlinked(&mut self, side: &SideId) {
        for estimate in self.targets.iter_mut().filter(|estimate| estimate.side == *side) {
            estimate.linked = false;
        }
    }

    /// Adds a request that was placed after the newest report.
    pub fn add_placed(&mut self, target: &TargetId, priority: u8, tokens: u32, kv_pages: u32) {
        if let Some(index) = self.by_name.get(target) {
            let estimate = &mut self.targets[*index];
            estimate.added_tokens.push((priority, tokens));
            estimate.added += 1;
            estimate.added_pages += kv_pages;
        }
    }

    /// Excludes a target from placement until its next report.
    pub fn stop_accepting(&mut self, target: &TargetId) {
        if let Some(index) = self.by_name.get(target) {
            self.targets[*index].load.accepting = false;
        }
    }

    /// Returns the estimate of a target, or `None` before its first report.
    pub fn get(&self, target: &str) -> Option<&TargetEstimate> {
        self.by_name.get(target).map(|index| &self.targets[*index])
    }

    /// Iterates over all estimates in the order of the targets' first reports.
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
        let current: HashSet<PrefixHash> = prefixes.iter().copied().collect();
        let estimate = &mut self.targets[index];
        if estimate.prefixes == current {
            return;
        }
        let previous = std::mem::replace(&mut estimate.prefixes, current.clone());
        let mut evicted: Vec<PrefixHash> = previous.difference(&current).copied().collect();
        evicted.sort_unstable();
        for prefix in &evicted {
            if let Some(holders) = self.by_prefix.get_mut(prefix) {
                holders.retain(|holder| *holder != index);
                if holders.is_empty() {
                    self.by_prefix.remove(prefix);
                }
            }
        }
        for added in prefixes.iter().filter(|prefix| !previous.contains(prefix)) {
            let holders = self.by_prefix.entry(*added).or_default();
            if !holders.contains(&index) {
                holders.push(index);
            }
        }
    }
}

/// Returns the name of the model or service that a target serves.
pub(crate) fn route_name(offer: &TargetOffer) -> &str {
    match offer {
        TargetOffer::Engine { model, .. } => model,
        TargetOffer::Service { service, .. } => service,
    }
}

/// Returns whether an engine of this role runs prefill.
pub(crate) fn runs_prefill(role: EngineRole) -> bool {
    matches!(role, EngineRole::Prefill | EngineRole::Mixed)
}

/// Returns whether an engine of this role runs decode.
pub(crate) fn runs_decode(role: EngineRole) -> bool {
    matches!(role, EngineRole::Decode | EngineRole::Mixed)
}
