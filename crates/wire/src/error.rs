//! Error of decoding, with the names of the message and the field.

use std::{error::Error, fmt, str::FromStr};

use prost::Message;

/// Error of decoding bytes or converting a wire message.
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

    /// Returns the name of the field, empty if the error concerns the message as a whole.
    #[must_use]
    pub fn field_name(&self) -> &'static str {
        self.field
    }

    /// Returns the text that says what is not valid.
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

/// Checks for the fields of one message, whose errors name the message and the field.
#[derive(Clone, Copy, Debug)]
pub struct Fields {
    message: &'static str,
}

impl Fields {
    /// Creates the checks for the message with this name.
    #[must_use]
    pub const fn of(message: &'static str) -> Self {
        Self { message }
    }

    /// Returns an error about a field; an empty name stands for the message as a whole.
    #[must_use]
    pub fn error(self, field: &'static str, reason: impl fmt::Display) -> DecodeError {
        DecodeError {
            message: self.message,
            field,
            reason: reason.to_string(),
        }
    }

    /// Parses the value of a text field.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid for the type.
    pub fn parse<T: FromStr<Err: fmt::Display>>(
        self,
        field: &'static str,
        text: &str,
    ) -> Result<T, DecodeError> {
        text.parse()
            .map_err(|error: T::Err| self.error(field, error))
    }

    /// Returns the value of a required field.
    ///
    /// # Errors
    ///
    /// Fails if the field is missing.
    pub fn present<T>(self, field: &'static str, value: Option<T>) -> Result<T, DecodeError> {
        value.ok_or_else(|| self.error(field, "field is missing"))
    }
}

/// Decodes a Protobuf message and converts it. `message` is its name in errors.
///
/// # Errors
///
/// Fails if the bytes are not such a message or one of its fields is not valid.
pub fn decode<W: Message + Default, T: TryFrom<W, Error = DecodeError>>(
    message: &'static str,
    bytes: &[u8],
) -> Result<T, DecodeError> {
    let wire = W::decode(bytes).map_err(|error| Fields::of(message).error("", error))?;
    T::try_from(wire)
}
