//! Tells gateways at which software version streams began.

use tracing::info;

use super::Replica;
use super::reads::Read;
use crate::control::placement::UsageSource;
use crate::message::{OriginAsk, SessionDown, StreamOrigin};

impl Replica {
    /// Answers where a stream began: at once if that was recorded, which stays true whoever leads.
    /// Otherwise once a round has confirmed that the registered software versions are current.
    pub(super) fn ask_origin(&mut self, from: &UsageSource, ask: OriginAsk) {
        if self.registered.origins.get(&ask.stream).is_some() {
            self.answer_origin(from, &ask);
            return;
        }
        self.read(Read::Origin { from: from.clone(), ask });
    }

    pub(super) fn answer_origin(&mut self, from: &UsageSource, ask: &OriginAsk) {
        let recorded = self.registered.origins.get(&ask.stream).cloned();
        let is_recorded = recorded.is_some();
        let origin = recorded.or_else(|| self.only_origin(ask));
        info!(
            event = "origin_asked",
            gateway = %from.gateway,
            stream = %ask.stream,
            recorded = is_recorded,
            software = origin.as_ref().map_or("unknown", |origin| &*origin.software_version)
        );
        let (gateway, stream) = (from.gateway.clone(), ask.stream);
        self.send_to_gateway(from, &SessionDown::Origin { gateway, stream, origin });
    }

    /// The only place where the stream can have begun, if there is just one.
    fn only_origin(&self, ask: &OriginAsk) -> Option<StreamOrigin> {
        let service = ask.service.clone()?;
        let software_version = self.state.registry.sole_software(&service)?.clone();
        Some(StreamOrigin { service, software_version })
    }
}
