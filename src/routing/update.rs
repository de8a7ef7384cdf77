//! The difference between two configurations, for receivers that know the earlier one.

use std::cell::OnceCell;
use std::collections::HashMap;
use std::mem::size_of;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{RequestLimits, Route, RoutingConfiguration, ServiceSpec, Workspace};
use crate::error::{Error, Result};

/// What turns one configuration into the next one.
///
/// Where few routes change, it is a small part of the configuration, in bytes and in the time to decode it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RoutingUpdate {
    base_version: u64,
    version: u64,
    routes: Vec<RouteRun>,
    /// `None` if they are as before.
    services: Option<Vec<ServiceSpec>>,
    limits: RequestLimits,
    /// `None` if they are as before.
    workspaces: Option<Vec<Workspace>>,
}

/// Routes that follow each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum RouteRun {
    /// So many routes of the earlier configuration, from the position `start` on.
    Kept { start: usize, count: usize },
    /// Routes that the earlier configuration does not have.
    New(Vec<Arc<Route>>),
}

impl RoutingUpdate {
    /// What turns `base` into `next`.
    pub fn between(base: &RoutingConfiguration, next: &RoutingConfiguration) -> Self {
        Self {
            base_version: base.version,
            version: next.version,
            routes: route_runs(&base.routes, &next.routes),
            services: (base.services != next.services).then(|| next.services.clone()),
            limits: next.limits,
            workspaces: (base.workspaces != next.workspaces).then(|| next.workspaces.clone()),
        }
    }

    /// The next configuration, whose unchanged routes are shared with `base`.
    ///
    /// # Errors
    /// The update is for another configuration than `base`.
    pub fn apply(&self, base: &RoutingConfiguration) -> Result<RoutingConfiguration> {
        if self.base_version != base.version {
            let (expected, known) = (self.base_version, base.version);
            return Err(unfit(format!("it is for version {expected}, and {known} is known")));
        }
        let mut routes = Vec::with_capacity(base.routes.len());
        for run in &self.routes {
            match run {
                RouteRun::Kept { start, count } => {
                    let end = start.saturating_add(*count);
                    let kept = base.routes.get(*start..end);
                    let kept = kept.ok_or_else(|| unfit(format!("there is no route {end}")))?;
                    routes.extend_from_slice(kept);
                }
                RouteRun::New(new) => routes.extend_from_slice(new),
            }
        }
        Ok(RoutingConfiguration {
            version: self.version,
            routes,
            services: self.services.as_ref().unwrap_or(&base.services).clone(),
            limits: self.limits,
            workspaces: self.workspaces.as_ref().unwrap_or(&base.workspaces).clone(),
        })
    }

    /// An estimate of the memory that this update takes.
    pub fn size_bytes(&self) -> usize {
        let mut size_bytes = size_of::<Self>() + self.routes.len() * size_of::<RouteRun>();
        for run in &self.routes {
            if let RouteRun::New(routes) = run {
                size_bytes += routes.iter().map(|route| route.size_bytes()).sum::<usize>();
            }
        }
        for service in self.services.iter().flatten() {
            size_bytes += service.size_bytes();
        }
        for workspace in self.workspaces.iter().flatten() {
            size_bytes += workspace.size_bytes();
        }
        size_bytes
    }
}

fn unfit(detail: String) -> Error {
    Error::invalid(format!("a routing update does not fit: {detail}"))
}

fn route_runs(base: &[Arc<Route>], next: &[Arc<Route>]) -> Vec<RouteRun> {
    let positions = OnceCell::new();
    let mut runs = Vec::new();
    // Most routes stand where they stood, relative to the one before them.
    let mut expected = 0;
    for route in next {
        let position = if base.get(expected) == Some(route) {
            Some(expected)
        } else {
            let positions: &HashMap<_, usize> = positions.get_or_init(|| positions_of(base));
            let found = positions.get(&place(route)).copied();
            expected = found.unwrap_or(expected);
            found.filter(|position| base[*position] == *route)
        };
        add_to_runs(&mut runs, position, route);
        expected += 1;
    }
    runs
}

fn add_to_runs(runs: &mut Vec<RouteRun>, position: Option<usize>, route: &Arc<Route>) {
    match (position, runs.last_mut()) {
        (Some(position), Some(RouteRun::Kept { start, count })) if *start + *count == position => {
            *count += 1;
        }
        (Some(start), _) => runs.push(RouteRun::Kept { start, count: 1 }),
        (None, Some(RouteRun::New(routes))) => routes.push(route.clone()),
        (None, _) => runs.push(RouteRun::New(vec![route.clone()])),
    }
}

fn positions_of(routes: &[Arc<Route>]) -> HashMap<(&str, &str), usize> {
    routes.iter().enumerate().map(|(position, route)| (place(route), position)).collect()
}

/// What no two routes of a configuration have in common.
fn place(route: &Route) -> (&str, &str) {
    (&route.host, &route.path_prefix)
}
