//! The order of waiting requests and the refusals, under overload and failures, without a network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use winchvane::clock::Clock;
use winchvane::message::WeightsName;
use winchvane::metrics::Metrics;
use winchvane::policy::fair_share::ShareClass;
use winchvane::policy::waiting_queue::{
    QueueKey, QueueLimits, QueueRefusal, WaitingQueues, WaitingRequest,
};
use winchvane::relay::{QueuePlace, RequestQueue};

const SLOTS: usize = 12;
const WORK_MS: u64 = 30;
/// The peak of the wave, at 130% of what the slots serve.
const PEAK_MS: std::ops::Range<u64> = 3_000..9_000;
const ENDS_MS: u64 = 22_000;
/// Latency objectives and deadlines.
const KINDS: [(u64, u64); 3] = [(150, 1_500), (500, 4_000), (800, 10_000)];

fn key() -> QueueKey {
    QueueKey { service: Arc::from("quotes"), weights: None }
}

fn request(priority: u8, started_ms: u64, objective_ms: u64, deadline_ms: u64) -> WaitingRequest {
    WaitingRequest {
        priority,
        started_ms,
        objective_at_ms: started_ms + objective_ms - WORK_MS,
        give_up_at_ms: started_ms + deadline_ms - WORK_MS,
        share: ShareClass::Within,
        size_bytes: 1_000,
    }
}

/// How waiting requests are ordered.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    Urgency,
    /// All requests look alike but for their deadlines.
    EarliestDeadline,
    /// The earliest objective first, without requests that missed it: it serves the largest number
    /// in time, whatever their priorities.
    MostInTime,
}

/// What the clients of one kind got.
#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    sent: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    /// Refused after more than a tenth of the deadline.
    refused_late: u64,
}

impl Outcome {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_late += other.refused_late;
    }

    fn served(&self) -> f64 {
        (self.in_time + self.late) as f64 / self.sent as f64
    }
}

/// The outcomes of the requests that came during the peak, by priority and kind.
type Outcomes = BTreeMap<(u8, usize), Outcome>;

struct Wave {
    queues: WaitingQueues,
    waiting: BTreeMap<u64, (u8, usize, WaitingRequest)>,
    outcomes: Outcomes,
}

impl Wave {
    fn outcome(&mut self, priority: u8, kind: usize, started_ms: u64) -> &mut Outcome {
        let kind = if PEAK_MS.contains(&started_ms) { kind } else { usize::MAX };
        self.outcomes.entry((priority, kind)).or_default()
    }

    fn refuse(&mut self, now_ms: u64, priority: u8, kind: usize, started_ms: u64) {
        let outcome = self.outcome(priority, kind, started_ms);
        outcome.refused += 1;
        let is_long = kind < KINDS.len() && (now_ms - started_ms) * 10 > KINDS[kind].1;
        outcome.refused_late += u64::from(is_long);
    }

    fn leave(&mut self, now_ms: u64, ticket: u64) {
        self.queues.remove(ticket);
        let (priority, kind, request) = self.waiting.remove(&ticket).expect("it waits");
        self.refuse(now_ms, priority, kind, request.started_ms);
    }

    fn arrive(&mut self, now_ms: u64, priority: u8, kind: usize, order: Order) {
        let (objective_ms, deadline_ms) = KINDS[kind];
        let request = request(priority, now_ms, objective_ms, deadline_ms);
        let queued = match order {
            Order::Urgency => request,
            Order::EarliestDeadline => {
                WaitingRequest { priority: 0, objective_at_ms: request.give_up_at_ms, ..request }
            }
            Order::MostInTime => {
                WaitingRequest { priority: 0, give_up_at_ms: request.objective_at_ms, ..request }
            }
        };
        self.outcome(priority, kind, now_ms).sent += 1;
        match self.queues.push(now_ms, &key(), queued) {
            Ok(joined) => {
                self.waiting.insert(joined.ticket, (priority, kind, request));
                for ticket in joined.replaced {
                    self.leave(now_ms, ticket);
                }
            }
            Err(_) => self.refuse(now_ms, priority, kind, now_ms),
        }
    }

    /// Refuses the requests whose wait is over or cannot end before the deadline.
    fn refuse_waiting(&mut self, now_ms: u64, order: Order) {
        let mut over = Vec::new();
        for (ticket, (_, _, request)) in &self.waiting {
            let give_up_at_ms = match order {
                Order::MostInTime => request.objective_at_ms,
                _ => request.give_up_at_ms,
            };
            let is_rechecked = now_ms == request.recheck_at_ms();
            if now_ms >= give_up_at_ms
                || is_rechecked && self.queues.recheck(now_ms, *ticket).is_err()
            {
                over.push(*ticket);
            }
        }
        for ticket in over {
            self.leave(now_ms, ticket);
        }
    }
}

/// Plays a wave of requests against one queue.
fn play(seed: u64, order: Order) -> Outcomes {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut wave = Wave {
        queues: WaitingQueues::new(QueueLimits::default()),
        waiting: BTreeMap::new(),
        outcomes: BTreeMap::new(),
    };
    let mut busy_until_ms = [0; SLOTS];
    let per_ms = SLOTS as f64 / WORK_MS as f64;
    for now_ms in 0..ENDS_MS {
        let load = if PEAK_MS.contains(&now_ms) { 1.3 } else { 0.7 };
        // At most three requests in a millisecond, with the mean of the load.
        for _ in 0..3 {
            if random.random::<f64>() < per_ms * load / 3.0 {
                let (priority, kind) = (random.random_range(0..2), random.random_range(0..3));
                wave.arrive(now_ms, priority, kind, order);
            }
        }
        wave.refuse_waiting(now_ms, order);
        for busy_until_ms in &mut busy_until_ms {
            if *busy_until_ms > now_ms {
                continue;
            }
            let Some(ticket) = wave.queues.first(now_ms, &key()) else { break };
            wave.queues.note_sent(now_ms, &key(), ticket);
            let (priority, kind, request) = wave.waiting.remove(&ticket).expect("it waits");
            *busy_until_ms = now_ms + WORK_MS;
            let outcome = wave.outcome(priority, kind, request.started_ms);
            if now_ms <= request.objective_at_ms {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
        }
    }
    wave.outcomes.retain(|(_, kind), _| *kind < KINDS.len());
    wave.outcomes
}

fn total(outcomes: &Outcomes, is_counted: impl Fn(u8) -> bool) -> Outcome {
    let mut total = Outcome::default();
    for ((priority, _), outcome) in outcomes {
        if is_counted(*priority) {
            total.add(outcome);
        }
    }
    total
}

fn play_all(order: Order) -> Outcomes {
    let mut all = Outcomes::new();
    for seed in 0..6 {
        for (kind, outcome) in play(seed, order) {
            all.entry(kind).or_default().add(&outcome);
        }
    }
    all
}

/// Guards against an overload in which requests wait for nothing, or in which the service answers
/// few requests in time although its endpoints are busy.
#[test]
fn clients_get_what_the_endpoints_can_serve_at_the_peak_of_a_wave() {
    let outcomes = play_all(Order::Urgency);
    let most = total(&play_all(Order::MostInTime), |_| true).in_time;
    let all = total(&outcomes, |_| true);
    let deadline = play_all(Order::EarliestDeadline);
    for (name, outcomes) in [("urgency", &outcomes), ("earliest deadline", &deadline)] {
        println!("{name}, at most {most} in time");
        for (kind, outcome) in outcomes {
            println!("{kind:?}: {outcome:?}");
        }
    }
    assert!(all.in_time * 10 >= most * 9, "{} of {most} in time", all.in_time);
    assert!(all.refused_late * 100 <= all.sent, "waited in vain: {all:?}");
    let (zero, one) = (total(&outcomes, |p| p == 0), total(&outcomes, |p| p == 1));
    assert!(zero.served() >= one.served(), "{zero:?} {one:?}");
    for (kind, outcome) in &outcomes {
        assert!(outcome.served() > 0.05, "{kind:?}: {outcome:?}");
    }
    let other = total(&deadline, |_| true);
    assert!(all.in_time > other.in_time, "earliest deadline first: {other:?}");
}

fn queues(requests: usize, size_bytes: usize) -> WaitingQueues {
    WaitingQueues::new(QueueLimits { requests, size_bytes })
}

/// Guards against waiting requests without bounds, and against urgent requests that are refused
/// while less urgent ones wait.
#[test]
fn full_queues_replace_the_least_urgent_request() {
    let mut full = queues(3, 10_000);
    for priority in [1, 2, 1] {
        full.push(0, &key(), request(priority, 0, 800, 5_000)).expect("there is room");
    }
    let refused = full.push(0, &key(), request(2, 0, 800, 5_000));
    assert_eq!(refused, Err(QueueRefusal::Full), "it is not more urgent");
    let other = QueueKey { service: Arc::from("other"), weights: None };
    let joined = full.push(1, &other, request(0, 1, 800, 5_000)).expect("it is more urgent");
    assert_eq!((joined.replaced, full.len()), (vec![2], 3), "the bound holds for all queues");
    let late = WaitingRequest { size_bytes: 9_000, ..request(0, 2, 800, 5_000) };
    let joined = full.push(2, &key(), late).expect("it is more urgent");
    assert_eq!((joined.replaced, full.len()), (vec![3, 1], 2), "the bodies fit in 10,000 bytes");
    let large = WaitingRequest { size_bytes: 10_001, ..request(0, 3, 100, 5_000) };
    assert_eq!(full.push(3, &key(), large), Err(QueueRefusal::Full));
    assert_eq!(full.len(), 2, "nothing is replaced in vain");
}

/// Guards against requests that are sent after their deadline because the process was suspended.
#[test]
fn after_a_freeze_only_requests_before_their_deadline_are_sent() {
    let mut queues = queues(10, 100_000);
    let short = queues.push(0, &key(), request(0, 0, 150, 1_500)).expect("it may wait").ticket;
    let long = queues.push(0, &key(), request(1, 0, 800, 10_000)).expect("it may wait").ticket;
    assert_eq!(queues.first(10, &key()), Some(short));
    assert_eq!(queues.first(6_000, &key()), Some(long), "the first one's deadline has passed");
    assert_eq!(queues.firsts(6_000, |_| true), [long]);
    assert_eq!(queues.recheck(6_000, short), Err(QueueRefusal::DeadlineUnreachable));
}

/// Guards against late requests that delay others, at any age: at a service that stays overloaded,
/// late requests that aged would take the places of most requests in time.
#[test]
fn late_requests_go_after_all_others() {
    let mut queues = queues(10, 100_000);
    let late = queues.push(0, &key(), request(0, 0, 500, 2_400)).expect("it may wait").ticket;
    let over = WaitingRequest { share: ShareClass::Over, ..request(1, 1_000, 800, 10_000) };
    let over = queues.push(1_000, &key(), over).expect("it may wait").ticket;
    assert_eq!(queues.first(1_000, &key()), Some(over), "it can be answered in time");
    let within = request(1, 1_000, 800, 10_000);
    let within = queues.push(1_000, &key(), within).expect("it may wait").ticket;
    assert_eq!(queues.first(1_000, &key()), Some(within), "its workspace is within its share");
    assert_eq!(
        queues.first(1_500, &key()),
        Some(within),
        "the late one is past half of its deadline"
    );
    assert_eq!(queues.first(1_990, &key()), Some(late), "all are late");
}

/// Guards against a less urgent kind of request that is never sent while more urgent ones wait.
#[test]
fn one_in_ten_requests_sent_is_less_urgent() {
    let mut queues = queues(100, 1_000_000);
    let mut less_urgent = Vec::new();
    for _ in 0..30 {
        queues.push(0, &key(), request(0, 0, 800, 5_000)).expect("it may wait");
        let joined = queues.push(0, &key(), request(1, 0, 800, 5_000)).expect("it may wait");
        less_urgent.push(joined.ticket);
    }
    let mut sent = Vec::new();
    for now_ms in 0..30 {
        let ticket = queues.first(now_ms, &key()).expect("some wait");
        queues.note_sent(now_ms, &key(), ticket);
        sent.push(less_urgent.contains(&ticket));
    }
    assert_eq!(sent.iter().filter(|is_less_urgent| **is_less_urgent).count(), 3);
    assert!(sent[9] && sent[19] && sent[29], "{sent:?}");
}

/// Guards against a request over its share that holds up others: it needs a free slot, while less
/// urgent requests within their shares may use places in the queue of a plain endpoint.
#[test]
fn a_request_that_cannot_be_sent_lets_others_pass_until_capacity_may_be_free() {
    let mut queues = queues(10, 100_000);
    let over = WaitingRequest { share: ShareClass::Over, ..request(0, 0, 800, 5_000) };
    let over = queues.push(0, &key(), over).expect("it may wait").ticket;
    assert!(!queues.let_others_pass(over), "no other request waits");
    queues.note_capacity(|_| true);
    let within = queues.push(0, &key(), request(1, 0, 800, 5_000)).expect("it may wait").ticket;
    assert_eq!(queues.first(1, &key()), Some(over), "it is more urgent");
    assert!(queues.let_others_pass(over));
    assert_eq!(queues.first(1, &key()), Some(within));
    queues.note_capacity(|_| true);
    assert_eq!(queues.first(2, &key()), Some(over), "a slot may have become free");
}

/// Guards against clients that are refused at a long queue and return at the same time.
#[test]
fn retry_after_differs_between_clients_of_a_long_queue() {
    let mut queues = queues(1_000, 10_000_000);
    for number in 0..200 {
        let joined = queues.push(0, &key(), request(0, 0, 9_000, 100_000)).expect("it may wait");
        if number == 0 {
            queues.note_sent(0, &key(), joined.ticket);
        }
    }
    let after_ms = |draw| queues.retry_after_ms(1_000, &key(), draw);
    assert!(after_ms(1.0) <= 2_000, "{} ms", after_ms(1.0));
    assert!(after_ms(0.0) * 2 <= after_ms(1.0), "{} to {} ms", after_ms(0.0), after_ms(1.0));
}

/// Guards against waits that can only end in a refusal.
#[test]
fn a_request_is_refused_at_once_if_the_queue_takes_too_long() {
    let mut queues = queues(1_000, 1 << 20);
    let mut sent = 0;
    for now_ms in 0..1_000 {
        // 50 requests join and 20 are sent in a second.
        if now_ms % 20 == 0 {
            queues.push(now_ms, &key(), request(1, now_ms, 3_000, 20_000)).expect("it may wait");
        }
        if now_ms % 50 == 0 {
            let first = queues.first(now_ms, &key()).expect("one waits");
            queues.note_sent(now_ms, &key(), first);
            sent += 1;
        }
    }
    assert_eq!((sent, queues.len()), (20, 30));
    let urgent = queues.push(1_000, &key(), request(0, 1_000, 500, 1_500));
    assert!(urgent.is_ok(), "more urgent than all others");
    let refused = queues.push(1_000, &key(), request(2, 1_000, 150, 1_500));
    assert_eq!(refused, Err(QueueRefusal::DeadlineUnreachable), "31 requests take 1.5 s");
    for draw in [0.0, 0.5, 1.0] {
        let after_ms = queues.retry_after_ms(1_000, &key(), draw);
        assert!((100..=2_000).contains(&after_ms), "{after_ms}");
    }
    assert_ne!(
        queues.retry_after_ms(1_000, &key(), 0.0),
        queues.retry_after_ms(1_000, &key(), 0.2)
    );
}

/// Guards against places of clients that left, which would hold up the queue, and against several
/// requests that try at the same time.
#[tokio::test]
async fn requests_are_woken_one_by_one_and_a_client_that_leaves_frees_its_place() {
    let clock = Clock::new();
    let limits = QueueLimits::default();
    let queue = Arc::new(RequestQueue::new(clock, Metrics::local(), limits));
    let now_ms = clock.now_ms();
    let join = |priority| {
        let request = request(priority, now_ms, 60_000, 60_000);
        queue.join(now_ms, &key(), "r", request).expect("it may wait")
    };
    let (third, first, second) = (join(2), join(0), join(1));
    let is_woken = async |place: &QueuePlace| {
        tokio::time::timeout(Duration::from_millis(20), place.woken()).await.is_ok()
    };
    queue.wake_firsts(now_ms, |_| true);
    assert!(!is_woken(&second).await && !is_woken(&third).await, "only the first one tries");
    assert!(is_woken(&first).await && first.is_first(now_ms));
    // The client leaves before its request was sent.
    drop(first);
    assert!(!is_woken(&third).await && is_woken(&second).await, "the next one tries");
    second.note_sent(now_ms);
    assert!(!is_woken(&third).await, "the sent request is not counted at its endpoint yet");
    drop(second);
    assert!(is_woken(&third).await);
    assert_eq!(queue.status(now_ms)[0].length, 1);
    drop(third);
    assert!(queue.is_idle());
}

fn key_of(adapter: &str) -> QueueKey {
    let weights = WeightsName { model: "m".into(), adapter: Some(adapter.into()) };
    QueueKey { service: Arc::from("quotes"), weights: Some(weights) }
}

/// Guards against gateways that search an endpoint for the first request of every queue whenever
/// any weights are loaded: with a few hundred queues this took more than their processor time, and
/// they stood still for seconds.
#[tokio::test]
async fn capacity_for_some_weights_wakes_no_request_for_others() {
    let clock = Clock::new();
    let queue = Arc::new(RequestQueue::new(clock, Metrics::local(), QueueLimits::default()));
    let now_ms = clock.now_ms();
    let join = |key| {
        queue.join(now_ms, &key, "r", request(0, now_ms, 60_000, 60_000)).expect("it may wait")
    };
    let (a, b) = (join(key_of("a")), join(key_of("b")));
    let is_woken = async |place: &QueuePlace| {
        tokio::time::timeout(Duration::from_millis(20), place.woken()).await.is_ok()
    };
    queue.wake_firsts(now_ms, |key| *key == key_of("a"));
    assert!(is_woken(&a).await && !is_woken(&b).await);
    queue.wake_firsts(now_ms, |_| true);
    assert!(is_woken(&a).await && is_woken(&b).await);
}

#[test]
fn capacity_for_some_weights_restores_the_order_of_their_queue_only() {
    let mut queues = WaitingQueues::new(QueueLimits::default());
    let mut firsts = Vec::new();
    for name in ["a", "b"] {
        let first = queues.push(0, &key_of(name), request(0, 0, 60_000, 60_000)).expect("it waits");
        let second =
            queues.push(0, &key_of(name), request(1, 0, 60_000, 60_000)).expect("it waits");
        assert!(queues.let_others_pass(first.ticket));
        assert_eq!(queues.first(0, &key_of(name)), Some(second.ticket));
        firsts.push((first.ticket, second.ticket));
    }
    queues.note_capacity(|key| *key == key_of("a"));
    assert_eq!(queues.first(0, &key_of("a")), Some(firsts[0].0));
    assert_eq!(queues.first(0, &key_of("b")), Some(firsts[1].1));
}
