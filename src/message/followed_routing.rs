//! The routing configuration as a receiver of changes knows it.

use std::sync::Arc;

use super::Change;
use crate::error::{Error, Result};
use crate::routing::RoutingConfiguration;

/// The configuration that one sender has sent last, to which its updates apply.
#[derive(Debug, Default)]
pub struct FollowedRouting(Option<Arc<RoutingConfiguration>>);

impl FollowedRouting {
    /// Nothing was sent yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces updates of the configuration in `changes` by the configurations that result.
    ///
    /// # Errors
    /// An update of a configuration that the sender has not sent; it has to send the whole state again.
    pub fn resolve(&mut self, changes: &mut [Change]) -> Result<()> {
        for change in changes {
            if let Change::RoutingUpdate(update) = change {
                let known = self.0.as_ref();
                let known = known.ok_or_else(|| Error::invalid("an update of no configuration"))?;
                *change = Change::Routing(Arc::new(update.apply(known)?));
            }
            if let Change::Routing(configuration) = change {
                self.0 = Some(configuration.clone());
            }
        }
        Ok(())
    }
}
