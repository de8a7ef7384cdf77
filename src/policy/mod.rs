//! The decisions: where a request goes, what is loaded and evicted, and what is refused.
//!
//! Everything here is a state machine whose calls take the present time; the same code runs in the
//! gateways and in the measurement.

pub mod counts;
pub mod crashes;
pub mod endpoint_backoff;
pub mod endpoint_limit;
pub mod owner;
pub mod popularity;
pub mod queue;
pub mod quota;
pub mod rank;
pub mod recent_max;
pub mod retry;
pub mod route;
pub mod versions;
