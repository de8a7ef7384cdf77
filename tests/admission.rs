//! Guards against many senders at once: the changes of all of them were parsed and proposed beside each
//! other.

use std::time::Duration;

use tokio::time::timeout;
use winchvane::control::admission::Admissions;
use winchvane::control::limits::ControlLimits;
use winchvane::metrics::{Counter, Metrics};
use winchvane::policy::change_budget::ChangeRefusal;

const MB: u64 = 1_000_000;
const SOON: Duration = Duration::from_millis(50);

/// Of 256 MB, changes of 7.68 MB are processed at once, and of 23 MB are held.
fn admissions(metrics: &Metrics) -> Admissions {
    Admissions::new(ControlLimits::new(256 * MB, 128 * MB), metrics.clone())
}

#[tokio::test]
async fn a_change_waits_until_those_before_it_have_been_applied() {
    let admissions = admissions(&Metrics::local());
    let first = admissions.admit(4 * MB).await.expect("it is taken on");
    let second = admissions.admit(3 * MB).await.expect("both are processed");
    let third = admissions.admit(2 * MB);
    tokio::pin!(third);
    assert!(timeout(SOON, &mut third).await.is_err(), "there is no turn for it");
    drop(second);
    assert!(timeout(SOON, &mut third).await.is_ok(), "its turn has come");
    drop(first);
}

#[tokio::test]
async fn changes_beyond_what_is_held_are_refused_at_once_and_counted() {
    let metrics = Metrics::local();
    let admissions = admissions(&metrics);
    let mut waiting = tokio::task::JoinSet::new();
    for _ in 0..40 {
        let admissions = admissions.clone();
        waiting.spawn(async move { timeout(SOON, admissions.admit(MB)).await });
    }
    let (mut refused, mut taken_on) = (0, 0);
    while let Some(joined) = waiting.join_next().await {
        match joined.expect("the task ends") {
            Ok(Err(ChangeRefusal::Busy { retry_after_ms })) => {
                assert!(retry_after_ms > 0);
                refused += 1;
            }
            Ok(Err(refusal @ ChangeRefusal::TooLarge { .. })) => panic!("unexpected {refusal:?}"),
            // Its turn came, or it was still waiting.
            Ok(Ok(_)) | Err(_) => taken_on += 1,
        }
    }
    assert!(refused > 0 && taken_on <= 23, "{refused} refused, {taken_on} taken on");
    assert_eq!(metrics.total(Counter::ChangesRefused), refused);
}

#[tokio::test]
async fn a_change_that_is_given_up_makes_room() {
    let admissions = admissions(&Metrics::local());
    let first = admissions.admit(7 * MB).await.expect("it is taken on");
    assert!(timeout(SOON, admissions.admit(7 * MB)).await.is_err(), "it waits for its turn");
    drop(first);
    let again = timeout(SOON, admissions.admit(7 * MB)).await;
    assert!(again.is_ok_and(|admitted| admitted.is_ok()));
}
