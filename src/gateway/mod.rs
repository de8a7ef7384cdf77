//! The gateway process: accepts requests from clients and routes them to endpoints.
//!
//! Each endpoint is owned by one gateway at a time, which queues and dispatches all requests to it.
//! A gateway forwards requests for other endpoints to the gateways that own these.

pub mod admin;
pub mod answers;
pub mod callers;
pub mod claims;
pub mod directory;
pub mod exchange;
pub mod forward;
pub mod lease;
pub mod openai;
pub mod owner;
pub mod problem;
pub mod process;
pub mod run;
pub mod session;
pub mod shared;
pub mod stream;
