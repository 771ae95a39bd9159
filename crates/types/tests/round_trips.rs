//! Text forms of identifiers, numbers and names.

use std::{
    fmt::{Debug, Display},
    str::FromStr,
};

use acaciareel_testing::seeded;
use acaciareel_types::{
    Accelerators, Attempt, Class, Connections, CpuMillicores, Effect, FailureDomain, FencingToken,
    IdempotencyKey, Incarnation, KindName, LogIndex, MemoryBytes, Millis, OperationId, Policy,
    PoolName, ProcessEpoch, RackName, RatePerSecond, Reason, Slots, TableVersion, TaskId,
    TenantName, Term, VmId, WorkerGroup, WorkerId,
};
use proptest::prelude::*;

fn check_round_trip<T>(value: &T) -> Result<(), TestCaseError>
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
        check_round_trip(&id)?;
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
            check_round_trip(&$name($number))?;
            prop_assert_eq!($number.to_string().parse(), Ok($name($number)));
            let _ = $text.parse::<$name>();
        )*
    };
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against an identifier that changes when its text form is parsed, and against one that
    /// is accepted with a character or a length that is not allowed.
    #[test]
    fn identifiers_round_trip(text in prop_oneof!["[A-Za-z0-9._:/-]{0,140}", any::<String>()]) {
        check_ids!(
            &text,
            FailureDomain IdempotencyKey KindName OperationId PoolName RackName TaskId TenantName
            WorkerGroup WorkerId
        );
    }

    /// Guards against a number that changes when its text form or its digits alone are parsed.
    #[test]
    fn numbers_round_trip(small in any::<u32>(), large in any::<u64>(), text in any::<String>()) {
        check_numbers!(
            small, text,
            Accelerators Attempt Connections CpuMillicores RatePerSecond Slots VmId
        );
        check_numbers!(
            large, text,
            FencingToken Incarnation LogIndex MemoryBytes Millis TableVersion Term
        );
        let epoch = ProcessEpoch::from_random(small);
        check_round_trip(&epoch)?;
        prop_assert_ne!(epoch, epoch.next());
        prop_assert_eq!(u64::from(small) == epoch.number(), ProcessEpoch::try_from(small).is_ok());
    }

    /// Guards against a name that is printed but cannot be parsed, and against one that is accepted
    /// in another spelling.
    #[test]
    fn names_round_trip(text in any::<String>()) {
        Effect::ALL.iter().try_for_each(check_round_trip)?;
        Class::ALL.iter().try_for_each(check_round_trip)?;
        Policy::ALL.iter().try_for_each(check_round_trip)?;
        Reason::ALL.iter().try_for_each(check_round_trip)?;
        if let Ok(reason) = text.parse::<Reason>() {
            prop_assert_eq!(reason.as_str(), text);
        }
    }
}
