//! Parses scenarios in a small line-based language and runs them on the rig.
//!
//! The language is described in docs/SCENARIOS.md.

use std::{fmt, time::Duration};

use sapphirewell::record::EngineRole;
use winnow::{
    Parser,
    ascii::{dec_uint, float, space1},
    combinator::{alt, eof, opt, preceded, terminated},
    error::{ContextError, ErrMode},
    token::take_while,
};

use crate::{
    matrix,
    rig::{CallerState, LinkDirection, NodeId, Rig, RigFault, RigSettings, RolePolicy, TimedFault},
};

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// One parsed line of a scenario.
#[derive(Debug, Clone)]
pub enum ScenarioLine {
    /// Size of the fleet; the first line of a scenario if present, else a default applies.
    Fleet(FleetSize),
    /// Requests to send.
    Send(SentRequests),
    /// A fault or an operator's action to inject.
    Fault(TimedFault),
    /// Runs the rig until a simulated time.
    Run(Duration),
    /// Checks an expectation at this point of the run.
    Expect(Expectation),
}

/// Number of processes and targets in a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services' runners.
    pub services: usize,
}

/// Requests of one kind and customer, sent at equal intervals.
#[derive(Debug, Clone)]
pub struct SentRequests {
    at: Duration,
    count: u64,
    kind: String,
    customer: String,
    every: Duration,
}

/// Expectation about the run so far.
#[derive(Debug, Clone)]
pub enum Expectation {
    /// No rule was breached.
    NoBreach,
    /// No rule was breached, with every interrupted request counted as a breach.
    NoCut,
    /// A number of requests of a kind were answered completely and in time.
    Completed {
        /// The kind's name.
        kind: String,
        /// Whether `count` is a minimum rather than the exact number.
        at_least: bool,
        /// Expected number of requests.
        count: usize,
    },
    /// The plain services' effects number this many in total.
    Effects(u64),
}

/// Reason why a scenario failed, with its line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ScenarioError {
    /// The line doesn't parse.
    Syntax {
        /// Line number, from 1.
        line: usize,
    },
    /// An expectation was not met.
    NotMet {
        /// Line number, from 1.
        line: usize,
        /// Description of the observed state.
        seen: String,
    },
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ScenarioError::Syntax { line } => write!(f, "line {line}: not in the language"),
            ScenarioError::NotMet { line, seen } => write!(f, "line {line}: not met, {seen}"),
        }
    }
}

impl std::error::Error for ScenarioError {}

/// Parses a scenario into its lines, each with its line number from 1.
///
/// # Errors
/// Returns [`ScenarioError::Syntax`] for the first line that doesn't parse.
pub fn parse(text: &str) -> Result<Vec<(usize, ScenarioLine)>, ScenarioError> {
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.is_empty() {
            continue;
        }
        let number = index + 1;
        let parsed = terminated(scenario_line, eof).parse(line);
        lines.push((number, parsed.map_err(|_| ScenarioError::Syntax { line: number })?));
    }
    Ok(lines)
}

/// Parses and runs a scenario under one seed of the rig.
///
/// # Errors
/// Returns [`ScenarioError::Syntax`] for the first line that doesn't parse, else
/// [`ScenarioError::NotMet`] for the first expectation that isn't met.
pub fn run(text: &str, seed: u64) -> Result<(), ScenarioError> {
    let lines = parse(text)?;
    let size = lines.iter().find_map(|(_, line)| match line {
        ScenarioLine::Fleet(size) => Some(*size),
        _ => None,
    });
    let mut rig =
        build_fleet(size.unwrap_or(FleetSize { entries: 2, engines: 3, services: 2 }), seed);
    if lines.iter().any(|(_, line)| matches!(line, ScenarioLine::Expect(Expectation::NoCut))) {
        rig.expect_no_cuts();
    }
    let mut sent = 0;
    for (number, line) in lines {
        match line {
            ScenarioLine::Fleet(_) => {}
            ScenarioLine::Send(requests) => sent = send_requests(&mut rig, &requests, sent),
            ScenarioLine::Fault(fault) => rig.inject(fault),
            ScenarioLine::Run(end) => rig.run_until(end),
            ScenarioLine::Expect(expectation) => {
                if let Some(seen) = find_unmet(&rig, &expectation) {
                    return Err(ScenarioError::NotMet { line: number, seen });
                }
            }
        }
    }
    Ok(())
}

fn build_fleet(size: FleetSize, seed: u64) -> Rig {
    let base = matrix::fleet_settings(seed);
    Rig::new(RigSettings {
        entries: size.entries,
        engines: (0..size.engines).map(matrix::engine).collect(),
        services: (0..size.services)
            .map(|index| (format!("tickets-{index}"), "tickets".to_owned()))
            .collect(),
        roles: RolePolicy::AllMixed,
        ..base
    })
}

fn send_requests(rig: &mut Rig, requests: &SentRequests, first: u64) -> u64 {
    let built = (0..requests.count).map(|index| {
        let at = requests.at + requests.every * index as u32;
        matrix::request(at, &requests.customer, &requests.kind, first + index)
    });
    rig.offer(built.collect());
    first + requests.count
}

/// Returns the observed state if an expectation isn't met, `None` if it is.
fn find_unmet(rig: &Rig, expectation: &Expectation) -> Option<String> {
    match expectation {
        Expectation::NoBreach | Expectation::NoCut => {
            let breaches = rig.breaches();
            (!breaches.is_empty()).then(|| format!("{breaches:?}"))
        }
        Expectation::Completed { kind, at_least, count } => {
            let of_kind = rig.callers().iter().filter(|record| &*record.request.kind == kind);
            let (whole, others): (Vec<_>, Vec<_>) = of_kind.partition(|record| record.is_in_time());
            let met = if *at_least { whole.len() >= *count } else { whole.len() == *count };
            let states: Vec<&CallerState> = others.iter().map(|record| &record.state).collect();
            (!met).then(|| format!("{} of {kind} whole in time, others {states:?}", whole.len()))
        }
        Expectation::Effects(count) => {
            let seen: u64 = rig.effects().values().sum();
            (seen != *count).then(|| format!("{seen} effects"))
        }
    }
}

fn scenario_line(input: &mut &str) -> ParseResult<ScenarioLine> {
    alt((
        fleet_line.map(ScenarioLine::Fleet),
        preceded(("run", space1), duration).map(ScenarioLine::Run),
        preceded(("expect", space1), expectation).map(ScenarioLine::Expect),
        timed_line,
    ))
    .parse_next(input)
}

fn fleet_line(input: &mut &str) -> ParseResult<FleetSize> {
    (
        "fleet",
        space1,
        numbered("entries"),
        space1,
        numbered("engines"),
        space1,
        numbered("services"),
    )
        .map(|(_, _, entries, _, engines, _, services)| FleetSize { entries, engines, services })
        .parse_next(input)
}

fn timed_line(input: &mut &str) -> ParseResult<ScenarioLine> {
    let (_, _, at, _) = ("at", space1, duration, space1).parse_next(input)?;
    alt((
        sent_requests.map(move |requests| ScenarioLine::Send(SentRequests { at, ..requests })),
        fault.map(move |fault| ScenarioLine::Fault(TimedFault { at, fault })),
    ))
    .parse_next(input)
}

fn sent_requests(input: &mut &str) -> ParseResult<SentRequests> {
    let parts = ("send", space1, number, space1, word, space1, "from", space1, word);
    let every = opt(preceded((space1, "every", space1), duration));
    (parts, every)
        .map(|((_, _, count, _, kind, _, _, _, customer), every)| SentRequests {
            at: Duration::ZERO,
            count: count as u64,
            kind,
            customer,
            every: every.unwrap_or_default(),
        })
        .parse_next(input)
}

fn fault(input: &mut &str) -> ParseResult<RigFault> {
    alt((process_fault, network_fault, platform_fault, target_fault, operator_action))
        .parse_next(input)
}

fn process_fault(input: &mut &str) -> ParseResult<RigFault> {
    alt((
        preceded(("kill", space1), node).map(RigFault::Kill),
        preceded(("start", space1), node).map(RigFault::Start),
        preceded(("freeze", space1), node).map(RigFault::Freeze),
        preceded(("thaw", space1), node).map(RigFault::Thaw),
        preceded(("replace", space1), node).map(RigFault::ReplaceVm),
        preceded(("stop", space1), node).map(RigFault::Stop),
    ))
    .parse_next(input)
}

fn network_fault(input: &mut &str) -> ParseResult<RigFault> {
    let both = LinkDirection::Both;
    alt((
        preceded(("cut", space1), link)
            .map(move |(entry, side)| RigFault::CutLink(entry, side, both, true)),
        preceded(("mend", space1), link)
            .map(move |(entry, side)| RigFault::CutLink(entry, side, both, false)),
        preceded(("silence", space1), link)
            .map(move |(entry, side)| RigFault::SilenceLink(entry, side, both)),
        preceded(("cut-log", space1), node).map(|node| RigFault::CutFromLog(node, true)),
        preceded(("mend-log", space1), node).map(|node| RigFault::CutFromLog(node, false)),
    ))
    .parse_next(input)
}

fn platform_fault(input: &mut &str) -> ParseResult<RigFault> {
    alt((
        ("log", space1, "down").map(|_| RigFault::LogDown(true)),
        ("log", space1, "up").map(|_| RigFault::LogDown(false)),
        ("log", space1, "slow", space1, duration)
            .map(|(_, _, _, _, delay)| RigFault::LogSlow(delay)),
        ("answers", space1, "lost").map(|_| RigFault::LoseAppendResponses(true)),
        ("answers", space1, "kept").map(|_| RigFault::LoseAppendResponses(false)),
    ))
    .parse_next(input)
}

fn target_fault(input: &mut &str) -> ParseResult<RigFault> {
    let time = preceded((space1, "for", space1), duration);
    let crash_engine = (preceded(("crash", space1), numbered("engine")), time);
    let time = preceded((space1, "for", space1), duration);
    let crash_service = (preceded(("crash", space1), numbered("service")), time);
    alt((
        crash_engine.map(|(engine, time)| RigFault::CrashEngine(engine, time)),
        crash_service.map(|(service, time)| RigFault::CrashService(service, time)),
        preceded(("drop-stream", space1), numbered("engine")).map(RigFault::DropStream),
        preceded(("end-early", space1), numbered("engine")).map(RigFault::EndStreamEarly),
    ))
    .parse_next(input)
}

fn operator_action(input: &mut &str) -> ParseResult<RigFault> {
    alt((
        preceded(("announce", space1), numbered("vm")).map(RigFault::AnnounceVm),
        preceded(("list", space1), numbered("vm")).map(RigFault::ListVm),
        preceded(("race", space1, "contract", space1), word)
            .map(|customer| RigFault::RaceContract(Box::new(matrix::contract(&customer, 300)))),
        (preceded(("role", space1), numbered("engine")), preceded(space1, role))
            .map(|(engine, role)| RigFault::PlanRole(engine, role)),
    ))
    .parse_next(input)
}

fn expectation(input: &mut &str) -> ParseResult<Expectation> {
    let whole = ("whole", space1, word, space1, alt((">=", "==")), space1, number);
    alt((
        ("no", space1, "breach").map(|_| Expectation::NoBreach),
        ("no", space1, "cut").map(|_| Expectation::NoCut),
        whole.map(|(_, _, kind, _, relation, _, count)| Expectation::Completed {
            kind,
            at_least: relation == ">=",
            count,
        }),
        preceded(("effects", space1, "==", space1), number)
            .map(|count| Expectation::Effects(count as u64)),
    ))
    .parse_next(input)
}

fn link(input: &mut &str) -> ParseResult<(usize, usize)> {
    (numbered("entry"), space1, numbered("side"))
        .map(|(entry, _, side)| (entry, side))
        .parse_next(input)
}

fn node(input: &mut &str) -> ParseResult<NodeId> {
    alt((numbered("entry").map(NodeId::Entry), numbered("side").map(NodeId::Side)))
        .parse_next(input)
}

fn role(input: &mut &str) -> ParseResult<EngineRole> {
    word.verify_map(|name| name.parse().ok()).parse_next(input)
}

fn numbered<'a>(name: &'static str) -> impl Parser<&'a str, usize, ErrMode<ContextError>> {
    preceded((name, space1), number)
}

fn number(input: &mut &str) -> ParseResult<usize> {
    dec_uint(input)
}

fn word(input: &mut &str) -> ParseResult<String> {
    take_while(1.., |c: char| c.is_ascii_lowercase() || c == '-')
        .map(str::to_owned)
        .parse_next(input)
}

fn duration(input: &mut &str) -> ParseResult<Duration> {
    let unit = alt(("ms".value(0.001), "s".value(1.0)));
    (float, unit)
        .verify_map(|(count, unit): (f64, f64)| Duration::try_from_secs_f64(count * unit).ok())
        .parse_next(input)
}
