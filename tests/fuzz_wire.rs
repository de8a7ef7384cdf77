//! Messages between the system's processes with arbitrary bytes and with changed ones: a stream that
//! carries them breaks with an error.

#[path = "common/fuzz.rs"]
mod fuzz;
#[path = "common/link.rs"]
mod link;

use std::sync::Arc;

use fuzz::check;
use link::{Link, encode};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::Index;
use serde::Serialize;
use serde::de::DeserializeOwned;
use winchvane::control::raft::{Entry, Envelope, Members, Message, Payload, Snapshot};
use winchvane::message::{
    AdapterKey, AdapterNeed, Change, EndpointLoad, EngineOrder, EngineReport, Forwarded, Group,
    Heartbeat, Holding, Load, LoadReport, NewestVersion, OrderKind, OrderOutcome, OrderResult,
    PeerMessage, Placed, RegisteredEndpoint, SessionDown, SessionHello, SessionRole, SessionServer,
    SessionUp, Summary, Weights, WeightsName, WeightsUse,
};

/// Any value; unlike [`any`], of the type that its user wants.
fn drawn<T: Arbitrary>() -> impl Strategy<Value = T> {
    any::<T>()
}

fn name() -> impl Strategy<Value = Arc<str>> {
    "[a-z0-9-]{0,12}".prop_map(Arc::from)
}

fn weights_name() -> impl Strategy<Value = WeightsName> {
    (name(), proptest::option::of(name()))
        .prop_map(|(model, adapter)| WeightsName { model, adapter })
}

fn weights() -> impl Strategy<Value = Vec<Weights>> {
    vec((weights_name(), any::<u64>()).prop_map(|(name, version)| Weights { name, version }), 0..4)
}

fn registered() -> impl Strategy<Value = RegisteredEndpoint> {
    let names = (name(), name(), name());
    (names, drawn(), drawn(), drawn()).prop_map(|((id, service, zone), address, slots, leaving)| {
        let name: Arc<str> = id;
        let born_ms = u64::from(slots);
        let id = RegisteredEndpoint::incarnation_id(&name, born_ms);
        RegisteredEndpoint { id, name, born_ms, service, address, zone, slots, leaving }
    })
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    (registered(), drawn(), proptest::option::of(weights()))
        .prop_map(|(endpoint, sequence, holds)| Heartbeat { endpoint, sequence, holds })
}

fn summary() -> impl Strategy<Value = Summary> {
    let adapters =
        vec((name(), drawn()).prop_map(|(name, version)| AdapterKey { name, version }), 0..3);
    let counts = any::<(u32, u32, u32, u32)>();
    (name(), drawn(), drawn(), drawn(), proptest::option::of(adapters), counts, drawn()).prop_map(
        |(endpoint, epoch, sequence, healthy, adapters, counts, coldest_rate)| {
            let (running, queued, places, slots) = counts;
            Summary {
                endpoint,
                epoch,
                sequence,
                healthy,
                adapters,
                running,
                queued,
                places,
                slots,
                coldest_rate,
            }
        },
    )
}

fn load() -> impl Strategy<Value = EndpointLoad> {
    (name(), drawn(), drawn(), drawn(), drawn()).prop_map(
        |(endpoint, running, waiting_ms, late_ms, demand_per_min)| EndpointLoad {
            endpoint,
            load: Load { running, waiting_ms, late_ms, demand_per_min },
        },
    )
}

fn kind() -> impl Strategy<Value = OrderKind> {
    prop_oneof![
        Just(OrderKind::Report),
        (weights_name(), drawn()).prop_map(|(name, version)| OrderKind::Load { name, version }),
        weights_name().prop_map(|name| OrderKind::Unload { name }),
    ]
}

fn ordered() -> impl Strategy<Value = OrderResult> {
    let report = (drawn(), weights(), weights()).prop_map(|(sequence, holds, coming)| {
        OrderOutcome::Report(EngineReport { sequence, holds, coming })
    });
    let outcome = prop_oneof![report, Just(OrderOutcome::Done), Just(OrderOutcome::Unknown)];
    (drawn(), name(), kind(), outcome).prop_map(|(number, endpoint, kind, outcome)| OrderResult {
        number,
        endpoint,
        kind,
        outcome,
    })
}

fn used() -> impl Strategy<Value = WeightsUse> {
    (name(), weights_name(), drawn(), drawn(), drawn()).prop_map(
        |(endpoint, name, requests, reading_ms, under_way)| WeightsUse {
            endpoint,
            name,
            requests,
            reading_ms,
            under_way,
        },
    )
}

fn told_by_gateways() -> impl Strategy<Value = SessionUp> {
    let hello = (name(), drawn(), name(), drawn(), drawn(), drawn()).prop_map(
        |(name, boot_id, zone, address, applied_index, zone_server_failed)| {
            let role = SessionRole::Follower;
            SessionUp::Hello(SessionHello {
                name,
                boot_id,
                zone,
                address,
                applied_index,
                role,
                zone_server_failed,
            })
        },
    );
    let need = (name(), weights_name(), drawn(), drawn()).prop_map(
        |(service, weights, requests, more)| AdapterNeed { service, weights, requests, more },
    );
    prop_oneof![
        hello,
        (drawn(), vec(summary(), 0..3))
            .prop_map(|(sent_at_ms, summaries)| SessionUp::Renew { sent_at_ms, summaries }),
        Just(SessionUp::Leave),
        (name(), drawn()).prop_map(|(endpoint, epoch)| SessionUp::Release { endpoint, epoch }),
        vec(need, 0..3).prop_map(SessionUp::Needs),
        ordered().prop_map(SessionUp::Ordered),
        (vec(load(), 0..3), vec(used(), 0..3), vec(name(), 0..3))
            .prop_map(|(loads, used, failing)| SessionUp::Traffic { loads, used, failing }),
    ]
}

fn up() -> impl Strategy<Value = SessionUp> {
    let forwarded =
        (name(), told_by_gateways()).prop_map(|(gateway, up)| Forwarded { gateway, up });
    prop_oneof![
        5 => told_by_gateways(),
        1 => (drawn(), vec(name(), 0..4))
            .prop_map(|(number, gateways)| SessionUp::RenewFor { number, gateways }),
        1 => vec(forwarded, 0..4).prop_map(SessionUp::Forwarded),
        1 => vec(heartbeat(), 0..4).prop_map(SessionUp::Heartbeats),
    ]
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let version =
        (weights_name(), drawn()).prop_map(|(name, version)| NewestVersion { name, version });
    let change = prop_oneof![
        name().prop_map(Change::ServiceRetired),
        name().prop_map(Change::EndpointRemoved),
        registered().prop_map(Change::Registered),
        name().prop_map(Change::Deregistered),
        version.prop_map(Change::Version),
    ];
    vec(change, 0..4)
}

fn down() -> impl Strategy<Value = SessionDown> {
    let placed = (name(), weights_name(), any::<u64>()).prop_map(|(endpoint, name, version)| {
        Placed { endpoint, name, holding: Holding::Ready(version) }
    });
    let report = (name(), drawn()).prop_map(|(endpoint, running)| LoadReport { endpoint, running });
    let server = (name(), drawn()).prop_map(|(zone, address)| SessionServer { zone, address });
    let order = (drawn(), name(), drawn(), kind(), drawn(), name(), drawn()).prop_map(
        |(number, endpoint, address, kind, expected_sequence, holder, token)| EngineOrder {
            number,
            endpoint_name: endpoint.clone(),
            endpoint,
            address,
            kind,
            expected_sequence,
            holder,
            token,
        },
    );
    let group = (vec(drawn(), 0..4), drawn(), drawn(), vec(server, 0..3)).prop_map(
        |(replicas, gateways, counts_every_ms, servers)| Group {
            replicas,
            gateways,
            counts_every_ms,
            servers,
        },
    );
    prop_oneof![
        drawn().prop_map(|epoch| SessionDown::Welcome { epoch }),
        (drawn(), drawn(), drawn(), changes()).prop_map(|(index, reset, complete, changes)| {
            SessionDown::Changes { index, reset, complete, changes }
        }),
        (drawn(), drawn(), vec(summary(), 0..3), vec(report, 0..3)).prop_map(
            |(sent_at_ms, index, summaries, load_reports)| SessionDown::Renewed {
                sent_at_ms,
                index,
                summaries,
                load_reports,
            }
        ),
        drawn().prop_map(|leader| SessionDown::NotLeader { leader }),
        Just(SessionDown::Expired),
        (drawn(), vec(placed, 0..3))
            .prop_map(|(reset, placed)| SessionDown::Placed { reset, placed }),
        vec(load(), 0..4).prop_map(SessionDown::Loads),
        order.prop_map(SessionDown::Order),
        group.prop_map(SessionDown::Group),
        drawn().prop_map(|number| SessionDown::RenewedFor { number }),
    ]
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let payload = prop_oneof![
        Just(Payload::Noop),
        vec(any::<u8>(), 0..40).prop_map(|bytes| Payload::Command(bytes.into())),
        Just(Payload::Members(Members::default())),
    ];
    let entry = (drawn(), drawn(), payload).prop_map(|(index, term, payload)| Entry {
        index,
        term,
        payload,
    });
    let snapshot = (drawn(), drawn(), vec(any::<u8>(), 0..40)).prop_map(|(index, term, data)| {
        Snapshot { index, term, members: Members::default(), data: data.into() }
    });
    let message = prop_oneof![
        (drawn(), drawn())
            .prop_map(|(last_index, last_term)| Message::PreVote { last_index, last_term }),
        drawn().prop_map(|granted| Message::PreVoteReply { granted }),
        (drawn(), drawn(), drawn()).prop_map(|(last_index, last_term, transfer)| {
            Message::Vote { last_index, last_term, transfer }
        }),
        drawn().prop_map(|granted| Message::VoteReply { granted }),
        (any::<[u64; 4]>(), vec(entry, 0..4)).prop_map(|(numbers, entries)| {
            let [prev_index, prev_term, commit, round] = numbers;
            Message::Append { prev_index, prev_term, entries, commit, round }
        }),
        (drawn(), drawn(), drawn()).prop_map(|(matched, index, round)| Message::AppendReply {
            matched,
            index,
            round
        }),
        snapshot.prop_map(Message::Install),
        Just(Message::TimeoutNow),
    ];
    (drawn(), drawn(), drawn(), drawn(), message).prop_map(|(address, from, to, term, message)| {
        PeerMessage { address, envelope: Envelope { from, to, term, message } }
    })
}

#[derive(Debug, Clone)]
enum Damage {
    Flip(Index, u8),
    Cut(Index),
    Insert(Index, Vec<u8>),
}

fn damage() -> impl Strategy<Value = Damage> {
    // What stands in front of an integer of 2, 4, 8 and 16 bytes.
    let widths = proptest::sample::select(vec![251_u8, 252, 253, 254]);
    let huge = (widths, any::<[u8; 8]>()).prop_map(|(width, bytes)| {
        let mut huge = vec![width];
        huge.extend_from_slice(&bytes);
        huge
    });
    prop_oneof![
        3 => (any::<Index>(), 1..=u8::MAX).prop_map(|(at, bits)| Damage::Flip(at, bits)),
        1 => any::<Index>().prop_map(Damage::Cut),
        3 => (any::<Index>(), huge).prop_map(|(at, bytes)| Damage::Insert(at, bytes)),
    ]
}

fn damaged(mut bytes: Vec<u8>, damages: &[Damage]) -> Vec<u8> {
    for damage in damages {
        match damage {
            Damage::Flip(at, bits) if !bytes.is_empty() => {
                let at = at.index(bytes.len());
                bytes[at] ^= bits;
            }
            Damage::Flip(..) => {}
            Damage::Cut(at) => bytes.truncate(at.index(bytes.len() + 1)),
            Damage::Insert(at, more) => {
                let at = at.index(bytes.len() + 1);
                bytes.splice(at..at, more.iter().copied());
            }
        }
    }
    bytes
}

fn valid_messages_arrive_as_sent<T>(messages: impl Strategy<Value = T>)
where
    T: Serialize + DeserializeOwned + std::fmt::Debug + Send + 'static,
{
    let link = Link::new::<T>();
    check(messages, |message| {
        let bytes = encode(&message);
        prop_assert_eq!(link.send_body(&bytes), Ok(Some(bytes)));
        Ok(())
    });
}

fn damaged_messages_are_read_or_refused<T>(messages: impl Strategy<Value = T>)
where
    T: Serialize + DeserializeOwned + std::fmt::Debug + Send + 'static,
{
    let link = Link::new::<T>();
    check((messages, vec(damage(), 1..4)), |(message, damages)| {
        let bytes = damaged(encode(&message), &damages);
        match link.send_body(&bytes) {
            Ok(read) => prop_assert!(read.is_some_and(|read| read.len() <= bytes.len())),
            Err(detail) => prop_assert!(detail.contains("receive"), "{}", detail),
        }
        Ok(())
    });
}

#[test]
fn what_gateways_tell_arrives_as_sent() {
    valid_messages_arrive_as_sent(up());
}

#[test]
fn what_the_leader_tells_arrives_as_sent() {
    valid_messages_arrive_as_sent(down());
}

#[test]
fn what_replicas_tell_arrives_as_sent() {
    valid_messages_arrive_as_sent(peer_message());
}

#[test]
fn any_bytes_are_no_message_or_one() {
    let link = Link::new::<PeerMessage>();
    check(vec(any::<u8>(), 0..100), |bytes| {
        if let Err(detail) = link.send(bytes) {
            prop_assert!(detail.contains("receive"), "{}", detail);
        }
        Ok(())
    });
}

#[test]
fn a_stream_that_ends_within_a_message_says_so() {
    let link = Link::new::<SessionUp>();
    check((up(), any::<Index>()), |(message, at)| {
        let body = encode(&message);
        let mut bytes = [&(body.len() as u32).to_le_bytes(), body.as_slice()].concat();
        bytes.truncate(at.index(bytes.len() - 1) + 1);
        let detail = link.send(bytes).expect_err("it is not whole");
        prop_assert!(detail.contains("the stream ends within a message"), "{}", detail);
        Ok(())
    });
}

#[test]
fn a_message_longer_than_any_is_refused_at_once() {
    let link = Link::new::<SessionUp>();
    check((256_u32 << 20) + 1..=u32::MAX, |length| {
        let detail = link.send(length.to_le_bytes().to_vec()).expect_err("it is too long");
        prop_assert!(detail.contains("too long"), "{}", detail);
        Ok(())
    });
}

#[test]
fn damaged_messages_of_gateways_are_read_or_refused() {
    damaged_messages_are_read_or_refused(up());
}

#[test]
fn damaged_messages_of_the_leader_are_read_or_refused() {
    damaged_messages_are_read_or_refused(down());
}

#[test]
fn damaged_messages_of_replicas_are_read_or_refused() {
    damaged_messages_are_read_or_refused(peer_message());
}

/// A message with more bytes than its fields take is read as if they were not there: the bytes that
/// are left are not counted.
#[test]
fn bytes_behind_a_message_are_refused() {
    let link = Link::new::<SessionUp>();
    check((up(), vec(any::<u8>(), 1..20)), |(message, more)| {
        let detail = link.send_body(&[encode(&message), more].concat());
        prop_assert!(detail.is_err_and(|detail| detail.contains("left over")));
        Ok(())
    });
}

/// What gateways told a distributor comes in with the same within it, some hundred thousand times: each
/// of them takes three bytes of the message and a part of the stack, and the process is gone.
#[test]
fn messages_within_messages_are_refused() {
    let link = Link::new::<SessionUp>();
    for depth in [1_000_000, 100_000, 100, 2] {
        // The ninth kind with one item, whose name is empty; innermost, a gateway that leaves.
        let body = [[8, 1, 0].repeat(depth), vec![2]].concat();
        let detail = link.send_body(&body).expect_err("gateways forward nothing");
        assert!(detail.contains("receive"), "{detail}");
    }
}
