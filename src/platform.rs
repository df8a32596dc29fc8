//! Adapter to the platform that the system is deployed on: its names, formats and calls.
//!
//! Each platform document is decoded once, here, into the types of this crate.
//! This module makes no decisions, and no other module depends on the
//! platform's names. See [docs/design/platform.md](../docs/design/platform.md).

pub mod caller;
pub mod configuration;
pub mod credential;
pub mod discovery;
pub mod duty;
pub mod generation;
mod header;
pub mod runner;
pub mod settings;
pub mod store;
