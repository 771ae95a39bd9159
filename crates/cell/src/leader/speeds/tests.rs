use super::preference_of;
use crate::SpeedPreference;

/// Guards against urgent work on slow workers and against work with much slack on fast ones. The
/// numbers are those of the three kinds of job of svlx.
#[test]
fn preference_follows_the_time_that_is_left() {
    let urgent = preference_of(540 * 3 / 2 + 300, 540);
    let gang = preference_of(3_400 * 22 / 10 + 1_000, 3_400);
    let gang_that_waited = preference_of(3_400 * 22 / 10, 3_400);
    let batch = preference_of(1_900 * 4 + 3_000, 1_900);
    let batch_that_waited = preference_of(4_000, 1_900);
    let late = preference_of(1_500, 1_900);
    let hopeless = preference_of(500, 1_900);

    assert_eq!(urgent, SpeedPreference::Fast);
    assert_eq!(gang, SpeedPreference::None);
    assert_eq!(gang_that_waited, SpeedPreference::Fast);
    assert_eq!(batch, SpeedPreference::Slow);
    assert_eq!(batch_that_waited, SpeedPreference::Fast);
    assert_eq!(late, SpeedPreference::Fast);
    assert_eq!(hopeless, SpeedPreference::None);
}

/// Guards against an overflow or a division by zero for extreme declarations.
#[test]
fn extreme_times_have_a_preference() {
    assert_eq!(preference_of(0, 0), SpeedPreference::None);
    assert_eq!(preference_of(u64::MAX, 0), SpeedPreference::Slow);
    assert_eq!(preference_of(u64::MAX, u64::MAX), SpeedPreference::None);
}
