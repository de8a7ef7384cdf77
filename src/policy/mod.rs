//! Policy decisions: which endpoint serves a request, which adapters are loaded and evicted, and
//! which requests are refused.
//!
//! The modules are state machines whose methods take the current time as an argument, so that
//! gateways and the measurement run the same code.

pub mod brittle;
pub mod change_budget;
pub mod counts;
pub mod crashes;
pub mod endpoint_backoff;
pub mod endpoint_limit;
pub mod endpoint_speed;
pub mod fair_share;
pub mod freshness;
pub mod owner;
pub mod peers;
pub mod place_share;
pub mod popularity;
pub mod queue;
pub mod quota;
pub mod rank;
pub mod reach;
pub mod recent_max;
pub mod resend;
pub mod resource_limiter;
pub mod retry;
pub mod route;
pub mod running_time;
pub mod silence;
pub mod slot_coordinators;
pub mod slot_grants;
pub mod slot_leases;
pub mod stream_origins;
pub mod versions;
pub mod waiting_queue;
pub mod workspace_use;
