//! Text forms of identifiers, numbers and names.

use std::{
    fmt::{Debug, Display},
    str::FromStr,
};

use acaciareel_types::{
    Accelerators, Attempt, Class, Connections, CpuMillicores, Effect, FailureDomain, FencingToken,
    IdempotencyKey, Incarnation, KindName, LogIndex, MemoryBytes, Millis, OperationId, Policy,
    PoolName, RackName, RatePerSecond, Reason, Slots, TableVersion, TaskId, TenantName, Term, VmId,
    WorkerGroup, WorkerId,
};
use proptest::{prelude::*, test_runner::RngSeed};

/// Runs with the same cases each time; `PROPTEST_RNG_SEED` chooses others.
fn seeded() -> ProptestConfig {
    let mut config = ProptestConfig::default();
    if config.rng_seed == RngSeed::Random {
        config.rng_seed = RngSeed::Fixed(1);
    }
    config
}

fn check<T>(value: &T) -> Result<(), TestCaseError>
where
    T: Debug + Display + FromStr<Err: Debug + PartialEq> + PartialEq,
{
    let parsed = value.to_string().parse();
    prop_assert_eq!(parsed.as_ref(), Ok(value));
    Ok(())
}

fn check_id<T>(text: &str) -> Result<(), TestCaseError>
where
    T: Debug + Display + FromStr<Err: Debug + PartialEq> + PartialEq,
{
    let valid = (1..=128).contains(&text.len())
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || "._:-/".contains(c));
    let parsed = text.parse::<T>();
    prop_assert_eq!(parsed.is_ok(), valid);
    if let Ok(id) = parsed {
        prop_assert_eq!(id.to_string(), text);
        check(&id)?;
    }
    Ok(())
}

macro_rules! check_ids {
    ($text:expr, $($id:ident)*) => {
        $(check_id::<$id>($text)?;)*
    };
}

macro_rules! check_numbers {
    ($number:expr, $text:expr, $($name:ident)*) => {
        $(
            check(&$name($number))?;
            prop_assert_eq!($number.to_string().parse(), Ok($name($number)));
            let _ = $text.parse::<$name>();
        )*
    };
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against an identifier that its own text form does not give back, or that is
    /// accepted with a character or a length outside the rule.
    #[test]
    fn identifiers(text in prop_oneof!["[A-Za-z0-9._:/-]{0,140}", any::<String>()]) {
        check_ids!(
            &text,
            FailureDomain IdempotencyKey KindName OperationId PoolName RackName TaskId TenantName
            WorkerGroup WorkerId
        );
    }

    /// Guards against a number that its own text form or its bare digits do not give back.
    #[test]
    fn numbers(small in any::<u32>(), large in any::<u64>(), text in any::<String>()) {
        check_numbers!(
            small, text,
            Accelerators Attempt Connections CpuMillicores RatePerSecond Slots VmId
        );
        check_numbers!(
            large, text,
            FencingToken Incarnation LogIndex MemoryBytes Millis TableVersion Term
        );
    }

    /// Guards against a name that is printed but not accepted, or accepted in another spelling.
    #[test]
    fn names(text in any::<String>()) {
        Effect::ALL.iter().try_for_each(check)?;
        Class::ALL.iter().try_for_each(check)?;
        Policy::ALL.iter().try_for_each(check)?;
        Reason::ALL.iter().try_for_each(check)?;
        if let Ok(reason) = text.parse::<Reason>() {
            prop_assert_eq!(reason.as_str(), text);
        }
    }
}
