//! Whom the leader takes for the sender of an announcement.

use acaciareel_types::Millis;

use super::{Announcer, Answer, Verifications};
use crate::{Origin, RenewalReport, StartRefusal, WorkerRecord, WorkerReply};

fn record() -> WorkerRecord {
    WorkerRecord {
        id: "worker".to_owned(),
        incarnation_started_ms: 7,
        address: "10.0.9.1:80".to_owned(),
        service: "service".to_owned(),
        failure_domain: "d1".to_owned(),
        sequence: 4,
        ..WorkerRecord::default()
    }
}

fn identify(recorded: &WorkerRecord, announced: &WorkerRecord) -> Announcer {
    Announcer::identify(Some(recorded), announced, |service| service == "service")
}

fn report(started_ms: Option<u64>) -> WorkerReply {
    WorkerReply::Renewed(RenewalReport {
        clock_ms: 1_000,
        incarnation_started_ms: started_ms,
        running: Vec::new(),
        completions: Vec::new(),
        lists_all_completions: true,
    })
}

/// Guards against an announcement that replaces a worker without a call, or that is not taken from the
/// worker itself.
#[test]
fn announcers_are_told_apart_by_what_an_incarnation_keeps() {
    type Change = fn(&mut WorkerRecord);
    let cases: [(&str, Change, Announcer); 8] = [
        ("repeated", |_| {}, Announcer::Recorded),
        ("draining", |r| r.draining = true, Announcer::Recorded),
        (
            "shrunk",
            |r| r.capacity.cpu_millicores = 1,
            Announcer::Recorded,
        ),
        (
            "later",
            |r| r.incarnation_started_ms = 8,
            Announcer::Unverified,
        ),
        (
            "earlier",
            |r| r.incarnation_started_ms = 6,
            Announcer::Unverified,
        ),
        ("moved", |r| r.address.push('1'), Announcer::Other),
        ("telemetry", |r| r.service.push('1'), Announcer::Other),
        (
            "elsewhere",
            |r| r.failure_domain.push('1'),
            Announcer::Other,
        ),
    ];
    for (case, change, expected) in cases {
        let mut announced = record();
        change(&mut announced);

        assert_eq!(identify(&record(), &announced), expected, "{case}");
    }
    let unknown = Announcer::identify(None, &record(), |_| true);
    assert_eq!(unknown, Announcer::Unverified);
}

/// Guards against a worker that keeps the service of its earlier incarnation, because a report told of
/// the present one first.
#[test]
fn first_announcement_after_a_report_may_name_another_service() {
    let reported = WorkerRecord {
        service: "other".to_owned(),
        failure_domain: "d2".to_owned(),
        sequence: 0,
        ..record()
    };

    assert_eq!(identify(&reported, &record()), Announcer::Recorded);
}

/// Guards against a worker that is kept out for as long as it lives, because another writer announced
/// its incarnation first, for a service without queues.
#[test]
fn service_of_another_writer_does_not_keep_the_worker_out() {
    let foreign = WorkerRecord {
        service: "telemetry".to_owned(),
        ..record()
    };

    assert_eq!(identify(&foreign, &record()), Announcer::Recorded);
    assert_eq!(identify(&record(), &foreign), Announcer::Other);
}

/// Guards against a worker that is taken as verified by the answer of another process.
#[test]
fn only_the_announced_incarnation_verifies_itself() {
    let cases = [
        (report(Some(7)), Answer::Announced),
        (report(Some(6)), Answer::Other),
        (report(Some(8)), Answer::Other),
        (report(None), Answer::None),
        (WorkerReply::Refused(StartRefusal::OtherLife), Answer::Other),
        (WorkerReply::NoReply, Answer::None),
        (WorkerReply::NotListening, Answer::None),
    ];

    for (reply, expected) in cases {
        assert_eq!(Answer::of(&record(), &reply), expected, "{reply:?}");
    }
}

/// Guards against a call for each of many heartbeats, and against one that is never replied to.
#[test]
fn announcements_of_an_incarnation_share_one_verification() {
    let mut verifications = Verifications::default();
    let origin = |connection| Origin::Control { connection };
    let later = WorkerRecord {
        sequence: 5,
        draining: true,
        ..record()
    };
    let elsewhere = WorkerRecord {
        address: "10.0.9.2:80".to_owned(),
        ..record()
    };
    verifications.begin(1, record(), origin(1), Millis(5));

    let joined = [&later, &record()].map(|r| verifications.join(r.clone(), origin(2)));
    let other = verifications.join(elsewhere.clone(), origin(3));
    let concerned = [record(), elsewhere].map(|record| verifications.concern(&record));
    let taken = verifications.take(1).expect("verification");

    assert_eq!(joined, [None, None]);
    assert!(other.is_some());
    assert_eq!(concerned, [true, false]);
    assert_eq!((taken.record, taken.origins.len()), (later, 3));
    assert!(verifications.take(1).is_none());
    assert!(!verifications.concern(&record()));
}
