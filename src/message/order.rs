//! Orders to engines to report, load or unload weights, and their outcomes.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{Weights, WeightsName};

/// An order to an engine, sent by the gateway that holds the endpoint.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The number of the order, which increases with each order of a leader.
    pub number: u64,
    /// The id of the endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The name of the endpoint; an endpoint with another name must refuse the order.
    pub endpoint_name: Arc<str>,
    /// The address at which the endpoint serves requests.
    pub address: SocketAddr,
    /// The kind of order.
    pub kind: OrderKind,
    /// The number of orders that the endpoint must have accepted before this one.
    pub expected_sequence: Option<u64>,
    /// The gateway that sends the endpoint its orders.
    pub holder: Arc<str>,
    /// The fencing token, which increases with each new holder.
    pub token: u64,
}

impl EngineOrder {
    /// The result of an order that could not be passed to its holder.
    pub fn not_sent(self) -> OrderResult {
        let Self { number, endpoint, kind, .. } = self;
        OrderResult { number, endpoint, kind, outcome: OrderOutcome::NotSent }
    }
}

/// The kind of an order, with its parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Reports the weights that the engine holds; changes nothing.
    Report,
    /// Loads weights, or replaces an older version of them.
    Load {
        /// The weights.
        name: WeightsName,
        /// The version; `None` means the newest.
        version: Option<u64>,
    },
    /// Unloads weights.
    Unload {
        /// The weights.
        name: WeightsName,
    },
}

/// The state that an engine reports.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineReport {
    /// The number of orders that the engine has accepted since it started.
    pub sequence: u64,
    /// The weights that are loaded.
    pub holds: Vec<Weights>,
    /// The weights that are being loaded.
    pub coming: Vec<Weights>,
}

/// The outcome of an order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum OrderOutcome {
    /// The requested report.
    Report(EngineReport),
    /// The order is in progress.
    UnderWay,
    /// The order is completed, or was completed before.
    Done,
    /// Another order is in progress, or the expected sequence differs.
    Conflict,
    /// The endpoint refused the order and does not execute it.
    Refused,
    /// The order was not sent.
    NotSent,
    /// No answer arrived; the endpoint may still execute the order, even much later.
    Unknown,
}

/// The outcome of an order, with the order and endpoint that it belongs to.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OrderResult {
    /// The number of the order.
    pub number: u64,
    /// The id of the endpoint's incarnation.
    pub endpoint: Arc<str>,
    /// The kind of order.
    pub kind: OrderKind,
    /// The outcome.
    pub outcome: OrderOutcome,
}
