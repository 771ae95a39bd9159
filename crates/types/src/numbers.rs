//! Numeric newtypes for identifiers, amounts, rates and times.
//!
//! The text form of some has a prefix or a suffix, such as `vm-3` or `250ms`; parsing also accepts
//! the number alone.

use std::{error::Error, fmt, num::ParseIntError, str::FromStr};

/// Error for a text that is not a number of the expected unit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NumberError {
    text: Box<str>,
    expected: &'static str,
}

impl fmt::Display for NumberError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} is not {}", self.text, self.expected)
    }
}

impl Error for NumberError {}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty), $prefix:literal, $suffix:literal, $expected:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = NumberError;

            /// Accepts the text form of `Display` and the number without prefix and suffix.
            fn from_str(text: &str) -> Result<Self, NumberError> {
                let digits = text.strip_prefix($prefix).unwrap_or(text);
                let digits = digits.strip_suffix($suffix).unwrap_or(digits);
                digits.parse().map(Self).map_err(|_: ParseIntError| NumberError {
                    text: text.into(),
                    expected: $expected,
                })
            }
        }

        impl $name {
            /// Returns the sum, or the largest value on overflow.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Returns the difference, or 0 if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }
    };
}

number!(
    /// Number of accelerators.
    Accelerators(u32),
    "",
    "",
    "a number of accelerators"
);
number!(
    /// Number of an attempt of a request, 1 for the first.
    Attempt(u32),
    "",
    "",
    "an attempt number"
);
number!(
    /// Number of connections, of a worker or needed by a task.
    Connections(u32),
    "",
    "",
    "a number of connections"
);
number!(
    /// Processor share in thousandths of a core.
    CpuMillicores(u32),
    "",
    "m",
    "a number of millicores such as 1500m"
);
number!(
    /// Fencing token; it increases with each change of the placer that controls a worker.
    FencingToken(u64),
    "",
    "",
    "a fencing token"
);
number!(
    /// Incarnation of a VM or a worker; a new one starts when the state of the earlier one is lost.
    Incarnation(u64),
    "",
    "",
    "an incarnation number"
);
number!(
    /// Position in a replicated log, 0 before the first entry.
    LogIndex(u64),
    "",
    "",
    "a log index"
);
number!(
    /// Memory in bytes, displayed with the suffix `B`.
    MemoryBytes(u64),
    "",
    "B",
    "a number of bytes such as 4096B"
);
number!(
    /// Milliseconds: a duration, or a point in time on the monotonic clock of one process.
    Millis(u64),
    "",
    "ms",
    "a number of milliseconds such as 250ms"
);
number!(
    /// Events per second.
    RatePerSecond(u32),
    "",
    "/s",
    "a rate such as 100/s"
);
number!(
    /// Number of task slots, of a worker or needed by a task.
    Slots(u32),
    "",
    "",
    "a number of slots"
);
number!(
    /// Version of the operators' tables, 0 before the first change.
    TableVersion(u64),
    "",
    "",
    "a table version"
);
number!(
    /// Election term of a consensus group.
    Term(u64),
    "",
    "",
    "a term"
);
number!(
    /// Identifier of a VM that runs the daemon.
    VmId(u32),
    "vm-",
    "",
    "a VM id such as vm-3"
);
