//! Inquiries, which query or cancel a request, on the entry VM.

use acaciareel_types::{FailureDomain, IdempotencyKey, Millis, TenantName};

use crate::{ConnectionId, PeerMessage, Reply, RequestState, io::Io, node::Node};

const RESEND_MS: Millis = Millis(500);
/// Time after which an inquiry is answered without a reply of the home; it covers an election.
const INQUIRY_TIMEOUT_MS: Millis = Millis(3_000);

/// An inquiry that has no answer yet.
#[derive(Debug)]
pub(crate) struct Inquiry {
    pub connection: ConnectionId,
    pub home: FailureDomain,
    pub tenant: TenantName,
    pub key: IdempotencyKey,
    pub cancel: bool,
    pub next_send_ms: Millis,
    pub deadline_ms: Millis,
}

impl Node {
    /// Sends an inquiry to the home of a key, to get the state of its request or to cancel it.
    pub(crate) fn inquire(
        &mut self,
        connection: ConnectionId,
        tenant: TenantName,
        key: IdempotencyKey,
        cancel: bool,
        io: &mut Io<'_>,
    ) {
        let home = self.entry.home(&key);
        if self.entry.home_unreachable(io.now_ms, &home) {
            io.reply(connection, Reply::State(RequestState::Unavailable));
            return;
        }
        let inquiry = Inquiry {
            connection,
            home,
            tenant,
            key,
            cancel,
            next_send_ms: io.now_ms,
            deadline_ms: io.now_ms.saturating_add(INQUIRY_TIMEOUT_MS),
        };
        let number = self.entry.number();
        self.entry.inquiries.insert(number, inquiry);
        self.send_inquiry(number, io);
    }

    fn send_inquiry(&mut self, number: u64, io: &mut Io<'_>) {
        let Some(inquiry) = self.entry.inquiries.get_mut(&number) else {
            return;
        };
        let Some((leader, _)) = self.peers.ledger_leader(io.now_ms, &inquiry.home) else {
            return;
        };
        inquiry.next_send_ms = io.now_ms.saturating_add(RESEND_MS);
        let message = PeerMessage::Inquire {
            inquiry: number,
            domain: inquiry.home.clone(),
            tenant: inquiry.tenant.clone(),
            key: inquiry.key.clone(),
            cancel: inquiry.cancel,
        };
        io.send(leader, message);
    }

    pub(crate) fn inquiry_answered(&mut self, number: u64, state: RequestState, io: &mut Io<'_>) {
        if let Some(inquiry) = self.entry.inquiries.remove(&number) {
            io.reply(inquiry.connection, Reply::State(state));
        }
    }

    pub(super) fn tick_inquiries(&mut self, io: &mut Io<'_>) {
        let now_ms = io.now_ms;
        let due: Vec<u64> = self
            .entry
            .inquiries
            .iter()
            .filter(|(_, inquiry)| now_ms >= inquiry.next_send_ms)
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let overdue = self
                .entry
                .inquiries
                .get(&number)
                .is_some_and(|inquiry| now_ms >= inquiry.deadline_ms);
            if overdue {
                self.inquiry_answered(number, RequestState::Unavailable, io);
            } else {
                self.send_inquiry(number, io);
            }
        }
    }
}
