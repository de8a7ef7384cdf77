//! Which software versions of a service may have begun a stream that a client still resumes.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::message::RegisteredEndpoint;
use crate::routing::RoutingConfiguration;

/// How often the versions in use are compared with those that are remembered.
const CHECK_PERIOD_MS: u64 = 1_000;
/// How long a version without endpoints is remembered at least.
const KEPT_MIN_MS: u64 = 60_000;
/// The number of times that a client may resume a stream, each time for as long as its route allows.
const RESUMPTIONS: u64 = 2;

/// The remembered software versions, by service.
pub type SoftwareVersions = BTreeMap<Arc<str>, BTreeSet<Arc<str>>>;

/// A software version of a service.
pub type ServiceSoftware = (Arc<str>, Arc<str>);

/// Finds versions that can be forgotten: no stream that they began is resumed any more.
#[derive(Debug, Default)]
pub struct UnusedSoftware {
    since_ms: HashMap<ServiceSoftware, u64>,
    due_ms: u64,
}

impl UnusedSoftware {
    /// Nothing is known to be unused.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the versions of `remembered` that have had no endpoint for long enough.
    pub fn take<'a>(
        &mut self,
        now_ms: u64,
        remembered: &SoftwareVersions,
        endpoints: impl Iterator<Item = &'a RegisteredEndpoint>,
        routing: Option<&RoutingConfiguration>,
    ) -> Vec<ServiceSoftware> {
        if now_ms < self.due_ms {
            return Vec::new();
        }
        self.due_ms = now_ms + CHECK_PERIOD_MS;
        let mut used = HashSet::new();
        for endpoint in endpoints {
            used.insert((&*endpoint.service, &*endpoint.software_version));
        }
        let kept_ms = kept_ms(routing);
        let mut since_ms = HashMap::new();
        let mut unused = Vec::new();
        for (service, versions) in remembered {
            for version in versions {
                if used.contains(&(&**service, &**version)) {
                    continue;
                }
                let key = (service.clone(), version.clone());
                let unused_since_ms = self.since_ms.get(&key).copied().unwrap_or(now_ms);
                if now_ms >= unused_since_ms + kept_ms {
                    unused.push(key.clone());
                }
                since_ms.insert(key, unused_since_ms);
            }
        }
        self.since_ms = since_ms;
        unused
    }
}

fn kept_ms(routing: Option<&RoutingConfiguration>) -> u64 {
    let mut longest_ms = 0;
    for route in routing.map_or(&[][..], |routing| &routing.routes) {
        longest_ms = longest_ms.max(route.timeout_ms);
    }
    KEPT_MIN_MS.max(longest_ms * RESUMPTIONS)
}
