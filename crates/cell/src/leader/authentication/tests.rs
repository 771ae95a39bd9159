//! Tests of the decision which caller may make a request.

use super::{AccessError, KeyIndex, check_access};
use crate::{ApiKeyDigest, QueueRow, QueueTable, TenantRow};

fn key(number: u8) -> ApiKeyDigest {
    ApiKeyDigest([number; 32])
}

fn tenant(name: &str, keys: &[u8]) -> TenantRow {
    TenantRow {
        name: name.to_owned(),
        api_keys: keys.iter().copied().map(key).collect(),
        ..TenantRow::default()
    }
}

fn table(version: u64, tenants: Vec<TenantRow>) -> QueueTable {
    QueueTable {
        version,
        tenants,
        ..QueueTable::default()
    }
}

fn queue(public: bool) -> QueueRow {
    QueueRow {
        name: "q".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/q/".to_owned(),
        service: "s".to_owned(),
        priority: 0,
        max_attempts: 3,
        slack_permille: 1_000,
        target_ms: 300,
        advice: None,
        public,
    }
}

/// Guards against a key that is found under another tenant, or found although no tenant has it.
#[test]
fn keys_identify_their_tenants() {
    let table = table(
        1,
        vec![tenant("a", &[2, 9]), tenant("b", &[]), tenant("c", &[1, 5])],
    );
    let mut index = KeyIndex::default();
    index.update(&table);

    let found: Vec<_> = (0..=10).map(|n| index.tenant_of(&table, &key(n))).collect();

    let (a, c) = (Some("a"), Some("c"));
    let expected = [None, c, a, None, None, c, None, None, None, a, None];
    assert_eq!(found, expected);
}

/// Guards against a revoked key that stays in the index, and an added one that is missing from it.
#[test]
fn index_follows_the_table() {
    let mut index = KeyIndex::default();
    index.update(&table(1, vec![tenant("a", &[1])]));
    let later = table(2, vec![tenant("a", &[2]), tenant("b", &[3])]);

    index.update(&later);

    let found = [1, 2, 3].map(|n| index.tenant_of(&later, &key(n)));
    assert_eq!(found, [None, Some("a"), Some("b")]);
    index.update(&table(3, Vec::new()));
    let found = [2, 3].map(|n| index.tenant_of(&later, &key(n)));
    assert_eq!(found, [None, None]);
}

/// Guards against a request that is served without the key it needs, or refused although it needs
/// none, and against a job that another tenant can reach.
#[test]
fn access_depends_on_key_queue_and_owner() {
    const UNKNOWN: Result<Option<&str>, AccessError> = Err(AccessError::UnknownKey);
    const FOREIGN: Result<Option<&str>, AccessError> = Err(AccessError::ForeignJob);
    let with_tenants = table(1, vec![tenant("a", &[1]), tenant("b", &[2])]);
    let without_tenants = table(1, Vec::new());
    let (a, b) = (Some("a"), Some("b"));
    // Table, whether the queue is public, tenant of the key, owner of the job, result.
    let cases = [
        (&with_tenants, false, None, None, UNKNOWN),
        (&with_tenants, false, None, a, UNKNOWN),
        (&with_tenants, false, a, None, Ok(a)),
        (&with_tenants, false, a, a, Ok(a)),
        (&with_tenants, false, a, b, FOREIGN),
        (&with_tenants, false, a, Some("removed"), FOREIGN),
        (&with_tenants, true, None, None, Ok(None)),
        (&with_tenants, true, None, a, FOREIGN),
        (&with_tenants, true, b, a, FOREIGN),
        (&with_tenants, true, a, a, Ok(None)),
        (&with_tenants, true, a, None, Ok(None)),
        (&without_tenants, false, None, None, Ok(None)),
        (&without_tenants, false, None, a, FOREIGN),
    ];

    for (table, public, tenant, owner, expected) in cases {
        let result = check_access(table, &queue(public), tenant, owner);

        assert_eq!(result, expected, "public {public}, {tenant:?}, {owner:?}");
    }
}
