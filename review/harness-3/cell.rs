//! The project's processes: three control nodes and some entry nodes on loopback addresses, started with the
//! command of the deploy file and with settings from its template, and the clients and the operator.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Record,
    http::{self, Reply},
    json,
};

/// Control nodes that the settings name as seeds.
pub const SEEDS: usize = 3;
const FRONTEND_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const PEERS_PORT: u16 = 7720;
/// Port at which entry nodes reach the control nodes, if a proxy is between them.
const PROXIED_PEERS_PORT: u16 = 7730;
/// The template names this port.
const METRICS_PORT: u16 = 7721;
pub const HOST: &str = "nony24.example";
pub const SERVICE: &str = "huvo11a";
pub const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];
/// `hold_max_ms` and `stop_timeout_ms` of the site with three control nodes, and of that with four.
const BOUNDS: [(u32, u32); 2] = [(10_000, 400), (6_000, 900)];

unsafe extern "C" {
    fn prctl(option: i32, argument: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

/// A small deployment; dropping it ends its processes.
pub struct Cell {
    folder: PathBuf,
    block: [u8; 2],
    control: usize,
    entries: usize,
    /// Control node that starts later, if any.
    pub spare: Option<usize>,
    proxied: bool,
    processes: Mutex<Vec<Option<Child>>>,
    record: Arc<Record>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in self.processes.lock().unwrap().iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cell {
    /// Chooses free addresses for control nodes and entry nodes. If `proxied`, the entry nodes reach the
    /// control nodes through proxies, which the case starts first.
    pub fn new(
        (control, entries): (usize, usize),
        proxied: bool,
        record: &Arc<Record>,
    ) -> Option<Self> {
        let pid = std::process::id();
        let ports = [
            FRONTEND_PORT,
            READINESS_PORT,
            CONTROL_PORT,
            PEERS_PORT,
            PROXIED_PEERS_PORT,
            METRICS_PORT,
        ];
        let is_free = |address: [u8; 4]| {
            let mut ports = ports.iter();
            ports.all(|port| TcpListener::bind(SocketAddr::from((address, *port))).is_ok())
        };
        let mut blocks = (0..200u32).map(|n| {
            let n = pid.wrapping_mul(13).wrapping_add(n);
            [30 + (n / 250 % 60) as u8, (n % 250) as u8]
        });
        let nodes = (control + entries) as u8;
        let block = blocks.find(|[a, b]| (1..=nodes).all(|node| is_free([127, *a, *b, node])))?;
        let folder = std::env::temp_dir().join(format!("review-3-{pid}"));
        fs::create_dir_all(&folder).ok()?;
        Some(Self {
            folder,
            block,
            control,
            entries,
            spare: None,
            proxied,
            processes: Mutex::new((0..nodes).map(|_| None).collect()),
            record: Arc::clone(record),
        })
    }

    fn ip(&self, node: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], 1 + node as u8)
    }

    pub fn worker_address(&self, worker: usize) -> SocketAddr {
        let last = 100 + worker as u8;
        (Ipv4Addr::new(127, self.block[0], self.block[1], last), 8080).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let nodes = 0..self.control;
        nodes
            .map(|node| (self.ip(node), CONTROL_PORT).into())
            .collect()
    }

    /// Returns where entry nodes call a control node, and where it listens.
    pub fn peer_addresses(&self, node: usize) -> (SocketAddr, SocketAddr) {
        let ip = self.ip(node);
        ((ip, PROXIED_PEERS_PORT).into(), (ip, PEERS_PORT).into())
    }

    /// Writes the settings of a node from the template of the deploy file.
    fn write_settings(&self, node: usize, bootstrap: bool) -> std::io::Result<PathBuf> {
        let is_control = node < self.control;
        let ip = self.ip(node);
        let seeds = self.control_addresses();
        let seeds = seeds.iter().take(SEEDS).map(SocketAddr::to_string);
        let seeds: Vec<String> = seeds.collect();
        let peers_port = if self.proxied && !is_control {
            PROXIED_PEERS_PORT
        } else {
            PEERS_PORT
        };
        let role = if is_control { "control" } else { "entry" };
        let (hold_max_ms, stop_timeout_ms) =
            BOUNDS[usize::from(self.control > SEEDS && self.spare.is_none())];
        let mut fields = BTreeMap::from([
            ("node_name", format!("node-{node}")),
            ("role", role.to_owned()),
            ("ip", ip.to_string()),
            ("zone", ZONES[node % ZONES.len()].to_owned()),
            ("bootstrap", bootstrap.to_string()),
            ("port_range.0", peers_port.to_string()),
            ("seeds", seeds.join(",")),
            ("bounds.hold_max_ms", hold_max_ms.to_string()),
            ("bounds.stop_timeout_ms", stop_timeout_ms.to_string()),
            ("bounds.status_s", "120".to_owned()),
        ]);
        if is_control {
            let data = self.data_folder(node);
            fields.insert("data_dir", data.display().to_string());
            fields.insert("listen_addrs.control_plane", format!("{ip}:{CONTROL_PORT}"));
        } else {
            fields.insert("listen_addrs.frontend", format!("{ip}:{FRONTEND_PORT}"));
            fields.insert("listen_addrs.readiness", format!("{ip}:{READINESS_PORT}"));
        }
        let template = fs::read_to_string("deploy/cell.ini")?;
        let (mut text, mut rest) = (String::new(), template.as_str());
        while let Some((before, after)) = rest.split_once("{{") {
            let (name, after) = after.split_once("}}").unwrap_or((after, ""));
            text += before;
            text += fields.get(name).map_or("", String::as_str);
            rest = after;
        }
        text += rest;
        let path = self.folder.join(format!("local-{node}.yaml"));
        fs::write(&path, text)?;
        Ok(path)
    }

    fn data_folder(&self, node: usize) -> PathBuf {
        self.folder.join(format!("data-{node}"))
    }

    fn log_file(&self, node: usize) -> PathBuf {
        self.folder.join(format!("node-{node}.log"))
    }

    /// Returns what a node has logged so far.
    pub fn log(&self, node: usize) -> String {
        fs::read_to_string(self.log_file(node)).unwrap_or_default()
    }

    /// Starts control nodes and entry nodes with empty disks.
    pub fn start(&self) -> std::io::Result<()> {
        (0..self.control + self.entries).try_for_each(|node| self.start_node(node, true))
    }

    /// Starts all nodes but one with empty disks.
    pub fn start_without(&self, left_out: usize) -> std::io::Result<()> {
        let mut nodes = (0..self.control + self.entries).filter(|node| *node != left_out);
        nodes.try_for_each(|node| self.start_node(node, true))
    }

    /// Ends a process with SIGTERM. Returns once it has ended.
    pub fn stop_node(&self, node: usize) {
        self.record.line(&format!("node {node} gets SIGTERM"));
        if let Some(child) = &mut self.processes.lock().unwrap()[node] {
            // SAFETY: the process is a child that has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
            let _ = child.wait();
        }
        self.record.line(&format!("node {node} has ended"));
    }

    /// Starts the process of a node.
    pub fn start_node(&self, node: usize, bootstrap: bool) -> std::io::Result<()> {
        let settings = self.write_settings(node, bootstrap)?;
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file(node))?;
        let mut command = Command::new("target/release/acaciareeld");
        command.arg("--cell").arg(settings).stdin(Stdio::null());
        command.stdout(log.try_clone()?).stderr(log);
        // SAFETY: the call only sets the signal that the new process gets when this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.processes.lock().unwrap()[node] = Some(command.spawn()?);
        let ip = self.ip(node);
        self.record.line(&format!(
            "node {node} starts at {ip}, bootstrap {bootstrap}"
        ));
        Ok(())
    }

    /// Ends a process with SIGKILL, and takes the content of its disk if `wiped`.
    pub fn kill_node(&self, node: usize, wiped: bool) {
        if let Some(child) = &mut self.processes.lock().unwrap()[node] {
            let _ = child.kill();
            let _ = child.wait();
        }
        if wiped {
            let _ = fs::remove_dir_all(self.data_folder(node));
        }
        let disk = if wiped { " and its disk is lost" } else { "" };
        self.record.line(&format!("node {node} is killed{disk}"));
    }

    /// Sends a configuration until it is acknowledged. Returns whether it was in time.
    pub fn configure(&self, config: &str) -> bool {
        let began = Instant::now();
        for attempt in 0.. {
            if began.elapsed() > Duration::from_secs(15) {
                break;
            }
            let mut to = self.control_addresses()[attempt % self.control];
            for _ in 0..3 {
                let path = "/acaciareel/Config.Replace";
                let limit = Duration::from_secs(1);
                let reply = http::call("POST", to, path, "control", config, limit);
                let status = reply.as_ref().map(|reply| reply.status);
                self.record
                    .line(&format!("operator: configuration to {to}: {status:?}"));
                match reply {
                    Some(reply) if reply.status == 200 => return true,
                    Some(Reply {
                        status: 307,
                        location: Some(location),
                        ..
                    }) => {
                        let named = location.trim_start_matches("http://").split('/').next();
                        let Some(named) = named.and_then(|named| named.parse().ok()) else {
                            break;
                        };
                        to = named;
                    }
                    _ => break,
                }
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Sends a client's request to an entry node.
    pub fn client(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<Reply> {
        let to = (self.ip(self.control + entry), FRONTEND_PORT).into();
        let reply = http::call(method, to, path, HOST, body, Duration::from_millis(3_000));
        let shown = reply
            .as_ref()
            .map(|reply| (reply.status, reply.body.as_str()));
        self.record
            .line(&format!("client: {method} {path} {body}: {shown:?}"));
        reply
    }

    /// Hands a job in until it is accepted. Returns whether it was.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(10) {
            let reply = self.client(0, "POST", path, body);
            if reply.is_some_and(|reply| reply.status == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(400));
        }
        false
    }

    /// Returns the state of a job, or the status of the response.
    pub fn state_of(&self, path: &str) -> String {
        match self.client(0, "GET", path, "") {
            Some(reply) if reply.status == 200 => json::text(&reply.body, "state")
                .unwrap_or_default()
                .to_owned(),
            Some(reply) => reply.status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}

/// A queue of a configuration: path prefix, priority, attempts, slack factor and target in milliseconds.
pub type Route = (&'static str, u32, u32, f64, u32);

/// Returns a configuration with these queues of one service.
pub fn config(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, priority, attempts, slack, target_ms)| {
            format!(
                "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\"kind\":\"unsafe\",\
                 \"timeout_ms\":3000,\"target_duration_ms\":{target_ms},\"priority\":{priority},\
                 \"service\":\"{SERVICE}\",\"max_attempts\":{attempts},\"slack_factor\":{slack}}}",
                prefix.replace('/', "-")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\
         \"admission_check\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}
