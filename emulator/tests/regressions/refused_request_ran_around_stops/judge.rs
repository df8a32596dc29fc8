//! Joins what targets began to work on with what callers were told.

use std::{
    collections::{BTreeMap, HashMap},
    fmt,
    path::Path,
};

use emulator::stand_in::{
    caller::{CallerKind, CallerOutcome},
    kept_connection::KeptRecord,
};

use super::{
    customer::{self, LASTING_KEY},
    target::{BegunWork, Work},
};

/// Counts by what they count.
type Counts = BTreeMap<String, usize>;

/// What became of the requests of a run.
#[derive(Debug, Default)]
pub struct Report {
    pub requests: usize,
    /// Work that targets began, by kind of request.
    pub begun: Counts,
    /// What callers were told, by kind of request.
    pub outcomes: Counts,
    /// Runs that began after their caller was told the outcome, by outcome.
    pub late_runs: Counts,
    /// Runs whose callers were told nothing, as their entry was gone.
    pub untold_runs: usize,
    /// Requests that were only prefilled, by outcome and the answers to the prefills.
    pub only_prefilled: Counts,
    /// The entries' own lines of requests that they refused, by their calls.
    pub refusals: Counts,
    /// The entries' calls by how they ended, of all requests.
    pub calls: Counts,
    /// Runs of late requests, which targets serve last.
    pub late_priority: usize,
    /// Reports of usage that the platform got.
    pub usage_reports: usize,
    /// Scripts that were played.
    pub scripts: Counts,
    pub breaches: Vec<String>,
}

/// Outcome of a request whose key is unknown.
const UNAUTHORIZED: CallerOutcome = CallerOutcome::Own { status: 401, retry_after: false };
/// Lowest priority of requests that will be late.
const FIRST_LATE_PRIORITY: u8 = 5;

/// Returns whether a status promises that the request did not and will not run.
fn is_promise(outcome: &CallerOutcome) -> bool {
    use CallerOutcome::{Own, TargetFailed};
    matches!(
        outcome,
        Own { status: 401 | 408 | 421 | 429 | 503, .. } | TargetFailed(408 | 421 | 429 | 503)
    )
}

/// Returns whether a response that an entry has logged is a target's own error.
fn counts_as_run(response: &str) -> bool {
    response.starts_with("500 own_id") || response.starts_with("504 own_id")
}

fn name(outcome: &CallerOutcome) -> String {
    match outcome {
        CallerOutcome::Whole => "200".to_owned(),
        CallerOutcome::Wrong(reason) => format!("wrong: {reason}"),
        CallerOutcome::TargetFailed(status) => format!("{status} of the target"),
        CallerOutcome::Own { status, .. } => status.to_string(),
        CallerOutcome::Broken => "closed".to_owned(),
        CallerOutcome::Left => "left".to_owned(),
    }
}

fn answers(works: &[&BegunWork]) -> String {
    let text = |work: &&BegunWork| {
        work.answer.map_or_else(|| "none".to_owned(), |status| status.to_string())
    };
    works.iter().map(text).collect::<Vec<_>>().join(",")
}

/// Describes work, with its time relative to that of the outcome.
fn describe(work: &BegunWork, told: std::time::Instant) -> String {
    let at = work.at.into_std();
    let after = at.saturating_duration_since(told).as_millis() as i64;
    let before = told.saturating_duration_since(at).as_millis() as i64;
    let BegunWork { work, target, connection, answer, .. } = work;
    format!(
        "{work:?} at {target}, connection {connection}, {} ms, answer {answer:?}",
        after - before
    )
}

impl Report {
    pub fn new(records: &[KeptRecord], begun: &[BegunWork]) -> Report {
        let mut report = Report { requests: records.len(), ..Report::default() };
        let mut works: HashMap<&str, Vec<&BegunWork>> = HashMap::new();
        for work in begun {
            works.entry(&work.request).or_default().push(work);
        }
        for record in records {
            let request = &record.caller.request;
            let begun = works.remove(&*request.id).unwrap_or_default();
            report.add(record, &begun);
        }
        for (id, works) in works {
            report.breaches.push(format!("{id}: no caller sent it, {} works", works.len()));
        }
        report
    }

    fn add(&mut self, record: &KeptRecord, begun: &[&BegunWork]) {
        let caller = &record.caller;
        let (id, kind, outcome) = (&caller.request.id, caller.request.kind, name(&caller.outcome));
        let (runs, prefills): (Vec<_>, Vec<_>) =
            begun.iter().copied().partition(|work| work.work == Work::Run);
        count(&mut self.outcomes, format!("{kind:?} {outcome}"));
        for work in begun {
            count(&mut self.begun, format!("{kind:?} {:?}", work.work));
        }
        let mut breach = |text: &str| {
            let works: Vec<String> =
                begun.iter().map(|work| describe(work, record.ended_at)).collect();
            self.breaches.push(format!("{id}: {text}: told {outcome}; {}", works.join("; ")));
        };
        if matches!(kind, CallerKind::Note | CallerKind::Ticket) {
            if is_promise(&caller.outcome) && !runs.is_empty() {
                breach("promised not to run, and ran");
            }
            if runs.len() > 1 {
                breach("ran more than once");
            }
        }
        // A run that is missing here would hide a breach.
        let is_answer =
            matches!(caller.outcome, CallerOutcome::Whole | CallerOutcome::TargetFailed(_));
        if is_answer && runs.is_empty() {
            breach("answered by a target, and no run is recorded");
        }
        if let CallerOutcome::Wrong(_) = caller.outcome {
            breach("answered wrongly");
        }
        if caller.outcome == CallerOutcome::Broken {
            self.untold_runs += runs.len();
        }
        let key = caller.request.key.as_deref().unwrap_or_default();
        if caller.outcome == UNAUTHORIZED && key == LASTING_KEY {
            breach("rejected with a key that all configurations have");
        }
        for work in begun {
            let customer = work.customer.as_deref().unwrap_or_default();
            if work.has_credentials || !customer::belongs(key, customer) {
                let got = if work.has_credentials { "the key" } else { "the name" };
                breach(&format!("{key}: its target got {got} of {customer:?}"));
            }
        }
        for work in &runs {
            self.late_priority += usize::from(work.priority >= Some(FIRST_LATE_PRIORITY));
            if work.at.into_std() > record.ended_at {
                count(&mut self.late_runs, format!("{kind:?} {outcome}"));
            }
        }
        if runs.is_empty() && !prefills.is_empty() {
            let text = format!("{kind:?} {outcome}, prefills answered {}", answers(&prefills));
            count(&mut self.only_prefilled, text);
        }
    }

    /// Reads which calls the entries made, as far as they have logged it.
    pub fn read_logs(&mut self, folder: &Path) {
        for file in std::fs::read_dir(folder).unwrap() {
            let text = std::fs::read_to_string(file.unwrap().path()).unwrap_or_default();
            for line in text.lines() {
                // The last line of a killed process may be cut.
                let Ok(line) = serde_json::from_str::<serde_json::Value>(line) else { continue };
                let field = |name: &str| line["kvs"][name].as_str().unwrap_or_default();
                if line["message"] != "request ended" {
                    continue;
                }
                let id = format!("{}:", field("request"));
                for breach in self.breaches.iter_mut().filter(|breach| breach.starts_with(&id)) {
                    let (status, calls) = (field("status"), field("calls"));
                    breach.push_str(&format!("; entry: {status} {} [{calls}]", field("reason")));
                }
                let calls = field("calls").split("; ").filter(|call| !call.is_empty());
                let calls: Vec<String> = calls
                    .map(|call| call.split(' ').skip(2).take(2).collect::<Vec<_>>().join(" "))
                    .collect();
                calls.iter().for_each(|call| count(&mut self.calls, call.clone()));
                if field("status") != "503" {
                    continue;
                }
                let responses = field("responses");
                if responses.split("; ").any(counts_as_run) {
                    let calls = calls.join(", ");
                    self.breaches.push(format!("{id} told 503 after [{responses}] to [{calls}]"));
                }
                let text = format!("{} [{}]", field("reason"), calls.join(", "));
                count(&mut self.refusals, text);
            }
        }
    }

    pub fn add_scripts(&mut self, names: &[&str]) {
        names.iter().for_each(|name| count(&mut self.scripts, (*name).to_owned()));
    }

    /// Returns the number of requests whose outcome has this text.
    pub fn outcomes_with(&self, text: &str) -> usize {
        self.outcomes.iter().filter(|(name, _)| name.contains(text)).map(|(_, count)| count).sum()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} requests, {} breaches", self.requests, self.breaches.len())?;
        writeln!(f, "  begun: {:?}", self.begun)?;
        writeln!(f, "  outcomes: {:?}", self.outcomes)?;
        writeln!(f, "  runs after the outcome: {:?}", self.late_runs)?;
        writeln!(f, "  runs of requests whose entry was gone: {}", self.untold_runs)?;
        writeln!(f, "  only prefilled: {:?}", self.only_prefilled)?;
        writeln!(f, "  late runs by priority: {}", self.late_priority)?;
        writeln!(f, "  reports of usage: {}", self.usage_reports)?;
        writeln!(f, "  scripts: {:?}", self.scripts)?;
        writeln!(f, "  calls by the entries' logs: {:?}", self.calls)?;
        writeln!(f, "  refusals by the entries' logs: {:?}", self.refusals)?;
        self.breaches.iter().try_for_each(|breach| writeln!(f, "  breach: {breach}"))
    }
}

fn count(counts: &mut Counts, name: String) {
    *counts.entry(name).or_default() += 1;
}
