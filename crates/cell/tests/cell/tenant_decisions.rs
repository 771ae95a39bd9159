//! Pure decisions about tenants.

use acaciareel_cell::{
    Cap, Class, Demand, Load, RateWindow, RefusalReason, Standing, TenantLoad, TenantRow,
    Timeliness, TokenBucket, Totals, admit_for_tenant, class, dominant_share_ppm, entitlement_ppm,
    tasks_below_share,
};
use acaciareel_testing::seeded;
use acaciareel_types::Millis;
use proptest::prelude::*;

fn demand(cpu_millicores: u32, memory_mib: u32) -> Demand {
    Demand {
        cpu_millicores,
        memory_mib,
        accelerators: 0,
    }
}

fn cap(cpu_millicores: u32, memory_mib: u32) -> Cap {
    Cap {
        limit: demand(cpu_millicores, memory_mib),
        overage_permille: 100,
    }
}

/// Guards against a resource without a limit that limits starts, and against checking only one of
/// several limited resources.
#[test]
fn each_limited_resource_counts() {
    let usage = Totals::of(&demand(1_000, 100), 4);

    let by_cpu = cap(10_000, 0).startable(&usage, &demand(1_000, 9_000), 20, false);
    let by_memory = cap(10_000, 1_000).startable(&usage, &demand(1_000, 200), 20, false);
    let unlimited = cap(0, 0).startable(&usage, &demand(1_000, 200), 20, false);

    assert_eq!((by_cpu, by_memory, unlimited), (6, 3, 20));
}

/// Guards against a task or gang larger than the cap that starts beside others, never starts, or
/// exceeds the overage plus one task.
#[test]
fn larger_than_the_cap_starts_alone() {
    let cap = cap(10_000, 0);
    let (nothing, one) = (Totals::default(), Totals::of(&demand(100, 0), 1));

    let task = |usage| cap.startable(&usage, &demand(12_000, 0), 5, false);
    let gang = |usage, tasks| cap.startable(&usage, &demand(1_000, 0), tasks, true);

    assert_eq!((task(nothing), task(one)), (1, 0));
    assert_eq!((gang(nothing, 12), gang(one, 12)), (12, 0));
    assert_eq!(gang(nothing, 13), 0);
    assert!(cap.can_ever_start(&demand(1_000, 0), 12));
    assert!(!cap.can_ever_start(&demand(1_000, 0), 13));
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against any starts beyond the cap, except for one task or gang alone.
    #[test]
    fn starts_keep_to_the_cap(
        limit in 1_u32..100_000, held in 0_u32..100_000, each in 1_u32..50_000,
        tasks in 1_u32..40, gang in any::<bool>(),
    ) {
        let (cap, demand) = (cap(limit, 0), demand(each, 0));
        let held = Totals::of(&Demand { cpu_millicores: held, ..demand }, u32::from(held > 0));

        let starts = cap.startable(&held, &demand, tasks, gang);

        let after = held.cpu_millicores + u64::from(starts) * u64::from(each);
        let limit = u64::from(limit);
        let alone = held.tasks == 0 && (gang || starts == 1);
        prop_assert!(starts <= tasks && (!gang || starts == 0 || starts == tasks));
        prop_assert!(starts == 0 || after <= limit
            || (alone && after <= limit * 11 / 10 + u64::from(each)));
    }
}

/// Guards against a wrong class of work that is owed a start: the order of waiting steps depends on
/// it first.
#[test]
fn classes_follow_share_timeliness_and_rate() {
    use Timeliness::{Late, OnTime, Worthless};
    let standing = |share_ppm, over_rate| Standing {
        share_ppm,
        entitlement_ppm: 100_000,
        over_rate,
    };
    let of = |timeliness, share, over_rate| class(timeliness, Some(&standing(share, over_rate)));

    assert_eq!(class(OnTime, None), Class::Owed);
    assert_eq!(class(Late, None), Class::Late);
    assert_eq!(of(OnTime, 99_999, false), Class::Owed);
    assert_eq!(of(OnTime, 100_000, false), Class::Extra);
    assert_eq!(of(OnTime, 60_000, true), Class::Extra);
    assert_eq!(of(OnTime, 49_999, true), Class::Owed);
    assert_eq!(of(Late, 49_999, false), Class::Owed);
    assert_eq!(of(Late, 50_000, false), Class::Late);
    assert_eq!(of(Worthless, 0, false), Class::Worthless);
}

/// Guards against a share by one resource only, and against a wide step that takes the whole
/// capacity because its tenant held less than its entitlement before.
#[test]
fn shares_are_by_the_dominant_resource() {
    let capacity = Totals::of(&demand(10_000, 1_000), 1);
    let usage = Totals::of(&demand(1_000, 500), 1);

    let share_ppm = dominant_share_ppm(&usage, &capacity);
    let entitled_ppm = entitlement_ppm(3_000, 4_000);
    let tasks = tasks_below_share(&usage, &demand(100, 100), &capacity, entitled_ppm);

    assert_eq!((share_ppm, entitled_ppm, tasks), (500_000, 750_000, 3));
    assert_eq!(entitlement_ppm(0, 0), 0);
}

/// Guards against a bucket that starts empty, never refills, or allows more than the burst after a
/// pause.
#[test]
fn token_bucket_allows_the_rate_and_one_burst() {
    let row = TenantRow {
        weight_permille: 2_500,
        ..TenantRow::default()
    };
    let window = RateWindow {
        window_ms: 5_000,
        tolerance: 20,
    };
    let mut bucket = TokenBucket::full(&row, window, Millis(1_000));
    let mut accepted_until = |until_ms| {
        let mut accepted = 0;
        bucket.refill(&row, window, Millis(until_ms));
        while bucket.has_token() {
            bucket.take();
            accepted += 1;
        }
        (accepted, bucket.next_token_ms(&row))
    };

    let (burst, next_ms) = accepted_until(1_000);
    let (in_10_s, _) = accepted_until(11_000);
    let (after_pause, _) = accepted_until(1_000_000);

    // 2.5 jobs a second over 5 s, and 20 more.
    assert_eq!((burst, next_ms), (32, Some(200)));
    assert_eq!(in_10_s, 25);
    assert_eq!(after_pause, 32);
}

/// Guards against refusing a job for the backlogs of other tenants, and against accepting one that
/// waits for its own tenant's cap.
#[test]
fn admission_counts_what_runs_before_the_job() {
    let load = Load {
        capacity_millicores: 100_000,
        queued_ahead_millicore_ms: 100_000 * 60_000,
        wait_budget_ms: 3_000,
    };
    let tenant = TenantLoad {
        over_rate: false,
        starts_at_once: false,
        cap_wait_ms: 0,
        share_wait_ms: Some(1_000),
        own_backlog_ms: 4_500,
    };
    let reason = |tenant: TenantLoad| {
        let admitted = admit_for_tenant(&load, &tenant);
        admitted.map_err(|refused| (refused.reason, refused.retry_after_ms))
    };

    let below_entitlement = reason(tenant);
    let above_entitlement = reason(TenantLoad {
        share_wait_ms: None,
        ..tenant
    });
    let at_cap = reason(TenantLoad {
        cap_wait_ms: 5_000,
        ..tenant
    });
    let over_rate = reason(TenantLoad {
        over_rate: true,
        ..tenant
    });
    let behind = |wait_ms: u64| {
        let load = Load {
            queued_ahead_millicore_ms: 100_000 * wait_ms,
            ..load
        };
        let tenant = TenantLoad {
            over_rate: true,
            ..tenant
        };
        admit_for_tenant(&load, &tenant).is_ok()
    };

    assert_eq!(below_entitlement, Ok(()));
    assert_eq!([behind(750), behind(751)], [true, false]);
    assert_eq!(above_entitlement, Err((RefusalReason::Backlog, 10_000)));
    assert_eq!(at_cap, Err((RefusalReason::Backlog, 2_000)));
    assert_eq!(over_rate, Err((RefusalReason::OverRate, 4_500)));
}
