//! Generated wire types and their checked conversions.
