//! Checks of the operators' tables.

use acaciareel_types::{KindName, RawRow, RawTables, Tables};

fn row(name: &str, settings: &[(&str, &str)]) -> RawRow {
    RawRow {
        name: name.into(),
        settings: settings
            .iter()
            .map(|(key, value)| ((*key).into(), (*value).into()))
            .collect(),
    }
}

fn raw_tables() -> RawTables {
    RawTables {
        routes: vec![row(
            "ring-lookup",
            &[
                ("pool", "ledger"),
                ("effect", "idempotent"),
                ("class", "urgent"),
                ("cpu_millicores", "500"),
                ("memory_bytes", "1048576"),
                ("time_limit_ms", "2000"),
                ("run_time_ms", "50"),
            ],
        )],
        pools: vec![row(
            "ledger",
            &[("groups", "khomas-a, khomas-b"), ("policy", "batch")],
        )],
        quotas: vec![row("club-7", &[("weight", "3"), ("slots", "40")])],
    }
}

/// Guards against checked tables that change when they are printed and applied again.
#[test]
fn checked_tables_round_trip_through_raw_rows() {
    let tables = Tables::try_from(&raw_tables()).expect("valid tables");

    let again = Tables::try_from(&RawTables::from(&tables)).expect("valid tables");

    assert_eq!(again, tables);
    let kind: KindName = "ring-lookup".parse().expect("kind");
    assert_eq!(again.routes().get(&kind).map(|r| r.tasks), Some(1));
}

/// Guards against tables that are accepted although a row is not valid or a route does not fit its
/// pool.
#[test]
fn invalid_rows_are_rejected_with_section_key_and_reason() {
    let cases: [(&str, &str, &str); 5] = [
        (
            "pool",
            "nowhere",
            "[route ring-lookup] pool: pool nowhere does not exist",
        ),
        (
            "effect",
            "twice",
            "[route ring-lookup] effect: \"twice\" is not one of idempotent, exclusive, once",
        ),
        (
            "run_time_ms",
            "3000",
            "[route ring-lookup] run_time_ms: 3000ms is outside 1ms to 2000ms",
        ),
        (
            "tasks",
            "2",
            "[route ring-lookup] tasks: pool ledger has policy batch, not gang",
        ),
        (
            "colour",
            "red",
            "[route ring-lookup] colour: unknown key; known keys are pool, effect, class, cpu_millicores, memory_bytes, accelerators, slots, connections, tasks, time_limit_ms, run_time_ms",
        ),
    ];

    for (key, value, expected) in cases {
        let mut raw = raw_tables();
        let settings = &mut raw.routes[0].settings;
        settings.retain(|(k, _)| k != key);
        settings.push((key.into(), value.into()));

        let error = Tables::try_from(&raw).expect_err("wrong tables");

        assert_eq!(error.to_string(), expected);
    }
}

/// Guards against two pools that reserve the resources of the same workers independently.
#[test]
fn a_worker_group_belongs_to_one_pool() {
    let mut raw = raw_tables();
    raw.pools
        .push(row("audit", &[("groups", "khomas-b"), ("policy", "batch")]));

    let error = Tables::try_from(&raw).expect_err("shared group");

    assert_eq!(
        error.to_string(),
        "[pool ledger] groups: group khomas-b already belongs to pool audit"
    );
}
