//! Control: the replicated state of the region, the consensus protocol behind it, and the replicas
//! that serve it.

pub mod admission;
pub mod api;
pub mod boot;
pub mod client;
pub mod config;
pub mod counts;
pub mod distribution;
pub mod fleet;
pub mod history;
mod inbox;
pub mod ledger;
mod legacy;
pub mod limits;
pub mod listing;
pub mod outbox;
pub mod peers;
pub mod permit;
pub mod placement;
pub mod process;
pub mod raft;
pub mod registry;
pub mod replica;
mod replica_links;
pub mod reply;
pub mod server;
pub mod serving;
pub mod session;
pub mod software;
pub mod state;
pub mod storage;
pub mod workspace_use;
