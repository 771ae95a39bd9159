//! Mutual TLS between daemons. A VM's certificate is valid for its id as DNS name, such as `vm-3`.

use std::{sync::Arc, time::Duration};

use acaciareel_types::VmId;
use error_stack::{Report, ResultExt};
use quinn::{
    ClientConfig, Connection, IdleTimeout, ServerConfig, TransportConfig, VarInt,
    crypto::rustls::{QuicClientConfig, QuicServerConfig},
};
use rustls::{
    RootCertStore,
    client::{WebPkiServerVerifier, verify_server_name},
    crypto::{CryptoProvider, ring},
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject},
    server::{ParsedCertificate, WebPkiClientVerifier},
    version::TLS13,
};

use crate::{config::KeysConfig, error::DaemonError};

/// ALPN name of the protocol between daemons; its number increases with each incompatible change.
const ALPN_PROTOCOL: &[u8] = b"acaciareel/1";
/// Time in milliseconds after which a connection is closed that has received nothing. It detects a
/// peer whose process ended without closing the connection.
const IDLE_TIMEOUT_MS: u32 = 2_000;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Round-trip time assumed before the first measurement. With the default of 333 ms, the first
/// packet to a peer that is about to start is repeated only after 1 s.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Most bytes in flight on a connection, which bounds its memory. With a delay of 5 ms this allows
/// 100 MB/s.
const WINDOW_BYTES: u32 = 1 << 20;

/// Certificates and private key of this VM, and the authorities that it trusts.
#[derive(Debug)]
pub struct Identity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    provider: Arc<CryptoProvider>,
}

impl Identity {
    /// Reads the key files that the settings name.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or holds no certificate or key.
    pub fn load(keys: &KeysConfig) -> Result<Self, Report<DaemonError>> {
        let certificates = |file: &std::path::Path| {
            CertificateDer::pem_file_iter(file)
                .and_then(Iterator::collect::<Result<Vec<_>, _>>)
                .change_context(DaemonError::Start)
                .attach_with(|| format!("certificate {}", file.display()))
        };
        let mut roots = RootCertStore::empty();
        for authority in certificates(&keys.authority)? {
            roots
                .add(authority)
                .change_context(DaemonError::Start)
                .attach_with(|| format!("authority {}", keys.authority.display()))?;
        }
        let key = PrivateKeyDer::from_pem_file(&keys.private_key)
            .change_context(DaemonError::Start)
            .attach_with(|| format!("private key {}", keys.private_key.display()))?;
        Ok(Self {
            roots: Arc::new(roots),
            chain: certificates(&keys.certificate)?,
            key,
            provider: Arc::new(ring::default_provider()),
        })
    }

    /// Returns the configuration for incoming connections.
    ///
    /// # Errors
    ///
    /// Fails if certificate and key do not belong together.
    pub fn server(&self) -> Result<ServerConfig, Report<DaemonError>> {
        let verifier = WebPkiClientVerifier::builder_with_provider(
            Arc::clone(&self.roots),
            Arc::clone(&self.provider),
        )
        .build()
        .change_context(DaemonError::Start)?;
        let mut tls = rustls::ServerConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&TLS13])
            .change_context(DaemonError::Start)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .change_context(DaemonError::Start)?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let quic = QuicServerConfig::try_from(tls).change_context(DaemonError::Start)?;
        let mut config = ServerConfig::with_crypto(Arc::new(quic));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }

    /// Returns the configuration for outgoing connections.
    ///
    /// # Errors
    ///
    /// Fails if certificate and key do not belong together.
    pub fn client(&self) -> Result<ClientConfig, Report<DaemonError>> {
        let verifier = WebPkiServerVerifier::builder_with_provider(
            Arc::clone(&self.roots),
            Arc::clone(&self.provider),
        )
        .build()
        .change_context(DaemonError::Start)?;
        let mut tls = rustls::ClientConfig::builder_with_provider(Arc::clone(&self.provider))
            .with_protocol_versions(&[&TLS13])
            .change_context(DaemonError::Start)?
            .with_webpki_verifier(verifier)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .change_context(DaemonError::Start)?;
        tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        let quic = QuicClientConfig::try_from(tls).change_context(DaemonError::Start)?;
        let mut config = ClientConfig::new(Arc::new(quic));
        config.transport_config(Arc::new(transport_config()));
        Ok(config)
    }
}

/// Returns the QUIC parameters of both directions: one stream for messages, no datagrams.
fn transport_config() -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(1))
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_TIMEOUT_MS))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .initial_rtt(INITIAL_RTT)
        .send_window(u64::from(WINDOW_BYTES))
        .stream_receive_window(VarInt::from_u32(WINDOW_BYTES))
        .receive_window(VarInt::from_u32(WINDOW_BYTES))
        .datagram_receive_buffer_size(None);
    transport
}

/// Returns whether the certificate of the other side of a connection is valid for this VM.
pub fn is_peer(connection: &Connection, vm: VmId) -> bool {
    let Some(identity) = connection.peer_identity() else {
        return false;
    };
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        return false;
    };
    let (Some(certificate), Ok(name)) = (chain.first(), ServerName::try_from(vm.to_string()))
    else {
        return false;
    };
    ParsedCertificate::try_from(certificate)
        .is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
}
