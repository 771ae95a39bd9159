//! Identifiers of 1 to 128 letters, digits and `._:-/`, checked when they are parsed.

use std::{error::Error, fmt, str::FromStr};

/// Longest identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Error for a text that is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than 128 bytes.
    TooLong {
        /// Length of the rejected text.
        length_bytes: usize,
    },
    /// The text contains a character other than ASCII letters, digits and `._:-/`.
    BadCharacter {
        /// First character that is not allowed.
        character: char,
    },
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("identifier is empty"),
            Self::TooLong { length_bytes } => write!(
                f,
                "identifier has {length_bytes} bytes, at most {MAX_ID_BYTES} are allowed"
            ),
            Self::BadCharacter { character } => write!(
                f,
                "identifier contains {character:?}; letters, digits and ._:-/ are allowed"
            ),
        }
    }
}

impl Error for IdError {}

fn check_id(text: &str) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(IdError::TooLong {
            length_bytes: text.len(),
        });
    }
    match text
        .chars()
        .find(|c| !c.is_ascii_alphanumeric() && !"._:-/".contains(*c))
    {
        Some(character) => Err(IdError::BadCharacter { character }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub struct $name(Box<str>);

        impl $name {
            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                check_id(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

text_id!(
    /// Name of the failure domain of a VM or a worker.
    FailureDomain
);
text_id!(
    /// Key that identifies a request of a tenant; it is the same in each resend.
    IdempotencyKey
);
text_id!(
    /// Name of a kind of requests, the key of the routes table.
    KindName
);
text_id!(
    /// Identifier of an operator's change of the tables; it is the same in each resend.
    OperationId
);
text_id!(
    /// Name of a pool, the key of the pools table.
    PoolName
);
text_id!(
    /// Name of the rack of a worker.
    RackName
);
text_id!(
    /// Identifier of one task of one attempt to run a request.
    TaskId
);
text_id!(
    /// Name of a tenant: the account of one or more callers.
    TenantName
);
text_id!(
    /// Name of a worker group: workers announce their group, and pools select workers by it.
    WorkerGroup
);
text_id!(
    /// Identifier of a worker.
    WorkerId
);
