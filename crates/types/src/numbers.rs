//! Numeric newtypes for ids, sizes, rates and points in time.

use std::{error::Error, fmt, num::ParseIntError, str::FromStr};

/// Why a text is not a valid number of some unit.
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

            /// Accepts the form that `Display` prints and the bare number.
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
            /// Adds without overflow.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts down to zero.
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
    /// Attempt of a request, 1 for the first.
    Attempt(u32),
    "",
    "",
    "an attempt number"
);
number!(
    /// Number of connections that a worker can serve.
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
    /// Token that rises with each change of a worker's placer.
    FencingToken(u64),
    "",
    "",
    "a fencing token"
);
number!(
    /// Life of a VM's or worker's state; a new one begins when the state is lost.
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
    /// Memory in bytes.
    MemoryBytes(u64),
    "",
    "B",
    "a number of bytes such as 4096B"
);
number!(
    /// Milliseconds: a duration, or a point in time on one process's monotonic clock.
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
    /// Number of task slots of a worker.
    Slots(u32),
    "",
    "",
    "a number of slots"
);
number!(
    /// Version of the tables, 0 before the first change.
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
    /// Identifier of an entry VM.
    VmId(u32),
    "vm-",
    "",
    "a VM id such as vm-3"
);
