//! Reads the settings of `winchvane-gateway`.

use std::net::SocketAddr;

use crate::policy::route::MAX_HOMES;
use crate::settings::reader::{
    FieldReader, check_ports, read_address, read_common, read_resources,
};
use crate::settings::{
    CallerLimits, EndpointSettings, GatewaySettings, LeaseSettings, PolicySettings, RetrySettings,
};
use crate::yaml::{Faults, Node};

/// Enough for the largest declarations that an operator may apply.
const MEMORY_MB: u64 = 512;

pub(super) fn read_gateway(root: &Node<'_>, faults: &mut Faults) -> Option<GatewaySettings> {
    let mut fields = FieldReader::new(root, faults);
    let common = read_common(&mut fields);
    let listen_callers = fields.address("listen_callers");
    let control = read_control_addresses(&mut fields);
    let limits = fields.section("limits", default_limits(), read_limits);
    let lease = fields.section("lease", default_lease(), read_lease);
    let retry = fields.section("retry", default_retry(), |fields| RetrySettings {
        attempts: fields.int_or("attempts", 4, 1..=20) as u32,
        budget_ratio: fields.number_or("budget_ratio", 0.2, 0.0..=10.0),
        budget_burst: fields.number_or("budget_burst", 20.0, 0.0..=100_000.0),
    });
    let policy = fields.section("policy", PolicySettings::default(), read_policy);
    let endpoints = fields.section("endpoints", default_endpoints(), read_endpoints);
    let resources = read_resources(&mut fields, MEMORY_MB);
    let stop_timeout_ms = fields.int_or("stop_timeout_ms", 60_000, 0..=3_600_000);
    let stop_grace_ms = fields.int_or("stop_grace_ms", 2_000, 0..=600_000);
    fields.finish();
    let common = common?;
    let listen_callers = listen_callers?;
    let listeners = [
        ("listen_peers", common.listen_peers),
        ("listen_admin", common.listen_admin),
        ("listen_callers", listen_callers),
    ];
    check_ports(root, &listeners, faults);
    Some(GatewaySettings {
        common,
        listen_callers,
        control,
        limits,
        lease,
        retry,
        policy,
        endpoints,
        resources,
        stop_timeout_ms,
        stop_grace_ms,
    })
}

fn read_control_addresses(fields: &mut FieldReader<'_, '_>) -> Vec<SocketAddr> {
    let mut addresses = Vec::new();
    let Some(node) = fields.required("control", "a list of the addresses of control's replicas")
    else {
        return addresses;
    };
    for item in node.items(fields.faults) {
        let Some(address) = read_address(&item, fields.faults) else { continue };
        addresses.push(address);
    }
    if addresses.is_empty() {
        fields.faults.add(&node, "expected at least one address");
    }
    addresses
}

fn default_limits() -> CallerLimits {
    CallerLimits {
        body_max_bytes: 4 << 20,
        header_max_bytes: 32 << 10,
        header_timeout_ms: 5_000,
        body_timeout_ms: 15_000,
        concurrent_requests: 4_096,
        connections: 8_192,
        recorded_answer_max_bytes: 256 << 10,
        in_progress_wait_ms: 2_000,
    }
}

fn read_limits(fields: &mut FieldReader<'_, '_>) -> CallerLimits {
    let default = default_limits();
    CallerLimits {
        body_max_bytes: fields.int_or(
            "body_max_bytes",
            default.body_max_bytes as u64,
            1_024..=1 << 28,
        ) as usize,
        header_max_bytes: fields.int_or(
            "header_max_bytes",
            default.header_max_bytes as u64,
            8_192..=1 << 20,
        ) as usize,
        header_timeout_ms: fields.int_or(
            "header_timeout_ms",
            default.header_timeout_ms,
            100..=600_000,
        ),
        body_timeout_ms: fields.int_or("body_timeout_ms", default.body_timeout_ms, 100..=600_000),
        concurrent_requests: fields.int_or(
            "concurrent_requests",
            default.concurrent_requests as u64,
            1..=1_000_000,
        ) as usize,
        connections: fields.int_or("connections", default.connections as u64, 1..=1_000_000)
            as usize,
        recorded_answer_max_bytes: fields.int_or(
            "recorded_answer_max_bytes",
            default.recorded_answer_max_bytes as u64,
            0..=16 << 20,
        ) as usize,
        in_progress_wait_ms: fields.int_or(
            "in_progress_wait_ms",
            default.in_progress_wait_ms,
            0..=60_000,
        ),
    }
}

fn default_lease() -> LeaseSettings {
    LeaseSettings { renew_ms: 500, lease_ms: 2_500, margin_ms: 300, freshness_ms: 5_000 }
}

fn read_lease(fields: &mut FieldReader<'_, '_>) -> LeaseSettings {
    let default = default_lease();
    let lease = LeaseSettings {
        renew_ms: fields.int_or("renew_ms", default.renew_ms, 50..=10_000),
        lease_ms: fields.int_or("lease_ms", default.lease_ms, 500..=60_000),
        margin_ms: fields.int_or("margin_ms", default.margin_ms, 10..=10_000),
        freshness_ms: fields.int_or("freshness_ms", default.freshness_ms, 500..=600_000),
    };
    if lease.renew_ms * 2 + lease.margin_ms > lease.lease_ms {
        let detail = "lease_ms must be at least twice renew_ms plus margin_ms";
        fields.faults.add(&fields.node, detail);
    }
    lease
}

fn default_retry() -> RetrySettings {
    RetrySettings { attempts: 4, budget_ratio: 0.2, budget_burst: 20.0 }
}

fn read_policy(fields: &mut FieldReader<'_, '_>) -> PolicySettings {
    let default = PolicySettings::default();
    PolicySettings {
        load_stall_weight: fields.number_or(
            "load_stall_weight",
            default.load_stall_weight,
            0.0..=100.0,
        ),
        batch_efficiency_weight: fields.number_or(
            "batch_efficiency_weight",
            default.batch_efficiency_weight,
            0.0..=100.0,
        ),
        queue_max: fields.int_or("queue_max", default.queue_max as u64, 1..=1_000_000) as usize,
        workspace_share: fields.number_or("workspace_share", default.workspace_share, 0.01..=1.0),
        aging_ms: fields.int_or("aging_ms", default.aging_ms, 1..=600_000),
        loads_at_once: fields.int_or("loads_at_once", default.loads_at_once as u64, 1..=64)
            as usize,
        load_wait_max_ms: fields.int_or(
            "load_wait_max_ms",
            default.load_wait_max_ms,
            1..=3_600_000,
        ),
        load_estimate_ms: fields.int_or("load_estimate_ms", default.load_estimate_ms, 1..=600_000),
        service_estimate_ms: fields.int_or(
            "service_estimate_ms",
            default.service_estimate_ms,
            1..=600_000,
        ),
        popularity_half_life_ms: fields.int_or(
            "popularity_half_life_ms",
            default.popularity_half_life_ms,
            100..=3_600_000,
        ),
        homes: fields.int_or("homes", default.homes as u64, 1..=MAX_HOMES as u64) as usize,
        second_place: fields.bool_or("second_place", default.second_place),
        loads_by_urgency: fields.bool_or("loads_by_urgency", default.loads_by_urgency),
    }
}

fn default_endpoints() -> EndpointSettings {
    EndpointSettings {
        connect_timeout_ms: 500,
        status_poll_ms: 1_000,
        status_timeout_ms: 1_000,
        failures_to_down: 3,
        load_timeout_ms: 10_000,
        idle_timeout_ms: 30_000,
    }
}

fn read_endpoints(fields: &mut FieldReader<'_, '_>) -> EndpointSettings {
    let default = default_endpoints();
    EndpointSettings {
        connect_timeout_ms: fields.int_or(
            "connect_timeout_ms",
            default.connect_timeout_ms,
            10..=60_000,
        ),
        status_poll_ms: fields.int_or("status_poll_ms", default.status_poll_ms, 20..=60_000),
        status_timeout_ms: fields.int_or(
            "status_timeout_ms",
            default.status_timeout_ms,
            20..=60_000,
        ),
        failures_to_down: fields.int_or(
            "failures_to_down",
            u64::from(default.failures_to_down),
            1..=100,
        ) as u32,
        load_timeout_ms: fields.int_or("load_timeout_ms", default.load_timeout_ms, 100..=600_000),
        idle_timeout_ms: fields.int_or("idle_timeout_ms", default.idle_timeout_ms, 100..=600_000),
    }
}
