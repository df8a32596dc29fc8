//! Serving system between callers and a fixed fleet of language-model engines
//! and plain services.
//!
//! The decisions are pure state machines: [`fold::FleetState`] turns the log
//! into shared state, [`entry::EntryMachine`] follows requests,
//! [`side::SideMachine`] guards targets, and `planner::RolePlanner` assigns
//! roles. The processes around them live in `process`.

#![deny(missing_docs)]

pub mod api;
pub mod carry;
pub mod claim;
pub mod command;
pub mod contract;
pub mod direct;
pub mod entry;
pub mod error;
pub mod fanout;
pub mod fold;
pub mod frame;
pub mod ids;
pub mod operator;
mod pairs;
pub mod planner;
pub mod platform;
pub mod process;
pub mod record;
pub mod request;
pub mod setting;
pub mod side;
pub mod suspect;

pub use error::{Error, ErrorCategory, ErrorCode, Result};
