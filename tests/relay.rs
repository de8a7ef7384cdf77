//! The selection of endpoints and the other decisions of a relay: retries, event splitting,
//! connection reuse.

use winchvane::events::EventSplitter;
use winchvane::message::{EndpointLoad, Holding, Load, Placed, RegisteredEndpoint, WeightsName};
use winchvane::policy::rank::{LATE_RANK, Urgency};
use winchvane::relay::{
    Fleet, IdleConnections, PickRequest, Picked, PrefixCache, Prompt, PromptChain, PromptPart,
    ReadingPace, RetryBudget, UnansweredRequests, Wanted, reconnect_max_ms,
};

fn endpoint(id: &str, zone: &str, slots: u32) -> RegisteredEndpoint {
    RegisteredEndpoint {
        id: id.into(),
        name: id.into(),
        born_ms: 0,
        service: "quotes".into(),
        address: ([127, 0, 0, 1], 7_000 + u16::from(id.as_bytes()[0])).into(),
        zone: zone.into(),
        slots,
        leaving: false,
        software_version: "v1".into(),
    }
}

fn adapter() -> WeightsName {
    WeightsName::new("base", Some("shop"))
}

fn place(fleet: &mut Fleet, id: &str, holding: Holding) {
    fleet.place(false, vec![Placed { endpoint: id.into(), name: adapter(), holding }]);
}

fn loaded(id: &str, running: u32, waiting_ms: u32) -> EndpointLoad {
    EndpointLoad { endpoint: id.into(), load: Load { running, waiting_ms, ..Load::default() } }
}

/// A request with a prompt of `tokens` and one second left until its latency objective.
fn wanted(tokens: u32) -> Wanted {
    Wanted {
        weights: adapter(),
        priority: 0,
        left_ms: 1_000.0,
        prompt_tokens: tokens,
        prompt: PromptChain::default(),
        memory_tokens: 100_000,
    }
}

/// A request whose prompt has the given shared parts of 4,000 tokens each, and 1,000 tokens of its
/// own.
fn wanted_with(parts: &[u64]) -> Wanted {
    let mut told = Vec::new();
    for id in parts {
        told.push(PromptPart { id: *id, tokens: 4_000 });
    }
    let own: u64 = rand::random();
    told.push(PromptPart { id: own, tokens: 1_000 });
    let tokens = told.iter().map(|part| part.tokens).sum();
    Wanted { prompt: PromptChain::new(&adapter(), &told), ..wanted(tokens) }
}

fn waits(reading_ms: f64) -> Prompt {
    Prompt { tokens: 0, reading_ms, is_late: false }
}

fn picked(fleet: &mut Fleet, now_ms: u64, wanted: Option<&Wanted>) -> Option<String> {
    match fleet.pick(now_ms, "quotes", wanted, &[]) {
        Picked::Endpoint { id, .. } => Some(id.to_string()),
        _ => None,
    }
}

#[test]
fn the_least_loaded_endpoint_is_picked_and_the_own_zone_first() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 10));
    fleet.register(endpoint("f", "far", 10));
    assert_eq!(picked(&mut fleet, 0, None).as_deref(), Some("n"));
    fleet.note_loads(0, vec![loaded("n", 3, 0)]);
    assert_eq!(
        picked(&mut fleet, 0, None).as_deref(),
        Some("f"),
        "its load outweighs the zone preference"
    );
}

#[test]
fn requests_go_around_an_endpoint_that_reads_a_long_prompt() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 10));
    fleet.register(endpoint("f", "far", 10));
    let name = wanted(600);
    place(&mut fleet, "n", Holding::Ready(1));
    place(&mut fleet, "f", Holding::Ready(1));
    let number = fleet.start(0, &"n".into(), Some(&wanted(9_000)), false);
    assert_eq!(picked(&mut fleet, 1, Some(&name)).as_deref(), Some("f"), "n reads a long prompt");
    fleet.answered(240, &"n".into(), number);
    assert_eq!(picked(&mut fleet, 240, Some(&name)).as_deref(), Some("n"));
    fleet.note_loads(0, vec![loaded("n", 1, 240)]);
    assert_eq!(
        picked(&mut fleet, 240, Some(&name)).as_deref(),
        Some("f"),
        "n reads a prompt of another gateway"
    );
}

#[test]
fn many_gateways_do_not_all_take_the_endpoint_that_looks_emptiest() {
    let mut fleet = Fleet::new("far".into(), 1);
    fleet.set_gateways(0, 71);
    for id in ["a", "b", "c", "d"] {
        fleet.register(endpoint(id, "near", 6));
    }
    fleet.note_loads(0, vec![loaded("a", 0, 0), loaded("b", 3, 0), loaded("c", 3, 0)]);
    fleet.note_loads(0, vec![loaded("d", 6, 0)]);
    let mut taken = std::collections::BTreeMap::new();
    for _ in 0..4_000 {
        *taken.entry(picked(&mut fleet, 0, None).unwrap()).or_insert(0) += 1;
    }
    assert!(taken["a"] < 2_400, "not all take the least loaded one: {taken:?}");
    assert!(taken["a"] > taken["d"] * 2, "the most loaded one is taken least: {taken:?}");
}

#[test]
fn loads_of_others_are_forgotten_with_the_leader_that_told_them() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 2));
    fleet.note_loads(0, vec![loaded("n", 6, 0)]);
    assert_eq!(fleet.pick(0, "quotes", None, &[]), Picked::Full, "two run and four are queued");
    fleet.forget_loads(0);
    assert_eq!(picked(&mut fleet, 0, None).as_deref(), Some("n"));
}

/// Guards against requests of a workspace over its share that take every slot of an engine, so that
/// those of others, which wait in the queues of other adapters, never get one.
#[test]
fn requests_over_their_share_leave_slots_of_an_engine_free() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 12));
    let wanted = wanted(0);
    place(&mut fleet, "n", Holding::Ready(1));
    let within = PickRequest::new("quotes", Some(&wanted), &[]);
    let over = PickRequest { leaves_reserve: true, free_slots_only: true, ..within };
    fleet.note_loads(0, vec![loaded("n", 9, 0)]);
    assert!(matches!(fleet.pick_for(0, &over), Picked::Endpoint { .. }));
    fleet.note_loads(0, vec![loaded("n", 10, 0)]);
    assert_eq!(fleet.pick_for(0, &over), Picked::Full, "two slots are left to others");
    assert!(matches!(fleet.pick_for(0, &within), Picked::Endpoint { .. }));
}

#[test]
fn requests_go_around_an_endpoint_that_answers_nothing() {
    let mut waiting = UnansweredRequests::new();
    waiting.send(1_000, 1, waits(0.0));
    waiting.send(1_100, 2, waits(0.0));
    assert!(waiting.wait_ms(1_500) >= 500.0, "nothing was answered for half a second");
    waiting.answered(1_501);
    waiting.end(1_501, 2);
    assert!(waiting.wait_ms(1_600) < 1.0, "the endpoint answers; only the first request is slow");
}

#[test]
fn late_requests_hold_up_no_others() {
    let mut waiting = UnansweredRequests::new();
    waiting.send(1_000, 1, waits(300.0));
    waiting.send(1_000, 2, Prompt { is_late: true, ..waits(400.0) });
    assert_eq!(waiting.wait_ms(1_000) as u64, 300, "the late request is read last");
    assert_eq!(waiting.late_wait_ms(1_000) as u64, 700);
}

#[test]
fn a_request_that_will_be_late_is_ranked_last_and_a_short_one_never() {
    let urgency = |reading_ms, left_ms| Urgency { priority: 1, left_ms, reading_ms };
    assert_eq!(urgency(300.0, 800.0).rank_after(600.0), LATE_RANK);
    assert_eq!(urgency(300.0, 0.0).rank_after(0.0), LATE_RANK);
    assert_eq!(urgency(20.0, 0.0).rank_after(900.0), 1, "a short prompt delays no other");
    let ranks: Vec<u8> = [20.0, 100.0, 300.0, 700.0]
        .map(|reading_ms| urgency(reading_ms, 800.0).rank_after(0.0))
        .into();
    assert_eq!(ranks, [1, 2, 3, 4], "shorter prompts first");
    let last_in_time = Urgency { priority: 9, ..urgency(700.0, 800.0) }.rank_after(0.0);
    assert!(last_in_time < LATE_RANK, "late requests rank last");
}

#[test]
fn a_prompt_goes_where_its_shared_parts_are_kept() {
    for seed in 0..20 {
        let mut fleet = Fleet::new("near".into(), seed);
        for id in ["a", "b", "c"] {
            fleet.register(endpoint(id, "near", 10));
            place(&mut fleet, id, Holding::Ready(1));
        }
        let number = fleet.start(0, &"b".into(), Some(&wanted_with(&[1, 2])), false);
        fleet.answered(300, &"b".into(), number);
        fleet.finish(400, &"b".into(), Some(&adapter()), number);
        let same = wanted_with(&[1, 2]);
        assert_eq!(picked(&mut fleet, 500, Some(&same)).as_deref(), Some("b"));
    }
}

#[test]
fn gateways_agree_where_a_prompt_is_read_that_none_of_them_sent() {
    let mut chosen = std::collections::BTreeSet::new();
    for seed in 0..20 {
        let mut fleet = Fleet::new("near".into(), seed);
        for id in ["a", "b", "c"] {
            fleet.register(endpoint(id, "near", 10));
            place(&mut fleet, id, Holding::Ready(1));
        }
        chosen.insert(picked(&mut fleet, 0, Some(&wanted_with(&[1, 2]))));
    }
    assert_eq!(chosen.len(), 1, "{chosen:?}");
}

#[test]
fn parts_are_kept_in_order_for_one_adapter_and_the_oldest_give_way() {
    let chain = |weights: &WeightsName, ids: &[u64]| {
        let mut parts = Vec::new();
        for id in ids {
            parts.push(PromptPart { id: *id, tokens: 100 });
        }
        PromptChain::new(weights, &parts)
    };
    let (one, other) = (adapter(), WeightsName::new("base", Some("other")));
    let mut cache = PrefixCache::new();
    cache.note(&chain(&one, &[1, 2, 3]), 1_000);
    assert_eq!(cache.cached_tokens(&chain(&one, &[1, 2, 9])), 200);
    assert_eq!(cache.cached_tokens(&chain(&one, &[2, 3])), 0, "cached only after the parts before");
    assert_eq!(cache.cached_tokens(&chain(&other, &[1, 2, 3])), 0, "the cache is per adapter");
    cache.note(&chain(&one, &[1, 7]), 1_000);
    cache.note(&chain(&one, &[11, 12, 13]), 500);
    assert_eq!(
        cache.cached_tokens(&chain(&one, &[1, 2])),
        100,
        "the least recently used parts are evicted"
    );
    for id in 0..10_000 {
        cache.note(&chain(&one, &[1, id]), 400);
    }
    assert_eq!(cache.cached_tokens(&chain(&one, &[1])), 100, "a part in constant use stays");
}

#[test]
fn absurd_parts_of_a_prompt_take_no_memory_and_break_nothing() {
    let mut cache = PrefixCache::new();
    let largest = [PromptPart { id: 1, tokens: u32::MAX }, PromptPart { id: 2, tokens: u32::MAX }];
    let chain = PromptChain::new(&adapter(), &[largest[0], largest[1], largest[0]]);
    cache.note(&chain, u64::MAX);
    assert_eq!(cache.cached_tokens(&chain), u32::MAX);
    assert_eq!(chain.shared().map(|(_, tokens)| tokens), Some(u32::MAX));
    let mut cache = PrefixCache::new();
    for round in 0..200 {
        let mut empty = Vec::new();
        for id in 0..1_000 {
            empty.push(PromptPart { id: round * 1_000 + id, tokens: 0 });
        }
        cache.note(&PromptChain::new(&adapter(), &empty), 16_000);
    }
    assert!(cache.len() <= 1_000, "{} parts are cached", cache.len());
}

#[test]
fn the_pace_of_reading_is_learnt_from_the_faster_answers() {
    let mut pace = ReadingPace::new();
    for turn in 0..1_000 {
        // Half of the prompts wait behind others.
        pace.note(1_000, if turn % 2 == 0 { 50 } else { 300 });
    }
    let learnt_ms = pace.reading_ms(1_000);
    assert!((40.0..80.0).contains(&learnt_ms), "{learnt_ms}");
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_more() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 10));
    fleet.register(RegisteredEndpoint { leaving: true, ..endpoint("n", "near", 10) });
    assert_eq!(fleet.pick(0, "quotes", None, &[]), Picked::NoEndpoint);
}

#[test]
fn weights_are_looked_for_where_they_are() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 1));
    fleet.register(endpoint("f", "far", 1));
    let name = wanted(0);
    assert_eq!(fleet.pick(0, "quotes", Some(&name), &[]), Picked::NoHome);
    place(&mut fleet, "f", Holding::Coming);
    assert_eq!(fleet.pick(0, "quotes", Some(&name), &[]), Picked::Coming);
    place(&mut fleet, "f", Holding::Ready(1));
    assert_eq!(picked(&mut fleet, 0, Some(&name)).as_deref(), Some("f"));
    let number = fleet.start(0, &"f".into(), Some(&name), false);
    assert_eq!(fleet.pick(0, "quotes", Some(&name), &[]), Picked::Full);
    fleet.finish(0, &"f".into(), Some(&adapter()), number);
    assert_eq!(picked(&mut fleet, 0, Some(&name)).as_deref(), Some("f"));
    place(&mut fleet, "f", Holding::Gone);
    assert_eq!(fleet.pick(0, "quotes", Some(&name), &[]), Picked::NoHome);
}

#[test]
fn an_old_version_is_used_only_for_a_while() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 1));
    let name = adapter();
    place(&mut fleet, "n", Holding::Ready(1));
    fleet.set_newest(1_000, name.clone(), 2);
    assert_eq!(picked(&mut fleet, 1_100, Some(&wanted(0))).as_deref(), Some("n"));
    assert_eq!(fleet.pick(4_000, "quotes", Some(&wanted(0)), &[]), Picked::NoHome);
    place(&mut fleet, "n", Holding::Ready(2));
    let Picked::Endpoint { weights_version, .. } =
        fleet.pick(4_000, "quotes", Some(&wanted(0)), &[])
    else {
        panic!("no endpoint with the new version was picked");
    };
    assert_eq!(weights_version, Some(2), "the request names the version");
}

#[test]
fn weights_are_told_as_used_while_a_request_runs() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 4));
    let name = adapter();
    let number = fleet.start(0, &"n".into(), Some(&wanted(0)), false);
    let told = |fleet: &mut Fleet, now_ms| {
        let used = fleet.take_traffic(now_ms).used;
        used.first().map(|used| (used.requests, used.under_way))
    };
    assert_eq!(told(&mut fleet, 1_000), Some((1, 1)));
    assert_eq!(told(&mut fleet, 1_040), None, "in use without changes");
    assert_eq!(told(&mut fleet, 2_000), Some((0, 1)), "the full report repeats it");
    fleet.finish(2_010, &"n".into(), Some(&name), number);
    assert_eq!(told(&mut fleet, 2_040), Some((0, 0)), "the request has ended");
    assert_eq!(told(&mut fleet, 4_000), None);
}

#[test]
fn one_failure_closes_nothing_and_unreachable_does() {
    let mut fleet = Fleet::new("near".into(), 1);
    fleet.register(endpoint("n", "near", 4));
    fleet.failed(0, &"n".into());
    assert_eq!(picked(&mut fleet, 0, None).as_deref(), Some("n"));
    fleet.mark_unreachable(0, &"n".into());
    assert_eq!(fleet.pick(0, "quotes", None, &[]), Picked::Full);
    assert!(fleet.take_traffic(0).failing.is_empty(), "it may only be out of reach from here");
    fleet.mark_failing(&"n".into());
    assert_eq!(fleet.take_traffic(0).failing.len(), 1);
    assert_eq!(picked(&mut fleet, 10_000, None).as_deref(), Some("n"), "the pause is over");
}

#[test]
fn retries_keep_the_budget_of_all_gateways_over_any_window() {
    let (ratio, slack, window_ms, gateways) = (0.2, 50.0, 10_000, 5);
    let mut budgets = Vec::new();
    for _ in 0..gateways {
        budgets.push(RetryBudget::new(ratio, slack, window_ms));
    }
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        let busy = &mut budgets[0];
        busy.note_request(now_ms);
        requests.push(now_ms);
        for budget in &mut budgets {
            if budget.take(now_ms, gateways) {
                retries.push(now_ms);
            }
        }
    }
    for start_ms in (0..30_000).step_by(500) {
        let within = |at_ms: &&u64| **at_ms >= start_ms && **at_ms < start_ms + window_ms;
        let allowed = requests.iter().filter(within).count() as f64 * ratio + slack;
        assert!(retries.iter().filter(within).count() as f64 <= allowed);
    }
    assert!(retries.len() > 100, "the budget can be used");
}

#[test]
fn only_whole_events_are_given_out() {
    let mut events = EventSplitter::new(None);
    assert_eq!(
        events.push(b"id: 1\ndata: a\n\nid: 2\nda").as_deref(),
        Some(&b"id: 1\ndata: a\n\n"[..])
    );
    assert_eq!(events.last_event(), Some(1));
    assert_eq!(events.push(b"ta: b"), None);
    events.drop_partial();
    assert_eq!(events.push(b"id: 2\ndata: b\n\n").as_deref(), Some(&b"id: 2\ndata: b\n\n"[..]));
    assert_eq!(events.last_event(), Some(2));
    assert_eq!(events.take_remainder(), None);
}

/// Guards against a stream that was resumed inside an event above 1 MiB, whose rest was then
/// missing. Such an event is forwarded in parts, and its id counted as received with the first
/// part: below `last_event` is 2 while only a part of event 2 was returned.
#[test]
fn a_stream_is_not_taken_up_within_an_event() {
    let mut events = EventSplitter::new(None);
    events.push(b"id: 1\ndata: a\n\n").expect("a whole event");
    assert!(events.is_at_event_boundary());
    let mut large = b"id: 2\ndata: ".to_vec();
    large.resize(2 << 20, b'x');
    assert!(events.push(&large).is_some(), "a part of it");
    events.drop_partial();
    assert!(!events.is_at_event_boundary());
    assert!(events.push(b"the rest\n\nid: 3\n").is_some(), "its end");
    events.drop_partial();
    assert!(events.is_at_event_boundary());
    assert_eq!(events.last_event(), Some(2));
}

#[test]
fn idle_connections_are_used_before_the_endpoint_closes_them() {
    let address = ([127, 0, 0, 1], 7_001).into();
    let mut idle = IdleConnections::new();
    idle.put(0, address, "first", Some(2_000));
    idle.put(0, address, "second", None);
    assert_eq!(idle.take(1_000, address, |_| true), Some("second"), "the most recently used first");
    assert_eq!(idle.take(1_000, address, |_| false), None, "a connection that is not ready stays");
    assert_eq!(
        idle.take(1_900, address, |_| true),
        None,
        "the endpoint may close it at any moment"
    );
}

#[test]
fn a_gateway_finds_the_next_leader_while_a_change_may_still_be_late() {
    // Two replicas may be cut off; a change must take effect within two seconds of its
    // acknowledgement.
    assert!(reconnect_max_ms(2) < 2_000);
}
