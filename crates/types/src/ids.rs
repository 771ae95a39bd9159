//! Text identifiers that are validated when they are parsed.

use std::{error::Error, fmt, str::FromStr};

/// Longest identifier in bytes.
const MAX_ID_BYTES: usize = 128;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum IdError {
    /// The text is empty.
    Empty,
    /// The text is longer than 128 bytes.
    TooLong {
        /// Length of the rejected text.
        length_bytes: usize,
    },
    /// The text holds a character other than letters, digits and `._:-/`.
    BadCharacter {
        /// The rejected character.
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

fn check(text: &str) -> Result<(), IdError> {
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
                check(text)?;
                Ok(Self(text.into()))
            }
        }
    };
}

text_id!(
    /// Failure domain of a VM or a worker.
    FailureDomain
);
text_id!(
    /// Key that identifies one request of a tenant across resends.
    IdempotencyKey
);
text_id!(
    /// Kind of a request, the key of the routes table.
    KindName
);
text_id!(
    /// Identifier of an operator's change, equal in each resend of it.
    OperationId
);
text_id!(
    /// Name of a pool, the key of the pools table.
    PoolName
);
text_id!(
    /// Rack of a worker.
    RackName
);
text_id!(
    /// Identifier of one task of one attempt of a request.
    TaskId
);
text_id!(
    /// Account that a caller belongs to.
    TenantName
);
text_id!(
    /// Group that a worker announces and that pools select workers by.
    WorkerGroup
);
text_id!(
    /// Identifier of a worker.
    WorkerId
);
