//! Guards against a change of one route that is sent to each gateway as the whole configuration.

#[path = "common/fuzz.rs"]
mod fuzz;
#[path = "common/routes.rs"]
mod routes;

use std::collections::HashSet;
use std::sync::Arc;

use fuzz::check;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert_eq;
use routes::configuration;
use winchvane::control::outbox::{OutboxReceiver, outbox};
use winchvane::control::session::{change_messages, new_change_messages};
use winchvane::message::{Change, FollowedRouting, SessionDown};
use winchvane::routing::{RoutingConfiguration, RoutingUpdate, ServiceSpec};

const MAX_BYTES: u64 = 4_000_000;

/// `routes` routes, one of which differs in each version.
fn large(version: u64, routes: u64) -> Arc<RoutingConfiguration> {
    let timeout_ms = |number| if number == version % routes { version } else { 1_000 };
    Arc::new(configuration(version, (0..routes).map(|number| (number, timeout_ms(number)))))
}

#[test]
fn an_update_turns_one_configuration_into_the_other() {
    let unique = |mut routes: Vec<(u64, u64)>| {
        let mut seen = HashSet::new();
        routes.retain(|(number, _)| seen.insert(*number));
        routes
    };
    let before = vec((0..40_u64, 1..3_u64), 0..20);
    let added = vec((0..40_u64, 1..3_u64), 0..6);
    let kept = vec(0..20_usize, 0..20);
    check((before, kept, added, any::<bool>()), |(before, kept, added, has_other_service)| {
        let before = unique(before);
        // Some of the routes in some order, and new or changed ones among them.
        let mut after = added;
        for position in kept {
            let at = position % (after.len() + 1);
            after.splice(at..at, before.get(position).copied());
        }
        let base = configuration(3, before);
        let mut next = configuration(4, unique(after));
        if has_other_service {
            let service = ServiceSpec { name: "other".into(), connections_max: 1, engine: None };
            next.services.push(service);
        }
        let applied = RoutingUpdate::between(&base, &next).apply(&base);
        prop_assert_eq!(applied.expect("it fits"), next);
        Ok(())
    });
}

/// A leader publishes, and a follower takes messages now and then.
#[test]
fn a_follower_has_the_newest_configuration_once_it_has_read_all() {
    // How many configurations the follower takes after a new one; `NEW_LEADER` for one that another leader
    // sends.
    const NEW_LEADER: usize = 4;
    check(vec(0..=NEW_LEADER, 1..60), |steps| {
        let (sender, mut received) = outbox(MAX_BYTES);
        let mut routing = FollowedRouting::new();
        let mut published = large(1, 50);
        for message in change_messages(1, true, &[Change::Routing(published.clone())]) {
            sender.send_initial(message).expect("it is taken");
        }
        let mut known = take(&mut received, &mut routing).expect("one waits");
        for (step, taken) in steps.into_iter().enumerate() {
            let version = step as u64 + 2;
            let next = large(version, 50);
            let change = Change::Routing(next.clone());
            let messages = match taken {
                NEW_LEADER => change_messages(version, false, &[change]),
                _ => new_change_messages(version, vec![change], Some(&published)),
            };
            for message in messages {
                sender.send_initial(message).expect("it is taken");
            }
            published = next;
            for _ in 0..taken % NEW_LEADER {
                known = take(&mut received, &mut routing).unwrap_or(known);
            }
        }
        while let Some(newest) = take(&mut received, &mut routing) {
            known = newest;
        }
        prop_assert_eq!(known, published);
        Ok(())
    });
}

/// Takes messages up to the next configuration.
fn take(
    received: &mut OutboxReceiver,
    routing: &mut FollowedRouting,
) -> Option<Arc<RoutingConfiguration>> {
    while let Some(message) = received.try_next() {
        let SessionDown::Changes { mut changes, .. } = message else { continue };
        routing.resolve(&mut changes).expect("the update fits");
        for change in changes {
            if let Change::Routing(configuration) = change {
                return Some(configuration);
            }
        }
    }
    None
}

#[test]
fn a_change_of_one_route_is_sent_without_the_others() {
    let (before, after) = (large(1, 5_600), large(2, 5_600));
    let whole_bytes = after.size_bytes() as u64;
    let messages = new_change_messages(2, vec![Change::Routing(after)], Some(&before));
    let sent_bytes: u64 = messages.iter().map(|message| message.size_bytes()).sum();
    assert!(sent_bytes * 100 < whole_bytes, "{sent_bytes} of {whole_bytes} bytes");
}

#[test]
fn an_update_of_another_version_is_an_error() {
    let update = RoutingUpdate::between(&large(1, 5), &large(2, 5));
    assert!(update.apply(&large(3, 5)).is_err());
    let mut changes = [Change::RoutingUpdate(update)];
    assert!(FollowedRouting::new().resolve(&mut changes).is_err());
}

/// A change of most routes is sent as the whole configuration, which is as small.
#[test]
fn a_change_of_all_routes_is_sent_as_a_configuration() {
    let all = |version| Arc::new(configuration(version, (0..50).map(|number| (number, version))));
    let messages = new_change_messages(2, vec![Change::Routing(all(2))], Some(&all(1)));
    let SessionDown::Changes { changes, .. } = messages[0].message() else {
        panic!("{messages:?}")
    };
    assert!(matches!(changes[..], [Change::Routing(_)]));
}
