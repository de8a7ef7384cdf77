//! Control replicas as processes that are killed, frozen, cut off, idle, or lose their disk.
//!
//! Every test waits for conditions; beyond the bounds that a test states, none depends on the speed
//! of the machine.

mod common;

use std::time::{Duration, Instant};

use common::region::options;
use http::{Method, StatusCode};
use winchvane_standin::region::{Region, RegionOptions, wait_for};

#[tokio::test(flavor = "multi_thread")]
async fn accepted_changes_survive_a_killed_and_a_frozen_leader() {
    let mut region = Region::start(options()).await;
    let mut accepted = 0;
    for version in 2..=30_u32 {
        if version == 10 {
            let leader = region.leader().await;
            region.controls[leader].kill();
            region.controls[leader].start();
        }
        if version == 20 {
            let leader = region.leader().await;
            region.controls[leader].freeze();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let text = format!(
            "{{kind: Service, name: taichung, version: {version}, workspace: w1, template: quote, \
             parameters: {{adapter: shop-a, adapter_version: {version}}}}}\n"
        );
        // An operator resends to another gateway until the change is accepted.
        for attempt in 0.. {
            let got = region.apply(attempt % 3, &text).await;
            if got.status == StatusCode::OK {
                break;
            }
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE, "{}", got.body);
            assert!(attempt < 10, "{}", got.body);
        }
        accepted = version;
    }
    for process in &region.controls {
        process.thaw();
    }
    for gateway in 0..3 {
        let expected = format!("shop-a@{accepted}");
        wait_for("the last accepted version is served", async || {
            let path = "/v1/models/taichung";
            let got = region.send(region.callers(gateway), Method::GET, path, &[], "").await;
            got.is_ok_and(|got| got.json()["adapter"] == expected.as_str())
        })
        .await;
        let got = region.quote(gateway, "taichung").await;
        assert_eq!(got.json()["model"], expected.as_str(), "{}", got.body);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_replica_with_a_deleted_folder_joins_and_a_second_may_be_lost() {
    let mut region = Region::start(RegionOptions { snapshot_entries: 20, ..options() }).await;
    let order = region.order(0, "order-9").await.expect("an answer");
    assert_eq!(order.status, StatusCode::OK);
    for version in 2..=40_u32 {
        let text = format!(
            "{{kind: Service, name: hsinchu, version: {version}, workspace: w2, template: quote, \
             parameters: {{adapter: shop-b, adapter_version: {version}}}}}\n"
        );
        assert_eq!(region.apply(0, &text).await.status, StatusCode::OK);
    }
    region.controls[0].kill();
    std::fs::remove_dir_all(region.data_folder(0)).expect("the folder can be removed");
    region.controls[0].start();
    wait_for("the replica votes under a new id and the lost id is removed", async || {
        let dump = region.control_dump(0).await;
        let members = dump["group"]["members"].as_array().cloned().unwrap_or_default();
        let own = members.iter().find(|member| member[1] == dump["group"]["id"]);
        members.len() == 3 && own.is_some_and(|member| member[3] == true)
    })
    .await;
    let id = region.control_dump(0).await["group"]["id"].as_u64();
    assert!(id > Some(3), "the replica restarted under a founder's id: {id:?}");
    region.controls[1].kill();
    wait_for("changes are accepted again", async || {
        let text = "{kind: Service, name: new, version: 1, workspace: w2, template: quote, \
                    parameters: {adapter: shop-b, adapter_version: 7}}\n";
        region.apply(1, text).await.status == StatusCode::OK
    })
    .await;
    let got = region.send(region.admin(1), Method::GET, "/config?name=hsinchu", &[], "").await;
    let got = got.expect("an answer");
    assert!(got.body.contains("\"version\":40"), "{}", got.body);
    let again = region.order(2, "order-9").await.expect("an answer");
    assert_eq!(again.body, order.body);
    assert_eq!(again.header("winchvane-replayed"), "true");
    assert_eq!(region.plain.runs()["order-9"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_cut_off_from_control_stops_admitting_and_comes_back() {
    let region = Region::start(options()).await;
    assert_eq!(region.quote(0, "taichung").await.status, StatusCode::OK);
    for process in &region.controls {
        process.freeze();
    }
    wait_for("no request is admitted", async || {
        let got = region.quote(0, "taichung").await;
        if got.status == StatusCode::OK {
            return false;
        }
        assert_eq!(got.header("winchvane-run"), "not-run", "{}", got.body);
        assert!(!got.header("retry-after").is_empty());
        got.code() == "configuration_not_confirmed"
    })
    .await;
    let ready = region.send(region.callers(0), Method::GET, "/ready", &[], "").await;
    assert_eq!(ready.expect("an answer").status, StatusCode::SERVICE_UNAVAILABLE);
    for process in &region.controls {
        process.thaw();
    }
    let started = Instant::now();
    for gateway in 0..3 {
        region.wait_ready(gateway).await;
        wait_for("requests are served again", async || {
            region.quote(gateway, "taichung").await.status == StatusCode::OK
        })
        .await;
    }
    println!("all gateways serve again after {} ms", started.elapsed().as_millis());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_disk_stops_the_replica_and_loses_nothing() {
    let mut region = Region::start(options()).await;
    let leader = region.leader().await;
    region.controls[leader].kill();
    // The log may grow by a few kilobytes only; SIGXFSZ is ignored so that the write fails instead
    // of ending the process.
    region.controls[leader].start_under(&["trap '' XFSZ; ulimit -f 8"]);
    wait_for("the replica knows a leader again", async || {
        region.control_dump(leader).await["group"]["leader"].is_number()
    })
    .await;
    for version in 2..=100_u32 {
        let text = format!(
            "{{kind: Service, name: hsinchu, version: {version}, workspace: w2, template: quote, \
             parameters: {{adapter: shop-b, adapter_version: {version}}}}}\n"
        );
        for attempt in 0.. {
            if region.apply(attempt % 3, &text).await.status == StatusCode::OK {
                break;
            }
            assert!(attempt < 10, "version {version} is not accepted");
        }
    }
    let status = region.controls[leader].wait().await;
    assert_eq!(status.code(), Some(3), "{}", region.controls[leader].log());
    assert!(region.controls[leader].log().contains("event=storage_failed"));
    region.controls[leader].start();
    wait_for("the replica has applied all entries again", async || {
        let dump = region.control_dump(leader).await;
        let other = region.control_dump((leader + 1) % 3).await;
        dump["group"]["applied"].is_number()
            && dump["group"]["applied"] == other["group"]["applied"]
    })
    .await;
}

/// Guards against a busy loop: each flush once scheduled the next one, and an idle replica used a
/// whole core.
#[tokio::test(flavor = "multi_thread")]
async fn an_idle_replica_does_not_flush_in_a_loop() {
    let region = Region::start(options()).await;
    let leader = region.leader().await;
    let flushes = async || {
        region.control_dump(leader).await["counters"]["control.flushes"].as_u64().unwrap_or(0)
    };
    let before = flushes().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let flush_count = flushes().await - before;
    assert!(flush_count > 0 && flush_count < 2_000, "{flush_count} flushes in a second");
}
