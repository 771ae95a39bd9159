//! When a refused connection is evidence that a worker's process has ended.

use acaciareel_types::Millis;

use super::{ListenCheck, PATH_OPEN_MS};

/// Plays a notice, a refused call, and the repeated notice, each the given time after the one before.
fn refuse_and_repeat(check: &mut ListenCheck, now_ms: &mut u64, call: u64, gap_ms: u64) -> bool {
    check.call = Some(call);
    let number = check.call_ended(call, true);
    *now_ms += gap_ms;
    check.notice_received(number, Millis(*now_ms))
}

/// Guards against a refusal that counts although the path to the worker was not shown to be open before
/// and after it.
#[test]
fn refusal_counts_between_two_proofs_of_an_open_path() {
    let (mut now_ms, mut check) = (1_000, ListenCheck::new(Millis(1_000)));

    let first = refuse_and_repeat(&mut check, &mut now_ms, 1, 15);
    let second = refuse_and_repeat(&mut check, &mut now_ms, 2, 15);

    assert!(!first);
    assert!(second);
}

/// Guards against a refusal during a cut, after whose end the worker hears again.
#[test]
fn refusal_long_after_the_first_proof_does_not_count() {
    let (mut now_ms, mut check) = (1_000, ListenCheck::new(Millis(1_000)));
    refuse_and_repeat(&mut check, &mut now_ms, 1, 15);

    let late = refuse_and_repeat(&mut check, &mut now_ms, 2, PATH_OPEN_MS + 1);
    let next = refuse_and_repeat(&mut check, &mut now_ms, 3, 15);

    assert!(!late);
    assert!(next);
}

/// Guards against proofs that are none: notices without a number, with an earlier one, and repeated twice.
#[test]
fn only_the_number_of_the_latest_reply_is_a_proof() {
    let (mut now_ms, mut check) = (1_000, ListenCheck::new(Millis(1_000)));
    refuse_and_repeat(&mut check, &mut now_ms, 1, 15);
    check.call = Some(2);
    check.call_ended(2, true);

    for repeats in [None, Some(1), Some(9)] {
        assert!(!check.notice_received(repeats, Millis(now_ms + 10)));
    }
    assert!(check.notice_received(Some(2), Millis(now_ms + 20)));
    assert!(!check.notice_received(Some(2), Millis(now_ms + 30)));
}

/// Guards against a refusal that counts although the connection was attempted before the path was shown to
/// be open.
#[test]
fn call_from_before_the_first_proof_does_not_count() {
    let (now_ms, mut check) = (1_000, ListenCheck::new(Millis(1_000)));
    check.call = Some(1);
    let first = check.call_ended(1, true);
    check.call = Some(2);
    check.notice_received(first, Millis(now_ms + 15));

    let second = check.call_ended(2, true);

    assert_eq!(second, None);
    assert!(!check.notice_received(Some(2), Millis(now_ms + 30)));
}

/// Guards against a process that counts as ended although it has reported after a refusal.
#[test]
fn report_takes_the_refusal_back() {
    let (mut now_ms, mut check) = (1_000, ListenCheck::new(Millis(1_000)));
    refuse_and_repeat(&mut check, &mut now_ms, 1, 15);
    check.call = Some(2);
    let number = check.call_ended(2, true);
    check.report_received();

    assert!(!check.notice_received(number, Millis(now_ms + 20)));
    assert!(!check.may_not_listen());
}

/// Guards against a process that counts as ended although it answered after a refusal.
#[test]
fn answered_call_takes_the_refusal_back() {
    let (mut now_ms, mut check) = (1_000, ListenCheck::new(Millis(1_000)));
    refuse_and_repeat(&mut check, &mut now_ms, 1, 15);
    check.call = Some(2);
    let number = check.call_ended(2, true);
    check.call = Some(3);
    check.call_ended(3, false);

    assert!(!check.notice_received(number, Millis(now_ms + 20)));
}
