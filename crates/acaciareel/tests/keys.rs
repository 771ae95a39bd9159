//! Certificates of `acaciareel keys`, checked as the daemons check them.

use std::{path::Path, process::Command, sync::Arc, time::Duration};

use rustls::{
    RootCertStore,
    client::{WebPkiServerVerifier, danger::ServerCertVerifier},
    crypto::ring,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime, pem::PemObject},
    server::WebPkiClientVerifier,
};

fn generate(out: &Path) {
    let output = Command::new(env!("CARGO_BIN_EXE_acaciareel"))
        .args(["keys", "--vm", "vm-1", "--vm", "vm-2", "--out"])
        .arg(out)
        .output();
    assert!(output.expect("client").status.success());
}

fn certificate(file: &Path) -> CertificateDer<'static> {
    CertificateDer::from_pem_file(file).expect("certificate")
}

fn roots(out: &Path) -> Arc<RootCertStore> {
    let mut roots = RootCertStore::empty();
    roots
        .add(certificate(&out.join("ca.pem")))
        .expect("authority");
    Arc::new(roots)
}

/// Guards against certificates that a daemon rejects in one of its two roles, client and server,
/// and against a certificate that is accepted for another VM or from another set.
#[test]
fn a_certificate_proves_one_vm_in_both_roles() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (set, other) = (folder.path().join("set"), folder.path().join("other"));
    generate(&set);
    generate(&other);
    let provider = Arc::new(ring::default_provider());
    let now = UnixTime::since_unix_epoch(Duration::from_hours(500_000));
    let servers = WebPkiServerVerifier::builder_with_provider(roots(&set), provider.clone())
        .build()
        .expect("verifier");
    let clients = WebPkiClientVerifier::builder_with_provider(roots(&set), provider.clone())
        .build()
        .expect("verifier");
    let server = |folder: &Path, name: &'static str| {
        let name = ServerName::try_from(name).expect("name");
        let certificate = certificate(&folder.join("vm-1.pem"));
        servers.verify_server_cert(&certificate, &[], &name, &[], now)
    };
    let client = |folder: &Path| {
        clients.verify_client_cert(&certificate(&folder.join("vm-1.pem")), &[], now)
    };

    assert!(server(&set, "vm-1").is_ok());
    assert!(client(&set).is_ok());
    assert!(server(&set, "vm-2").is_err());
    assert!(server(&other, "vm-1").is_err());
    assert!(client(&other).is_err());
    let key = PrivateKeyDer::from_pem_file(set.join("vm-1.key")).expect("key");
    assert!(provider.key_provider.load_private_key(key).is_ok());
}
