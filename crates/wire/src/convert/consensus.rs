//! Conversions of member sets, log entries and durable records of consensus groups.

use acaciareel_consensus::{Entry, Member, MemberSet, Payload, Record};
use acaciareel_types::{Incarnation, LogIndex, Term, VmId};

use crate::{
    DecodeError, Field, Fields,
    consensus::{self, entry, record},
};

impl From<&MemberSet> for consensus::Members {
    fn from(members: &MemberSet) -> Self {
        let member = |(vm, member): (&VmId, &Member)| consensus::Member {
            vm: vm.0,
            incarnation: member.incarnation.0,
            voter: member.voter,
        };
        Self {
            members: members.iter().map(member).collect(),
        }
    }
}

impl TryFrom<consensus::Members> for MemberSet {
    type Error = DecodeError;

    fn try_from(wire: consensus::Members) -> Result<Self, DecodeError> {
        // If one VM were listed twice, the size of a majority would depend on the order of the
        // list.
        if !wire.members.is_sorted_by(|a, b| a.vm < b.vm) {
            let reason = "members are not in ascending order of VMs";
            return Err(Fields::of("Members").error("members", reason));
        }
        let member = |wire: consensus::Member| {
            let member = Member {
                incarnation: Incarnation(wire.incarnation),
                voter: wire.voter,
            };
            (VmId(wire.vm), member)
        };
        Ok(wire.members.into_iter().map(member).collect())
    }
}

impl From<&Entry> for consensus::Entry {
    fn from(entry: &Entry) -> Self {
        let payload = match &entry.payload {
            Payload::Noop => entry::Payload::Noop(consensus::Empty {}),
            Payload::Command(command) => entry::Payload::Command(command.to_vec()),
            Payload::Members(members) => entry::Payload::Members(members.into()),
        };
        Self {
            index: entry.index.0,
            term: entry.term.0,
            payload: Some(payload),
        }
    }
}

impl TryFrom<consensus::Entry> for Entry {
    type Error = DecodeError;

    fn try_from(wire: consensus::Entry) -> Result<Self, DecodeError> {
        let payload = match Fields::of("Entry").present("payload", wire.payload)? {
            entry::Payload::Noop(consensus::Empty {}) => Payload::Noop,
            entry::Payload::Command(command) => Payload::Command(command.into()),
            entry::Payload::Members(members) => Payload::Members(members.try_into()?),
        };
        Ok(Self {
            index: LogIndex(wire.index),
            term: Term(wire.term),
            payload,
        })
    }
}

impl From<&Record> for consensus::Record {
    fn from(value: &Record) -> Self {
        let record = match value {
            Record::Vote { term, voted_for } => record::Record::Vote(consensus::HardState {
                term: term.0,
                voted_for: voted_for.to_wire(),
            }),
            Record::Truncate { from } => record::Record::TruncateFrom(from.0),
            Record::Append(entry) => record::Record::Append(entry.into()),
            Record::Snapshot(snapshot) => record::Record::Snapshot(snapshot.into()),
        };
        Self {
            record: Some(record),
        }
    }
}

impl TryFrom<consensus::Record> for Record {
    type Error = DecodeError;

    fn try_from(wire: consensus::Record) -> Result<Self, DecodeError> {
        Ok(match Fields::of("Record").present("record", wire.record)? {
            record::Record::Vote(state) => Self::Vote {
                term: Term(state.term),
                voted_for: state.voted_for.map(TryInto::try_into).transpose()?,
            },
            record::Record::TruncateFrom(index) => Self::Truncate {
                from: LogIndex(index),
            },
            record::Record::Append(entry) => Self::Append(entry.try_into()?),
            record::Record::Snapshot(snapshot) => Self::Snapshot(snapshot.try_into()?),
        })
    }
}
