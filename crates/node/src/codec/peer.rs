//! Conversions of messages between nodes.

use std::{error::Error, fmt, str::FromStr};

use acaciareel_types::TableVersion;
use acaciareel_wire::{
    DecodeError, Fields, consensus, message_enum, message_fields, message_struct,
    node::{
        self as wire, peer_message::Message as PeerChoice, request_state::State as StateChoice,
        tables_reply::Reply as ReplyChoice,
    },
    text_fields,
};

use crate::{GroupId, PeerMessage, Placing, PoolRoom, RequestState, TablesReply};

/// Name of the tables group.
const TABLES_GROUP: &str = "tables";
/// Prefix of the name of a ledger group; the name of its failure domain follows.
const LEDGER_GROUP: &str = "ledger-";

/// Error for a text that is not the name of a consensus group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GroupIdError {
    text: Box<str>,
}

impl fmt::Display for GroupIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is neither {TABLES_GROUP} nor {LEDGER_GROUP}DOMAIN",
            self.text
        )
    }
}

impl Error for GroupIdError {}

impl FromStr for GroupId {
    type Err = GroupIdError;

    /// Accepts the form that `Display` prints.
    fn from_str(text: &str) -> Result<Self, GroupIdError> {
        let group = match text.strip_prefix(LEDGER_GROUP) {
            Some(domain) => domain.parse().ok().map(Self::Ledger),
            None => (text == TABLES_GROUP).then_some(Self::Tables),
        };
        group.ok_or_else(|| GroupIdError { text: text.into() })
    }
}

text_fields!(GroupId);

message_struct!(PoolRoom => wire::PoolRoom { pool, workers, free_slots, predicted_wait_ms });

message_struct!(Placing => wire::Placing { domain, term, rooms });

message_enum!(PeerMessage => wire::PeerMessage, message = PeerChoice {
    Heartbeat { tables_version, stopping, placing, suspects, life }
    Group { group, message }
    Submit { submission, domain, term, request }
    SubmitReply { submission, verdict }
    NotPlacer { submission, placer, life }
    Inquire { inquiry, domain, tenant, key, cancel }
    InquireReply { inquiry, state }
    Place { task, term, request }
    PlaceKnown { task }
    PlaceCheck { task }
    PlaceLost { task }
    PlaceStop { task }
    TablesWanted { version }
    TablesState { state }
    PlaceRefused { task, retry_after_ms }
    Announce { report }
    TaskResult { task, worker, answer, used }
    ResultAck { task }
    Apply { submission, operation, expected_version, tables }
    Change { submission, operation, expected_version, change }
    ApplyReply { submission, reply }
    Drain { worker }
});

message_fields! {
    RequestState => wire::RequestState,
    TablesReply => wire::TablesReply,
}

impl From<&RequestState> for wire::RequestState {
    fn from(state: &RequestState) -> Self {
        let plain = match state {
            RequestState::Unknown => wire::PlainState::Unknown,
            RequestState::Waiting => wire::PlainState::Waiting,
            RequestState::Running => wire::PlainState::Running,
            RequestState::Lost => wire::PlainState::Lost,
            RequestState::Cancelled => wire::PlainState::Cancelled,
            RequestState::Unavailable => wire::PlainState::Unavailable,
            RequestState::Finished(answer) => {
                return Self {
                    state: Some(StateChoice::Finished(answer.into())),
                };
            }
        };
        Self {
            state: Some(StateChoice::Plain(plain.into())),
        }
    }
}

impl TryFrom<wire::RequestState> for RequestState {
    type Error = DecodeError;

    fn try_from(wire: wire::RequestState) -> Result<Self, DecodeError> {
        let fields = Fields::of("RequestState");
        let number = match fields.present("state", wire.state)? {
            StateChoice::Finished(answer) => return answer.try_into().map(Self::Finished),
            StateChoice::Plain(number) => number,
        };
        match wire::PlainState::try_from(number) {
            Ok(wire::PlainState::Unknown) => Ok(Self::Unknown),
            Ok(wire::PlainState::Waiting) => Ok(Self::Waiting),
            Ok(wire::PlainState::Running) => Ok(Self::Running),
            Ok(wire::PlainState::Lost) => Ok(Self::Lost),
            Ok(wire::PlainState::Cancelled) => Ok(Self::Cancelled),
            Ok(wire::PlainState::Unavailable) => Ok(Self::Unavailable),
            Err(error) => Err(fields.error("plain", error)),
        }
    }
}

impl From<&TablesReply> for wire::TablesReply {
    fn from(reply: &TablesReply) -> Self {
        let reply = match reply {
            TablesReply::Accepted(version) => ReplyChoice::Accepted(version.0),
            TablesReply::Conflict(version) => ReplyChoice::Conflict(version.0),
            TablesReply::Invalid(reason) => ReplyChoice::Invalid(reason.clone()),
            TablesReply::Unavailable => ReplyChoice::Unavailable(consensus::Empty {}),
        };
        Self { reply: Some(reply) }
    }
}

impl TryFrom<wire::TablesReply> for TablesReply {
    type Error = DecodeError;

    fn try_from(wire: wire::TablesReply) -> Result<Self, DecodeError> {
        let fields = Fields::of("TablesReply");
        Ok(match fields.present("reply", wire.reply)? {
            ReplyChoice::Accepted(version) => Self::Accepted(TableVersion(version)),
            ReplyChoice::Conflict(version) => Self::Conflict(TableVersion(version)),
            ReplyChoice::Invalid(reason) => Self::Invalid(reason),
            ReplyChoice::Unavailable(consensus::Empty {}) => Self::Unavailable,
        })
    }
}
