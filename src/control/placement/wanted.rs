//! What gateways want a home for, and their requests for it.

use std::sync::Arc;

use crate::message::{RegisteredEndpoint, WeightsName};

/// What gateways want a home for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Wanted {
    pub(super) service: Arc<str>,
    pub(super) weights: WeightsName,
    /// The software version that the home must have; `None` if any will do.
    pub(super) software_version: Option<Arc<str>>,
}

impl Wanted {
    /// `weights` at endpoints of any software version.
    pub(super) fn new(service: Arc<str>, weights: WeightsName) -> Self {
        Self { service, weights, software_version: None }
    }

    /// The same at an endpoint of the version.
    pub(super) fn with_software(mut self, version: Option<Arc<str>>) -> Self {
        self.software_version = version;
        self
    }

    /// True if `endpoint` may be the home.
    pub(super) fn allows(&self, endpoint: &RegisteredEndpoint) -> bool {
        let version = self.software_version.as_ref();
        endpoint.service == self.service
            && version.is_none_or(|version| *version == endpoint.software_version)
    }
}

/// A request of gateways for one more home of some weights.
#[derive(Debug, Clone)]
pub(super) struct PlacementRequest {
    /// The time of the latest request.
    pub(super) asked_at_ms: u64,
    /// The time of the first request.
    pub(super) first_asked_at_ms: u64,
    /// No pass handles the request before this time: its homes are being loaded, or no endpoint can take
    /// it.
    pub(super) check_again_at_ms: u64,
    /// Until when the end of an eviction that was ordered for it is awaited.
    pub(super) evicting_until_ms: u64,
    /// The hash of the weights, which ranks endpoints by affinity.
    pub(super) hash: u64,
    /// True when all homes of the weights are at capacity.
    pub(super) homes_are_full: bool,
    /// True when the weights already have a home.
    pub(super) is_additional: bool,
    /// The availability zone of the gateway that asked last.
    pub(super) zone: Arc<str>,
}

impl PlacementRequest {
    /// A request for an additional home of `name`, made in `zone`.
    pub(super) fn additional(now_ms: u64, name: &WeightsName, zone: Arc<str>) -> Self {
        Self {
            asked_at_ms: now_ms,
            first_asked_at_ms: now_ms,
            check_again_at_ms: now_ms,
            evicting_until_ms: 0,
            hash: crate::hash::stable(&name.to_string()),
            homes_are_full: false,
            is_additional: true,
            zone,
        }
    }
}
