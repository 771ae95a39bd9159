//! Number of one start of a VM's process.

use std::{error::Error, fmt, str::FromStr};

/// Number of one start of a VM's process, which differs between the starts of a VM. Epochs have no
/// order: they are only compared for equality.
///
/// It has 31 bits, because it is the upper half of positive 64-bit numbers.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessEpoch(u32);

/// Error for a number or text that is not a process epoch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessEpochError;

impl fmt::Display for ProcessEpochError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let largest = ProcessEpoch::LARGEST;
        write!(f, "a process epoch is a number from 0 to {largest}")
    }
}

impl Error for ProcessEpochError {}

impl ProcessEpoch {
    const LARGEST: u32 = u32::MAX >> 1;

    /// Takes an epoch from random bits.
    #[must_use]
    pub const fn from_random(bits: u32) -> Self {
        Self(bits & Self::LARGEST)
    }

    /// Returns the epoch of the next start; 0 follows the largest one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self((self.0 + 1) & Self::LARGEST)
    }

    /// Returns the number.
    #[must_use]
    pub const fn number(self) -> u64 {
        self.0 as u64
    }
}

impl TryFrom<u32> for ProcessEpoch {
    type Error = ProcessEpochError;

    fn try_from(number: u32) -> Result<Self, ProcessEpochError> {
        if number > Self::LARGEST {
            return Err(ProcessEpochError);
        }
        Ok(Self(number))
    }
}

impl fmt::Display for ProcessEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for ProcessEpoch {
    type Err = ProcessEpochError;

    fn from_str(text: &str) -> Result<Self, ProcessEpochError> {
        let number: u32 = text.parse().map_err(|_| ProcessEpochError)?;
        Self::try_from(number)
    }
}
