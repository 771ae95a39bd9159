//! A VM of a cell: sockets, files and signals around the reducers of `acaciareel-cell`.

pub mod config;
mod frames;
mod inbound;
mod links;
mod outbound;
mod run;

pub use run::run;
