//! Adapter to the users' platform: its names, formats and calls.
//!
//! Each document of the platform is decoded once, here, into types of the
//! product. Nothing in this folder decides, and nothing outside it knows a name
//! of the platform. See [docs/design/platform.md](../docs/design/platform.md).

pub mod caller;
pub mod configuration;
pub mod discovery;
mod header;
pub mod runner;
pub mod settings;
pub mod store;
