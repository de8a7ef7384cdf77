//! Stand-ins of the systems around winchvane, for tests, measurements and the quick start.
//!
//! Each stands behind the published protocol of what it stands in for: [`engine`] for a model engine
//! with an OpenAI-compatible API and LoRA adapters, [`plain`] for an ordinary HTTP service,
//! [`store`] for the weight store,
//! [`forwarder`] for a connection that can be cut, and [`platform`] for the platform's list of instances. All take
//! faults at `PUT /fault`, so that a test can make each of them fail in a chosen way.

pub mod clairvoyant;
pub mod engine;
pub mod forwarder;
pub mod measure;
pub mod plain;
pub mod platform;
pub mod ports;
pub mod region;
pub mod server;
pub mod store;
pub mod usage;
