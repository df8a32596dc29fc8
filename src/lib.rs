//! Serving system between callers and a fixed fleet of language-model engines
//! and plain services.
//!
//! All decisions are made by state machines without I/O: [`fold::FleetState`]
//! derives the shared state from the log, [`entry::EntryMachine`] places
//! requests, [`side::SideMachine`] runs attempts on targets,
//! [`planner::RolePlanner`] assigns roles to engines, and
//! [`direct::DirectMachine`] serves a direct entry, which has no sides. The
//! processes that drive them are in [`process`].

#![deny(missing_docs)]

pub mod api;
pub mod carry;
pub mod claim;
pub mod command;
pub mod contract;
pub mod direct;
pub mod entry;
pub mod error;
pub mod event_stream;
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
