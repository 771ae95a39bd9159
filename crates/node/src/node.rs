//! The reducer of one VM.

use acaciareel_types::Millis;

use crate::{Effect, Event, NodeRestored, NodeSettings};

/// Whole state of one VM.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
}

impl Node {
    /// Creates a node from its settings and the state found in the data folder.
    #[must_use]
    pub fn new(settings: NodeSettings, _restored: NodeRestored, _now_ms: Millis) -> Self {
        Self {
            settings,
        }
    }

    /// Takes one event and appends the effects to carry out.
    pub fn reduce(&mut self, _now_ms: Millis, _event: Event, _out: &mut Vec<Effect>) {
        let _ = &self.settings;
    }
}
