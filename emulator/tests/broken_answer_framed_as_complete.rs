//! Guards against answers that a target broke off and that reach the caller as complete.

use std::time::Duration;

use emulator::stand_in::{
    BrokenOff,
    caller::{CallerKind, CallerOutcome, CallerRequest, EVENTS, ResumedStream, send},
    fleet::{PlatformFleet, PlatformSizes, mixed_requests},
    referee,
    runner::RunnerFaults,
};
use yare::parameterized;

const PAUSE: Duration = Duration::from_millis(8);

fn sizes(port: u16, entries: usize) -> PlatformSizes {
    PlatformSizes { port, entries, prefill: 1, decode: 2, plain: 1 }
}

fn set_faults(fleet: &PlatformFleet, faults: &RunnerFaults) {
    fleet.runners.iter().for_each(|runner| runner.set_faults(faults.clone()));
}

/// Returns the bytes of the whole answer to a request, and the lengths at which one of its
/// events ends.
fn whole_answer(id: &str, kind: CallerKind) -> (usize, Vec<usize>) {
    match kind {
        CallerKind::Dossier | CallerKind::Note => {
            let mut length = 0;
            let ends = (1..=EVENTS).map(|event| {
                length += format!("id: {event}\ndata: {id} {event}\n\n").len();
                length
            });
            let ends: Vec<usize> = ends.collect();
            (length, ends)
        }
        CallerKind::Ticket | CallerKind::Lookup => (format!("answer to {id}").len(), Vec::new()),
    }
}

struct CutCase {
    port: u16,
    kind: CallerKind,
    unframed: bool,
    cut: BrokenOff,
}

/// A plain answer that ends with its connection and a closed connection are the same bytes,
/// so there is no case for them.
#[parameterized(
    note_unframed_closed = { CutCase { port: 22_300, kind: CallerKind::Note, unframed: true, cut: BrokenOff::Closed } },
    note_unframed_reset = { CutCase { port: 22_304, kind: CallerKind::Note, unframed: true, cut: BrokenOff::Reset } },
    note_chunked_closed = { CutCase { port: 22_308, kind: CallerKind::Note, unframed: false, cut: BrokenOff::Closed } },
    note_chunked_reset = { CutCase { port: 22_312, kind: CallerKind::Note, unframed: false, cut: BrokenOff::Reset } },
    dossier_unframed_closed = { CutCase { port: 22_316, kind: CallerKind::Dossier, unframed: true, cut: BrokenOff::Closed } },
    dossier_unframed_reset = { CutCase { port: 22_320, kind: CallerKind::Dossier, unframed: true, cut: BrokenOff::Reset } },
    dossier_chunked_closed = { CutCase { port: 22_324, kind: CallerKind::Dossier, unframed: false, cut: BrokenOff::Closed } },
    ticket_unframed_reset = { CutCase { port: 22_328, kind: CallerKind::Ticket, unframed: true, cut: BrokenOff::Reset } },
    ticket_length_closed = { CutCase { port: 22_332, kind: CallerKind::Ticket, unframed: false, cut: BrokenOff::Closed } },
    lookup_unframed_reset = { CutCase { port: 22_336, kind: CallerKind::Lookup, unframed: true, cut: BrokenOff::Reset } },
    lookup_length_reset = { CutCase { port: 22_340, kind: CallerKind::Lookup, unframed: false, cut: BrokenOff::Reset } },
)]
fn an_answer_cut_at_any_byte_never_looks_complete(case: CutCase) {
    run(async {
        let fleet = PlatformFleet::spawn(sizes(case.port, 1)).await.unwrap();
        let faults = RunnerFaults {
            unframed: case.unframed,
            cut: Some(case.cut),
            ..RunnerFaults::default()
        };
        set_faults(&fleet, &faults);
        let (length, _) = whole_answer("cut-10", case.kind);
        let requests = (0..=length + 3)
            .map(|bytes| CallerRequest::new(format!("cut-{bytes:02}"), case.kind, 1))
            .collect();
        let records = fleet.play(requests, PAUSE).await;
        let mut reached = 0;
        let mut wrong = Vec::new();
        for (bytes, record) in records.iter().enumerate() {
            let id = &record.request.id;
            let (length, events) = whole_answer(id, case.kind);
            // No byte tells a stream that is cut between two events from a whole one.
            let unknowable = case.unframed
                && case.cut == BrokenOff::Closed
                && bytes < length
                && events.contains(&bytes);
            let expected = match &record.outcome {
                CallerOutcome::Whole => bytes >= length,
                CallerOutcome::Wrong(_) => unknowable,
                CallerOutcome::Broken => bytes < length,
                _ => true,
            };
            if !expected {
                wrong.push((id.clone(), record.outcome.clone()));
            }
            if matches!(record.outcome, CallerOutcome::Whole | CallerOutcome::Broken) {
                reached += 1;
            }
        }
        assert_eq!(wrong, [], "logs in {}", fleet.folder().display());
        assert!(
            reached * 4 >= records.len() * 3,
            "{reached} of {} reached a target",
            records.len()
        );
    });
}

#[test]
fn unframed_answers_are_delivered_whole() {
    run(async {
        let mut fleet = PlatformFleet::spawn(sizes(22_344, 2)).await.unwrap();
        set_faults(&fleet, &RunnerFaults { unframed: true, ..RunnerFaults::default() });
        let records = fleet.play(mixed_requests(120), Duration::from_millis(15)).await;
        assert_eq!(fleet.judge(&records), vec![], "logs in {}", fleet.folder().display());
        assert_eq!(referee::whole(&records), 120);
        assert_eq!(fleet.stop().unwrap(), Vec::<String>::new());
    });
}

/// Cuts streams at every seventh byte and takes each up at the other entry.
#[test]
fn a_broken_stream_goes_on_at_another_entry_without_gap_or_repeat() {
    run(async {
        let fleet = PlatformFleet::spawn(sizes(22_352, 2)).await.unwrap();
        let faults = RunnerFaults {
            unframed: true,
            cut: Some(BrokenOff::Closed),
            ..RunnerFaults::default()
        };
        set_faults(&fleet, &faults);
        let (length, events) = whole_answer("taken-10", CallerKind::Dossier);
        for bytes in (0..length).step_by(7).filter(|bytes| !events.contains(bytes)) {
            let id = format!("taken-{bytes:02}");
            let broken =
                send(fleet.entry(0), CallerRequest::new(&id, CallerKind::Dossier, 1)).await;
            assert_eq!(broken.outcome, CallerOutcome::Broken, "{id}");
            let last_event = broken.events.last().copied().unwrap_or(0);
            let mut again = CallerRequest::new(format!("{id}-again"), CallerKind::Dossier, 1);
            again.body = broken.request.body.clone();
            again.resumed =
                (last_event > 0).then(|| ResumedStream { first_request: id.clone(), last_event });
            let rest = send(fleet.entry(1), again).await;
            assert_eq!(rest.outcome, CallerOutcome::Whole, "{id}");
        }
    });
}

fn run(work: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().unwrap().block_on(work);
}
