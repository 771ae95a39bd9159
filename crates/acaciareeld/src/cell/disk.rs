//! Data folder of a control VM, which is opened again after a write has failed.

use std::path::{Path, PathBuf};

use acaciareel_consensus::RestoredState;
use acaciareel_types::{Incarnation, VmId};
use error_stack::Report;
use tokio::sync::{mpsc::Sender, watch};

use super::run::{GROUP_NAME, Input};
use crate::{
    storage::{OpenedStorage, Storage, StorageError},
    storage_task::StorageTask,
};

/// Data folder of a control VM.
pub struct Disk {
    folder: PathBuf,
    own_vm: VmId,
    inputs: Sender<Input>,
    /// Set when a write fails.
    failed: watch::Sender<bool>,
    /// Number of times that the folder was opened.
    generation: u64,
}

/// Content of the data folder, and the thread that writes to it.
pub struct OpenedDisk {
    pub storage: StorageTask,
    /// `None` if the folder holds no state.
    pub restored: Option<RestoredState>,
    pub incarnation: Incarnation,
}

impl Disk {
    pub fn new(
        folder: &Path,
        own_vm: VmId,
        inputs: Sender<Input>,
        failed: watch::Sender<bool>,
    ) -> Self {
        Self {
            folder: folder.to_owned(),
            own_vm,
            inputs,
            failed,
            generation: 0,
        }
    }

    /// Returns how often the folder was opened. What an earlier opening has synced says nothing
    /// about the records of the present one, whose tickets begin anew.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Opens the folder and starts the thread that writes to it.
    ///
    /// # Errors
    ///
    /// Fails as [`Storage::open`] does.
    pub fn open(&mut self) -> Result<OpenedDisk, Report<StorageError>> {
        let OpenedStorage {
            storage,
            restored,
            incarnation,
        } = Storage::open(&self.folder, self.own_vm)?;
        let restored = restored.into_iter();
        let restored = restored.filter(|(group, _)| group == GROUP_NAME).last();
        self.generation += 1;
        self.failed.send_replace(false);
        let (inputs, generation) = (self.inputs.clone(), self.generation);
        let synced = move |ticket| {
            inputs
                .blocking_send(Input::Synced { generation, ticket })
                .is_ok()
        };
        Ok(OpenedDisk {
            storage: StorageTask::start(storage, synced, self.failed.clone()),
            restored: restored.map(|(_, state)| state),
            incarnation,
        })
    }
}
