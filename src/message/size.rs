//! Estimates of the memory that changes and messages take while they are kept or wait to be sent.

use std::mem::{size_of, size_of_val};

use super::{
    Change, ControlRequest, CreditGrant, EndpointLoad, LoadReport, NotRepeatable, PeerGateway,
    Placed, RegisteredEndpoint, Service, SessionDown, SessionServer, Summary, WeightsName,
    WorkspaceUse,
};
use crate::binary;
use crate::control::fleet::{EndpointRecord, GatewayRecord, ListedEndpoint};
use crate::control::ledger::Settlement;
use crate::routing::string_bytes;

impl Change {
    /// An estimate of the memory that this change takes.
    pub fn size_bytes(&self) -> usize {
        size_of::<Self>()
            + match self {
                Self::Service(service) => service.content_bytes(),
                Self::ServiceRetired(name)
                | Self::EndpointRemoved(name)
                | Self::GatewayRemoved(name)
                | Self::Deregistered(name) => string_bytes(name),
                Self::Endpoint(endpoint) => endpoint.content_bytes(),
                Self::Gateway(gateway) => gateway.content_bytes(),
                Self::Routing(configuration) => configuration.size_bytes(),
                Self::RoutingUpdate(update) => update.size_bytes(),
                Self::Registered(endpoint) => endpoint.content_bytes(),
                Self::Version(newest) | Self::VersionOfUnknownAge(newest) => {
                    newest.name.size_bytes()
                }
                Self::Standing(standing) => {
                    standing.weights.as_ref().map_or(0, WeightsName::size_bytes)
                }
            }
    }
}

impl ControlRequest {
    /// The bytes of what the call carries, as it is sent; 0 for calls that are always small.
    pub fn content_bytes(&self) -> usize {
        match self {
            Self::Apply { documents, .. } => binary::encoded_bytes(documents),
            Self::PutRouting { document, .. } => document.len(),
            Self::Settle { settlement: Settlement::Finished(Some(answer)), .. } => {
                answer.body.len()
            }
            _ => 0,
        }
    }
}

impl SessionDown {
    /// An estimate of the memory that this message takes, without strings that it shares with the state.
    pub fn size_bytes(&self) -> usize {
        size_of::<Self>()
            + match self {
                Self::Changes { changes, .. } => changes.iter().map(Change::size_bytes).sum(),
                Self::Renewed { summaries, load_reports, .. } => {
                    size_of_val::<[Summary]>(summaries) + size_of_val::<[LoadReport]>(load_reports)
                }
                Self::Placed { placed, .. } => size_of_val::<[Placed]>(placed),
                Self::Loads(loads) => size_of_val::<[EndpointLoad]>(loads),
                Self::Group(group) => {
                    size_of_val::<[SessionServer]>(&group.servers)
                        + size_of_val::<[PeerGateway]>(&group.coordinators)
                }
                Self::Credit(grants) => size_of_val::<[CreditGrant]>(grants),
                Self::WorkspaceUse(uses) => size_of_val::<[WorkspaceUse]>(uses),
                Self::Peers { peers, .. } => size_of_val::<[PeerGateway]>(peers),
                Self::Welcome { .. }
                | Self::NotLeader { .. }
                | Self::Expired
                | Self::Order(_)
                | Self::RenewedFor { .. }
                | Self::Origin { .. } => 0,
            }
    }
}

impl Service {
    fn content_bytes(&self) -> usize {
        let Self { name, workspace, pool, adapter, not_repeatable, .. } = self;
        let calls_bytes = match not_repeatable {
            NotRepeatable::Calls(calls) => calls.iter().map(|call| string_bytes(call)).sum(),
            NotRepeatable::None | NotRepeatable::All => 0,
        };
        let adapter_bytes = adapter.as_ref().map_or(0, |adapter| string_bytes(&adapter.name));
        string_bytes(name)
            + string_bytes(workspace)
            + string_bytes(pool)
            + adapter_bytes
            + calls_bytes
    }
}

impl EndpointRecord {
    fn content_bytes(&self) -> usize {
        let ListedEndpoint { name, zone, pool, .. } = &self.listed;
        let mut size_bytes = string_bytes(name) + string_bytes(zone) + string_bytes(pool);
        for gateway in [&self.owner, &self.successor].into_iter().flatten() {
            size_bytes += string_bytes(gateway);
        }
        size_bytes
    }
}

impl GatewayRecord {
    fn content_bytes(&self) -> usize {
        string_bytes(&self.name) + string_bytes(&self.zone)
    }
}

impl RegisteredEndpoint {
    fn content_bytes(&self) -> usize {
        let Self { id, name, service, zone, software_version, .. } = self;
        [id, name, service, zone, software_version].into_iter().map(|text| string_bytes(text)).sum()
    }
}
