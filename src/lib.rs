//! ravenhead, a cluster scheduler whose controllers keep their state only in a key-value store.
//!
//! `docs/architecture.md` describes the responsibility of each module and the state that it owns; `docs/design.md`
//! gives the reasons for the design. Modules depend only on modules of lower layers. The layers are, from the top: the
//! program, composition (`controller`), the controller's duties, shared components, state, the core without I/O, and
//! base types.

#![warn(missing_docs)]

pub mod api;
pub mod cancellation;
pub mod clock;
pub mod cloud;
pub mod cloud_types;
pub mod config;
pub mod connections;
pub mod contacts;
pub mod controller;
pub mod election;
pub mod fencing;
pub mod futures;
pub mod http;
pub mod ids;
pub mod kv;
pub mod leader;
pub mod membership;
pub mod metrics;
pub mod net;
pub mod pause_detector;
pub mod peer;
pub mod peer_pinger;
pub mod readiness;
pub mod revision;
pub mod scheduler;
pub mod state_loss;
pub mod store;
pub mod term;
pub mod units;
