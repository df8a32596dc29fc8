//! A short request must not decode where a long prompt is about to be prefilled.
//!
//! Its own prompt passes the long one by its priority, so the estimate of its end did not see
//! the long prompt, beside which an engine decodes many times slower.

mod support;

use std::time::Duration;

use sapphirewell::{
    entry::{EntryAction, EntryEvent, EntryMachine, EntrySettings, PlacementPolicy},
    frame::{EntryFrame, SideFrame, TargetLoad},
    ids::TargetId,
    operator,
    record::{LogRecord, SideAttachment, TargetDescription, TargetOffer},
    request::CallerRequest,
};
use serde_json::json;
use support::MemoryLog;
use yare::parameterized;

const CUSTOMER: &str = "c";

/// Returns the load of an engine that decodes a token in 20 ms, or in 130 ms beside prefill.
fn load(target: &str, inter_token_ms: f32, waiting_tokens: &[(u8, u64)]) -> TargetLoad {
    serde_json::from_value(json!({
        "target": target, "role": "mixed", "accepting": true,
        "waiting_tokens": waiting_tokens, "waiting": 0, "running": waiting_tokens.len(),
        "free_pieces": 400, "prefill_rate": 6000.0, "token_gap_ms": inter_token_ms,
        "mixed_gap_ms": 130.0, "call_ms": 20.0, "prefixes": null,
        "prompt_total": 0, "output_total": 0,
    }))
    .unwrap()
}

/// Places one request of `max_output_tokens` and returns its target.
fn place(loads: Vec<TargetLoad>, max_output_tokens: u32) -> TargetId {
    let description = |load: &TargetLoad| TargetDescription {
        target: load.target.clone(),
        offer: TargetOffer::Engine { model: "m".to_owned(), kv_pages: 400 },
    };
    let mut log = MemoryLog::default();
    let contract = support::contract(CUSTOMER, 1_000_000);
    log.append(&operator::publish_record("first".into(), 0, contract));
    log.append(&LogRecord::Attach(SideAttachment {
        side: "side".into(),
        instance: 1,
        vm: "vm".into(),
        data_centre: "dc".into(),
        address: "127.0.0.1:1".to_owned(),
        targets: loads.iter().map(description).collect(),
    }));
    let fleet = log.fold();
    let settings = EntrySettings { instance: 1, policy: PlacementPolicy::EarliestEnd, seed: 1 };
    let mut entry = EntryMachine::new(settings);
    let mut request =
        CallerRequest::from_text(CUSTOMER.into(), "note".into(), None, "short prompt".into());
    request.prompt_tokens = 400;
    request.max_output_tokens = max_output_tokens;
    let id = entry.next_id();
    let mut actions = Vec::new();
    for event in [
        EntryEvent::LinkUp { side: "side".into() },
        EntryEvent::Frame { side: "side".into(), frame: SideFrame::Load(loads) },
        EntryEvent::Submit { id, request: Box::new(request) },
    ] {
        entry.step(Duration::from_secs(1), fleet.view(), event, &mut actions);
    }
    let placed = actions.iter().find_map(|action| match action {
        EntryAction::Send { frame: EntryFrame::Place(place), .. } => Some(place.target.clone()),
        _ => None,
    });
    placed.expect("the request is placed")
}

#[parameterized(
    long_prompt_of_a_lower_priority = { &[(9, 20_000)], 22.0, "idle" },
    much_slower_engine_without_prompts = { &[(9, 2_000)], 120.0, "busy" },
    nothing_waits = { &[], 22.0, "busy" },
)]
fn a_short_request_is_placed_where_it_ends_first(
    waiting: &[(u8, u64)],
    idle_ms: f32,
    expected: &str,
) {
    let loads = vec![load("busy", 20.0, waiting), load("idle", idle_ms, &[])];
    assert_eq!(*place(loads, 40), *expected);
}
