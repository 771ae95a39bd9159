//! Links between daemons that delay, lose and reorder packets, or carry them one way only.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{net::UdpSocket, time};

/// Faults of every link.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkFaults {
    /// Shortest delay of a packet.
    pub delay_ms: u64,
    /// Largest random addition to the delay; reorders packets.
    pub jitter_ms: u64,
    /// Share of packets that are lost.
    pub loss_percent: u64,
}

/// Control of all links.
#[derive(Clone, Debug)]
pub struct Links {
    faults: LinkFaults,
    /// Pairs of sender and receiver between which nothing arrives.
    blocked: Arc<Mutex<BTreeSet<(usize, usize)>>>,
    random: Arc<Mutex<u64>>,
}

impl Links {
    pub fn new(faults: LinkFaults) -> Self {
        Self {
            faults,
            blocked: Arc::default(),
            random: Arc::new(Mutex::new(1)),
        }
    }

    /// Stops the packets from one VM to another.
    pub fn block(&self, from: usize, to: usize) {
        self.blocked.lock().expect("lock").insert((from, to));
    }

    /// Lets all packets pass again.
    pub fn unblock_all(&self) {
        self.blocked.lock().expect("lock").clear();
    }

    /// Returns a number below `bound`, from splitmix64.
    fn below(&self, bound: u64) -> u64 {
        let mut state = self.random.lock().expect("lock");
        *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = *state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Opens a relay for the connections that one VM opens to another; returns the address that the
    /// first VM has to use.
    pub async fn relay(&self, from: usize, to: usize, target: SocketAddr) -> SocketAddr {
        let near = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
        let far = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
        let address = near.local_addr().expect("address");
        let (near, far) = (Arc::new(near), Arc::new(far));
        let source = Arc::new(Mutex::new(target));
        let links = self.clone();
        let forward = (Arc::clone(&near), Arc::clone(&far), Arc::clone(&source));
        tokio::spawn(async move {
            let (near, far, source) = forward;
            let mut packet = [0; 2_048];
            loop {
                if let Ok((length, sender)) = near.recv_from(&mut packet).await {
                    *source.lock().expect("lock") = sender;
                    links.pass((from, to), &packet[..length], &far, target);
                }
            }
        });
        let links = self.clone();
        tokio::spawn(async move {
            let mut packet = [0; 2_048];
            loop {
                if let Ok((length, _)) = far.recv_from(&mut packet).await {
                    let source = *source.lock().expect("lock");
                    links.pass((to, from), &packet[..length], &near, source);
                }
            }
        });
        address
    }

    /// Sends a packet after its delay, unless it is lost.
    fn pass(&self, link: (usize, usize), packet: &[u8], socket: &Arc<UdpSocket>, to: SocketAddr) {
        let blocked = self.blocked.lock().expect("lock").contains(&link);
        if blocked || self.below(100) < self.faults.loss_percent {
            return;
        }
        let delay_ms = self.faults.delay_ms + self.below(self.faults.jitter_ms + 1);
        let (packet, socket) = (packet.to_vec(), Arc::clone(socket));
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(delay_ms)).await;
            // A closed socket on the other side loses the packet, as a network does.
            let _ = socket.send_to(&packet, to).await;
        });
    }
}
