//! Whole cells in virtual time: control VMs, entry VMs, workers and a policy service, driven by
//! events on a small fake network. What the workers see is checked after every order.

mod faults;
mod load;
mod recovery;
mod scale;
mod sim;
mod worker;
