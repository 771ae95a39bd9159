//! Several nodes in one process under the faults of the design page, section 1.5.

mod chaos;
mod checks;
mod path;
mod sim;
mod worker;
