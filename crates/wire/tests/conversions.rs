//! Conversions to and from wire messages and JSON bodies.

#[path = "support/strategies.rs"]
mod strategies;

use std::fmt::Debug;

use acaciareel_consensus::{MemberSet, Record};
use acaciareel_testing::seeded;
use acaciareel_types::{RawTables, Tables, Verdict, WorkerReport};
use acaciareel_wire::{DecodeError, Field, Fields, GroupRecord, consensus, http, types};
use proptest::{collection::vec, prelude::*};

/// Converts a value to its wire form and back.
fn round_trip<T: Field>(value: &T) -> Result<T, DecodeError> {
    T::from_wire(Fields::of("Test"), "value", value.to_wire())
}

fn check_round_trip<T: Field + Debug + PartialEq>(value: &T) -> Result<(), TestCaseError> {
    let decoded = round_trip(value);
    prop_assert_eq!(decoded.as_ref(), Ok(value));
    Ok(())
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against a field that is lost or changed between two daemons.
    #[test]
    fn values_round_trip_through_wire_messages(
        report in strategies::report(),
        request in strategies::request(),
        verdict in strategies::verdict(),
        raw in strategies::raw_tables(),
        tables in strategies::tables(),
        message in strategies::message(),
    ) {
        check_round_trip(&report)?;
        check_round_trip(&request)?;
        check_round_trip(&verdict)?;
        check_round_trip(&raw)?;
        check_round_trip(&tables)?;
        check_round_trip(&message)?;
    }

    /// Guards against a record of the write-ahead log that cannot be read after a restart.
    #[test]
    fn records_round_trip_through_bytes(group in ".{1,20}", record in strategies::record()) {
        let record = GroupRecord { group, record };

        let read = GroupRecord::from_bytes(&record.to_bytes());

        prop_assert_eq!(read, Ok(record));
    }

    /// Guards against a JSON form that loses binary bodies, large numbers or optional fields.
    #[test]
    fn json_bodies_round_trip(
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

    /// Guards against a panic on invalid bytes from another process or a damaged disk.
    #[test]
    fn damaged_records_give_an_error_or_a_record(
        random_bytes in vec(any::<u8>(), 0..200),
        record in strategies::record(),
        changes in vec(any::<(usize, u8)>(), 0..4),
        length in any::<usize>(),
    ) {
        let valid = GroupRecord { group: "tables".into(), record }.to_bytes();
        let damaged = strategies::damage(valid, &changes, length);

        for bytes in [random_bytes, damaged] {
            if let Ok(read) = GroupRecord::from_bytes(&bytes) {
                prop_assert_eq!(GroupRecord::from_bytes(&read.to_bytes()), Ok(read));
            }
        }
    }
}

/// Guards against an allocation of the length that a message states without containing the bytes.
#[test]
fn a_claimed_length_without_bytes_is_an_error() {
    let group_of_two_gib = [0x0a, 0xff, 0xff, 0xff, 0xff, 0x07];

    let error = GroupRecord::from_bytes(&group_of_two_gib).expect_err("missing bytes");

    assert_eq!(error.message_name(), "GroupRecord");
}

/// Guards against errors that do not name the invalid message and field.
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
fn members_out_of_order_are_rejected() {
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

/// Guards against a change of the tables whose missing version is taken for version 0.
#[test]
fn json_without_a_number_is_rejected() {
    let text = r#"{"operation_id": "op-1", "tables": {}}"#;

    let error = serde_json::from_str::<http::ApplyRequest>(text).expect_err("no version");

    assert!(
        error
            .to_string()
            .contains("missing field `expected_version`"),
        "{error}"
    );
}

/// Guards against tables in JSON that are rejected because an empty list is missing.
#[test]
fn json_tables_may_leave_out_empty_lists() {
    let wire: types::Tables = serde_json::from_str("{}").expect("tables");

    assert_eq!(RawTables::try_from(wire), Ok(RawTables::default()));
}
