//! How large a run is: its processes, their addresses, and the slots and ports of its endpoints.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use crate::{endpoint, engine};

/// The port of a replica's calls from endpoints and the operator.
pub(crate) const API_PORT: u16 = 17_144;
/// The memory of the smallest instances that run control.
const CONTROL_MEMORY_MB: u64 = 256;
/// The replicas whose addresses all processes get.
const SEEDS: u8 = 3;

/// How many processes a run has.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Gateways.
    pub gateways: u8,
    /// Endpoints, which are part of this process.
    pub endpoints: u8,
    /// Engines, which are part of this process too.
    pub engines: u8,
    /// The second number of the loopback addresses.
    pub block: u8,
}

/// What happens at the port of an endpoint that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// A proxy before the endpoint accepts connections and resets them.
    StaysOpen,
    /// Connections are refused.
    Closes,
    /// Nothing is closed, and nothing answers.
    IsSilent,
}

/// The slots of endpoints and of engines, the ports of endpoints, and the memory of control, where a run
/// sets them.
#[derive(Debug, Clone, Copy)]
pub struct Slots {
    /// The slots of each endpoint.
    pub endpoint: u32,
    /// The slots of each engine.
    pub engine: u32,
    /// What happens at the port of an endpoint that has ended.
    pub port: Port,
    /// The memory of each replica of control.
    pub control_memory_mb: u64,
}

impl Default for Slots {
    fn default() -> Self {
        Self {
            endpoint: endpoint::SLOTS,
            engine: engine::SLOTS,
            port: Port::StaysOpen,
            control_memory_mb: CONTROL_MEMORY_MB,
        }
    }
}

impl Size {
    /// The address of one process; runs in different blocks can go on side by side.
    pub(crate) fn at(self, group: u8, number: u8, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, self.block, group, number)), port)
    }

    pub(crate) fn seeds(self) -> String {
        let mut addresses = Vec::new();
        for number in 1..=SEEDS {
            addresses.push(format!("\"{}\"", self.at(2, number, API_PORT)));
        }
        format!("[{}]", addresses.join(", "))
    }
}
