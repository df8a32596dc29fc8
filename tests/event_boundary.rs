//! Event boundaries of server-sent event streams.

use proptest::prelude::*;
use sapphirewell::event_stream::EventBoundary;
use yare::parameterized;

fn ends_inside_event(parts: &[&[u8]]) -> bool {
    let mut boundary = EventBoundary::default();
    parts.iter().for_each(|part| boundary.advance(part));
    boundary.is_inside_event()
}

#[parameterized(
    no_bytes = { b"", false },
    whole_event = { b"id: 1\ndata: a\n\n", false },
    no_empty_line = { b"id: 1\ndata: a\n", true },
    unfinished_line = { b"id: 1\ndata: a", true },
    second_event_begun = { b"data: a\n\nd", true },
    crlf = { b"data: a\r\n\r\n", false },
    one_crlf = { b"data: a\r\n", true },
    crlf_and_cr = { b"data: a\r\n\r", false },
    cr = { b"data: a\r\r", false },
    one_cr = { b"data: a\r", true },
    lf_and_crlf = { b"data: a\n\r\n", false },
    leading_empty_line = { b"\n", false },
    leading_crlf = { b"\r\n", false },
)]
fn a_stream_is_inside_an_event_until_its_empty_line(bytes: &[u8], inside: bool) {
    assert_eq!(ends_inside_event(&[bytes]), inside);
}

proptest! {
    #[test]
    fn the_split_into_frames_does_not_matter(bytes in "[ab\r\n]{0,24}", at in 0_usize..24) {
        let bytes = bytes.as_bytes();
        let (start, rest) = bytes.split_at(at.min(bytes.len()));
        let single: Vec<&[u8]> = bytes.chunks(1).collect();
        prop_assert_eq!(ends_inside_event(&[start, rest]), ends_inside_event(&[bytes]));
        prop_assert_eq!(ends_inside_event(&single), ends_inside_event(&[bytes]));
    }
}
