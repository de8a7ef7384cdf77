//! Fixtures for endpoint selection tests: endpoints, fleets and adapter requests.

use winchvane::message::{Holding, Placed, RegisteredEndpoint, WeightsName};
use winchvane::relay::{Fleet, PromptChain, Wanted};

/// The service that all endpoints provide.
pub const SERVICE: &str = "quotes";

/// Returns the incarnation of the endpoint `id` that started at `born_ms`.
pub fn endpoint(id: &str, born_ms: u64) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: RegisteredEndpoint::incarnation_id(id, born_ms),
        name: id.into(),
        born_ms,
        service: SERVICE.into(),
        address: ([127, 0, 0, 1], 7_000 + u16::from(id.as_bytes()[0])).into(),
        zone: "near".into(),
        slots: 64,
        leaving: false,
        software_version: "v1".into(),
    }
}

/// Returns a fleet with the endpoints `ids` registered.
pub fn fleet(ids: &[&str]) -> Fleet {
    let mut fleet = Fleet::new("near".into(), 1);
    for id in ids {
        fleet.register(endpoint(id, 0));
    }
    fleet
}

fn adapter() -> WeightsName {
    WeightsName::new("base", Some("shop"))
}

/// Places the adapter that [`wanted`] requests on the endpoint `id`, ready to serve.
pub fn place_adapter(fleet: &mut Fleet, id: &str) {
    let holding = Holding::Ready(1);
    fleet.place(false, vec![Placed { endpoint: id.into(), name: adapter(), holding }]);
}

/// Returns a request for the adapter that [`place_adapter`] places.
pub fn wanted() -> Wanted {
    Wanted {
        weights: adapter(),
        priority: 0,
        left_ms: 1_000.0,
        prompt_tokens: 0,
        prompt: PromptChain::default(),
        memory_tokens: 100_000,
    }
}
