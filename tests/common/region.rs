//! A region of real processes, as most tests of processes want it.

use std::path::Path;
use std::sync::Arc;

use http::Method;
use serde_json::json;
use winchvane_standin::engine::EngineOptions;
use winchvane_standin::forwarder::Forwarder;
use winchvane_standin::plain::PlainFault;
use winchvane_standin::region::{Region, RegionOptions, instance, wait_for};

pub fn engine() -> EngineOptions {
    EngineOptions { load_ms: 20, step_ms: 2, tokens: 4, ..EngineOptions::default() }
}

pub fn options() -> RegionOptions {
    let gateway = Path::new(env!("CARGO_BIN_EXE_winchvane-gateway"));
    let bin_folder = gateway.parent().expect("programs are in a folder").to_owned();
    RegionOptions { bin_folder, engine: engine(), ..RegionOptions::default() }
}

pub async fn set_plain_fault(region: &Region, fault: PlainFault) {
    let plain = region.instances.iter().find(|instance| &*instance.pool == "portal");
    let address = plain.expect("there is one").address;
    let body = json!(fault).to_string();
    region.send(address, Method::PUT, "/fault", &[], &body).await.expect("the fault is set");
}

/// Lists the first engine as `engine-9` behind a forwarder, and waits until only that one is followed of
/// the engines.
pub async fn list_behind_forwarder(region: &mut Region) -> Arc<Forwarder> {
    let (forwarder, address) =
        Forwarder::start(region.instances[0].address).await.expect("the forwarder starts");
    region.instances[0] = instance("engine-9", address, "quotes");
    region.platform.set(region.instances.clone());
    wait_for("only engine-9 is listed", async || {
        let endpoints = region.status().await.expect("a gateway answers")["endpoints"].to_string();
        endpoints.contains("engine-9")
            && !endpoints.contains("engine-0")
            && !endpoints.contains("engine-1")
    })
    .await;
    forwarder
}
