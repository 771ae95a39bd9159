//! A small deployment: three control VMs, an entry VM, and the calls of the operator and of clients.

use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Client, Message},
    json::Json,
    proxy::{self, Link},
    record::Record,
    site::site,
};

pub const CONTROL_VMS: usize = 3;
pub const ENTRY_VM: usize = CONTROL_VMS;
const ZONES: [&str; 3] = ["khomas-a", "khomas-b", "khomas-c"];
const CONTROL_PORT: u16 = 18_166;
const CALLERS_PORT: u16 = 18_161;
const READINESS_PORT: u16 = 18_167;
/// First of the ports for connections of other VMs. Each VM has one of its own: it listens on it, and it
/// connects to the others on it, where a proxy passes the connection on.
const PEERS_PORT: u16 = 17_730;
const METRICS_PORT: u16 = 17_721;
pub const HOST: &str = "jobs.example";
/// Longest wait of a client (`Deadline-Ms`).
const DEADLINE_MS: u64 = 3_000;

pub struct Cell {
    folder: PathBuf,
    block: (u8, u8),
    /// Id of the process of each VM.
    processes: Mutex<Vec<Option<u32>>>,
    /// Link from each VM to each control VM.
    links: Vec<Vec<Arc<Link>>>,
    record: Arc<Record>,
}

/// Processes of this script that were started and not killed, and its folder.
static STARTED: Mutex<(Vec<Child>, Option<PathBuf>)> = Mutex::new((Vec::new(), None));

/// Ends all processes that this script has started, and removes its folder.
pub fn end_all() {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    for mut child in std::mem::take(&mut started.0) {
        let _ = child.kill();
        let _ = child.wait();
    }
    if let Some(folder) = started.1.take() {
        if std::env::var_os("KEEP").is_some() {
            println!("logs in {}", folder.display());
        } else {
            let _ = fs::remove_dir_all(folder);
        }
    }
}

/// Returns two bytes of loopback addresses of which no other process uses the ports.
fn free_block() -> (u8, u8) {
    let pid = std::process::id();
    for attempt in 0..200 {
        let number = pid.wrapping_mul(7).wrapping_add(attempt * 31);
        let block = (100 + (number % 100) as u8, 1 + (number / 100 % 250) as u8);
        let address = |last| IpAddr::from([127, block.0, block.1, last]);
        let ports = [
            CONTROL_PORT,
            CALLERS_PORT,
            PEERS_PORT,
            METRICS_PORT,
            PEERS_PORT + 1,
        ];
        let free = (1..=5).all(|last| {
            ports
                .iter()
                .all(|port| TcpListener::bind((address(last), *port)).is_ok())
        });
        if free {
            return block;
        }
    }
    panic!("no free loopback addresses");
}

impl Cell {
    /// Starts the processes of all VMs.
    pub fn start(record: &Arc<Record>) -> Self {
        let name = format!("acaciareel-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("temporary folder");
        STARTED.lock().unwrap().1 = Some(folder.clone());
        let cell = Self {
            folder,
            block: free_block(),
            processes: Mutex::new((0..=CONTROL_VMS).map(|_| None).collect()),
            links: (0..=CONTROL_VMS)
                .map(|_| (0..CONTROL_VMS).map(|_| Arc::default()).collect())
                .collect(),
            record: record.clone(),
        };
        for from in 0..=CONTROL_VMS {
            for to in (0..CONTROL_VMS).filter(|to| *to != from) {
                let reached = cell.peers(to, from);
                let link = cell.link(from, to);
                proxy::start(reached, cell.peers(to, to), site().link_delay, link);
            }
        }
        for vm in 0..=CONTROL_VMS {
            cell.write_settings(vm, true);
            cell.start_process(vm);
        }
        cell
    }

    pub fn ip(&self, last: u8) -> IpAddr {
        Ipv4Addr::new(127, self.block.0, self.block.1, last).into()
    }

    fn vm_ip(&self, vm: usize) -> IpAddr {
        self.ip(1 + vm as u8)
    }

    pub fn control(&self, vm: usize) -> SocketAddr {
        (self.vm_ip(vm), CONTROL_PORT).into()
    }

    /// Returns the address at which a VM is reached by another.
    fn peers(&self, vm: usize, by: usize) -> SocketAddr {
        (self.vm_ip(vm), PEERS_PORT + by as u16).into()
    }

    /// Returns the link from a VM to a control VM.
    pub fn link(&self, from: usize, to: usize) -> Arc<Link> {
        self.links[from][to].clone()
    }

    pub fn callers(&self) -> SocketAddr {
        (self.vm_ip(ENTRY_VM), CALLERS_PORT).into()
    }

    /// Writes the settings of a VM as `deploy/cell.ini` has them, with the bounds of the site.
    fn write_settings(&self, vm: usize, first_start: bool) {
        let seeds: Vec<String> = (0..CONTROL_VMS)
            .map(|vm| self.control(vm).to_string())
            .collect();
        let entry = vm == ENTRY_VM;
        let peers_port = PEERS_PORT + vm as u16;
        let ip = self.vm_ip(vm);
        let (role, data, listen) = if entry {
            let listen = format!(
                "callers = {}\nreadiness = {}\ncontrol =\n",
                self.callers(),
                SocketAddr::from((ip, READINESS_PORT))
            );
            ("entry", String::new(), listen)
        } else {
            let data = self.folder.join(format!("data-{vm}"));
            let listen = format!("callers =\nreadiness =\ncontrol = {}\n", self.control(vm));
            ("control", data.display().to_string(), listen)
        };
        let text = format!(
            "[vm]\nname = vm-{vm}\nrole = {role}\naddress = {ip}\nfailure_domain = {}\n\
             data_folder = {data}\nfirst_start = {first_start}\n\
             [listen]\n{listen}peers_port = {peers_port}\nmetrics_port = {METRICS_PORT}\n\
             [cell]\nseeds = {}\npolicy_service =\n\
             [bounds]\nlease_ms = {}\nstop_ms = {}\nstatus_s = 120\n\
             quota_overage =\nquota_window_s =\nquota_tolerance =\n\
             [logs]\nformat = keyvalue\nlevel = info\n",
            ZONES[vm % ZONES.len()],
            seeds.join(","),
            site().hold_max_ms,
            site().stop_timeout_ms
        );
        fs::write(self.folder.join(format!("vm-{vm}.ini")), text).expect("settings");
    }

    /// Starts the program of a VM with the command of the deploy file.
    pub fn start_process(&self, vm: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("vm-{vm}.log")))
            .expect("log");
        let program = std::env::var("ACACIAREELD")
            .unwrap_or_else(|_| "target/release/acaciareeld".to_owned());
        let child = Command::new(program)
            .arg("--cell")
            .arg(self.folder.join(format!("vm-{vm}.ini")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn()
            .expect("program of the deploy file");
        self.processes.lock().unwrap()[vm] = Some(child.id());
        let mut started = STARTED.lock().unwrap();
        started.0.push(child);
        // The caller of this script ends these processes if the script itself is killed.
        if let Some(path) = std::env::var_os("PIDS") {
            let ids = started.0.iter().map(|child| format!("{}\n", child.id()));
            let _ = fs::write(path, ids.collect::<String>());
        }
    }

    /// Kills the process of a VM (SIGKILL).
    pub fn kill(&self, vm: usize) {
        if let Some(id) = self.processes.lock().unwrap()[vm].take() {
            let mut started = STARTED.lock().unwrap();
            let killed = started.0.extract_if(.., |child| child.id() == id);
            for mut child in killed {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        self.record.add("killed", &format!("vm-{vm}"), 0, "");
    }

    /// Starts the process of a VM that was killed; its disk is as it was.
    pub fn restart(&self, vm: usize) {
        self.write_settings(vm, false);
        self.start_process(vm);
        self.record.add("started", &format!("vm-{vm}"), 0, "");
    }

    // ---- the operator ----

    /// Sends a call of the operator to the control VMs in turn until one answers with success or a
    /// refusal; follows redirections.
    fn operate(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<Message> {
        let began = Instant::now();
        loop {
            for vm in 0..CONTROL_VMS {
                let mut client = Client::new(self.control(vm));
                for _ in 0..3 {
                    let second = Duration::from_secs(1);
                    let Some(response) = client.call(method, path, "", body, second) else {
                        break;
                    };
                    if response.status == 307 {
                        let location = response.header("location").to_owned();
                        let host = location.trim_start_matches("http://").split('/').next();
                        let Some(leader) = host.and_then(|host| host.parse().ok()) else {
                            break;
                        };
                        client = Client::new(leader);
                        continue;
                    }
                    if matches!(response.status, 200 | 400 | 409 | 412 | 413 | 422) {
                        return Some(response);
                    }
                    break;
                }
                if began.elapsed() > limit {
                    return None;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a configuration of these routes, each a name and `max_attempts`, for the service
    /// `ledger`. Returns whether it was acknowledged.
    pub fn configure(&self, version: u64, routes: &[(&str, u32)]) -> bool {
        let routes: Vec<String> = routes
            .iter()
            .map(|(name, attempts)| {
                format!(
                    "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                     \"kind\":\"unsafe\",\"timeout_ms\":3000,\"target_duration_ms\":3000,\
                     \"priority\":1,\"service\":\"ledger\",\"max_attempts\":{attempts},\
                     \"slack_factor\":8.0}}"
                )
            })
            .collect();
        let body = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"ledger\",\
             \"health_path\":\"/healthz\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission_check\":false,\"standby\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
             \"max_body_bytes\":262144,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
            routes.join(",")
        );
        self.record
            .add("config", &version.to_string(), 0, "is sent");
        let path = "/acaciareel/Config.Replace";
        let answer = self.operate("POST", path, &body, Duration::from_secs(20));
        let status = answer.map_or(0, |answer| answer.status);
        self.record
            .add("config", &version.to_string(), status.into(), "is answered");
        status == 200
    }

    /// Returns the control VM that answers a read instead of redirecting it.
    pub fn leader(&self) -> Option<usize> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(15) {
            for vm in 0..CONTROL_VMS {
                let mut client = Client::new(self.control(vm));
                let path = "/acaciareel/Config.Get";
                let answer = client.call("GET", path, "", "", Duration::from_secs(1));
                if answer.is_some_and(|answer| answer.status == 200) {
                    return Some(vm);
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        None
    }

    // ---- clients ----

    /// Makes one attempt of a client; returns the status, 0 without an answer, and the body.
    pub fn attempt(
        &self,
        client: &mut Client,
        method: &'static str,
        path: &str,
        body: &str,
    ) -> (u16, String) {
        let headers = format!("Host: {HOST}\r\nDeadline-Ms: {DEADLINE_MS}\r\n");
        let limit = Duration::from_millis(DEADLINE_MS);
        self.record.add("send", path, 0, method);
        let answer = client.call(method, path, &headers, body, limit);
        let (status, body) =
            answer.map_or((0, String::new()), |answer| (answer.status, answer.body));
        self.record
            .add("answer", path, status.into(), &format!("{method} {body}"));
        (status, body)
    }

    /// Submits a job as a client does: again after no answer, 502, 503, 504 or 429, 6 times at most.
    /// Returns whether it was accepted.
    pub fn submit(&self, path: &str, body: &str) -> bool {
        for _ in 0..6 {
            let mut client = Client::new(self.callers());
            match self.attempt(&mut client, "POST", path, body).0 {
                200..300 => return true,
                0 | 429 | 502 | 503 | 504 => thread::sleep(Duration::from_secs(1)),
                _ => return false,
            }
        }
        false
    }

    /// Returns the state of a job, asked for until there is an answer, for 10 s at most.
    pub fn state(&self, path: &str) -> Option<String> {
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(10) {
            let mut client = Client::new(self.callers());
            let (status, body) = self.attempt(&mut client, "GET", path, "");
            match status {
                200 => return Some(Json::parse(&body)?.get("state").text().to_owned()),
                404 | 410 => return Some(status.to_string()),
                _ => thread::sleep(Duration::from_millis(300)),
            }
        }
        None
    }

    /// Waits until a job has one of these states; returns the last state.
    pub fn wait_for_state(&self, path: &str, states: &[&str], limit: Duration) -> Option<String> {
        let began = Instant::now();
        loop {
            let state = self.state(path);
            let reached = state
                .as_deref()
                .is_some_and(|state| states.contains(&state));
            if reached || began.elapsed() > limit {
                return state;
            }
            thread::sleep(Duration::from_millis(250));
        }
    }
}
