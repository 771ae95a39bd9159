//! Conversion of peer messages, commands and states to and from their wire form.
