//! Runs a VM of a cell: connects the reducers of `acaciareel-cell` to sockets, files and signals.

pub mod config;
mod disk;
mod frames;
mod inbound;
mod links;
mod outbound;
mod run;

pub use run::run;
