//! Conversion of the fields of wire messages, and macros that implement the conversion of whole
//! messages field by field.

use std::sync::Arc;

use acaciareel_consensus::{Entry, MemberSet, Message, Record};
use acaciareel_types::{
    Accelerators, Attempt, BodyDigest, Connections, CpuMillicores, FailureDomain, FencingToken,
    IdempotencyKey, Incarnation, KindName, LogIndex, MemoryBytes, Millis, OperationId, PoolName,
    RackName, RawTables, Slots, TableVersion, Tables, TaskId, TenantName, Term, Verdict, VmId,
    WorkerGroup, WorkerId,
};

use crate::{DecodeError, Fields, consensus, types};

/// Type of a field that has a checked conversion from its wire form.
pub trait Field: Sized {
    /// Type of the field in the generated code.
    type Wire;

    /// Converts the value to its wire form.
    fn to_wire(&self) -> Self::Wire;

    /// Checks and converts a wire value. `fields` and `name` name message and field in errors.
    ///
    /// # Errors
    ///
    /// Fails if the value is missing or not valid.
    fn from_wire(fields: Fields, name: &'static str, wire: Self::Wire)
    -> Result<Self, DecodeError>;
}

/// Type whose wire form is a message, so that lists and optional values of it are fields too.
pub trait Nested: TryFrom<Self::Wire, Error = DecodeError> {
    /// Type of the message in the generated code.
    type Wire: for<'a> From<&'a Self>;
}

impl<T: Nested> Field for Vec<T> {
    type Wire = Vec<T::Wire>;

    fn to_wire(&self) -> Self::Wire {
        self.iter().map(Into::into).collect()
    }

    fn from_wire(_: Fields, _: &'static str, wire: Self::Wire) -> Result<Self, DecodeError> {
        wire.into_iter().map(T::try_from).collect()
    }
}

impl<T: Nested> Field for Option<T> {
    type Wire = Option<T::Wire>;

    fn to_wire(&self) -> Self::Wire {
        self.as_ref().map(Into::into)
    }

    fn from_wire(_: Fields, _: &'static str, wire: Self::Wire) -> Result<Self, DecodeError> {
        wire.map(T::try_from).transpose()
    }
}

impl Field for Arc<[u8]> {
    type Wire = Vec<u8>;

    fn to_wire(&self) -> Self::Wire {
        self.to_vec()
    }

    fn from_wire(_: Fields, _: &'static str, wire: Self::Wire) -> Result<Self, DecodeError> {
        Ok(wire.into())
    }
}

macro_rules! identity_fields {
    ($($ty:ident)*) => {
        $(impl Field for $ty {
            type Wire = Self;

            fn to_wire(&self) -> Self {
                self.clone()
            }

            fn from_wire(_: Fields, _: &'static str, wire: Self) -> Result<Self, DecodeError> {
                Ok(wire)
            }
        })*
    };
}

identity_fields!(bool u32 u64 String);

macro_rules! number_fields {
    ($($number:ident($inner:ident))*) => {
        $(impl Field for $number {
            type Wire = $inner;

            fn to_wire(&self) -> $inner {
                self.0
            }

            fn from_wire(_: Fields, _: &'static str, wire: $inner) -> Result<Self, DecodeError> {
                Ok(Self(wire))
            }
        }

        impl Field for Option<$number> {
            type Wire = Option<$inner>;

            fn to_wire(&self) -> Option<$inner> {
                self.map(|number| number.0)
            }

            fn from_wire(
                _: Fields,
                _: &'static str,
                wire: Option<$inner>,
            ) -> Result<Self, DecodeError> {
                Ok(wire.map($number))
            }
        })*
    };
}

number_fields! {
    Accelerators(u32) Attempt(u32) BodyDigest(u64) Connections(u32) CpuMillicores(u32)
    FencingToken(u64) Incarnation(u64) LogIndex(u64) MemoryBytes(u64) Millis(u64) Slots(u32)
    TableVersion(u64) Term(u64) VmId(u32)
}

/// Implements [`Field`] for types that are sent as text, by means of `Display` and `FromStr`.
#[macro_export]
macro_rules! text_fields {
    ($($text:ty),* $(,)?) => {
        $(impl $crate::Field for $text {
            type Wire = String;

            fn to_wire(&self) -> String {
                self.to_string()
            }

            fn from_wire(
                fields: $crate::Fields,
                name: &'static str,
                wire: String,
            ) -> Result<Self, $crate::DecodeError> {
                fields.parse(name, &wire)
            }
        })*
    };
}

text_fields!(
    FailureDomain,
    IdempotencyKey,
    KindName,
    OperationId,
    PoolName,
    RackName,
    TaskId,
    TenantName,
    WorkerGroup,
    WorkerId,
    std::net::SocketAddr,
);

impl Field for Vec<VmId> {
    type Wire = Vec<u32>;

    fn to_wire(&self) -> Vec<u32> {
        self.iter().map(|vm| vm.0).collect()
    }

    fn from_wire(_: Fields, _: &'static str, wire: Vec<u32>) -> Result<Self, DecodeError> {
        Ok(wire.into_iter().map(VmId).collect())
    }
}

impl Field for Vec<TaskId> {
    type Wire = Vec<String>;

    fn to_wire(&self) -> Vec<String> {
        self.iter().map(TaskId::to_string).collect()
    }

    fn from_wire(
        fields: Fields,
        name: &'static str,
        wire: Vec<String>,
    ) -> Result<Self, DecodeError> {
        wire.iter().map(|text| fields.parse(name, text)).collect()
    }
}

impl Field for Vec<(String, String)> {
    type Wire = Vec<types::Setting>;

    fn to_wire(&self) -> Vec<types::Setting> {
        let setting = |(key, value): &(String, String)| types::Setting {
            key: key.clone(),
            value: value.clone(),
        };
        self.iter().map(setting).collect()
    }

    fn from_wire(
        _: Fields,
        _: &'static str,
        wire: Vec<types::Setting>,
    ) -> Result<Self, DecodeError> {
        Ok(wire.into_iter().map(|set| (set.key, set.value)).collect())
    }
}

/// Implements [`Field`] and [`Nested`] for types that already have conversions to and from a
/// message.
///
/// Such a field must be present in the containing message.
#[macro_export]
macro_rules! message_fields {
    ($($own:ty => $wire:ty),* $(,)?) => {
        $(impl $crate::Nested for $own {
            type Wire = $wire;
        }

        impl $crate::Field for $own {
            type Wire = Option<$wire>;

            fn to_wire(&self) -> Option<$wire> {
                Some(self.into())
            }

            fn from_wire(
                fields: $crate::Fields,
                name: &'static str,
                wire: Option<$wire>,
            ) -> Result<Self, $crate::DecodeError> {
                fields.present(name, wire)?.try_into()
            }
        })*
    };
}

message_fields! {
    Entry => consensus::Entry,
    MemberSet => consensus::Members,
    Message => consensus::Message,
    Record => consensus::Record,
    RawTables => types::Tables,
    Tables => types::Tables,
    Verdict => types::Verdict,
}

/// Implements the conversions between a struct and a message with fields of the same names, and
/// [`Field`] for the struct.
///
/// The names of the struct and its fields appear in errors.
#[macro_export]
macro_rules! message_struct {
    ($own:ident => $wire:ty { $($field:ident),* $(,)? }) => {
        impl From<&$own> for $wire {
            fn from(own: &$own) -> Self {
                Self { $($field: $crate::Field::to_wire(&own.$field)),* }
            }
        }

        impl TryFrom<$wire> for $own {
            type Error = $crate::DecodeError;

            fn try_from(wire: $wire) -> Result<Self, $crate::DecodeError> {
                let fields = $crate::Fields::of(stringify!($own));
                Ok(Self {
                    $($field: $crate::Field::from_wire(
                        fields,
                        stringify!($field),
                        wire.$field,
                    )?),*
                })
            }
        }

        $crate::message_fields!($own => $wire);
    };
}

/// Implements the conversions between an enum and a message that consists of one `oneof`.
///
/// For each variant, the module of the message must contain a message of the same name, with fields
/// of the same names. These names appear in errors.
#[macro_export]
macro_rules! message_enum {
    ($own:ident => $module:ident :: $wire:ident, $oneof:ident = $choice:ident {
        $($variant:ident { $($field:ident),* $(,)? })*
    }) => {
        impl From<&$own> for $module::$wire {
            fn from(own: &$own) -> Self {
                let content = match own {
                    $($own::$variant { $($field),* } => {
                        $choice::$variant($module::$variant {
                            $($field: $crate::Field::to_wire($field)),*
                        })
                    })*
                };
                Self { $oneof: Some(content) }
            }
        }

        impl TryFrom<$module::$wire> for $own {
            type Error = $crate::DecodeError;

            fn try_from(wire: $module::$wire) -> Result<Self, $crate::DecodeError> {
                let content = $crate::Fields::of(stringify!($own))
                    .present(stringify!($oneof), wire.$oneof)?;
                match content {
                    $($choice::$variant($module::$variant { $($field),* }) => Ok(Self::$variant {
                        $($field: $crate::Field::from_wire(
                            $crate::Fields::of(stringify!($variant)),
                            stringify!($field),
                            $field,
                        )?),*
                    }),)*
                }
            }
        }
    };
}
