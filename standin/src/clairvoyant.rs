//! A reference for the policy's measurement: load stalls of one who knows every request to come.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use crate::measure::{Deployment, Options, load_ms, workload};

/// The load stalls of one who knows every request to come and obeys the same store: the adapter that
/// is needed again last is evicted, and each load starts once its slot is free, the earliest needed
/// first. All slots count as one pool, so this is a reference below what can be reached.
pub fn clairvoyant(options: &Options) -> Vec<(u64, f64)> {
    let arrivals = workload(options);
    let deployment = &options.deployment;
    let slots = deployment.engines * deployment.slots as usize;
    let mut next_use = vec![u64::MAX; arrivals.len()];
    let mut seen: HashMap<usize, usize> = HashMap::new();
    for (position, arrival) in arrivals.iter().enumerate().rev() {
        if let Some(later) = seen.insert(arrival.adapter, position) {
            next_use[position] = later as u64;
        }
    }
    // Resident adapters by next use, and when each was last used.
    let mut resident: HashMap<usize, (u64, u64)> = HashMap::new();
    let mut by_next: BTreeSet<(u64, usize)> = BTreeSet::new();
    let mut loads: Vec<(u64, u64, usize)> = Vec::new();
    for (position, arrival) in arrivals.iter().enumerate() {
        let known = resident.remove(&arrival.adapter);
        if let Some((next, _)) = known {
            by_next.remove(&(next, arrival.adapter));
        } else {
            let mut free_us = 0;
            if resident.len() >= slots
                && let Some((_, victim)) = by_next.pop_last()
                && let Some((_, last_us)) = resident.remove(&victim)
            {
                free_us = last_us;
            }
            loads.push((free_us, arrival.at_us, position));
        }
        let next = if next_use[position] == u64::MAX {
            u64::MAX - arrival.adapter as u64
        } else {
            next_use[position]
        };
        by_next.insert((next, arrival.adapter));
        resident.insert(arrival.adapter, (next, arrival.at_us));
    }
    let done_us = schedule_loads(&loads, deployment);
    let mut ready_us: HashMap<usize, u64> = HashMap::new();
    let mut stalls = Vec::new();
    let count_from_us = options.seconds * 1_000_000 / 3;
    for (position, arrival) in arrivals.iter().enumerate() {
        if let Some(done_us) = done_us.get(&position) {
            ready_us.insert(arrival.adapter, *done_us);
        }
        if arrival.at_us >= count_from_us {
            let ready_us = ready_us.get(&arrival.adapter).copied().unwrap_or(0);
            stalls.push((arrival.at_us, ready_us.saturating_sub(arrival.at_us) as f64 / 1_000.0));
        }
    }
    stalls
}

/// Earliest due first on as many servers as the store runs at full speed; when each load is done.
fn schedule_loads(loads: &[(u64, u64, usize)], deployment: &Deployment) -> HashMap<usize, u64> {
    let duration_us = (load_ms(deployment) * 1_000.0) as u64;
    let mut by_release: Vec<&(u64, u64, usize)> = loads.iter().collect();
    by_release.sort_unstable();
    let mut waiting = BinaryHeap::new();
    let mut servers: BinaryHeap<Reverse<u64>> =
        (0..deployment.concurrent_loads).map(|_| Reverse(0)).collect();
    let mut done = HashMap::new();
    let mut released = by_release.into_iter().peekable();
    while done.len() < loads.len() {
        let Some(Reverse(mut free_us)) = servers.pop() else { break };
        if waiting.is_empty()
            && let Some((release_us, ..)) = released.peek()
        {
            free_us = free_us.max(*release_us);
        }
        while let Some((release_us, due_us, position)) = released.peek() {
            if *release_us > free_us {
                break;
            }
            waiting.push(Reverse((*due_us, *position)));
            released.next();
        }
        let Some(Reverse((_, position))) = waiting.pop() else { break };
        done.insert(position, free_us + duration_us);
        servers.push(Reverse(free_us + duration_us));
    }
    done
}
