//! Tests of links between a distributor and its leader that become silent or are delayed.

mod common;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use winchvane::Result;
use winchvane::clock::Clock;
use winchvane::control::distribution::{hello, spawn};
use winchvane::control::outbox::{OutboxReceiver, outbox};
use winchvane::control::raft::Timing;
use winchvane::control::server::{ReplicaHandle, ReplicaMessage};
use winchvane::control::storage::FileStorage;
use winchvane::message::{SessionDown, SessionHello, SessionRole, SessionUp};
use winchvane::resources::Resources;
use winchvane::wire::{BoxFuture, Handler, Incoming, serve};

const ZONE: &str = "a";
/// A distributor drops a leader that is silent for 0.6 s, and keeps its gateways for one second
/// more.
const REDIRECT_TIMEOUT: Duration = Duration::from_millis(2_300);

/// A leader that answers the first renewals and then only reads, with the connection still open.
/// Later connections get no answers at all.
#[derive(Default)]
struct SilentLeader {
    has_answered: Arc<AtomicBool>,
}

impl Handler for SilentLeader {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        let has_answered = self.has_answered.clone();
        Box::pin(async move {
            let (mut receiver, mut sender) = incoming.accept::<SessionUp, SessionDown>()?;
            if has_answered.swap(true, Ordering::Relaxed) {
                while receiver.next().await?.is_some() {}
                return Ok(());
            }
            sender.send(&SessionDown::Welcome { epoch: 0 }).await?;
            let mut answered = 0;
            while let Some(up) = receiver.next().await? {
                let SessionUp::RenewFor { number, .. } = up else { continue };
                if answered < 3 {
                    answered += 1;
                    sender.send(&SessionDown::RenewedFor { number }).await?;
                }
            }
            Ok(())
        })
    }
}

fn gateway(address: SocketAddr) -> SessionHello {
    let role = SessionRole::Follower;
    SessionHello { role, ..hello("g1".into(), 1, ZONE.into(), address) }
}

#[test]
fn gateways_are_redirected_when_the_leader_is_silent_despite_outgoing_traffic() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let leader = listener.local_addr().expect("the listener is bound");
        tokio::spawn(serve(listener, Arc::new(SilentLeader::default()), Resources::local()));
        let own = ([127, 0, 0, 1], 9).into();
        let (_leader_known, known) = watch::channel(Some(leader));
        let distributor = spawn(hello("c1".into(), 1, ZONE.into(), own), Clock::new(), known);
        let (down, mut received) = outbox(u64::MAX);
        // Until the link is open, the distributor redirects gateways to the leader.
        loop {
            let (probe, mut answer) = outbox(u64::MAX);
            distributor.open(1, gateway(own), probe);
            let answer_timeout = Duration::from_millis(50);
            if tokio::time::timeout(answer_timeout, recv(&mut answer)).await.is_err() {
                distributor.close(1);
                break;
            }
        }
        distributor.open(2, gateway(own), down);
        let until_redirected = async {
            let mut renewals = tokio::time::interval(Duration::from_millis(10));
            loop {
                tokio::select! {
                    message = recv(&mut received) => {
                        if let Some(SessionDown::NotLeader { .. }) | None = message {
                            return;
                        }
                    }
                    _ = renewals.tick() => {
                        let renewal = SessionUp::Renew { sent_at_ms: 1, summaries: Vec::new() };
                        distributor.up(2, renewal);
                        // Needs are sent to the leader at once, so that the link is never idle in
                        // that direction.
                        distributor.up(2, SessionUp::Needs(Vec::new()));
                    }
                }
            }
        };
        let result = tokio::time::timeout(REDIRECT_TIMEOUT, until_redirected).await;
        assert!(result.is_ok(), "the distributor keeps a gateway although it has no leader");
    });
}

/// A leader that answers all renewals and counts the links that are opened.
#[derive(Default)]
struct CountingLeader {
    links: Arc<AtomicUsize>,
}

impl Handler for CountingLeader {
    fn handle(&self, incoming: Incoming) -> BoxFuture<'static, Result<()>> {
        self.links.fetch_add(1, Ordering::Relaxed);
        Box::pin(async move {
            let (mut receiver, mut sender) = incoming.accept::<SessionUp, SessionDown>()?;
            sender.send(&SessionDown::Welcome { epoch: 0 }).await?;
            while let Some(up) = receiver.next().await? {
                let SessionUp::RenewFor { number, .. } = up else { continue };
                sender.send(&SessionDown::RenewedFor { number }).await?;
            }
            Ok(())
        })
    }
}

#[test]
fn a_distributor_that_stalls_keeps_the_link_whose_news_it_has_not_read() {
    let leader_runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let links = Arc::<AtomicUsize>::default();
    let listener = leader_runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let leader = listener.local_addr().expect("the listener is bound");
    let handler = Arc::new(CountingLeader { links: links.clone() });
    leader_runtime.spawn(serve(listener, handler, Resources::local()));
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let own = ([127, 0, 0, 1], 9).into();
        let (_leader_known, known) = watch::channel(Some(leader));
        let _distributor = spawn(hello("c1".into(), 1, ZONE.into(), own), Clock::new(), known);
        for _ in 0..8 {
            tokio::time::sleep(Duration::from_millis(300)).await;
            // Nothing else runs on this thread meanwhile.
            std::thread::sleep(Duration::from_millis(700));
        }
    });
    assert_eq!(links.load(Ordering::Relaxed), 1);
}

/// Starts the only replica of a group, which becomes leader.
async fn leader_in(folder: &Path) -> ReplicaHandle {
    let storage = FileStorage::open(folder).expect("the folder is empty").storage;
    let timing = Timing { heartbeat_ms: 10, election_ms: 50 };
    let common::replica::Started { replica: actor, leader: mut leader_known, .. } =
        common::replica::start(Box::new(storage), timing).await;
    leader_known.wait_for(Option::is_some).await.expect("the only replica leads");
    actor
}

/// Opens a link of zone `b` as `session` and waits until the leader answers its renewals.
/// Waits for the next message; `None` once the session has ended.
async fn recv(received: &mut OutboxReceiver) -> Option<SessionDown> {
    received.next().await.map(|message| message.message().clone())
}

async fn link_to(actor: &ReplicaHandle, session: u64, address: SocketAddr) -> OutboxReceiver {
    let (down, mut received) = outbox(u64::MAX);
    let link = hello("c2".into(), 1, "b".into(), address);
    actor.cast(ReplicaMessage::Open(session, link, down)).expect("the replica runs");
    loop {
        renew(actor, session, 1);
        let message = tokio::time::timeout(Duration::from_millis(100), recv(&mut received)).await;
        if let Ok(Some(SessionDown::RenewedFor { number: 1 })) = message {
            return received;
        }
    }
}

fn renew(actor: &ReplicaHandle, session: u64, number: u64) {
    let up = SessionUp::RenewFor { number, gateways: Vec::new() };
    actor.cast(ReplicaMessage::Up(session, up)).expect("the replica runs");
}

#[test]
fn leader_closes_a_delayed_link() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let folder = tempfile::tempdir().expect("a folder");
    runtime.block_on(async {
        let actor = leader_in(folder.path()).await;
        let mut received = link_to(&actor, 7, ([127, 0, 0, 2], 9).into()).await;
        tokio::time::sleep(Duration::from_millis(1_300)).await;
        renew(&actor, 7, 2);
        let ended = async {
            while let Some(message) = recv(&mut received).await {
                match message {
                    SessionDown::NotLeader { .. } => return true,
                    SessionDown::RenewedFor { number: 2 } => return false,
                    _ => {}
                }
            }
            false
        };
        let ended = tokio::time::timeout(Duration::from_secs(2), ended).await;
        assert_eq!(ended, Ok(true), "a delayed renewal was accepted as current");
    });
}

#[test]
fn leader_announces_no_silent_distributor() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let folder = tempfile::tempdir().expect("a folder");
    runtime.block_on(async {
        let actor = leader_in(folder.path()).await;
        let distributor: SocketAddr = ([127, 0, 0, 2], 9).into();
        let mut received = link_to(&actor, 7, distributor).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        // The link is silent in both directions; the leader closes it by itself.
        let mut was_redirected = false;
        while let Some(message) = received.try_next() {
            was_redirected |= matches!(message, SessionDown::NotLeader { .. });
        }
        assert!(was_redirected);
        let (down, mut received) = outbox(u64::MAX);
        let role = SessionRole::Follower;
        let gateway = SessionHello { role, ..hello("g1".into(), 1, "b".into(), distributor) };
        actor.cast(ReplicaMessage::Open(8, gateway, down)).expect("the replica runs");
        let answer = recv(&mut received).await;
        assert!(matches!(answer, Some(SessionDown::Welcome { .. })), "{answer:?}");
    });
}

#[test]
fn leader_redirects_gateways_to_their_distributor_unless_unreachable() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let folder = tempfile::tempdir().expect("a folder");
    runtime.block_on(async {
        let actor = leader_in(folder.path()).await;
        let distributor: SocketAddr = ([127, 0, 0, 2], 9).into();
        let _told = link_to(&actor, 7, distributor).await;
        // The leader announces its distributors once per reporting period.
        tokio::time::sleep(Duration::from_millis(150)).await;
        let mut answers = Vec::new();
        for (session, zone, zone_server_failed) in
            [(8, "b", false), (9, "b", true), (10, "c", false)]
        {
            let (down, mut received) = outbox(u64::MAX);
            let hello = SessionHello {
                role: SessionRole::Follower,
                zone_server_failed,
                ..hello("g1".into(), 1, zone.into(), distributor)
            };
            actor.cast(ReplicaMessage::Open(session, hello, down)).expect("the replica runs");
            renew(&actor, 7, session);
            answers.push(recv(&mut received).await);
        }
        let [sent, stayed, other] = &answers[..] else { unreachable!("there are three gateways") };
        assert!(
            matches!(sent, Some(SessionDown::NotLeader { leader }) if *leader == Some(distributor)),
            "{sent:?}"
        );
        assert!(matches!(stayed, Some(SessionDown::Welcome { .. })), "{stayed:?}");
        assert!(
            matches!(other, Some(SessionDown::Welcome { .. })),
            "a zone without a distributor: {other:?}"
        );
    });
}

/// Guards against gateways that stay with the leader in a burst of new sessions, such as after a
/// change of leader, so that the leader's messages cross a zone boundary once for each of them.
/// With each welcome the leader dropped the group it had announced, so a gateway that connected
/// before the next reporting period was not redirected to the distributor of its zone.
#[test]
fn leader_redirects_gateways_right_after_welcoming_another() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let folder = tempfile::tempdir().expect("a folder");
    runtime.block_on(async {
        let actor = leader_in(folder.path()).await;
        let distributor: SocketAddr = ([127, 0, 0, 2], 9).into();
        let _told = link_to(&actor, 7, distributor).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        for round in 0..10 {
            let open = |session, zone: &str| {
                let (down, received) = outbox(u64::MAX);
                let role = SessionRole::Follower;
                let hello = SessionHello { role, ..hello("g1".into(), 1, zone.into(), distributor) };
                actor.cast(ReplicaMessage::Open(session, hello, down)).expect("the replica runs");
                received
            };
            renew(&actor, 7, round);
            let mut welcomed = open(100 + round, "c");
            let answer = recv(&mut welcomed).await;
            assert!(matches!(answer, Some(SessionDown::Welcome { .. })), "{answer:?}");
            let answer = recv(&mut open(200 + round, "b")).await;
            assert!(
                matches!(answer, Some(SessionDown::NotLeader { leader }) if leader == Some(distributor)),
                "round {round}: {answer:?}"
            );
            let gets_group = async {
                while let Some(message) = recv(&mut welcomed).await {
                    if let SessionDown::Group(group) = message {
                        return group.server_of("b") == Some(distributor);
                    }
                }
                false
            };
            let gets_group = tokio::time::timeout(Duration::from_secs(1), gets_group).await;
            assert_eq!(gets_group, Ok(true), "a welcomed gateway gets the group");
        }
    });
}
