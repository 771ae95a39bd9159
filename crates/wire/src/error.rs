//! The one error of decoding, and the helpers that name message and field in it.

use std::{error::Error, fmt, str::FromStr};

use prost::Message;

/// Why bytes or a wire message cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    message: &'static str,
    field: &'static str,
    reason: String,
}

impl DecodeError {
    /// Returns the name of the message.
    #[must_use]
    pub fn message_name(&self) -> &'static str {
        self.message
    }

    /// Returns the name of the field, empty where the message as a whole is wrong.
    #[must_use]
    pub fn field_name(&self) -> &'static str {
        self.field
    }

    /// Returns what is wrong.
    #[must_use]
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.field.is_empty() {
            write!(f, "{}: {}", self.message, self.reason)
        } else {
            write!(f, "{}.{}: {}", self.message, self.field, self.reason)
        }
    }
}

impl Error for DecodeError {}

/// Reader of the fields of one message.
#[derive(Clone, Copy, Debug)]
pub struct Fields {
    message: &'static str,
}

impl Fields {
    /// Creates a reader that names this message in its errors.
    #[must_use]
    pub const fn of(message: &'static str) -> Self {
        Self { message }
    }

    /// Returns an error about a field.
    #[must_use]
    pub fn error(self, field: &'static str, reason: impl fmt::Display) -> DecodeError {
        DecodeError {
            message: self.message,
            field,
            reason: reason.to_string(),
        }
    }

    /// Parses a text field.
    ///
    /// # Errors
    ///
    /// Fails where the text is not valid.
    pub fn parse<T: FromStr<Err: fmt::Display>>(
        self,
        field: &'static str,
        text: &str,
    ) -> Result<T, DecodeError> {
        text.parse()
            .map_err(|error: T::Err| self.error(field, error))
    }

    /// Returns the value of a field that must be present.
    ///
    /// # Errors
    ///
    /// Fails where the field is missing.
    pub fn present<T>(self, field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
        value.ok_or_else(|| self.error(field, "field is missing"))
    }
}

/// Decodes a protobuf message and converts it.
///
/// # Errors
///
/// Fails where the bytes are not such a message or a field of it is wrong.
pub fn decode<W: Message + Default, T: TryFrom<W, Error = DecodeError>>(
    message: &'static str,
    bytes: &[u8],
) -> Result<T, DecodeError> {
    let wire = W::decode(bytes).map_err(|error| Fields::of(message).error("", error))?;
    T::try_from(wire)
}
