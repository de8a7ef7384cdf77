//! The use of services by workspaces on its way from gateways through distributors and the leader
//! to all other gateways.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use tokio::sync::mpsc;
use winchvane::control::distribution::{Distributor, hello};
use winchvane::control::outbox::{OutboxReceiver, outbox};
use winchvane::control::raft::Timing;
use winchvane::control::replica::Replica;
use winchvane::message::{
    SessionDown, SessionHello, SessionRole, SessionUp, UseCounts, WorkspaceUse,
};

const ZONES: [&str; 3] = ["a", "b", "c"];
const GATEWAYS_PER_ZONE: usize = 2;

/// A zone whose gateways follow a distributor, or the leader itself in its own zone `a`.
struct Zone {
    distributor: Distributor,
    link: Option<(mpsc::Sender<SessionUp>, mpsc::Receiver<SessionUp>)>,
    from_leader: OutboxReceiver,
    gateways: Vec<OutboxReceiver>,
}

struct Region {
    leader: Replica,
    zones: Vec<Zone>,
    now_ms: u64,
    /// The sums that each gateway knows, by zone and position.
    known: BTreeMap<(usize, usize), BTreeMap<Arc<str>, UseCounts>>,
    messages: usize,
}

fn new_leader(now_ms: u64) -> Replica {
    let address = ([127, 0, 0, 1], 9).into();
    common::replica::alone(address, Timing::default(), now_ms)
}

fn hello_of(zone: usize, name: &str, role: SessionRole) -> SessionHello {
    let address = ([127, 0, 0, 1], 20 + zone as u16).into();
    SessionHello { role, ..hello(name.into(), 1, ZONES[zone].into(), address) }
}

impl Region {
    fn new() -> Self {
        let mut zones = Vec::new();
        for zone in ZONES {
            zones.push(Zone {
                distributor: Distributor::new(zone.into()),
                link: None,
                from_leader: outbox(u64::MAX).1,
                gateways: Vec::new(),
            });
        }
        let mut region =
            Self { leader: new_leader(0), zones, now_ms: 0, known: BTreeMap::new(), messages: 0 };
        region.follow_leader();
        // Distributors redirect gateways until they are linked.
        region.advance(200);
        for zone in 0..ZONES.len() {
            for gateway in 0..GATEWAYS_PER_ZONE {
                let (down, received) = outbox(u64::MAX);
                let role = SessionRole::Follower;
                let hello = hello_of(zone, &format!("g{zone}{gateway}"), role);
                region.zones[zone].gateways.push(received);
                let (now_ms, id) = (region.now_ms, Region::session(zone, gateway));
                if zone == 0 {
                    region.leader.open(now_ms, now_ms, id, hello, down);
                } else {
                    region.zones[zone].distributor.open(now_ms, id, hello, down, None);
                }
            }
        }
        region.advance(1_000);
        region
    }

    fn session(zone: usize, gateway: usize) -> u64 {
        (100 + zone * 10 + gateway) as u64
    }

    /// Opens sessions of the distributors with the current leader.
    fn follow_leader(&mut self) {
        while !self.leader.is_leading() {
            self.advance(20);
        }
        for (position, zone) in self.zones.iter_mut().enumerate().skip(1) {
            let (down, received) = outbox(u64::MAX);
            zone.from_leader = received;
            let hello = hello_of(position, ZONES[position], SessionRole::Distributor);
            self.leader.open(self.now_ms, self.now_ms, position as u64, hello, down);
        }
    }

    fn report(&mut self, zone: usize, gateway: usize, uses: Vec<WorkspaceUse>) {
        let (id, up) = (Self::session(zone, gateway), SessionUp::WorkspaceUse(uses));
        if zone == 0 {
            self.leader.handle_session_message(self.now_ms, self.now_ms, id, up);
        } else {
            self.zones[zone].distributor.handle_session_message(self.now_ms, id, up);
        }
    }

    fn tick_leader(&mut self) {
        self.leader.tick(self.now_ms, self.now_ms);
        loop {
            let mut output = self.leader.raft.take_output(self.now_ms);
            let is_idle = !output.must_store() && output.committed.is_empty();
            self.leader.raft.mark_persisted(self.leader.raft.last_index());
            self.leader.apply(&mut output).expect("entries are readable");
            self.leader.check_leadership(self.now_ms, self.now_ms);
            if is_idle {
                return;
            }
        }
    }

    fn advance(&mut self, by_ms: u64) {
        for _ in 0..by_ms / 20 {
            self.now_ms += 20;
            let now_ms = self.now_ms;
            self.tick_leader();
            for (position, zone) in self.zones.iter_mut().enumerate() {
                while let Some(down) = zone.from_leader.try_next() {
                    if let SessionDown::Welcome { .. } = down {
                        let (up, link) = mpsc::channel(1_000);
                        zone.distributor.linked(now_ms, up.clone());
                        zone.link = Some((up, link));
                    } else {
                        zone.distributor.handle_leader_message(now_ms, down);
                    }
                }
                zone.distributor.tick(now_ms);
                let Some((_, link)) = &mut zone.link else { continue };
                while let Ok(up) = link.try_recv() {
                    self.messages += usize::from(matches!(up, SessionUp::WorkspaceUse(_)));
                    self.leader.handle_session_message(now_ms, now_ms, position as u64, up);
                }
            }
            for (zone, known) in self.zones.iter_mut().enumerate() {
                for (gateway, received) in known.gateways.iter_mut().enumerate() {
                    while let Some(down) = received.try_next() {
                        let SessionDown::WorkspaceUse(uses) = down else { continue };
                        self.messages += 1;
                        for WorkspaceUse { workspace, counts, .. } in uses {
                            let sums = self.known.entry((zone, gateway)).or_default();
                            sums.insert(workspace, counts);
                        }
                    }
                }
            }
        }
    }

    /// The units asked for by `workspace` that each gateway knows of others, by zone.
    fn asked(&self, workspace: &str) -> Vec<u32> {
        let mut asked = Vec::new();
        for zone in 0..ZONES.len() {
            for gateway in 0..GATEWAYS_PER_ZONE {
                let sums = self.known.get(&(zone, gateway));
                let counts = sums.and_then(|sums| sums.get(workspace));
                asked.push(counts.map_or(0, |counts| counts.asked));
            }
        }
        asked
    }
}

fn uses(workspace: &str, asked: u32) -> Vec<WorkspaceUse> {
    let counts = UseCounts { asked, sent: asked, waiting: 1 };
    vec![WorkspaceUse { service: "quotes".into(), workspace: workspace.into(), counts }]
}

/// Guards against sums that miss a zone, count a gateway twice or include its own counts, and that
/// take longer than a second.
#[test]
fn each_gateway_gets_the_sum_of_all_others_within_a_second() {
    let mut region = Region::new();
    region.advance(3_000);
    assert_eq!(region.messages, 0, "no gateway reports a use");
    for (zone, gateway, asked) in [(0, 0, 100), (1, 0, 1_000), (1, 1, 2_000), (2, 0, 10_000)] {
        region.report(zone, gateway, uses("w1", asked));
    }
    region.advance(1_000);
    assert_eq!(region.asked("w1"), [13_000, 13_100, 12_100, 11_100, 3_100, 13_100]);
    // The counts of a gateway that ends are dropped everywhere.
    let id = Region::session(1, 1);
    region.zones[1].distributor.close(id);
    region.advance(1_000);
    let asked = region.asked("w1");
    assert_eq!([asked[0], asked[2], asked[4]], [11_000, 10_100, 1_100]);
    let id = Region::session(0, 0);
    region.leader.close(id);
    region.advance(1_000);
    assert_eq!(region.asked("w1")[4], 1_000);
}

/// Guards against a new leader without the counts of a zone, and against gateways that lose the
/// sums meanwhile.
#[test]
fn a_new_leader_has_all_counts_after_one_report_of_each_zone() {
    let mut region = Region::new();
    region.report(1, 0, uses("w1", 1_000));
    region.report(2, 0, uses("w1", 10_000));
    region.advance(1_500);
    assert_eq!(region.asked("w1")[2..], [10_000, 11_000, 1_000, 11_000]);
    region.leader = new_leader(region.now_ms);
    for zone in &mut region.zones {
        zone.link = None;
        zone.distributor.unlinked(region.now_ms);
    }
    let lost_at_ms = region.now_ms;
    region.follow_leader();
    assert!(region.now_ms > lost_at_ms, "the new leader has to be elected");
    assert_eq!(region.asked("w1")[2..], [10_000, 11_000, 1_000, 11_000], "they are kept");
    region.report(1, 0, uses("w1", 3_000));
    region.advance(1_000);
    assert_eq!(region.asked("w1")[2..], [10_000, 13_000, 3_000, 13_000]);
}
