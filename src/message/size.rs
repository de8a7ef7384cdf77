//! Estimates of the memory that changes take while they are kept or wait to be sent.

use std::mem::size_of;

use super::{Change, NotRepeatable, RegisteredEndpoint, Service};
use crate::control::fleet::{EndpointRecord, GatewayRecord, ListedEndpoint};
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
                Self::Registered(endpoint) => endpoint.content_bytes(),
                Self::Version(newest) | Self::VersionOfUnknownAge(newest) => {
                    newest.name.size_bytes()
                }
                Self::Standing(standing) => {
                    standing.weights.as_ref().map_or(0, |name| name.size_bytes())
                }
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
