//! Guards against more changes at once than control can hold, and against senders that wait in vain.

use winchvane::policy::change_budget::{ChangeBudget, ChangeRefusal};

const MB: u64 = 1_000_000;

fn budget() -> ChangeBudget {
    ChangeBudget::new(8 * MB, 24 * MB)
}

/// Takes changes on until one is refused; returns how many, and the refusal.
fn fill(budget: &mut ChangeBudget, now_ms: u64, size_bytes: u64) -> (u64, ChangeRefusal) {
    let mut admitted = 0;
    loop {
        match budget.admit(now_ms, size_bytes) {
            Ok(()) => admitted += 1,
            Err(refusal) => return (admitted, refusal),
        }
        assert!(admitted < 1_000, "no bound took effect");
    }
}

fn retry_after_ms(refusal: ChangeRefusal) -> u64 {
    match refusal {
        ChangeRefusal::Busy { retry_after_ms } => retry_after_ms,
        refusal @ ChangeRefusal::TooLarge { .. } => panic!("unexpected {refusal:?}"),
    }
}

/// Lets changes of a megabyte take `each_ms` one after another.
fn measure(budget: &mut ChangeBudget, each_ms: u64) -> u64 {
    let mut now_ms = 10_000;
    for _ in 0..40 {
        budget.admit(now_ms, MB).expect("nothing is held");
        now_ms += each_ms;
        budget.end(now_ms, MB);
    }
    now_ms
}

#[test]
fn what_is_held_never_exceeds_the_bound() {
    let mut budget = budget();
    measure(&mut budget, 1);
    let (admitted, _) = fill(&mut budget, 20_000, MB);
    assert_eq!((admitted, budget.held_bytes()), (24, 24 * MB));
    budget.end(20_001, MB);
    assert!(budget.admit(20_001, MB).is_ok(), "the room of one that has ended is used again");
}

#[test]
fn a_change_that_would_wait_too_long_is_refused_though_there_is_room() {
    let mut budget = budget();
    let now_ms = measure(&mut budget, 200);
    let (admitted, refusal) = fill(&mut budget, now_ms, MB);
    assert!((3..=4).contains(&admitted), "{admitted} changes of 200 ms");
    assert!(retry_after_ms(refusal) >= 400, "{refusal:?}");
}

#[test]
fn a_change_is_taken_on_when_nothing_else_is_held_however_slow_control_is() {
    let mut budget = budget();
    let now_ms = measure(&mut budget, 60_000);
    assert!(budget.admit(now_ms, 8 * MB).is_ok());
}

#[test]
fn a_change_that_can_never_be_held_is_refused_for_good() {
    let mut budget = budget();
    let refusal = budget.admit(0, 8 * MB + 1);
    assert_eq!(refusal, Err(ChangeRefusal::TooLarge { max_bytes: 8 * MB }));
    assert_eq!(budget.held_bytes(), 0);
}

#[test]
fn senders_that_are_refused_come_back_one_after_another() {
    let mut budget = budget();
    let now_ms = measure(&mut budget, 100);
    let (_, first) = fill(&mut budget, now_ms, MB);
    let mut latest_ms = retry_after_ms(first);
    for _ in 0..10 {
        let next_ms = retry_after_ms(budget.admit(now_ms, MB).expect_err("there is no room"));
        assert!(next_ms >= latest_ms + 80, "{next_ms} ms after {latest_ms} ms");
        latest_ms = next_ms;
    }
    for _ in 0..200 {
        let next_ms = retry_after_ms(budget.admit(now_ms, MB).expect_err("there is no room"));
        assert!(next_ms <= 5_000, "{next_ms} ms");
    }
}

/// Senders that keep to the times that they are told are all served.
#[test]
fn forty_senders_at_once_are_all_served() {
    let (mut budget, mut now_ms, mut done) = (budget(), 0, 0);
    let mut waiting: Vec<u64> = vec![0; 40];
    let mut held: Vec<u64> = Vec::new();
    while done < 40 {
        assert!(now_ms < 60_000, "{done} were served");
        waiting.retain_mut(|due_ms| {
            if *due_ms > now_ms {
                return true;
            }
            match budget.admit(now_ms, 1_400_000) {
                Ok(()) => {
                    let free_ms = held.last().copied().unwrap_or(now_ms).max(now_ms);
                    held.push(free_ms + 150);
                    false
                }
                Err(refusal) => {
                    *due_ms = now_ms + retry_after_ms(refusal);
                    true
                }
            }
        });
        held.retain(|end_ms| {
            let has_ended = *end_ms <= now_ms;
            if has_ended {
                budget.end(now_ms, 1_400_000);
                done += 1;
            }
            !has_ended
        });
        now_ms += 10;
    }
}
