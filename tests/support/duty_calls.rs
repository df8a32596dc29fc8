//! Judges the calls of a duty as the platform does: one holder at a time.

use std::{collections::BTreeMap, time::Duration};

use sapphirewell::direct::OrderFencingToken;

/// Call that reached the platform.
#[derive(Debug, Clone)]
pub struct DutyCall {
    pub at: Duration,
    pub entry: usize,
    pub fence: OrderFencingToken,
    /// What the call is about. Each subject has a holder of its own.
    pub subject: String,
}

/// Panics if the platform would call the calls, in their order, those of two holders.
pub fn check_one_holder(calls: &[DutyCall], lease: Duration) {
    let mut subjects: BTreeMap<&str, Vec<&DutyCall>> = BTreeMap::new();
    for call in calls {
        subjects.entry(&call.subject).or_default().push(call);
    }
    for (subject, calls) in subjects {
        check_subject(subject, &calls, lease);
    }
}

fn check_subject(subject: &str, calls: &[&DutyCall], lease: Duration) {
    let mut holders: BTreeMap<OrderFencingToken, usize> = BTreeMap::new();
    let mut highest = 0;
    for (index, call) in calls.iter().enumerate() {
        let DutyCall { at, entry, fence, .. } = call;
        let holder = holders.entry(*fence).or_insert(*entry);
        assert_eq!(holder, entry, "{subject}: two with one token");
        assert!(*fence >= highest, "{subject}: lower token {fence} after {highest}");
        highest = *fence;
        let since = calls[..index].iter().rev().take_while(|earlier| earlier.at + lease > *at);
        let recent: Vec<usize> = since.map(|call| call.entry).collect();
        let other = recent.iter().position(|other| other != entry);
        let again = other.is_some_and(|other| recent[other..].contains(entry));
        assert!(!again, "{subject}: entries take turns at {at:?}");
    }
}
