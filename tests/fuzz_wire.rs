//! Fuzz tests of streams between processes: valid messages arrive unchanged, and arbitrary or
//! corrupted bytes fail only their stream, with an error.

#[path = "common/fuzz.rs"]
mod fuzz;
#[path = "common/link.rs"]
mod link;
#[path = "common/routes.rs"]
mod routes;

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
    AdapterKey, AdapterNeed, BegunStreams, Change, DetourRefusal, DetourRequest, EndpointLoad,
    EngineOrder, EngineReport, Forwarded, Group, Heartbeat, Holding, Load, LoadReport,
    NewestVersion, OrderKind, OrderOutcome, OrderResult, OriginAsk, PeerEvent, PeerGateway,
    PeerMessage, PeerRequest, Placed, RegisteredEndpoint, SessionDown, SessionHello, SessionRole,
    SessionServer, SessionUp, StreamKey, StreamOrigin, Summary, UseCounts, Weights, WeightsName,
    WeightsUse, WorkspaceUse,
};
use winchvane::routing::{ApiKey, Credential, RoutingUpdate};

/// Arbitrary values of an inferred type.
fn arbitrary<T: Arbitrary>() -> impl Strategy<Value = T> {
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

fn stream_key() -> impl Strategy<Value = StreamKey> {
    (proptest::option::of(name()), name())
        .prop_map(|(workspace, attempt)| StreamKey::new(workspace.as_deref(), &attempt))
}

fn stream_origin() -> impl Strategy<Value = StreamOrigin> {
    (name(), name())
        .prop_map(|(service, software_version)| StreamOrigin { service, software_version })
}

fn registered_endpoint() -> impl Strategy<Value = RegisteredEndpoint> {
    let names = (name(), name(), name(), name());
    (names, arbitrary(), arbitrary(), arbitrary()).prop_map(
        |((id, service, zone, software_version), address, slots, leaving)| {
            let name: Arc<str> = id;
            let born_ms = u64::from(slots);
            let id = RegisteredEndpoint::incarnation_id(&name, born_ms);
            RegisteredEndpoint {
                id,
                name,
                born_ms,
                service,
                address,
                zone,
                slots,
                leaving,
                software_version,
            }
        },
    )
}

fn heartbeat() -> impl Strategy<Value = Heartbeat> {
    (registered_endpoint(), arbitrary(), proptest::option::of(weights()))
        .prop_map(|(endpoint, sequence, holds)| Heartbeat { endpoint, sequence, holds })
}

fn summary() -> impl Strategy<Value = Summary> {
    let adapters =
        vec((name(), arbitrary()).prop_map(|(name, version)| AdapterKey { name, version }), 0..3);
    let counts = any::<(u32, u32, u32, u32)>();
    (
        name(),
        arbitrary(),
        arbitrary(),
        arbitrary(),
        proptest::option::of(adapters),
        counts,
        arbitrary(),
    )
        .prop_map(|(endpoint, epoch, sequence, healthy, adapters, counts, coldest_rate)| {
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
        })
}

fn endpoint_load() -> impl Strategy<Value = EndpointLoad> {
    let work = (arbitrary(), arbitrary(), arbitrary());
    (name(), arbitrary(), arbitrary(), arbitrary(), arbitrary(), work).prop_map(
        |(
            endpoint,
            running,
            waiting_ms,
            late_ms,
            demand_per_min,
            (work_units, work_ms, brittle),
        )| {
            let load =
                Load { running, waiting_ms, late_ms, demand_per_min, work_units, work_ms, brittle };
            EndpointLoad { endpoint, load }
        },
    )
}

fn order_kind() -> impl Strategy<Value = OrderKind> {
    prop_oneof![
        Just(OrderKind::Report),
        (weights_name(), arbitrary()).prop_map(|(name, version)| OrderKind::Load { name, version }),
        weights_name().prop_map(|name| OrderKind::Unload { name }),
    ]
}

fn order_result() -> impl Strategy<Value = OrderResult> {
    let report = (arbitrary(), weights(), weights()).prop_map(|(sequence, holds, coming)| {
        OrderOutcome::Report(EngineReport { sequence, holds, coming })
    });
    let outcome = prop_oneof![report, Just(OrderOutcome::Done), Just(OrderOutcome::Unknown)];
    (arbitrary(), name(), order_kind(), outcome).prop_map(|(number, endpoint, kind, outcome)| {
        OrderResult { number, endpoint, kind, outcome }
    })
}

fn weights_use() -> impl Strategy<Value = WeightsUse> {
    (name(), weights_name(), arbitrary(), arbitrary(), arbitrary()).prop_map(
        |(endpoint, name, requests, reading_ms, under_way)| WeightsUse {
            endpoint,
            name,
            requests,
            reading_ms,
            under_way,
        },
    )
}

fn workspace_use() -> impl Strategy<Value = WorkspaceUse> {
    (name(), name(), arbitrary(), arbitrary(), arbitrary()).prop_map(
        |(service, workspace, asked, sent, waiting)| WorkspaceUse {
            service,
            workspace,
            counts: UseCounts { asked, sent, waiting },
        },
    )
}

fn gateway_message() -> impl Strategy<Value = SessionUp> {
    let hello = (name(), arbitrary(), name(), arbitrary(), arbitrary(), arbitrary()).prop_map(
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
    let need = (name(), weights_name(), arbitrary(), arbitrary(), proptest::option::of(name()))
        .prop_map(|(service, weights, requests, more, software_version)| AdapterNeed {
            service,
            weights,
            requests,
            more,
            software_version,
        });
    let begun = (stream_origin(), vec(stream_key(), 0..4))
        .prop_map(|(origin, streams)| BegunStreams { origin, streams });
    let ask = (stream_key(), proptest::option::of(name()))
        .prop_map(|(stream, service)| OriginAsk { stream, service });
    prop_oneof![
        hello,
        (arbitrary(), vec(summary(), 0..3))
            .prop_map(|(sent_at_ms, summaries)| SessionUp::Renew { sent_at_ms, summaries }),
        Just(SessionUp::Leave),
        (name(), arbitrary()).prop_map(|(endpoint, epoch)| SessionUp::Release { endpoint, epoch }),
        vec(need, 0..3).prop_map(SessionUp::Needs),
        vec(begun, 0..3).prop_map(SessionUp::StreamsBegun),
        ask.prop_map(SessionUp::AskOrigin),
        order_result().prop_map(SessionUp::Ordered),
        (vec(endpoint_load(), 0..3), vec(weights_use(), 0..3), vec(name(), 0..3))
            .prop_map(|(loads, used, failing)| SessionUp::Traffic { loads, used, failing }),
        vec(workspace_use(), 0..3).prop_map(SessionUp::WorkspaceUse),
        (arbitrary(), vec(name(), 0..3)).prop_map(|(address, out_of_reach)| {
            SessionUp::OfferDetours { address, out_of_reach }
        }),
    ]
}

fn header() -> impl Strategy<Value = (Box<str>, Vec<u8>)> {
    (name(), arbitrary()).prop_map(|(name, value)| ((*name).into(), value))
}

/// A message that one gateway sends to another.
fn peer_request() -> impl Strategy<Value = PeerRequest> {
    let numbers = (arbitrary(), arbitrary(), arbitrary(), arbitrary(), arbitrary());
    let origin = proptest::option::of(stream_origin());
    let lists = (vec(header(), 0..4), vec(name(), 0..3));
    let detour = (name(), numbers, lists, origin, arbitrary()).prop_map(
        |(gateway, numbers, (headers, tried), origin, body)| {
            let (routing_version, age_ms, left_ms, attempts, last_event) = numbers;
            PeerRequest::Detour(Box::new(DetourRequest {
                gateway,
                routing_version,
                method: "POST".into(),
                target: "/a".into(),
                headers,
                credential: Credential::Key(ApiKey::new(b"key")),
                age_ms,
                left_ms,
                attempts,
                tried,
                last_event,
                origin,
                body,
            }))
        },
    );
    prop_oneof![detour, vec(name(), 0..4).prop_map(PeerRequest::Reach)]
}

/// The answer to it.
fn peer_event() -> impl Strategy<Value = PeerEvent> {
    let head = (name(), name(), arbitrary(), arbitrary(), vec(header(), 0..4)).prop_map(
        |(endpoint, software_version, runs, status, headers)| PeerEvent::Head {
            endpoint,
            software_version,
            runs,
            status,
            headers,
        },
    );
    prop_oneof![
        head,
        Just(PeerEvent::Alive),
        Just(PeerEvent::End),
        arbitrary().prop_map(PeerEvent::Data),
        arbitrary().prop_map(PeerEvent::Reached),
        arbitrary()
            .prop_map(|after_ms| { PeerEvent::Refused(DetourRefusal::NotServed { after_ms }) }),
        (arbitrary(), arbitrary()).prop_map(|(runs, detail)| PeerEvent::Failed { runs, detail }),
    ]
}

fn session_up() -> impl Strategy<Value = SessionUp> {
    let forwarded = (name(), gateway_message()).prop_map(|(gateway, up)| Forwarded { gateway, up });
    prop_oneof![
        5 => gateway_message(),
        1 => (arbitrary(), vec(name(), 0..4))
            .prop_map(|(number, gateways)| SessionUp::RenewFor { number, gateways }),
        1 => vec(forwarded, 0..4).prop_map(SessionUp::Forwarded),
        1 => vec(heartbeat(), 0..4).prop_map(SessionUp::Heartbeats),
    ]
}

fn routing_update() -> impl Strategy<Value = RoutingUpdate> {
    let configuration = || (arbitrary(), vec((0..9_u64, arbitrary()), 0..4));
    (configuration(), configuration()).prop_map(|(base, next)| {
        RoutingUpdate::between(
            &routes::configuration(base.0, base.1),
            &routes::configuration(next.0, next.1),
        )
    })
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let version =
        (weights_name(), arbitrary()).prop_map(|(name, version)| NewestVersion { name, version });
    let change = prop_oneof![
        name().prop_map(Change::ServiceRetired),
        name().prop_map(Change::EndpointRemoved),
        registered_endpoint().prop_map(Change::Registered),
        name().prop_map(Change::Deregistered),
        version.prop_map(Change::Version),
        routing_update().prop_map(Change::RoutingUpdate),
    ];
    vec(change, 0..4)
}

fn session_down() -> impl Strategy<Value = SessionDown> {
    let placed = (name(), weights_name(), any::<u64>()).prop_map(|(endpoint, name, version)| {
        Placed { endpoint, name, holding: Holding::Ready(version) }
    });
    let report =
        (name(), arbitrary()).prop_map(|(endpoint, running)| LoadReport { endpoint, running });
    let server = (name(), arbitrary()).prop_map(|(zone, address)| SessionServer { zone, address });
    let order = (arbitrary(), name(), arbitrary(), order_kind(), arbitrary(), name(), arbitrary())
        .prop_map(|(number, endpoint, address, kind, expected_sequence, holder, token)| {
            EngineOrder {
                number,
                endpoint_name: endpoint.clone(),
                endpoint,
                address,
                kind,
                expected_sequence,
                holder,
                token,
            }
        });
    let coordinator = (name(), name(), arbitrary()).prop_map(|(name, zone, address)| PeerGateway {
        name,
        zone,
        address,
    });
    let sizes = (arbitrary(), arbitrary());
    let group = (vec(arbitrary(), 0..4), sizes, vec(server, 0..3), vec(coordinator, 0..3))
        .prop_map(|(replicas, (gateways, counts_every_ms), servers, coordinators)| Group {
            replicas,
            gateways,
            counts_every_ms,
            servers,
            coordinators,
        });
    prop_oneof![
        arbitrary().prop_map(|epoch| SessionDown::Welcome { epoch }),
        (arbitrary(), arbitrary(), arbitrary(), changes()).prop_map(
            |(index, reset, complete, changes)| {
                SessionDown::Changes { index, reset, complete, changes }
            }
        ),
        (arbitrary(), arbitrary(), vec(summary(), 0..3), vec(report, 0..3)).prop_map(
            |(sent_at_ms, index, summaries, load_reports)| SessionDown::Renewed {
                sent_at_ms,
                index,
                summaries,
                load_reports,
            }
        ),
        arbitrary().prop_map(|leader| SessionDown::NotLeader { leader }),
        Just(SessionDown::Expired),
        (arbitrary(), vec(placed, 0..3))
            .prop_map(|(reset, placed)| SessionDown::Placed { reset, placed }),
        vec(endpoint_load(), 0..4).prop_map(SessionDown::Loads),
        vec(workspace_use(), 0..4).prop_map(SessionDown::WorkspaceUse),
        order.prop_map(SessionDown::Order),
        group.prop_map(SessionDown::Group),
        arbitrary().prop_map(|number| SessionDown::RenewedFor { number }),
        (name(), stream_key(), proptest::option::of(stream_origin()))
            .prop_map(|(gateway, stream, origin)| SessionDown::Origin { gateway, stream, origin }),
    ]
}

fn peer_message() -> impl Strategy<Value = PeerMessage> {
    let payload = prop_oneof![
        Just(Payload::Noop),
        vec(any::<u8>(), 0..40).prop_map(|bytes| Payload::Command(bytes.into())),
        Just(Payload::Members(Members::default())),
    ];
    let entry = (arbitrary(), arbitrary(), payload).prop_map(|(index, term, payload)| Entry {
        index,
        term,
        payload,
    });
    let snapshot =
        (arbitrary(), arbitrary(), vec(any::<u8>(), 0..40)).prop_map(|(index, term, data)| {
            Snapshot { index, term, members: Members::default(), data: data.into() }
        });
    let message = prop_oneof![
        (arbitrary(), arbitrary())
            .prop_map(|(last_index, last_term)| Message::PreVote { last_index, last_term }),
        arbitrary().prop_map(|granted| Message::PreVoteReply { granted }),
        (arbitrary(), arbitrary(), arbitrary()).prop_map(|(last_index, last_term, transfer)| {
            Message::Vote { last_index, last_term, transfer }
        }),
        arbitrary().prop_map(|granted| Message::VoteReply { granted }),
        (any::<[u64; 4]>(), vec(entry, 0..4)).prop_map(|(numbers, entries)| {
            let [prev_index, prev_term, commit, round] = numbers;
            Message::Append { prev_index, prev_term, entries, commit, round }
        }),
        (arbitrary(), arbitrary(), arbitrary())
            .prop_map(|(matched, index, round)| Message::AppendReply { matched, index, round }),
        snapshot.prop_map(Message::Install),
        Just(Message::TimeoutNow),
    ];
    (arbitrary(), arbitrary(), arbitrary(), arbitrary(), message).prop_map(
        |(address, from, to, term, message)| PeerMessage {
            address,
            envelope: Envelope { from, to, term, message },
        },
    )
}

#[derive(Debug, Clone)]
enum Corruption {
    Flip(Index, u8),
    Cut(Index),
    Insert(Index, Vec<u8>),
}

fn corruption() -> impl Strategy<Value = Corruption> {
    // The `bincode` markers of integers of 2, 4, 8 and 16 bytes.
    let widths = proptest::sample::select(vec![251_u8, 252, 253, 254]);
    let huge = (widths, any::<[u8; 8]>()).prop_map(|(width, bytes)| {
        let mut huge = vec![width];
        huge.extend_from_slice(&bytes);
        huge
    });
    prop_oneof![
        3 => (any::<Index>(), 1..=u8::MAX).prop_map(|(at, bits)| Corruption::Flip(at, bits)),
        1 => any::<Index>().prop_map(Corruption::Cut),
        3 => (any::<Index>(), huge).prop_map(|(at, bytes)| Corruption::Insert(at, bytes)),
    ]
}

fn corrupt(mut bytes: Vec<u8>, corruptions: &[Corruption]) -> Vec<u8> {
    for corruption in corruptions {
        match corruption {
            Corruption::Flip(at, bits) if !bytes.is_empty() => {
                let at = at.index(bytes.len());
                bytes[at] ^= bits;
            }
            Corruption::Flip(..) => {}
            Corruption::Cut(at) => bytes.truncate(at.index(bytes.len() + 1)),
            Corruption::Insert(at, more) => {
                let at = at.index(bytes.len() + 1);
                bytes.splice(at..at, more.iter().copied());
            }
        }
    }
    bytes
}

fn assert_messages_arrive_unchanged<T>(messages: impl Strategy<Value = T>)
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

fn assert_corrupted_messages_are_decoded_or_refused<T>(messages: impl Strategy<Value = T>)
where
    T: Serialize + DeserializeOwned + std::fmt::Debug + Send + 'static,
{
    let link = Link::new::<T>();
    check((messages, vec(corruption(), 1..4)), |(message, corruptions)| {
        let bytes = corrupt(encode(&message), &corruptions);
        match link.send_body(&bytes) {
            Ok(read) => prop_assert!(read.is_some_and(|read| read.len() <= bytes.len())),
            Err(detail) => prop_assert!(detail.contains("receive"), "{}", detail),
        }
        Ok(())
    });
}

#[test]
fn messages_of_gateways_arrive_unchanged() {
    assert_messages_arrive_unchanged(session_up());
}

#[test]
fn messages_of_the_leader_arrive_unchanged() {
    assert_messages_arrive_unchanged(session_down());
}

#[test]
fn messages_of_replicas_arrive_unchanged() {
    assert_messages_arrive_unchanged(peer_message());
}

#[test]
fn messages_between_gateways_arrive_unchanged() {
    assert_messages_arrive_unchanged(peer_request());
    assert_messages_arrive_unchanged(peer_event());
}

#[test]
fn corrupted_messages_between_gateways_are_decoded_or_refused() {
    assert_corrupted_messages_are_decoded_or_refused(peer_request());
    assert_corrupted_messages_are_decoded_or_refused(peer_event());
}

#[test]
fn arbitrary_bytes_are_decoded_or_refused() {
    let link = Link::new::<PeerMessage>();
    check(vec(any::<u8>(), 0..100), |bytes| {
        if let Err(detail) = link.send(bytes) {
            prop_assert!(detail.contains("receive"), "{}", detail);
        }
        Ok(())
    });
}

#[test]
fn a_stream_that_ends_within_a_message_is_an_error() {
    let link = Link::new::<SessionUp>();
    check((session_up(), any::<Index>()), |(message, at)| {
        let body = encode(&message);
        let mut bytes = [&(body.len() as u32).to_le_bytes(), body.as_slice()].concat();
        bytes.truncate(at.index(bytes.len() - 1) + 1);
        let detail = link.send(bytes).expect_err("the message is incomplete");
        prop_assert!(detail.contains("the stream ends within a message"), "{}", detail);
        Ok(())
    });
}

#[test]
fn a_message_above_the_length_limit_is_refused_by_its_header() {
    let link = Link::new::<SessionUp>();
    check((256_u32 << 20) + 1..=u32::MAX, |length| {
        let detail = link.send(length.to_le_bytes().to_vec()).expect_err("the message is too long");
        prop_assert!(detail.contains("too long"), "{}", detail);
        Ok(())
    });
}

#[test]
fn corrupted_messages_of_gateways_are_decoded_or_refused() {
    assert_corrupted_messages_are_decoded_or_refused(session_up());
}

#[test]
fn corrupted_messages_of_the_leader_are_decoded_or_refused() {
    assert_corrupted_messages_are_decoded_or_refused(session_down());
}

#[test]
fn corrupted_messages_of_replicas_are_decoded_or_refused() {
    assert_corrupted_messages_are_decoded_or_refused(peer_message());
}

/// Without a check that the value uses all bytes, a message followed by further bytes decodes as if
/// they were not there.
#[test]
fn bytes_after_a_message_are_refused() {
    let link = Link::new::<SessionUp>();
    check((session_up(), vec(any::<u8>(), 1..20)), |(message, more)| {
        let detail = link.send_body(&[encode(&message), more].concat());
        prop_assert!(detail.is_err_and(|detail| detail.contains("left over")));
        Ok(())
    });
}

/// A `Forwarded` message nested in itself some hundred thousand times overflows the stack and
/// aborts the process: each level takes three bytes of the message and one stack frame or more.
#[test]
fn nested_forwarded_messages_are_refused() {
    let link = Link::new::<SessionUp>();
    for depth in [1_000_000, 100_000, 100, 2] {
        // `Forwarded` (variant 8) with one item and an empty gateway name; `Leave` (variant 2)
        // innermost.
        let body = [[8, 1, 0].repeat(depth), vec![2]].concat();
        let detail = link.send_body(&body).expect_err("nested forwarded messages are refused");
        assert!(detail.contains("receive"), "{detail}");
    }
}
