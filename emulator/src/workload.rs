//! Seeded shifts of both deployments.
//!
//! The sizes and their reasons are on docs/POLICY.md.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sapphirewell::{
    contract::{CustomerContract, KindRoute, RequestKind},
    ids::CustomerId,
};
use strum::{Display, EnumString};

use crate::engine::{
    DECODE_STEP_BASE_S, DECODE_STEP_PER_RUN_S, EngineProfile, PREFILL_TOKENS_PER_S,
};

/// One of the two deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// Highway assets.
    Highway,
    /// Honey growers.
    Honey,
}

/// One request that a caller sends.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferedRequest {
    /// When it is sent, since the shift's start.
    pub at: Duration,
    /// The customer.
    pub customer: CustomerId,
    /// The kind.
    pub kind: Arc<str>,
    /// Whether it goes to a plain service.
    pub is_call: bool,
    /// Idempotency key for non-idempotent kinds, without its time.
    pub key: Option<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Longest output, in tokens.
    pub max_output_tokens: u32,
    /// Number of the shared prefix.
    pub prefix_group: u64,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
    /// Time allowed.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Copy)]
struct KindSpec {
    name: &'static str,
    work: KindWork,
    deadline_ms: u64,
    idempotent: bool,
    /// Weight while prompts dominate, and while outputs dominate.
    weights: (f64, f64),
}

#[derive(Debug, Clone, Copy)]
enum KindWork {
    Engine { prompt: (u32, u32), output: (u32, u32) },
    Service { service: &'static str },
}

#[derive(Debug, Clone, Copy)]
struct CustomerSpec {
    name: &'static str,
    share_ppm: u32,
    load: f64,
    surge: f64,
}

/// Seconds from one dominance of prompts to the next.
const SWING_SECONDS: f64 = 240.0;
/// Part of the shift in which the newcomer surges.
const SURGE: (f64, f64) = (0.4, 0.6);
/// Largest product of the kinds' and the customers' weights, for thinning.
const PEAK_FACTOR: f64 = 2.25;
/// Shared prefixes of one customer's kind.
const PREFIX_GROUPS: u64 = 12;
/// Part of requests that share a prefix.
const PREFIX_SHARE: f64 = 0.6;
/// Running requests at which a generating engine counts as well used.
const FULL_BATCH: f64 = 24.0;
const ENGINE_SPEEDS: [f64; 14] =
    [0.5, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.0, 1.1, 1.2, 1.4, 1.6, 1.8, 2.0];
const MODEL: &str = "assessor";

const HIGHWAY_KINDS: &[KindSpec] = &[
    KindSpec {
        name: "dossier",
        work: KindWork::Engine { prompt: (6000, 24_000), output: (200, 600) },
        deadline_ms: 20_000,
        idempotent: true,
        weights: (0.36, 0.06),
    },
    KindSpec {
        name: "note",
        work: KindWork::Engine { prompt: (300, 1200), output: (60, 150) },
        deadline_ms: 6_000,
        idempotent: true,
        weights: (0.40, 0.40),
    },
    KindSpec {
        name: "summary",
        work: KindWork::Engine { prompt: (500, 2000), output: (500, 1200) },
        deadline_ms: 50_000,
        idempotent: true,
        weights: (0.08, 0.70),
    },
    KindSpec {
        name: "ticket",
        work: KindWork::Service { service: "tickets" },
        deadline_ms: 3_000,
        idempotent: false,
        weights: (0.08, 0.08),
    },
    KindSpec {
        name: "lookup",
        work: KindWork::Service { service: "tickets" },
        deadline_ms: 2_000,
        idempotent: true,
        weights: (0.08, 0.08),
    },
];

const HONEY_KINDS: &[KindSpec] = &[
    KindSpec {
        name: "ledger-read",
        work: KindWork::Engine { prompt: (8000, 36_000), output: (100, 300) },
        deadline_ms: 30_000,
        idempotent: true,
        weights: (0.30, 0.05),
    },
    KindSpec {
        name: "label-check",
        work: KindWork::Engine { prompt: (200, 800), output: (30, 80) },
        deadline_ms: 4_000,
        idempotent: true,
        weights: (0.46, 0.40),
    },
    KindSpec {
        name: "advice",
        work: KindWork::Engine { prompt: (400, 1500), output: (400, 1100) },
        deadline_ms: 45_000,
        idempotent: true,
        weights: (0.08, 0.75),
    },
    KindSpec {
        name: "payout",
        work: KindWork::Service { service: "ledger" },
        deadline_ms: 3_000,
        idempotent: false,
        weights: (0.08, 0.08),
    },
    KindSpec {
        name: "balance",
        work: KindWork::Service { service: "ledger" },
        deadline_ms: 2_000,
        idempotent: true,
        weights: (0.08, 0.08),
    },
];

const HIGHWAY_CUSTOMERS: &[CustomerSpec] = &[
    CustomerSpec { name: "concession-north", share_ppm: 350_000, load: 0.35, surge: 1.0 },
    CustomerSpec { name: "concession-south", share_ppm: 300_000, load: 0.30, surge: 1.0 },
    CustomerSpec { name: "state-roads", share_ppm: 250_000, load: 0.25, surge: 1.0 },
    CustomerSpec { name: "newcomer", share_ppm: 100_000, load: 0.10, surge: 6.0 },
];

const HONEY_CUSTOMERS: &[CustomerSpec] = &[
    CustomerSpec { name: "upper-valley", share_ppm: 400_000, load: 0.40, surge: 1.0 },
    CustomerSpec { name: "lower-valley", share_ppm: 300_000, load: 0.30, surge: 1.0 },
    CustomerSpec { name: "bottlers", share_ppm: 200_000, load: 0.20, surge: 1.0 },
    CustomerSpec { name: "newcomer", share_ppm: 100_000, load: 0.10, surge: 6.0 },
];

impl Deployment {
    /// Returns the customers' contracts.
    pub fn contracts(self) -> Vec<CustomerContract> {
        self.customers().iter().map(|customer| contract(customer, self.kinds())).collect()
    }

    /// Returns the engines.
    pub fn engines(self) -> Vec<EngineProfile> {
        let profile = |(index, speed): (usize, &f64)| EngineProfile {
            name: format!("engine-{index}"),
            model: MODEL.to_owned(),
            kv_pages: 400,
            speed: *speed,
            checks_fence: index % 2 == 0,
        };
        ENGINE_SPEEDS.iter().enumerate().map(profile).collect()
    }

    /// Returns the plain services' runners and the service that each runs.
    pub fn services(self) -> Vec<(String, String)> {
        let service = match self {
            Deployment::Highway => "tickets",
            Deployment::Honey => "ledger",
        };
        (0..3).map(|index| (format!("{service}-{index}"), service.to_owned())).collect()
    }

    /// Returns the one-way delay between data centres and from callers.
    pub fn delays(self) -> (Duration, Duration) {
        match self {
            Deployment::Highway => (Duration::from_micros(1500), Duration::from_millis(3)),
            Deployment::Honey => (Duration::from_micros(1500), Duration::from_millis(1)),
        }
    }

    /// Returns requests a second at which a perfect policy serves about 95 of 100.
    pub fn rate(self) -> f64 {
        match self {
            Deployment::Highway => 15.0,
            Deployment::Honey => 15.0,
        }
    }

    /// Draws the requests of a shift, in order of time.
    pub fn requests(self, seed: u64, duration: Duration, rate: f64) -> Vec<OfferedRequest> {
        let mut rng = StdRng::seed_from_u64(seed);
        let phase: f64 = rng.random_range(0.0..1.0);
        let seconds = duration.as_secs_f64();
        let peak = rate * PEAK_FACTOR;
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += -f64::ln(1.0 - rng.random_range(0.0..1.0)) / peak;
            if at >= seconds {
                return requests;
            }
            let prompts = prompt_dominance(at, phase);
            let surging = (SURGE.0 * seconds..SURGE.1 * seconds).contains(&at);
            if let Some(request) = self.draw(&mut rng, at, prompts, surging) {
                requests.push(request);
            }
        }
    }

    /// Returns the part of requests that a policy could serve which wastes nothing.
    ///
    /// It treats each window of time as a fluid: work counts in seconds of an
    /// engine of speed 1, prompts and outputs at the best rates of engines that
    /// do only one of them, and the cheapest requests are served first. Work
    /// that does not fit may be served in the next window.
    pub fn fluid_bound(self, requests: &[OfferedRequest], window: Duration) -> f64 {
        let capacity: f64 = ENGINE_SPEEDS.iter().sum::<f64>() * window.as_secs_f64();
        let windows =
            requests.last().map_or(0, |r| r.at.as_millis() / window.as_millis() + 1) as usize;
        let mut costs = vec![Vec::new(); windows + 1];
        for request in requests.iter().filter(|request| !request.is_call) {
            costs[(request.at.as_millis() / window.as_millis()) as usize]
                .push(perfect_cost(request));
        }
        let offered = requests.len();
        let mut served = requests.iter().filter(|request| request.is_call).count();
        let mut carried: Vec<f64> = Vec::new();
        for mut fresh in costs {
            fresh.append(&mut carried);
            fresh.sort_by(f64::total_cmp);
            let mut left = capacity;
            for cost in fresh {
                if cost <= left {
                    left -= cost;
                    served += 1;
                } else if carried.len() < 40 {
                    carried.push(cost);
                }
            }
        }
        served as f64 / offered.max(1) as f64
    }

    /// Returns the part of some engines' time that requests take, at the best rates.
    ///
    /// The engines are the first `engines` ones of the deployment.
    pub fn load_share(
        self,
        requests: &[OfferedRequest],
        engines: usize,
        duration: Duration,
    ) -> f64 {
        let work = requests.iter().filter(|request| !request.is_call).map(perfect_cost);
        let speed: f64 = ENGINE_SPEEDS.iter().take(engines).sum();
        work.sum::<f64>() / (speed * duration.as_secs_f64())
    }

    fn kinds(self) -> &'static [KindSpec] {
        match self {
            Deployment::Highway => HIGHWAY_KINDS,
            Deployment::Honey => HONEY_KINDS,
        }
    }

    fn customers(self) -> &'static [CustomerSpec] {
        match self {
            Deployment::Highway => HIGHWAY_CUSTOMERS,
            Deployment::Honey => HONEY_CUSTOMERS,
        }
    }

    /// Draws one request; `None` thins the arrivals down to the rate at this time.
    fn draw(
        self,
        rng: &mut StdRng,
        at: f64,
        prompts: f64,
        surging: bool,
    ) -> Option<OfferedRequest> {
        let weight = |kind: &KindSpec| kind.weights.0 * prompts + kind.weights.1 * (1.0 - prompts);
        let load =
            |customer: &CustomerSpec| customer.load * if surging { customer.surge } else { 1.0 };
        let kinds: f64 = self.kinds().iter().map(weight).sum();
        let customers: f64 = self.customers().iter().map(load).sum();
        if rng.random_range(0.0..PEAK_FACTOR) > kinds * customers {
            return None;
        }
        let kind = pick(rng, self.kinds(), weight);
        let customer = pick(rng, self.customers(), load);
        let prefix_group = rng.random_range(0..PREFIX_GROUPS);
        let shares_prefix = rng.random_bool(PREFIX_SHARE);
        let (prompt_tokens, max_output_tokens, is_call) = match kind.work {
            KindWork::Engine { prompt, output } => {
                (rng.random_range(prompt.0..prompt.1), rng.random_range(output.0..output.1), false)
            }
            KindWork::Service { .. } => (30, 0, true),
        };
        let prefix_tokens = if shares_prefix { prompt_tokens / 4 / 256 * 256 } else { 0 };
        Some(OfferedRequest {
            at: Duration::from_secs_f64(at),
            customer: customer.name.into(),
            kind: kind.name.into(),
            is_call,
            key: (!kind.idempotent).then(|| rng.random()),
            prompt_tokens,
            max_output_tokens,
            prefix_group,
            prefix_tokens,
            deadline: Duration::from_millis(kind.deadline_ms),
        })
    }
}

impl OfferedRequest {
    /// Returns a text of the request's length for the HTTP interface.
    pub fn text(&self, unique: u64) -> String {
        let prefix = format!("{} group {:02} ", self.kind, self.prefix_group);
        let mut text = prefix.repeat(self.prefix_tokens as usize * 4 / prefix.len());
        let body = format!("{} request {unique:08} ", self.kind);
        while text.len() < self.prompt_tokens as usize * 4 {
            text.push_str(&body);
        }
        text.truncate(self.prompt_tokens as usize * 4);
        text
    }
}

fn contract(customer: &CustomerSpec, kinds: &[KindSpec]) -> CustomerContract {
    let kinds = kinds
        .iter()
        .enumerate()
        .map(|(index, kind)| RequestKind {
            name: kind.name.to_owned(),
            route: match kind.work {
                KindWork::Engine { prompt, output } => KindRoute::Engine {
                    model: MODEL.to_owned(),
                    max_prompt_tokens: prompt.1 + 16,
                    max_output_tokens: output.1,
                },
                KindWork::Service { service } => KindRoute::Service { service: service.to_owned() },
            },
            priority: if index == 1 { 0 } else { 1 },
            deadline_ms: kind.deadline_ms,
            idempotent: kind.idempotent,
        })
        .collect();
    CustomerContract {
        customer: customer.name.into(),
        share_ppm: customer.share_ppm,
        window_s: 86_400,
        kinds,
    }
}

fn prompt_dominance(at: f64, phase: f64) -> f64 {
    let angle = std::f64::consts::TAU * (at / SWING_SECONDS + phase);
    (0.5 + 0.9 * angle.sin()).clamp(0.0, 1.0)
}

fn perfect_cost(request: &OfferedRequest) -> f64 {
    let reading = f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_S;
    let token = (DECODE_STEP_BASE_S + DECODE_STEP_PER_RUN_S * FULL_BATCH) / FULL_BATCH;
    reading + f64::from(request.max_output_tokens) * 0.695 * token
}

fn pick<'a, T>(rng: &mut StdRng, items: &'a [T], weight: impl Fn(&T) -> f64) -> &'a T {
    let total: f64 = items.iter().map(&weight).sum();
    let mut left = rng.random_range(0.0..total);
    for item in items {
        left -= weight(item);
        if left < 0.0 {
            return item;
        }
    }
    &items[items.len() - 1]
}
