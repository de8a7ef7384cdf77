//! The real programs as separate processes on this machine, faults from outside them, and the promises
//! as clients and endpoints see them.

pub mod abusive;
pub mod client;
pub mod cut;
mod disruption;
pub mod endpoint;
pub mod engine;
pub mod faults;
pub mod keyed;
pub mod leaving;
pub mod memory;
pub mod open_load;
pub mod operator;
pub mod overload;
pub mod proxy;
pub mod random_gateway_clients;
pub mod record;
pub mod region;
pub mod resuming;
pub mod room;
mod size;
