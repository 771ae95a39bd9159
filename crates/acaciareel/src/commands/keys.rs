//! Command `keys`: a set of certificates and tokens for development.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    path::Path,
};

use acaciareel_types::VmId;
use error_stack::{Report, ResultExt};
use rcgen::{
    BasicConstraints, CertificateParams, CertifiedIssuer, DnType, ExtendedKeyUsagePurpose, IsCa,
    KeyPair, KeyUsagePurpose,
};
use serde_json::json;

use crate::{
    cli::Keys,
    error::{CliError, CliResult},
    exit_codes::ExitCode,
    output::Output,
    random,
};

/// Generates a set and writes its files, unless one of them exists.
///
/// The key of the certificate authority is not written, so no further VM can be added to a set.
pub fn run(args: &Keys, json: bool) -> CliResult<Output> {
    check_arguments(args)?;
    let files = generate_files(args)?;
    fs::create_dir_all(&args.out).change_context_lazy(|| {
        CliError::general(format!("cannot create {}", args.out.display()))
    })?;
    for (name, _) in &files {
        let path = args.out.join(name);
        if path.exists() {
            let text = format!("{} exists already; nothing was written", path.display());
            return Err(Report::new(CliError::general(text)));
        }
    }
    for (name, text) in &files {
        write_new(&args.out.join(name), text)?;
    }
    let names: Vec<_> = files.iter().map(|(name, _)| name).collect();
    Output::json_or_text(json, &json!({ "files": names }), || {
        let lines = names.iter().map(|name| format!("{name}\n"));
        lines.collect()
    })
}

/// Checks that at least one VM is given, and that each tenant is given once and can be part of a
/// file name.
fn check_arguments(args: &Keys) -> CliResult<()> {
    let usage = |text: String| Report::new(CliError::new(ExitCode::Usage, text));
    if args.vm.is_empty() {
        return Err(usage("keys needs at least one --vm".into()));
    }
    for (i, tenant) in args.tenant.iter().enumerate() {
        if tenant.as_str().contains('/') {
            let text = format!("tenant {tenant} contains / and cannot be part of a file name");
            return Err(usage(text));
        }
        if args.tenant[..i].contains(tenant) {
            return Err(usage(format!("tenant {tenant} is named twice")));
        }
    }
    Ok(())
}

/// Generates the certificates and tokens, and returns names and contents of the files.
fn generate_files(args: &Keys) -> CliResult<Vec<(String, String)>> {
    let mut vms = args.vm.clone();
    vms.sort_unstable();
    vms.dedup();
    let context = || CliError::general("cannot generate certificates");
    let authority = create_authority().change_context_lazy(context)?;
    let mut files = vec![("ca.pem".to_owned(), authority.pem())];
    for vm in vms {
        let (certificate, key) = vm_certificate(vm, &authority).change_context_lazy(context)?;
        files.push((format!("{vm}.pem"), certificate));
        files.push((format!("{vm}.key"), key));
    }
    let token = random::hex_text::<32>;
    files.push(("operators.token".into(), format!("{}\n", token()?)));
    files.push(("workers.token".into(), format!("{}\n", token()?)));
    let mut callers = Vec::new();
    for tenant in &args.tenant {
        let token = token()?;
        callers.push(format!("{token} {tenant}\n"));
        files.push((format!("caller-{tenant}.token"), format!("{token}\n")));
    }
    if callers.is_empty() {
        callers.push(format!("{}\n", token()?));
    }
    files.push(("callers.token".into(), callers.concat()));
    Ok(files)
}

/// Creates a self-signed certificate authority with a new key.
fn create_authority() -> Result<CertifiedIssuer<'static, KeyPair>, rcgen::Error> {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign];
    let name = "acaciareel development authority";
    params.distinguished_name.push(DnType::CommonName, name);
    CertifiedIssuer::self_signed(params, KeyPair::generate()?)
}

/// Returns certificate and key of a VM as PEM text.
///
/// The certificate is valid for the name `vm-N`, both as client and as server of a connection.
fn vm_certificate(
    vm: VmId,
    authority: &CertifiedIssuer<'static, KeyPair>,
) -> Result<(String, String), rcgen::Error> {
    let mut params = CertificateParams::new([vm.to_string()])?;
    params
        .distinguished_name
        .push(DnType::CommonName, vm.to_string());
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    let key = KeyPair::generate()?;
    let certificate = params.signed_by(&key, authority)?;
    Ok((certificate.pem(), key.serialize_pem()))
}

/// Creates a file that only its owner may read and write; fails if it exists.
fn write_new(path: &Path, text: &str) -> CliResult<()> {
    let mut options = OpenOptions::new();
    options.write(true).create_new(true);
    #[cfg(unix)]
    std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
    options
        .open(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .change_context_lazy(|| CliError::general(format!("cannot write {}", path.display())))
}
