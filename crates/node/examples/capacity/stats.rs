//! Counts for each VM: messages, bytes, processor time, syncs.

use std::collections::BTreeMap;

/// Bytes per message between VMs in addition to its content: QUIC, UDP and IP headers.
pub const MESSAGE_OVERHEAD_BYTES: usize = 60;
/// Bytes per HTTP message in addition to its body: request or status line, headers, TCP and IP
/// headers.
pub const HTTP_OVERHEAD_BYTES: usize = 180;
/// Bytes per record of the write-ahead log in addition to its content: length and checksum.
pub const RECORD_OVERHEAD_BYTES: usize = 8;

/// Number and size of messages, headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    pub messages: u64,
    pub bytes: u64,
}

/// Number of events and the processor time that they took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    pub events: u64,
    pub ns: u64,
}

/// Counts of one VM since the last reset.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// By traffic class.
    pub sent: BTreeMap<&'static str, Flow>,
    /// By traffic class.
    pub received: BTreeMap<&'static str, Flow>,
    /// By class of event.
    pub cost: BTreeMap<&'static str, Cost>,
    /// Number of `Persist` effects.
    pub persists: u64,
    /// Number of disk syncs; one sync covers all records written before it begins.
    pub syncs: u64,
    /// Bytes written to the write-ahead log.
    pub log_bytes: u64,
}

impl Stats {
    /// Counts a sent message.
    pub fn sent(&mut self, class: &'static str, bytes: usize) {
        add(&mut self.sent, class, bytes);
    }

    /// Counts a received message.
    pub fn received(&mut self, class: &'static str, bytes: usize) {
        add(&mut self.received, class, bytes);
    }

    /// Counts an event and its processor time.
    pub fn cost(&mut self, class: &'static str, ns: u64) {
        let cost = self.cost.entry(class).or_default();
        cost.events += 1;
        cost.ns += ns;
    }

    /// Returns sent and received bytes of the classes that start with a prefix.
    pub fn bytes(&self, prefix: &str) -> (u64, u64) {
        (
            sum(&self.sent, prefix).bytes,
            sum(&self.received, prefix).bytes,
        )
    }

    /// Returns the number of sent and received messages of the classes that start with a prefix.
    pub fn messages(&self, prefix: &str) -> (u64, u64) {
        (
            sum(&self.sent, prefix).messages,
            sum(&self.received, prefix).messages,
        )
    }

    /// Returns the processor time of all events.
    pub fn total_ns(&self) -> u64 {
        self.cost.values().map(|cost| cost.ns).sum()
    }
}

fn add(flows: &mut BTreeMap<&'static str, Flow>, class: &'static str, bytes: usize) {
    let flow = flows.entry(class).or_default();
    flow.messages += 1;
    flow.bytes += u64::try_from(bytes).expect("fits");
}

fn sum(flows: &BTreeMap<&'static str, Flow>, prefix: &str) -> Flow {
    let mut total = Flow::default();
    for (_, flow) in flows.iter().filter(|(class, _)| class.starts_with(prefix)) {
        total.messages += flow.messages;
        total.bytes += flow.bytes;
    }
    total
}
