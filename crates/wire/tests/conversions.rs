//! Conversions to and from the wire.

#[path = "support/strategies.rs"]
mod strategies;

use std::fmt::Debug;

use acaciareel_consensus::{MemberSet, Record};
use acaciareel_types::{RawTables, Tables, Verdict, WorkerReport};
use acaciareel_wire::{DecodeError, Field, Fields, GroupRecord, consensus, http, types};
use proptest::{collection::vec, prelude::*};

/// Takes a value to the wire and back.
fn again<T: Field>(value: &T) -> Result<T, DecodeError> {
    T::from_wire(Fields::of("Test"), "value", value.to_wire())
}

fn check<T: Field + Debug + PartialEq>(value: &T) -> Result<(), TestCaseError> {
    let again = again(value);
    prop_assert_eq!(again.as_ref(), Ok(value));
    Ok(())
}

proptest! {
    #![proptest_config(strategies::seeded())]

    /// Guards against a field that is lost or changed on the wire.
    #[test]
    fn values_survive_the_wire(
        report in strategies::report(),
        request in strategies::request(),
        verdict in strategies::verdict(),
        raw in strategies::raw_tables(),
        tables in strategies::tables(),
        message in strategies::message(),
    ) {
        check(&report)?;
        check(&request)?;
        check(&verdict)?;
        check(&raw)?;
        check(&tables)?;
        check(&message)?;
    }

    /// Guards against a record of the write-ahead log that cannot be read again.
    #[test]
    fn records_survive_the_file(group in ".{1,20}", record in strategies::record()) {
        let record = GroupRecord { group, record };

        let read = GroupRecord::from_bytes(&record.to_bytes());

        prop_assert_eq!(read, Ok(record));
    }

    /// Guards against a JSON form that loses binary bodies, large numbers or optional fields.
    #[test]
    fn json_bodies_survive(
        report in strategies::report(),
        refusal in strategies::refusal(),
        answer in strategies::answer(),
    ) {
        let report_json = serde_json::to_string(&types::WorkerReport::from(&report)).expect("JSON");
        let refusal_json = serde_json::to_string(&http::VerdictBody::from(&refusal)).expect("JSON");
        let answer_json = serde_json::to_string(&types::Answer::from(&answer)).expect("JSON");

        let read: types::WorkerReport = serde_json::from_str(&report_json).expect("report");
        prop_assert_eq!(WorkerReport::try_from(read), Ok(report));
        let read: http::VerdictBody = serde_json::from_str(&refusal_json).expect("verdict");
        prop_assert_eq!(Verdict::try_from(read), Ok(refusal));
        let read: types::Answer = serde_json::from_str(&answer_json).expect("answer");
        prop_assert_eq!(read.try_into(), Ok(answer));
    }

    /// Guards against a panic on bytes that another process or a damaged disk made up.
    #[test]
    fn damaged_records_give_an_error_or_a_record(
        noise in vec(any::<u8>(), 0..200),
        record in strategies::record(),
        changes in vec(any::<(usize, u8)>(), 0..4),
        length in any::<usize>(),
    ) {
        let valid = GroupRecord { group: "tables".into(), record }.to_bytes();
        let damaged = strategies::damage(valid, &changes, length);

        for bytes in [noise, damaged] {
            if let Ok(read) = GroupRecord::from_bytes(&bytes) {
                prop_assert_eq!(GroupRecord::from_bytes(&read.to_bytes()), Ok(read));
            }
        }
    }
}

/// Guards against memory that grows with a length that the sender only claims.
#[test]
fn a_claimed_length_without_bytes_is_an_error() {
    let group_of_two_gib = [0x0a, 0xff, 0xff, 0xff, 0xff, 0x07];

    let error = GroupRecord::from_bytes(&group_of_two_gib).expect_err("missing bytes");

    assert_eq!(error.message_name(), "GroupRecord");
}

/// Guards against errors that do not tell where the input is wrong.
#[test]
fn errors_name_message_and_field() {
    let mut report = types::WorkerReport::default();
    let no_name = WorkerReport::try_from(report.clone()).expect_err("no name");
    report.worker = "worker-1".into();
    report.address = "nowhere".into();
    let no_address = WorkerReport::try_from(report).expect_err("no address");
    let no_record = Record::try_from(consensus::Record::default()).expect_err("no record");
    let tables = Tables::try_from(types::Tables {
        routes: vec![types::Row::default()],
        ..types::Tables::default()
    });

    assert_eq!(
        no_name.to_string(),
        "WorkerReport.worker: identifier is empty"
    );
    assert_eq!(
        (no_address.message_name(), no_address.field_name()),
        ("WorkerReport", "address")
    );
    assert_eq!(no_record.to_string(), "Record.record: field is missing");
    assert!(tables.is_err_and(|error| error.to_string().starts_with("Tables: [route ]")));
}

/// Guards against a member list in which one VM counts twice towards a majority.
#[test]
fn members_out_of_order_are_refused() {
    let member = |vm| consensus::Member {
        vm,
        incarnation: 1,
        voter: true,
    };

    for vms in [[2, 1], [1, 1]] {
        let members = vms.map(member).into();
        assert!(MemberSet::try_from(consensus::Members { members }).is_err());
    }
}

/// Guards against an operator's change whose missing version would count as version 0.
#[test]
fn json_without_a_number_is_refused() {
    let text = r#"{"operation_id": "op-1", "tables": {}}"#;

    let error = serde_json::from_str::<http::ApplyRequest>(text).expect_err("no version");

    assert!(
        error
            .to_string()
            .contains("missing field `expected_version`"),
        "{error}"
    );
}

/// Guards against tables in JSON that must spell out empty lists.
#[test]
fn json_tables_may_leave_out_empty_lists() {
    let wire: types::Tables = serde_json::from_str("{}").expect("tables");

    assert_eq!(RawTables::try_from(wire), Ok(RawTables::default()));
}
