//! Disruptions of all connections to one kind of process.

use crate::proxy::Silence;
use crate::region::Region;

impl Region {
    /// Lets the open connections to the replicas of control fall silent for good.
    pub fn silence_control(&self, silence: Silence) {
        self.silence_open("control-", silence);
    }

    /// Lets the open connections to the endpoints of the plain service fall silent for good.
    pub fn silence_endpoints(&self, silence: Silence) {
        self.silence_open("endpoint-", silence);
    }

    /// Resets the connections to the endpoints of the plain service.
    pub fn reset_endpoints(&self) {
        for (name, proxy) in &self.proxies {
            if name.starts_with("endpoint-") {
                proxy.reset();
            }
        }
    }

    fn silence_open(&self, prefix: &str, silence: Silence) {
        for (name, proxy) in &self.proxies {
            if name.starts_with(prefix) {
                proxy.silence_open(silence);
            }
        }
    }
}
