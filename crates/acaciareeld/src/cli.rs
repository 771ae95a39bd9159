//! Command-line arguments of the daemon. The doc comments of its fields are the text of `--help`.

use std::path::PathBuf;

use argh::FromArgs;

/// Daemon of an entry VM of acaciareel. Takes requests over HTTP, places them on the workers of its
/// failure domain, and replicates tables and requests to the other entry VMs.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Check a settings file, show where each value comes from, then run with it:\n\
               \n\
               {command_name} --check-config /etc/acaciareel/vm-1.ini\n\
               {command_name} --config /etc/acaciareel/vm-1.ini --print-config\n\
               {command_name} --config /etc/acaciareel/vm-1.ini",
    note = "SIGTERM and SIGINT stop the daemon gracefully; a second one ends it at once.",
    error_code(0, "stopped gracefully, or the settings are valid"),
    error_code(1, "an error while starting or running"),
    error_code(2, "wrong arguments or settings"),
    error_code(3, "the data folder is damaged")
)]
pub struct Arguments {
    /// run with this settings file (INI)
    #[argh(option, arg_name = "FILE")]
    pub config: Option<PathBuf>,

    /// run as a VM of a cell of jobs with this settings file (INI); see docs/CELL.md
    #[argh(option, arg_name = "FILE")]
    pub cell: Option<PathBuf>,

    /// check this settings file of a VM of a cell, print the first error or `ok`, and exit
    #[argh(option, arg_name = "FILE")]
    pub check_cell: Option<PathBuf>,

    /// check this settings file, print the first error or `ok`, and exit
    #[argh(option, arg_name = "FILE")]
    pub check_config: Option<PathBuf>,

    /// print each setting with its value and where it came from, and exit
    #[argh(switch)]
    pub print_config: bool,

    /// set the state in the data folder aside and rejoin the groups as a new member; for a data
    /// folder that is damaged
    #[argh(switch)]
    pub rejoin_as_new: bool,
}
