//! Estimates of the memory that a configuration takes.

use std::mem::size_of;
use std::sync::Arc;

use super::{
    ApiKey, EngineSpec, ModelSpec, Route, RoutingConfiguration, ServiceSpec, Target, Workspace,
};

/// What the counts of a shared string and its allocation add to its length.
const SHARED_STRING_BYTES: usize = 32;

/// The memory of the content of a shared string.
pub(crate) fn string_bytes(text: &str) -> usize {
    SHARED_STRING_BYTES + text.len()
}

impl RoutingConfiguration {
    /// An estimate of the memory that this configuration takes.
    pub fn size_bytes(&self) -> usize {
        let mut size_bytes = size_of::<Self>();
        for route in &self.routes {
            size_bytes += size_of::<Arc<Route>>() + route.size_bytes();
        }
        for service in &self.services {
            size_bytes += service.size_bytes();
        }
        for workspace in &self.workspaces {
            size_bytes += workspace.size_bytes();
        }
        size_bytes
    }
}

impl Route {
    pub(super) fn size_bytes(&self) -> usize {
        let Self { name, host, path_prefix, targets, .. } = self;
        let mut size_bytes = size_of::<Self>();
        size_bytes += string_bytes(name) + string_bytes(host) + string_bytes(path_prefix);
        for target in targets {
            size_bytes += size_of::<Target>() + string_bytes(&target.service);
        }
        size_bytes
    }
}

impl ServiceSpec {
    pub(super) fn size_bytes(&self) -> usize {
        let engine_bytes = self.engine.as_ref().map_or(0, EngineSpec::models_bytes);
        size_of::<Self>() + string_bytes(&self.name) + engine_bytes
    }
}

impl EngineSpec {
    /// The memory of its models.
    fn models_bytes(&self) -> usize {
        self.models.iter().map(|model| size_of::<ModelSpec>() + string_bytes(&model.name)).sum()
    }
}

impl Workspace {
    pub(super) fn size_bytes(&self) -> usize {
        size_of::<Self>() + string_bytes(&self.name) + self.keys.len() * size_of::<ApiKey>()
    }
}
