//! # winchvane
//!
//! A serving layer for many LoRA adapters on few engines. It runs between callers and endpoints: it
//! admits a request, finds or loads the adapter that the request names, and returns the reply of
//! that adapter and version to its caller. A request is run as often as was promised for it, also
//! while adapters are loaded and unloaded and machines fail.
//!
//! Operators declare services by filling in templates:
//!
//! ```
//! use winchvane::document::parse;
//! use winchvane::yaml::Faults;
//!
//! let mut faults = Faults::new();
//! parse(&"quote.yaml".into(), "kind: Template\nname: quote\nverison: 1\n", &mut faults);
//! let first = &faults.into_vec()[0];
//! assert!(first.to_string().starts_with("quote.yaml:3: verison: unknown field"));
//! ```
//!
//! Decisions are made by state machines. Their methods take the current time and return the actions
//! to carry out, so that tests and benchmarks can drive them without a clock, a network or a disk:
//!
//! ```
//! use winchvane::message::{AdapterKey, Priority};
//! use winchvane::policy::owner::{Effect, EngineStatus, Owner};
//! use winchvane::policy::queue::Job;
//! use winchvane::settings::PolicySettings;
//!
//! let mut owner = Owner::new_engine("engine-1".into(), 1, PolicySettings::default());
//! owner.observe(0, 0, &EngineStatus { boot_id: 1, places: 8, slots: 2, loaded: vec![] });
//! owner.submit(10, Job {
//!     id: 1,
//!     adapter: Some(AdapterKey::new("shop-taichung", 3)),
//!     workspace: "taichung".into(),
//!     priority: Priority::Interactive,
//!     arrived_ms: 10,
//!     deadline_ms: 5_000,
//! });
//! assert!(matches!(owner.take_effects()[..], [Effect::AskPermit { .. }]));
//! ```
//!
//! ## Modules
//!
//! - [`control`]: the replicated log and the state kept in it.
//! - [`gateway`]: the interface to callers, and the owners of endpoints.
//! - [`policy`]: placement, loading, eviction, sharing and refusal.
//! - [`document`] and [`settings`]: the files that operators write.
//! - [`endpoint`]: the interface to engines and plain services.
//! - [`wire`] and [`message`]: the protocol between the processes of the system.

pub mod admin;
mod binary;
pub mod clock;
pub mod control;
pub mod document;
pub mod endpoint;
pub mod error;
pub mod events;
pub mod explain;
pub mod following;
pub mod gateway;
pub mod hash;
pub mod http;
pub mod logging;
pub mod message;
pub mod metrics;
mod nesting;
mod observed_stream;
pub mod operator;
pub mod policy;
pub mod process;
pub mod relay;
pub mod resources;
pub mod routing;
pub mod settings;
pub mod traffic;
pub mod wire;
pub mod yaml;

pub use error::{Error, Result};
