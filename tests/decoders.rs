//! Property tests: decoders return an error for invalid input and never panic.

use proptest::prelude::*;
use sapphirewell::{
    contract::CustomerContract,
    fold::{FleetState, StoredRecord},
    frame::{self, EntryFrame, LinkFrame, SideFrame},
    ids::{AttemptId, RequestId},
    record::LogRecord,
};

fn any_attempt() -> impl Strategy<Value = AttemptId> {
    (any::<u64>(), any::<u64>(), any::<u32>()).prop_map(|(instance, sequence, number)| AttemptId {
        request: RequestId { instance, sequence },
        number,
    })
}

proptest! {
    #[test]
    fn frame_decoder_accepts_any_bytes_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        frame::decode::<EntryFrame>(&bytes).ok();
        frame::decode::<SideFrame>(&bytes).ok();
    }

    #[test]
    fn frame_decoder_survives_a_changed_byte(attempt in any_attempt(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let frame = LinkFrame { next: 7, body: EntryFrame::Cancel { attempt } };
        let mut bytes = frame::encode(&frame).unwrap().to_vec();
        prop_assert_eq!(&frame::decode::<EntryFrame>(&bytes).unwrap(), &frame);
        let index = at.index(bytes.len());
        bytes[index] = byte;
        frame::decode::<EntryFrame>(&bytes).ok();
    }

    #[test]
    fn chunk_frames_round_trip(attempt in any_attempt(), index in any::<u32>(), text in ".{0,200}") {
        let body = SideFrame::Chunk { attempt, index, text: text.into() };
        let frame = LinkFrame { next: 1, body };
        let bytes = frame::encode(&frame).unwrap();
        prop_assert_eq!(frame::decode::<SideFrame>(&bytes).unwrap(), frame);
    }

    #[test]
    fn record_decoder_accepts_any_text_without_panic(text in ".{0,400}") {
        LogRecord::decode(&text).ok();
    }

    #[test]
    fn contract_parser_accepts_any_bytes_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        CustomerContract::parse(&bytes).ok();
    }

    #[test]
    fn malformed_record_is_skipped(text in "[^\\{]{0,100}") {
        let mut fold = FleetState::default();
        let time = std::time::Duration::from_secs(1);
        fold.apply(&StoredRecord { offset: 1, time, body: text.into() });
        prop_assert_eq!(fold.view().next, 2);
    }
}
