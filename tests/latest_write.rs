//! A slow store gets one write of a value at a time, and the latest one last.

use sapphirewell::direct::LatestWrite;

#[test]
fn the_latest_value_waits_for_a_slow_write() {
    let mut writes = LatestWrite::default();
    assert_eq!(writes.begin(1), Some(1));
    for value in 2..1000 {
        assert_eq!(writes.begin(value), None);
    }
    assert_eq!(writes.end(), Some(999));
    assert_eq!(writes.begin(1000), None);
    assert_eq!(writes.end(), Some(1000));
    assert_eq!(writes.end(), None);
    assert_eq!(writes.begin(1001), Some(1001));
}
