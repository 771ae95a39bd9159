//! Tests of reading and validating the settings of a VM of a cell.

use std::path::Path;

use acaciareel_settings::IniFile;
use acaciareel_types::VmId;

use crate::cell::config::{CellConfig, Role};

const CONTROL: &str = "
[vm]
name = core-1
role = control
address = 10.1.0.16
failure_domain = khomas-a
data_folder = /data/control
first_start = true
[listen]
callers =
readiness =
control = 10.1.0.16:8166
peers_port = 7720
metrics_port = 7721
[cell]
seeds = 10.2.0.32:8166,10.1.0.16:8166
policy_service = 10.200.1.9:8169
[bounds]
lease_ms = 10000
stop_ms = 400
status_s = 120
[logs]
level = info
";

fn parse(text: &str) -> Result<CellConfig, String> {
    let ini = IniFile::parse(Path::new("cell.ini"), text).map_err(|e| e.to_string())?;
    CellConfig::try_from(ini).map_err(|e| e.to_string())
}

/// Guards against settings that are read from the wrong key or in the wrong form.
#[test]
fn settings_of_a_control_vm_are_read() {
    let config = parse(CONTROL).expect("valid settings");

    assert_eq!(config.role, Role::Control);
    assert_eq!(config.bounds.lease_ms, 10_000);
    assert_eq!(config.seeds, [VmId(0x0a01_0010), VmId(0x0a02_0020)]);
    assert_eq!(config.control_port, 8166);
}

/// Guards against quota settings in the wrong unit, and against refusing the empty values that the
/// template has on deployments without tenants.
#[test]
fn quota_settings_may_be_empty() {
    let with =
        |quotas: &str| CONTROL.replace("status_s = 120", &format!("status_s = 120\n{quotas}"));
    let full = with("quota_overage = 0.1\nquota_window_s = 5\nquota_tolerance = 20");
    let empty = with("quota_overage =\nquota_window_s =\nquota_tolerance =");

    let full = parse(&full).expect("valid settings").bounds;
    let empty = parse(&empty).expect("valid settings").bounds;

    let quotas = |bounds: acaciareel_cell::Bounds| {
        (
            bounds.quota_overage_permille,
            bounds.quota_window_ms,
            bounds.quota_tolerance,
        )
    };
    assert_eq!(quotas(full), (100, 5_000, 20));
    assert_eq!(quotas(empty), (0, 0, 0));
}

/// Guards against a control VM without a data folder, which would keep its state in memory only.
#[test]
fn a_control_vm_needs_a_data_folder() {
    let text = CONTROL.replace("/data/control", "");

    let error = parse(&text).expect_err("no data folder");

    assert!(error.contains("data_folder"), "{error}");
}

/// Guards against wrong settings that are accepted, or rejected without a message that names the
/// key or the accepted values.
#[test]
fn wrong_settings_are_refused() {
    let cases = [
        ("seeds = 10.2.0.32:8166,10.1.0.16:8166", "seeds =", "seed"),
        ("role = control", "role = both", "entry or control"),
        ("status_s = 120", "quota_overage = -0.1", "outside"),
        ("lease_ms = 10000", "lease_ms = 10", "outside"),
        ("peers_port = 7720", "peers_prt = 7720", "peers_port"),
        ("level = info", "level = loud", "level"),
    ];

    for (from, to, reason) in cases {
        let error = parse(&CONTROL.replace(from, to)).expect_err(to);
        assert!(error.contains(reason), "{to}: {error}");
    }
}
