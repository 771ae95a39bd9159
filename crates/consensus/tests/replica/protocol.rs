//! Single messages in orders that random runs produce too rarely.

use acaciareel_consensus::{
    Entry, Input, Member, MemberChange, MemberId, MemberSet, Message, Output, Payload, Replica,
    RestoredState,
};
use acaciareel_types::{Incarnation, LogIndex, Millis, Term, VmId};

use crate::network;

fn id(vm: u32) -> MemberId {
    id_with_incarnation(vm, u64::from(vm))
}

fn id_with_incarnation(vm: u32, incarnation: u64) -> MemberId {
    MemberId {
        vm: VmId(vm),
        incarnation: Incarnation(incarnation),
    }
}

fn members() -> MemberSet {
    let member = |vm: u32| Member {
        incarnation: id(vm).incarnation,
        voter: true,
    };
    (1..=3).map(|vm| (VmId(vm), member(vm))).collect()
}

fn command(index: u64, term: u64, bytes: usize) -> Entry {
    Entry {
        index: LogIndex(index),
        term: Term(term),
        payload: Payload::Command(vec![0; bytes].into()),
    }
}

/// Returns a log with the member list in entry 1 and `extra` commands of 60,000 bytes, all of
/// term 1.
fn restored(extra: u64) -> RestoredState {
    let mut entries: Vec<Entry> = (1..2 + extra).map(|i| command(i, 1, 60_000)).collect();
    entries[0].payload = Payload::Members(members());
    RestoredState {
        term: Term(1),
        entries,
        ..RestoredState::default()
    }
}

/// One replica and the outputs of its last input.
struct Harness {
    replica: Replica,
    now_ms: u64,
    out: Vec<Output>,
}

impl Harness {
    fn new(vm: u32, restored: Option<RestoredState>) -> Self {
        let settings = network::settings(id(vm), 3, 1);
        Self {
            replica: Replica::new(settings, restored, Millis(10_000)),
            now_ms: 11_000,
            out: Vec::new(),
        }
    }

    /// Makes VM 1 the leader of term 2 at 12,000 ms by the vote of VM 2.
    fn leader(restored: RestoredState) -> Self {
        let mut leader = Self::new(1, Some(restored));
        leader.now_ms = 12_000;
        leader.input(Input::Tick);
        leader.receive(id(2), vote(2, true));
        leader.sync(u64::MAX);
        leader.receive(id(2), vote(2, false));
        leader.sync(u64::MAX);
        leader
    }

    /// Returns the messages that an input causes.
    fn input(&mut self, input: Input) -> Vec<Message> {
        self.out.clear();
        let now_ms = Millis(self.now_ms);
        self.replica.reduce(now_ms, input, &mut self.out);
        let message = |output| match output {
            Output::Send { message, .. } => Some(message),
            _ => None,
        };
        self.out.iter().cloned().filter_map(message).collect()
    }

    fn receive(&mut self, from: MemberId, message: Message) -> Vec<Message> {
        self.input(Input::Receive { from, message })
    }

    fn sync(&mut self, ticket: u64) -> Vec<Message> {
        self.input(Input::Synced { ticket })
    }
}

fn request(term: u64, pre_vote: bool, transfer: bool) -> Message {
    Message::RequestVote {
        term: Term(term),
        pre_vote,
        last_index: LogIndex(9),
        last_term: Term(1),
        transfer,
    }
}

fn vote(term: u64, pre_vote: bool) -> Message {
    Message::Vote {
        term: Term(term),
        pre_vote,
        granted: true,
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

fn appended(term: u64, match_index: u64) -> Message {
    Message::Appended {
        term: Term(term),
        success: true,
        match_index: LogIndex(match_index),
        sent_ms: Millis(77),
    }
}

/// Guards against a vote that is sent before it is synced: a crash would lose it, and the voter
/// could vote again in the same term.
#[test]
fn vote_is_sent_only_once_synced() {
    let mut voter = Harness::new(2, Some(restored(0)));

    let before = voter.receive(id(1), request(2, false, false));
    let after = voter.sync(1);
    let other = voter.receive(id(3), request(2, false, false));

    assert_eq!((before, after), (Vec::new(), vec![vote(2, false)]));
    assert!(matches!(other[..], [Message::Vote { granted: false, .. }]));
}

/// Guards against a candidate that requests votes before its own vote is synced: after a crash it
/// could lead the same term twice.
#[test]
fn candidate_requests_votes_only_once_its_own_vote_is_synced() {
    let mut candidate = Harness::new(1, Some(restored(0)));
    candidate.receive(id(2), append(1, (1, 1), vec![command(2, 1, 1)]));
    candidate.now_ms = 13_000;
    candidate.input(Input::Tick);
    candidate.receive(id(2), vote(2, true));

    let entry_synced = candidate.sync(1);
    candidate.now_ms = 20_000;
    let waiting = candidate.input(Input::Tick);
    let vote_synced = candidate.sync(2);

    let counts = [entry_synced, waiting, vote_synced].map(|sent| sent.len());
    assert_eq!(counts, [0, 0, 2]);
}

/// Guards against two replicas that grant each other's pre-vote and split the vote repeatedly.
/// Electing a leader then took 2,533 ms in one of 100 runs with 2% loss.
#[test]
fn lower_id_has_priority_in_simultaneous_pre_votes() {
    let mut candidate = Harness::new(1, Some(restored(0)));
    candidate.now_ms = 13_000;
    candidate.input(Input::Tick);

    let at_once = candidate.receive(id(2), request(2, true, false));
    candidate.now_ms = 13_100;
    let later = candidate.receive(id(2), request(2, true, false));

    assert!(matches!(
        at_once[..],
        [Message::Vote { granted: false, .. }]
    ));
    assert_eq!(later, [vote(2, true)]);
}

/// Guards against a second lease: a voter that received a leader's message, or may have before its
/// restart, must not vote within the election timeout unless that leader requested the election.
#[test]
fn voter_grants_no_vote_soon_after_contact_or_start() {
    let mut voter = Harness::new(2, Some(restored(0)));
    voter.now_ms = 10_599;
    voter.receive(id(3), request(2, false, false));
    voter.now_ms = 11_000;
    voter.receive(id(1), append(1, (1, 1), Vec::new()));
    voter.now_ms = 11_599;
    voter.receive(id(3), request(2, false, false));
    assert_eq!(voter.replica.term(), Term(1));

    voter.receive(id(3), request(2, false, true));

    assert_eq!(voter.replica.term(), Term(2));
}

/// Guards against a leader that counts entries which a crash of the follower can still lose.
#[test]
fn entries_are_acknowledged_only_once_synced() {
    let mut follower = Harness::new(2, Some(restored(0)));

    let entries = vec![command(2, 2, 1), command(3, 2, 1)];
    let before = follower.receive(id(1), append(2, (1, 1), entries));
    let heartbeat = follower.receive(id(1), append(2, (3, 2), Vec::new()));
    // A new leader replaces entry 3 before the first ticket is synced.
    follower.receive(id(3), append(3, (2, 2), vec![command(3, 3, 1)]));
    let first = follower.sync(1);
    let second = follower.sync(2);

    assert_eq!((before.len(), first.len()), (0, 0));
    assert_eq!(heartbeat, [appended(2, 1)]);
    assert_eq!(second, [appended(3, 3)]);
}

/// Guards against a leader that commits an entry of an earlier term by counting replicas; a later
/// leader could overwrite it (Raft, figure 8).
#[test]
fn entries_of_earlier_terms_are_not_committed_by_count() {
    let mut leader = Harness::leader(restored(3));

    leader.receive(id(2), appended(2, 4));
    assert_eq!(leader.replica.commit_index(), LogIndex(0));
    leader.receive(id(2), appended(2, 5));

    assert_eq!(leader.replica.commit_index(), LogIndex(5));
    assert!(leader.out.contains(&Output::Ready { term: Term(2) }));
}

/// Guards against a second membership change before the first is committed, since their majorities
/// need not overlap, and against answers of an incarnation that is not in the member list.
#[test]
fn membership_changes_are_serialized_and_unknown_incarnations_ignored() {
    let mut leader = Harness::leader(restored(0));
    leader.receive(id_with_incarnation(2, 99), appended(2, 2));
    leader.receive(id_with_incarnation(2, 99), appended(7, 2));
    assert_eq!(leader.replica.commit_index(), LogIndex(0));
    assert_eq!(leader.replica.term(), Term(2));
    leader.receive(id(2), appended(2, 2));

    leader.input(Input::Change(MemberChange::AddLearner(id(4))));
    leader.input(Input::Change(MemberChange::Remove(VmId(3))));

    assert_eq!(leader.replica.members().len(), 4);
}

/// Guards against a second bootstrap caused by answers to an earlier incarnation of the bootstrap
/// leader, and against a first entry that is sent before it is synced.
#[test]
fn bootstrap_leader_counts_only_answers_to_its_incarnation() {
    let mut bootstrap_leader = Harness::new(1, None);
    let answer = |asked_by| Message::Unformed {
        asked_by: Some(Incarnation(asked_by)),
    };
    bootstrap_leader.receive(id(2), answer(77));
    bootstrap_leader.receive(id(3), answer(77));
    assert!(bootstrap_leader.replica.members().is_empty());
    bootstrap_leader.receive(id(2), answer(1));

    let sent_on_answers = bootstrap_leader.receive(id(3), answer(1));
    let synced = bootstrap_leader.sync(1);

    assert_eq!((sent_on_answers.len(), synced.len()), (0, 2));
}

/// Guards against a first entry from a bootstrap leader that has since lost its disk and restarted
/// under a new incarnation.
#[test]
fn voter_ignores_a_replaced_bootstrap_leader() {
    let mut voter = Harness::new(2, None);
    let successor = id_with_incarnation(1, 50);
    voter.receive(successor, Message::Unformed { asked_by: None });

    let first = append(1, (0, 0), restored(0).entries);
    voter.receive(id(1), first.clone());
    assert!(voter.replica.members().is_empty());
    voter.receive(successor, first);

    assert_eq!(voter.replica.members(), members());
}

/// Guards against a snapshot with missing bytes after reordered chunks, and against an
/// acknowledgement of a snapshot that a crash can still lose.
#[test]
fn snapshot_chunks_are_received_in_order_and_acknowledged_once_synced() {
    let mut follower = Harness::new(2, Some(restored(0)));
    let state: Vec<u8> = (0..9).collect();
    let chunk = |start: usize| Message::InstallSnapshot {
        term: Term(2),
        index: LogIndex(8),
        snapshot_term: Term(1),
        members: members(),
        offset_bytes: start as u64,
        total_bytes: 9,
        chunk: state[start..start + 3].into(),
        sent_ms: Millis(77),
    };
    for start in [0, 6, 0, 3] {
        follower.receive(id(1), chunk(start));
    }

    let installed = follower.receive(id(1), chunk(6));
    let restore = Output::Restore {
        index: LogIndex(8),
        state: state.clone().into(),
    };
    assert_eq!(follower.out[0], restore);
    let repeated = follower.receive(id(1), chunk(6));
    let synced = follower.sync(u64::MAX);

    assert_eq!((installed.len(), repeated.len()), (0, 0));
    assert_eq!(synced, [appended(2, 8)]);
}

/// Guards against a replica that starts with a gap in its log, or with entries of a later term than
/// its vote record.
#[test]
fn invalid_restored_state_is_rejected() {
    let mut gap = restored(3);
    gap.entries.remove(2);
    let mut behind = restored(3);
    behind.term = Term(0);

    let errors = [gap, behind].map(|restored| restored.check().unwrap_err().to_string());

    assert_eq!(errors[0], "restored log has entry 4 where 3 is expected");
    assert!(errors[1].contains("later term"));
}
