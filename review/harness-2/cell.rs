//! The project's processes: three control nodes and entry nodes on loopback addresses, started with the
//! command of the deploy file and with settings from its template.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use crate::{
    http::{self, Reply},
    json::Json,
    record::Record,
};

pub const CONTROL_NODES: usize = 3;
const FRONTEND_PORT: u16 = 8161;
const READINESS_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const PEERS_PORT: u16 = 7720;
/// The template names this port.
const METRICS_PORT: u16 = 7721;
pub const HOST: &str = "nony24.example";
/// Zones of the control nodes and of the first entry nodes.
const ZONES: [&str; CONTROL_NODES] = ["khomas-a", "khomas-b", "khomas-c"];

/// Processes of a small deployment; dropping it ends them.
pub struct Cell {
    folder: PathBuf,
    block: [u8; 2],
    entries: usize,
    processes: Mutex<Vec<Option<Child>>>,
    record: Arc<Record>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        self.close();
    }
}

fn is_free(address: [u8; 4]) -> bool {
    let ports = [
        FRONTEND_PORT,
        READINESS_PORT,
        CONTROL_PORT,
        PEERS_PORT,
        METRICS_PORT,
    ];
    ports
        .iter()
        .all(|port| TcpListener::bind(SocketAddr::from((address, *port))).is_ok())
}

impl Cell {
    /// Chooses free addresses. Starts nothing.
    pub fn new(entries: usize, record: Arc<Record>) -> Option<Self> {
        let pid = std::process::id();
        // One more for a control node at another address.
        let nodes = CONTROL_NODES + entries + 1;
        let block = (0..200u32).map(|n| {
            let n = pid.wrapping_add(n * 7);
            [100 + (n / 250 % 100) as u8, (n % 250) as u8]
        });
        let mut block = block.filter(|block| {
            (0..nodes).all(|node| is_free([127, block[0], block[1], 1 + node as u8]))
        });
        let block = block.next()?;
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).ok()?;
        let processes = Mutex::new((0..nodes).map(|_| None).collect());
        Some(Self {
            folder,
            block,
            entries,
            processes,
            record,
        })
    }

    fn ip(&self, node: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], 1 + node as u8)
    }

    /// Number of the control node that may take the place of another one.
    pub fn spare_node(&self) -> usize {
        CONTROL_NODES + self.entries
    }

    /// Address of a worker.
    pub fn worker_address(&self, worker: usize) -> SocketAddr {
        (
            Ipv4Addr::new(127, self.block[0], self.block[1], 100 + worker as u8),
            8080,
        )
            .into()
    }

    pub fn control_address(&self, node: usize) -> SocketAddr {
        (self.ip(node), CONTROL_PORT).into()
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        (0..CONTROL_NODES)
            .map(|node| self.control_address(node))
            .collect()
    }

    fn frontend(&self, entry: usize) -> SocketAddr {
        (self.ip(CONTROL_NODES + entry % self.entries), FRONTEND_PORT).into()
    }

    /// Writes the settings of a node, from the template of the deploy file.
    fn write_settings(&self, node: usize, bootstrap: bool) -> std::io::Result<PathBuf> {
        let is_control = node < CONTROL_NODES || node == self.spare_node();
        let ip = self.ip(node);
        let seeds: Vec<String> = self
            .control_addresses()
            .iter()
            .map(SocketAddr::to_string)
            .collect();
        let mut fields: BTreeMap<&str, String> = BTreeMap::new();
        fields.insert("node_name", format!("node-{node}"));
        fields.insert(
            "role",
            if is_control { "control" } else { "entry" }.to_owned(),
        );
        fields.insert("ip", ip.to_string());
        fields.insert("zone", ZONES[node % CONTROL_NODES].to_owned());
        fields.insert("bootstrap", bootstrap.to_string());
        fields.insert("port_range.0", PEERS_PORT.to_string());
        fields.insert("seeds", seeds.join(","));
        fields.insert("bounds.hold_max_ms", "10000".to_owned());
        fields.insert("bounds.stop_timeout_ms", "400".to_owned());
        fields.insert("bounds.status_s", "120".to_owned());
        if is_control {
            let data = self.folder.join(format!("data-{node}"));
            fields.insert("data_dir", data.display().to_string());
            fields.insert("listen_addrs.control_plane", format!("{ip}:{CONTROL_PORT}"));
        } else {
            fields.insert("listen_addrs.frontend", format!("{ip}:{FRONTEND_PORT}"));
            fields.insert("listen_addrs.readiness", format!("{ip}:{READINESS_PORT}"));
        }
        let template = fs::read_to_string("deploy/cell.ini")?;
        let mut text = String::new();
        let mut rest = template.as_str();
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

    /// Starts the process of a node.
    pub fn start_node(&self, node: usize, bootstrap: bool) -> std::io::Result<()> {
        let settings = self.write_settings(node, bootstrap)?;
        let log = self.folder.join(format!("node-{node}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new("target/release/acaciareeld")
            .arg("--cell")
            .arg(settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!(
            "node {node} starts at {}, bootstrap {bootstrap}",
            self.ip(node)
        ));
        // The script ends these processes if it is ended itself.
        if let Ok(path) = std::env::var("PIDS") {
            let mut pids = File::options().create(true).append(true).open(path)?;
            writeln!(pids, "{}", child.id())?;
        }
        self.processes.lock().unwrap()[node] = Some(child);
        Ok(())
    }

    /// Starts all nodes with empty disks.
    pub fn start_all(&self) -> std::io::Result<()> {
        (0..CONTROL_NODES + self.entries).try_for_each(|node| self.start_node(node, true))
    }

    /// Ends a process with SIGKILL.
    pub fn kill_node(&self, node: usize) {
        if let Some(child) = &mut self.processes.lock().unwrap()[node] {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.line(&format!("node {node} is killed"));
    }

    /// Ends all processes, and removes the temporary folder.
    pub fn close(&self) {
        for child in self.processes.lock().unwrap().iter_mut().flatten() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }

    // ---- operator ----

    /// Sends one call of the operator, which follows redirects.
    pub fn operate(&self, node: usize, method: &str, path: &str, body: &str) -> Option<Reply> {
        let mut to = self.control_address(node);
        for _ in 0..3 {
            let reply = http::call(method, to, path, "control", body, Duration::from_secs(1))?;
            match reply.location.as_deref().filter(|_| reply.status == 307) {
                Some(location) => {
                    let address = location.strip_prefix("http://")?.split('/').next()?;
                    to = address.parse().ok()?;
                }
                None => return Some(reply),
            }
        }
        None
    }

    /// Sends a configuration until it is acknowledged, to one node after the other. Returns whether it
    /// was in time.
    pub fn configure(&self, config: &str, limit: Duration) -> bool {
        let began = Instant::now();
        for attempt in 0.. {
            if began.elapsed() >= limit {
                break;
            }
            let nodes = self.running_control_nodes();
            let Some(node) = nodes.get(attempt % nodes.len().max(1)) else {
                break;
            };
            let path = "/acaciareel/Config.Replace";
            let status = self
                .operate(*node, "POST", path, config)
                .map(|reply| reply.status);
            self.record.line(&format!(
                "operator sends the configuration to node {node}: {status:?}"
            ));
            if status == Some(200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Returns the control nodes whose processes run.
    pub fn running_control_nodes(&self) -> Vec<usize> {
        let nodes = (0..CONTROL_NODES).chain([self.spare_node()]);
        let mut processes = self.processes.lock().unwrap();
        let mut runs = |node: &usize| {
            let child = processes[*node].as_mut();
            child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
        };
        nodes.filter(|node| runs(node)).collect()
    }

    // ---- clients ----

    /// Sends a client's request to an entry node.
    pub fn client(&self, entry: usize, method: &str, path: &str, body: &str) -> Option<Reply> {
        let to = self.frontend(entry);
        let reply = http::call(method, to, path, HOST, body, Duration::from_millis(3_000));
        let shown = reply
            .as_ref()
            .map(|reply| (reply.status, reply.body.clone()));
        let short: String = body.chars().take(160).collect();
        self.record
            .line(&format!("client {method} {path} {short}: {shown:?}"));
        reply
    }

    /// Hands a job in, again until it is accepted. Returns whether it was.
    pub fn submit(&self, path: &str, body: &str, limit: Duration) -> bool {
        let began = Instant::now();
        while began.elapsed() < limit {
            if self
                .client(0, "POST", path, body)
                .is_some_and(|reply| reply.status == 200)
            {
                return true;
            }
            std::thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Asks for the state of a job.
    pub fn state_of(&self, path: &str) -> Option<String> {
        let reply = self.client(0, "GET", path, "")?;
        if reply.status != 200 {
            return Some(reply.status.to_string());
        }
        Json::parse(&reply.body)?
            .get("state")
            .text()
            .map(str::to_owned)
    }
}

/// Returns a configuration with one queue of a service.
pub fn config(version: u64, service: &str, attempts: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/lohu930/\",\"kind\":\"unsafe\",\"timeout_ms\":3000,\
         \"target_duration_ms\":60000,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":{attempts},\"slack_factor\":10}}],\
         \"services\":[{{\"name\":\"{service}\",\"health_path\":\"/healthz\",\"max_connections\":64,\
         \"protocol\":\"h1\",\"tls\":false,\"admission_check\":false,\"standby\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
    )
}
