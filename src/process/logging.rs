//! JSON-line logs on standard output.

use logforth::{append, layout::JsonLayout};

/// Starts logging at a level: error, warn, info, debug or trace.
pub fn start(level: &str) {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch.append(append::Stdout::default().with_layout(JsonLayout::default()))
        })
        .apply();
    log::set_max_level(level.parse().unwrap_or(log::LevelFilter::Info));
}
