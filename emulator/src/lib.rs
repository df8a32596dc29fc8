//! Stand-ins for the platform and the targets, and the load tool.
//!
//! Nothing here is shipped. The models are pure state machines; [`serve`]
//! puts them behind HTTP.

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
