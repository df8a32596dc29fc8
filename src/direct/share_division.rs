//! Division of a service's room: priorities in their order, max-min fair within one.
//!
//! It serves loads in which customers of several priorities together ask for more than there is.
//! See [docs/design/shares.md](../../docs/design/shares.md).

/// Work at a service's targets: the time that requests need there without waiting, in seconds for
/// each second.
pub type WorkRate = f32;

/// Part of the room that customers keep in proportion to what they usually ask for, so that
/// large ones are served at least half as often as all.
pub(super) const USUAL_PART: f32 = 0.5;
/// Part of what a customer would get in proportion to its present work that it gets at least. It
/// is more than a quarter, so that neither a customer whose work grows nor one of a low priority
/// is starved.
const PRESENT_PART: f32 = 0.3;
/// Largest number of halvings in the search for the level of equal shares.
const LEVEL_STEPS: usize = 32;

/// What a customer asks for, now and usually.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CustomerDemand {
    /// Work that it offers.
    pub offered: WorkRate,
    /// Its part of what all customers usually offer, from 0 to 1.
    pub usual_part: f32,
}

/// What the customers of one priority get.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LevelGrant {
    /// Work that each of them is granted, in their order.
    pub granted: Vec<WorkRate>,
    /// Which part of their work targets reach only with a higher priority, if there is such a part.
    pub raise: Option<LevelRaise>,
}

/// Part of the work of a priority that higher ones leave no room for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelRaise {
    /// Index of the priority with which targets reach it: the highest that does not get all that
    /// it asks for.
    pub level: usize,
    /// Part of the work, from 0 to 1.
    pub part: f32,
}

/// Divides room among customers by priority, the highest first, and returns what each priority is
/// granted.
///
/// A priority gets what the higher ones leave, and max-min fair shares divide that. So that none
/// is starved, each gets at least [`PRESENT_PART`] of what the highest one gets, relative to what
/// they offer, and each customer that part of what it would get in proportion to what it offers.
pub fn divide_levels(levels: &[Vec<CustomerDemand>], room: WorkRate) -> Vec<LevelGrant> {
    let offers: Vec<WorkRate> = levels.iter().map(|demands| offered(demands)).collect();
    let all: WorkRate = offers.iter().sum();
    let first = offers.first().copied().unwrap_or_default();
    let part_of = |offered: WorkRate| (room / offered.max(f32::MIN_POSITIVE)).min(1.0);
    let kept_part = PRESENT_PART * part_of(first + PRESENT_PART * (all - first));
    let customer_part = PRESENT_PART * part_of(all);
    let (mut left, mut higher, mut full) = (room, 0.0, None);
    let mut grants = Vec::with_capacity(levels.len());
    for (level, (demands, own)) in levels.iter().zip(offers).enumerate() {
        let kept_below = kept_part * (all - higher - own).max(0.0);
        let level_room = (left - kept_below).clamp(0.0, own);
        let reached = (room - higher).max(0.0);
        let unreached = (kept_part * own - reached).max(0.0);
        let part = unreached / own.max(f32::MIN_POSITIVE);
        let granted = divide_level(demands, level_room, customer_part);
        let raise = full.filter(|_| part > 0.0).map(|level| LevelRaise { level, part });
        grants.push(LevelGrant { granted, raise });
        if level_room < own {
            full.get_or_insert(level);
        }
        left -= level_room;
        higher += own;
    }
    grants
}

/// Divides room among customers of one priority, and returns what each is granted, in their order.
///
/// Shares are max-min fair: nobody gets more than it offers, and what one leaves goes to the
/// others in equal parts. Half of the room is divided in proportion to what customers usually offer
/// first, as far as they still offer it, and nobody gets less than [`PRESENT_PART`] of what it would
/// get in proportion to what it offers.
pub fn divide_room(demands: &[CustomerDemand], room: WorkRate) -> Vec<WorkRate> {
    divide_level(demands, room, 0.0)
}

/// The same, where each customer keeps a part of what it offers at least.
fn divide_level(demands: &[CustomerDemand], room: WorkRate, kept_part: f32) -> Vec<WorkRate> {
    let present_part =
        (PRESENT_PART * room / offered(demands).max(f32::MIN_POSITIVE)).max(kept_part);
    let granted = |demand: &CustomerDemand, level: WorkRate| {
        let usual = room * USUAL_PART * demand.usual_part;
        let present = present_part * demand.offered;
        level.max(usual).max(present).min(demand.offered)
    };
    let total = |level| demands.iter().map(|demand| granted(demand, level)).sum::<WorkRate>();
    let (mut low, mut high) = (0.0, demands.iter().map(|d| d.offered).fold(0.0, WorkRate::max));
    if total(high) > room {
        for _ in 0..LEVEL_STEPS {
            let middle = (low + high) / 2.0;
            if total(middle) > room { high = middle } else { low = middle }
        }
        high = low;
    }
    demands.iter().map(|demand| granted(demand, high)).collect()
}

fn offered(demands: &[CustomerDemand]) -> WorkRate {
    demands.iter().map(|demand| demand.offered).sum()
}
