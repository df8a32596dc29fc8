//! The store comes back from an older copy after an entry has ordered an engine.

use std::{
    collections::HashMap,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Context, Verdict,
    entry::{Entry, Ports},
    load::{Load, prompt},
    runner::{Handles, Order, Profile, Runner},
    store::Store,
};

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-a","host":"front.example","path_prefix":"/a/","kind":"streaming","timeout_ms":12000,"target_latency_ms":9000,"priority":1,"service":"llm","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":500}],"services":[{"name":"llm","health_path":"/health","max_connections":180,"protocol":"h1","tls":false,"engine":{"slots":12,"kv_capacity_tokens":400000,"token_kv_bytes":163840,"link_mbps":1500000.0,"moves":true,"backups":true,"stride":12,"most":12,"handle_ttl_s":5.0,"switch_s":3.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(600);
/// Time from the copy to the claim that it lacks.
const COPY_MARGIN: Duration = Duration::from_millis(200);
/// Bound `lease_ms` of the settings.
const LEASE: Duration = Duration::from_secs(3);

fn engine(id: &'static str, stage: &'static str, tokens_per_ms: u64) -> Profile {
    let (slots, gap) = (12, Duration::from_millis(100));
    Profile { id, service: "llm", stage, slots, tokens_per_ms, gap, call: Duration::ZERO }
}

pub fn play(context: &Context) -> Verdict {
    let record = &context.record;
    let store = Store::open(record);
    let handles = Handles::default();
    store.write("keyed.op", "config", CONFIG.as_bytes());
    let profiles = [
        engine("i-1", "decode", 40),
        engine("i-2", "decode", 40),
        engine("i-3", "decode", 40),
        engine("i-4", "prefill", 20),
    ];
    let engines: Vec<Runner> = profiles
        .into_iter()
        .map(|profile| Runner::open(profile, &store, &handles, record))
        .collect();
    let ports = Ports::find(2);
    let new =
        |name, number| Entry::new(name, number, ports, &[1, 2], &store, &context.folder, record);
    let (mut first, mut second) = (new("front-a-1", 1), new("front-b-1", 2));
    if !second.start(Duration::from_secs(5)) {
        return Verdict::CannotRun("front-b-1 does not get ready".to_owned());
    }
    thread::sleep(Duration::from_millis(6500));
    // Planned work: a machine is added.
    if !first.start(Duration::from_secs(5)) {
        return Verdict::CannotRun("front-a-1 does not get ready".to_owned());
    }
    let fronts = [first.front(), second.front()];
    let long = Duration::from_secs(12);
    record.line("clients send long prompts");
    let prompts =
        Load::start(14, &fronts, Duration::ZERO, move || prompt("/a/", 6000, 2, long), |_, _| {});
    let ordered = wait_for(Duration::from_secs(25), || !orders(&engines).is_empty());
    drop(prompts);
    if !ordered {
        return Verdict::CannotRun("no entry orders an engine".to_owned());
    }
    thread::sleep(Duration::from_millis(300));
    if context.trouble {
        let left = Instant::now();
        store.leave();
        thread::sleep(AWAY);
        // The copy is from just before the claim.
        let Some(claimed) = store.first_written("keyed.claims") else {
            return Verdict::CannotRun("no entry claims the engines".to_owned());
        };
        store.come_back(left, left - claimed + COPY_MARGIN);
        store.write("keyed.op", "config", CONFIG.as_bytes());
        engines.iter().for_each(|engine| {
            engine.register();
        });
    }
    record.line("clients send short prompts with long answers");
    let answers =
        Load::start(44, &fronts, Duration::ZERO, move || prompt("/a/", 64, 30, long), |_, _| {});
    wait_for(Duration::from_secs(55), || fault(&engines).is_some());
    drop(answers);
    let holders: Vec<(u64, String)> =
        orders(&engines).iter().map(|order| (order.fence, order.holder.clone())).collect();
    record.line(&format!("orders by fence and holder: {holders:?}"));
    match fault(&engines) {
        Some(fault) => Verdict::Broken(fault),
        None => Verdict::Held,
    }
}

fn wait_for(time: Duration, is_done: impl Fn() -> bool) -> bool {
    let until = Instant::now() + time;
    while Instant::now() < until {
        if is_done() {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    is_done()
}

fn orders(engines: &[Runner]) -> Vec<Order> {
    engines.iter().flat_map(Runner::orders).collect()
}

/// Checks rule ONE for the orders that reached each engine. None of the entries was frozen or cut
/// off.
fn fault(engines: &[Runner]) -> Option<String> {
    for engine in engines {
        let orders = engine.orders();
        let mut holders: HashMap<u64, &str> = HashMap::new();
        for order in &orders {
            let holder = holders.entry(order.fence).or_insert(&order.holder);
            if *holder != order.holder {
                return Some(format!(
                    "{} got orders of two holders, {holder} and {}, with one fencing token, {}",
                    engine.id(),
                    order.holder,
                    order.fence
                ));
            }
        }
        for pair in orders.windows(2) {
            let [before, after] = pair else { continue };
            if after.fence < before.fence {
                return Some(format!(
                    "{} got fencing token {} after {}",
                    engine.id(),
                    after.fence,
                    before.fence
                ));
            }
            if after.holder != before.holder && after.at < before.at + LEASE {
                return Some(format!("{} got orders of two holders within a lease", engine.id()));
            }
        }
    }
    None
}
