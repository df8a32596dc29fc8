//! Contracts, fleets and seeded request loads of the two deployments.
//!
//! docs/POLICY.md explains the sizes.

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

/// A deployment, with its own customers, kinds of request and fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Deployment {
    /// The deployment for highway assets.
    Highway,
    /// The deployment for honey growers.
    Honey,
}

/// One request of a load, as its caller sends it.
#[derive(Debug, Clone, PartialEq)]
pub struct OfferedRequest {
    /// Time at which it is sent, from the start of the load.
    pub at: Duration,
    /// Customer that sends it.
    pub customer: CustomerId,
    /// Name of its kind in the customer's contract.
    pub kind: Arc<str>,
    /// Whether it is a call to a plain service and not a completion on an engine.
    pub is_call: bool,
    /// Random part of the idempotency key, which also carries a time; `None` for kinds that are
    /// idempotent by themselves.
    pub key: Option<u64>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Limit on the output in tokens.
    pub max_output_tokens: u32,
    /// Number of the prefix among those that requests of one kind share.
    pub prefix_group: u64,
    /// Length of the shared prefix in tokens; 0 if it shares none.
    pub prefix_tokens: u32,
    /// Time from sending within which the response must be complete.
    pub deadline: Duration,
}

#[derive(Debug, Clone, Copy)]
struct KindSpec {
    name: &'static str,
    work: KindWork,
    deadline_ms: u64,
    idempotent: bool,
    /// Weights in the most prompt-heavy and in the most output-heavy mix.
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

/// Period in which the mix changes from prompt-heavy to output-heavy and back.
const MIX_PERIOD_SECONDS: f64 = 240.0;
/// Span of the load, as fractions of its duration, in which the newcomer's load surges.
const SURGE_SPAN: (f64, f64) = (0.4, 0.6);
/// Upper bound on the product of the kinds' and the customers' total weights.
///
/// Arrivals are drawn at this multiple of the rate and then thinned.
const MAX_WEIGHT_PRODUCT: f64 = 2.25;
/// Number of shared prefixes for each kind of a customer's requests.
const PREFIX_GROUPS: u64 = 12;
/// Fraction of requests that share a prefix.
const SHARED_PREFIX_RATIO: f64 = 0.6;
/// Running requests at which a decoding engine counts as efficiently used.
const EFFICIENT_BATCH: f64 = 24.0;
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
    /// Returns the contracts of all customers.
    pub fn contracts(self) -> Vec<CustomerContract> {
        self.customers().iter().map(|customer| contract(customer, self.kinds())).collect()
    }

    /// Returns the profiles of all engines.
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

    /// Returns the name of each runner of a plain service, and the service that it runs.
    pub fn services(self) -> Vec<(String, String)> {
        let service = match self {
            Deployment::Highway => "tickets",
            Deployment::Honey => "ledger",
        };
        (0..3).map(|index| (format!("{service}-{index}"), service.to_owned())).collect()
    }

    /// Returns the one-way delays between data centres and between callers and entries.
    pub fn delays(self) -> (Duration, Duration) {
        match self {
            Deployment::Highway => (Duration::from_micros(1500), Duration::from_millis(3)),
            Deployment::Honey => (Duration::from_micros(1500), Duration::from_millis(1)),
        }
    }

    /// Returns the base rate in requests per second, at which an ideal policy serves about 95% of
    /// the requests.
    pub fn rate(self) -> f64 {
        match self {
            Deployment::Highway => 15.0,
            Deployment::Honey => 15.0,
        }
    }

    /// Generates the requests of a load in order of time, with Poisson arrivals.
    ///
    /// Equal arguments give equal requests. `rate` is the base rate in requests per second; the
    /// mix of kinds and the surge raise it.
    pub fn requests(self, seed: u64, duration: Duration, rate: f64) -> Vec<OfferedRequest> {
        let mut rng = StdRng::seed_from_u64(seed);
        let phase: f64 = rng.random_range(0.0..1.0);
        let seconds = duration.as_secs_f64();
        let peak = rate * MAX_WEIGHT_PRODUCT;
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += -f64::ln(1.0 - rng.random_range(0.0..1.0)) / peak;
            if at >= seconds {
                return requests;
            }
            let prompt_heavy = prompt_heavy_ratio(at, phase);
            let surging = (SURGE_SPAN.0 * seconds..SURGE_SPAN.1 * seconds).contains(&at);
            if let Some(request) = self.sample_request(&mut rng, at, prompt_heavy, surging) {
                requests.push(request);
            }
        }
    }

    /// Returns the fraction of requests that a policy without any waste could serve.
    ///
    /// This is a fluid model of each time window. The cost of a request is in seconds of an
    /// engine of speed 1, with prefill and decode at the best rates of engines that do only one
    /// of them. The cheapest requests are served first, and up to 40 requests that do not fit
    /// are tried again in the next window. Calls always count as served.
    pub fn fluid_bound(self, requests: &[OfferedRequest], window: Duration) -> f64 {
        let capacity: f64 = ENGINE_SPEEDS.iter().sum::<f64>() * window.as_secs_f64();
        let window_count =
            requests.last().map_or(0, |r| r.at.as_millis() / window.as_millis() + 1) as usize;
        let mut costs = vec![Vec::new(); window_count + 1];
        for request in requests.iter().filter(|request| !request.is_call) {
            costs[(request.at.as_millis() / window.as_millis()) as usize].push(ideal_cost(request));
        }
        let offered = requests.len();
        let mut served = requests.iter().filter(|request| request.is_call).count();
        let mut deferred: Vec<f64> = Vec::new();
        for mut window_costs in costs {
            window_costs.append(&mut deferred);
            window_costs.sort_by(f64::total_cmp);
            let mut left = capacity;
            for cost in window_costs {
                if cost <= left {
                    left -= cost;
                    served += 1;
                } else if deferred.len() < 40 {
                    deferred.push(cost);
                }
            }
        }
        served as f64 / offered.max(1) as f64
    }

    /// Returns the fraction of the capacity of the deployment's first `engines` engines that
    /// requests use over `duration`, with prefill and decode at the best rates.
    pub fn load_share(
        self,
        requests: &[OfferedRequest],
        engines: usize,
        duration: Duration,
    ) -> f64 {
        let work = requests.iter().filter(|request| !request.is_call).map(ideal_cost);
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

    /// Samples one request, or returns `None` to thin the arrivals to the rate at this time.
    fn sample_request(
        self,
        rng: &mut StdRng,
        at: f64,
        prompt_heavy: f64,
        surging: bool,
    ) -> Option<OfferedRequest> {
        let weight =
            |kind: &KindSpec| kind.weights.0 * prompt_heavy + kind.weights.1 * (1.0 - prompt_heavy);
        let load =
            |customer: &CustomerSpec| customer.load * if surging { customer.surge } else { 1.0 };
        let kinds: f64 = self.kinds().iter().map(weight).sum();
        let customers: f64 = self.customers().iter().map(load).sum();
        if rng.random_range(0.0..MAX_WEIGHT_PRODUCT) > kinds * customers {
            return None;
        }
        let kind = pick_weighted(rng, self.kinds(), weight);
        let customer = pick_weighted(rng, self.customers(), load);
        let prefix_group = rng.random_range(0..PREFIX_GROUPS);
        let shares_prefix = rng.random_bool(SHARED_PREFIX_RATIO);
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
    /// Returns a prompt of the request's length, at four bytes per token, for the HTTP interface.
    ///
    /// Requests of one kind and prefix group start with the same text; `unique` makes the rest
    /// differ.
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

fn prompt_heavy_ratio(at: f64, phase: f64) -> f64 {
    let angle = std::f64::consts::TAU * (at / MIX_PERIOD_SECONDS + phase);
    (0.5 + 0.9 * angle.sin()).clamp(0.0, 1.0)
}

fn ideal_cost(request: &OfferedRequest) -> f64 {
    let prefill = f64::from(request.prompt_tokens) / PREFILL_TOKENS_PER_S;
    let token_time =
        (DECODE_STEP_BASE_S + DECODE_STEP_PER_RUN_S * EFFICIENT_BATCH) / EFFICIENT_BATCH;
    prefill + f64::from(request.max_output_tokens) * 0.695 * token_time
}

fn pick_weighted<'a, T>(rng: &mut StdRng, items: &'a [T], weight: impl Fn(&T) -> f64) -> &'a T {
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
