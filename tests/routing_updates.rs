//! Guards against a change of one route that is sent to each gateway as the whole configuration.

#[path = "common/routes.rs"]
mod routes;

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, proptest};
use proptest::sample::select;
use proptest::{prop_assert_eq, prop_oneof};
use routes::configuration;
use winchvane::control::outbox::{OutboxReceiver, OutboxSender, outbox};
use winchvane::control::session::{change_messages, new_change_messages};
use winchvane::message::{Change, FollowedRouting, SessionDown};
use winchvane::routing::{RoutingConfiguration, RoutingUpdate, ServiceSpec};

const MAX_BYTES: u64 = 4_000_000;

/// `routes` routes, one of which differs in each version.
fn large(version: u64, routes: u64) -> Arc<RoutingConfiguration> {
    let timeout_ms = |number| if number == version % routes { version } else { 1_000 };
    Arc::new(configuration(version, (0..routes).map(|number| (number, timeout_ms(number)))))
}

proptest! {
    #[test]
    fn an_update_turns_one_configuration_into_the_other(
        (before, kept, added) in vec((0..40_u64, 1..3_u64), 0..20).prop_flat_map(|before| {
            let length = before.len();
            (Just(before), vec(0..=length, 0..20), vec((0..40_u64, 1..3_u64), 0..6))
        }),
        has_other_service in any::<bool>(),
    ) {
        let unique = |mut routes: Vec<(u64, u64)>| {
            let mut seen = std::collections::HashSet::new();
            routes.retain(|(number, _)| seen.insert(*number));
            routes
        };
        let before = unique(before);
        // Some of the routes in some order, and new or changed ones among them.
        let mut after = added.clone();
        for position in kept {
            let at = position % (after.len() + 1);
            after.splice(at..at, before.get(position).copied());
        }
        let base = configuration(3, before.clone());
        let mut next = configuration(4, unique(after));
        if has_other_service {
            let service = ServiceSpec { name: "other".into(), connections_max: 1, engine: None };
            next.services.push(service);
        }
        let applied = RoutingUpdate::between(&base, &next).apply(&base);
        prop_assert_eq!(applied.expect("it fits"), next);
    }

    /// The leader publishes, a follower takes messages now and then, and other followers are welcomed.
    #[test]
    fn a_follower_has_the_newest_configuration_once_it_has_read_all(
        steps in vec(prop_oneof![6 => select(vec![0, 1, 2, 3]), 1 => Just(4)], 1..60),
    ) {
        let (sender, mut received) = outbox(MAX_BYTES);
        let mut routing = FollowedRouting::new();
        let mut published = large(1, 50);
        let whole = [Change::Routing(published.clone())];
        let mut known = send_all(&sender, &mut received, &mut routing, change_messages(1, true, &whole));
        for (step, kind) in steps.into_iter().enumerate() {
            let version = step as u64 + 2;
            let next = large(version, 50);
            let change = Change::Routing(next.clone());
            if kind == 4 {
                // A new leader sends what differs from what the one before it had sent.
                for message in change_messages(version, false, &[change]) {
                    sender.send_initial(message).expect("it is taken");
                }
            } else {
                for message in new_change_messages(version, vec![change], Some(&published)) {
                    sender.send(message).expect("there is room");
                }
            }
            published = next;
            for _ in 0..kind {
                known = take(&mut received, &mut routing).unwrap_or(known);
            }
        }
        while let Some(newest) = take(&mut received, &mut routing) {
            known = newest;
        }
        prop_assert_eq!(known, published);
    }
}

fn send_all(
    sender: &OutboxSender,
    received: &mut OutboxReceiver,
    routing: &mut FollowedRouting,
    messages: Vec<Arc<winchvane::control::outbox::Outgoing>>,
) -> Arc<RoutingConfiguration> {
    for message in messages {
        sender.send_initial(message).expect("it is taken");
    }
    take(received, routing).expect("one waits")
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
