//! Links between daemons that delay, lose and reorder packets, or carry them in one direction only.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{net::UdpSocket, time};

/// Faults that apply to every link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Minimum delay of a packet.
    pub delay_ms: u64,
    /// Maximum random addition to the delay; it reorders packets.
    pub jitter_ms: u64,
    /// Percentage of packets that are lost.
    pub loss_percent: u64,
}

/// Controls all links of a deployment. Clones share their state.
#[derive(Clone, Debug)]
pub struct Links {
    faults: LinkFaults,
    /// Pairs of sender and receiver whose packets are dropped.
    blocked_pairs: Arc<Mutex<BTreeSet<(usize, usize)>>>,
    /// State of the random number generator.
    random: Arc<Mutex<u64>>,
}

impl Links {
    pub fn new(faults: LinkFaults) -> Self {
        Self {
            faults,
            blocked_pairs: Arc::default(),
            random: Arc::new(Mutex::new(1)),
        }
    }

    /// Drops all packets from one VM to another until [`Links::unblock_all`].
    pub fn block(&self, from: usize, to: usize) {
        self.blocked_pairs.lock().expect("lock").insert((from, to));
    }

    /// Removes all blocks, so that packets pass on every link again.
    pub fn unblock_all(&self) {
        self.blocked_pairs.lock().expect("lock").clear();
    }

    /// Returns a random number below `bound` (splitmix64).
    fn random_below(&self, bound: u64) -> u64 {
        let mut state = self.random.lock().expect("lock");
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = *state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Opens a relay for the connections that VM `from` opens to VM `to`. Returns the address that
    /// `from` must use instead of `target`.
    pub async fn relay(&self, from: usize, to: usize, target: SocketAddr) -> SocketAddr {
        let client_side = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
        let server_side = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
        let address = client_side.local_addr().expect("address");
        let (client_side, server_side) = (Arc::new(client_side), Arc::new(server_side));
        let source = Arc::new(Mutex::new(target));
        let links = self.clone();
        let forward = (
            Arc::clone(&client_side),
            Arc::clone(&server_side),
            Arc::clone(&source),
        );
        tokio::spawn(async move {
            let (client_side, server_side, source) = forward;
            let mut packet = [0; 2_048];
            loop {
                if let Ok((length, sender)) = client_side.recv_from(&mut packet).await {
                    *source.lock().expect("lock") = sender;
                    links.send_with_faults((from, to), &packet[..length], &server_side, target);
                }
            }
        });
        let links = self.clone();
        tokio::spawn(async move {
            let mut packet = [0; 2_048];
            loop {
                if let Ok((length, _)) = server_side.recv_from(&mut packet).await {
                    let source = *source.lock().expect("lock");
                    links.send_with_faults((to, from), &packet[..length], &client_side, source);
                }
            }
        });
        address
    }

    /// Sends a packet after its delay, unless the link is blocked or the packet is lost.
    fn send_with_faults(
        &self,
        link: (usize, usize),
        packet: &[u8],
        socket: &Arc<UdpSocket>,
        to: SocketAddr,
    ) {
        let blocked = self.blocked_pairs.lock().expect("lock").contains(&link);
        if blocked || self.random_below(100) < self.faults.loss_percent {
            return;
        }
        let delay_ms = self.faults.delay_ms + self.random_below(self.faults.jitter_ms + 1);
        let (packet, socket) = (packet.to_vec(), Arc::clone(socket));
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            // If the socket on the other side is closed, the packet is lost, as on a network.
            let _ = socket.send_to(&packet, to).await;
        });
    }
}
