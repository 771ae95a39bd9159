//! Single messages whose faults random runs meet too rarely.

use acaciareel_consensus::{
    Entry, GroupSettings, Input, Member, MemberChange, MemberId, MemberSet, Message, Output,
    Payload, Replica, Restored, Snapshot,
};
use acaciareel_types::{Incarnation, LogIndex, Millis, Term, VmId};

fn id(vm: u32) -> MemberId {
    MemberId {
        vm: VmId(vm),
        incarnation: Incarnation(u64::from(vm)),
    }
}

fn members() -> MemberSet {
    let member = |vm: u32| Member {
        incarnation: id(vm).incarnation,
        voter: true,
    };
    (1..=3).map(|vm| (VmId(vm), member(vm))).collect()
}

fn entry(index: u64, term: u64, bytes: usize) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(vec![0; bytes].into()),
    }
}

/// A member list in entry 1 and `extra` commands of `bytes` each, all of term 1.
fn restored(extra: u64, bytes: usize) -> Restored {
    let first = Entry {
        payload: Payload::Members(members()),
        ..entry(1, 1, 0)
    };
    let rest = (2..2 + extra).map(|index| entry(index, 1, bytes));
    Restored {
        term: Term(1),
        entries: [first].into_iter().chain(rest).collect(),
        ..Restored::default()
    }
}

fn replica(vm: u32, restored: Option<Restored>) -> Replica {
    let settings = GroupSettings {
        me: id(vm),
        initial_voters: (1..=3).map(VmId).collect(),
        preferred_leaders: Vec::new(),
        heartbeat_ms: Millis(100),
        election_timeout_ms: Millis(600),
        lease_ms: Millis(500),
        seed: 1,
    };
    Replica::new(settings, restored, Millis(10_000))
}

fn give(replica: &mut Replica, now_ms: u64, input: Input) -> Vec<Output> {
    let mut out = Vec::new();
    replica.reduce(Millis(now_ms), input, &mut out);
    out
}

fn receive(replica: &mut Replica, now_ms: u64, from: MemberId, message: Message) -> Vec<Output> {
    give(replica, now_ms, Input::Receive { from, message })
}

fn sync(replica: &mut Replica, now_ms: u64) -> Vec<Output> {
    give(replica, now_ms, Input::Synced { ticket: u64::MAX })
}

fn sent(out: &[Output]) -> Vec<&Message> {
    out.iter()
        .filter_map(|output| match output {
            Output::Send { message, .. } => Some(message),
            _ => None,
        })
        .collect()
}

fn request(term: u64, transfer: bool) -> Message {
    Message::RequestVote {
        term: Term(term),
        pre_vote: false,
        last_index: LogIndex(9),
        last_term: Term(1),
        transfer,
    }
}

fn append(term: u64, previous: (u64, u64), entries: Vec<Entry>) -> Message {
    Message::Append {
        term: Term(term),
        previous_index: LogIndex(previous.0),
        previous_term: Term(previous.1),
        entries,
        commit_index: LogIndex(0),
        sent_ms: Millis(77),
    }
}

fn appended(term: u64, match_index: u64, sent_ms: u64) -> Message {
    Message::Appended {
        term: Term(term),
        success: true,
        match_index: LogIndex(match_index),
        sent_ms: Millis(sent_ms),
    }
}

/// Makes VM 1 the leader of term 2 at 12,000 ms by the vote of VM 2.
fn leader(restored: Restored) -> Replica {
    let mut leader = replica(1, Some(restored));
    let vote = |term, pre_vote| Message::Vote {
        term: Term(term),
        pre_vote,
        granted: true,
    };
    give(&mut leader, 12_000, Input::Tick);
    let asked = receive(&mut leader, 12_000, id(2), vote(2, true));
    assert!(
        sent(&asked).is_empty(),
        "asks for votes before its own is synced"
    );
    assert_eq!(sent(&sync(&mut leader, 12_000)).len(), 2);
    receive(&mut leader, 12_000, id(2), vote(2, false));
    leader
}

/// Guards against a vote that a crash takes back.
#[test]
fn vote_is_sent_only_once_synced() {
    let mut voter = replica(2, Some(restored(0, 0)));

    let before = receive(&mut voter, 11_000, id(1), request(2, false));
    let after = sync(&mut voter, 11_001);
    let other = receive(&mut voter, 11_002, id(3), request(2, false));

    assert!(sent(&before).is_empty());
    assert!(matches!(
        sent(&after)[..],
        [Message::Vote { granted: true, .. }]
    ));
    assert!(matches!(
        sent(&other)[..],
        [Message::Vote { granted: false, .. }]
    ));
}

/// Guards against a second lease: who has heard a leader, or may have before its restart, does
/// not vote within the election timeout unless that leader asked for it.
#[test]
fn voter_is_bound_after_contact_and_after_start() {
    let mut voter = replica(2, Some(restored(0, 0)));

    let after_start = receive(&mut voter, 10_599, id(3), request(2, false));
    receive(&mut voter, 11_000, id(1), append(1, (1, 1), Vec::new()));
    let after_contact = receive(&mut voter, 11_599, id(3), request(2, false));
    let transferred = receive(&mut voter, 11_599, id(3), request(2, true));

    let persists = |out: &[Output]| out.iter().any(|o| matches!(o, Output::Persist { .. }));
    assert!(!persists(&after_start) && !persists(&after_contact));
    assert!(persists(&transferred));
}

/// Guards against a leader that counts entries which a crash takes back.
#[test]
fn entries_are_acknowledged_only_once_synced() {
    let mut follower = replica(2, Some(restored(0, 0)));

    let message = append(2, (1, 1), vec![entry(2, 2, 1), entry(3, 2, 1)]);
    let before = receive(&mut follower, 11_000, id(1), message);
    let heartbeat = receive(&mut follower, 11_001, id(1), append(2, (3, 2), Vec::new()));
    // A new leader replaces entry 3 before the first ticket is synced.
    let message = append(3, (2, 2), vec![entry(3, 3, 1)]);
    receive(&mut follower, 11_002, id(3), message);
    let first = give(&mut follower, 11_003, Input::Synced { ticket: 1 });
    let second = give(&mut follower, 11_004, Input::Synced { ticket: 2 });

    assert!(sent(&before).is_empty() && sent(&first).is_empty());
    assert_eq!(sent(&heartbeat), [&appended(2, 1, 77)]);
    assert_eq!(sent(&second), [&appended(3, 3, 77)]);
}

/// Guards against the loss of an entry of an earlier term that only counting made committed
/// (Raft, figure 8).
#[test]
fn entries_of_earlier_terms_are_not_committed_by_count() {
    let mut leader = leader(restored(3, 60_000));
    sync(&mut leader, 12_001);

    let counted = receive(&mut leader, 12_002, id(2), appended(2, 4, 12_000));
    let committed = receive(&mut leader, 12_003, id(2), appended(2, 5, 12_000));

    assert!(
        !counted
            .iter()
            .any(|output| matches!(output, Output::Commit { .. }))
    );
    assert!(matches!(committed[..3], [Output::Commit { .. }, ..]));
    assert!(committed.contains(&Output::Ready { term: Term(2) }));
}

/// Guards against two changes under way, whose majorities need not overlap, and against answers
/// of an incarnation that is not in the list.
#[test]
fn changes_wait_for_each_other_and_unknown_incarnations_are_ignored() {
    let mut leader = leader(restored(0, 0));
    let stranger = MemberId {
        incarnation: Incarnation(99),
        ..id(2)
    };
    sync(&mut leader, 12_001);
    receive(&mut leader, 12_002, stranger, appended(2, 2, 12_000));
    receive(&mut leader, 12_002, stranger, appended(7, 2, 12_000));
    assert_eq!(
        (leader.commit_index(), leader.term()),
        (LogIndex(0), Term(2))
    );
    receive(&mut leader, 12_002, id(2), appended(2, 2, 12_000));

    give(
        &mut leader,
        12_003,
        Input::Change(MemberChange::AddLearner(id(4))),
    );
    give(
        &mut leader,
        12_004,
        Input::Change(MemberChange::Remove(VmId(3))),
    );

    assert_eq!(leader.members().len(), 4);
}

/// Guards against a second forming from answers to an earlier life of the founder, and against a
/// first entry that is sent before it is synced.
#[test]
fn founder_counts_fresh_answers_only() {
    let mut founder = replica(1, None);
    let answer = |asked_by| Message::Unformed {
        asked_by: Some(Incarnation(asked_by)),
    };
    receive(&mut founder, 10_010, id(2), answer(77));
    receive(&mut founder, 10_010, id(3), answer(77));
    assert!(founder.members().is_empty());
    receive(&mut founder, 10_020, id(2), answer(1));

    let formed = receive(&mut founder, 10_020, id(3), answer(1));
    let sent_after_sync = sync(&mut founder, 10_021);

    assert!(sent(&formed).is_empty());
    assert_eq!(sent(&sent_after_sync).len(), 2);
}

/// Guards against the first entry of a founder that has lost its disk since.
#[test]
fn voter_ignores_a_replaced_founder() {
    let mut voter = replica(2, None);
    let successor = MemberId {
        incarnation: Incarnation(50),
        ..id(1)
    };
    receive(
        &mut voter,
        10_010,
        successor,
        Message::Unformed { asked_by: None },
    );

    let first = restored(0, 0).entries;
    let out = receive(&mut voter, 10_020, id(1), append(1, (0, 0), first.clone()));
    receive(&mut voter, 10_030, successor, append(1, (0, 0), first));

    assert!(out.is_empty());
    assert_eq!(voter.members(), members());
}

/// Guards against a snapshot with a hole, and against an answer for one that a crash takes back.
#[test]
fn snapshot_chunks_are_taken_in_order_and_answered_once_synced() {
    let mut follower = replica(2, Some(restored(0, 0)));
    let state: Vec<u8> = (0..9).collect();
    let chunk = |start: usize, end: usize| Message::InstallSnapshot {
        term: Term(2),
        index: LogIndex(8),
        snapshot_term: Term(1),
        members: members(),
        offset_bytes: start as u64,
        total_bytes: 9,
        chunk: state[start..end].into(),
        sent_ms: Millis(77),
    };
    receive(&mut follower, 11_000, id(1), chunk(0, 3));
    receive(&mut follower, 11_001, id(1), chunk(6, 9));
    receive(&mut follower, 11_002, id(1), chunk(0, 3));
    receive(&mut follower, 11_003, id(1), chunk(3, 6));

    let installed = receive(&mut follower, 11_004, id(1), chunk(6, 9));
    let repeated = receive(&mut follower, 11_005, id(1), chunk(6, 9));
    let answer = sync(&mut follower, 11_006);

    let restore = Output::Restore {
        index: LogIndex(8),
        state: state.clone().into(),
    };
    assert_eq!(installed[0], restore);
    assert!(sent(&installed).is_empty() && sent(&repeated).is_empty());
    assert_eq!(sent(&answer).len(), 1);
}

/// Guards against a replica that goes on with a hole in its log.
#[test]
fn damaged_state_is_refused() {
    let mut gap = restored(3, 1);
    gap.entries.remove(2);
    let mut behind = restored(3, 1);
    behind.term = Term(0);
    let mut covered = restored(3, 1);
    covered.snapshot = Some(Snapshot {
        index: LogIndex(2),
        term: Term(1),
        members: members(),
        state: Vec::new().into(),
    });

    let errors = [gap, behind, covered].map(|restored| restored.check().unwrap_err());

    assert_eq!(
        errors[0].to_string(),
        "restored log has entry 4 where 3 is expected"
    );
    assert!(errors[1].to_string().contains("later term"));
    assert!(
        errors[2]
            .to_string()
            .contains("entry 1 where 3 is expected")
    );
}
