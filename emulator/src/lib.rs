//! Stand-ins for the platform and the targets, the load generator and the simulations.
//!
//! This crate is for tests and measurements only and is not shipped. The models are pure
//! state machines; [`serve`] exposes them over HTTP.

pub mod calibration;
pub mod capacity;
pub mod cells;
pub mod demo;
pub mod eager;
pub mod engine;
pub mod event_queue;
pub mod load;
pub mod log;
pub mod matrix;
pub mod path;
pub mod platform_matrix;
pub mod platform_rig;
pub mod processes;
pub mod rig;
pub mod scenario;
pub mod serve;
pub mod service;
pub mod shift;
pub mod stand_in;
pub mod sweep;
pub mod workload;
