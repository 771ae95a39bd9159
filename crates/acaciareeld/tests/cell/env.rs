//! Processes of a cell and the callers around them.

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use rustix::process::{Pid, Signal as Number, kill_process};
use tempfile::TempDir;

use crate::worker::{self, Checks};

const CONTROLS: u8 = 3;
/// Number of the entry VM.
pub const ENTRY: usize = CONTROLS as usize;
const CONTROL_PORT: u16 = 18_166;
const ENTRY_PORT: u16 = 18_161;
const CONFIG: &str = r#"{"version":1,"routes":[{"name":"q","host":"jobs.example","path_prefix":"/q/","timeout_ms":3000,"target_duration_ms":1000,"priority":1,"service":"s","max_attempts":3,"slack_factor":8.0}],"services":[{"name":"s"}]}"#;
const JOB: &str = r#"{"spec":"text","steps":[{"count":2,"cpu":1000,"mem_mb":10,"estimate_ms":200},{"count":3,"cpu":2000,"mem_mb":10,"estimate_ms":200,"gang":true,"depends_on":[0]}]}"#;

/// Signals to a process.
#[derive(Clone, Copy)]
pub enum Signal {
    Kill,
    Stop,
    Continue,
    Terminate,
}

/// A cell of three control VMs and one entry VM.
pub struct Cell {
    folder: TempDir,
    /// Third byte of the loopback addresses, so that tests do not meet.
    block: u8,
    /// Control VMs, then the entry VM.
    processes: Vec<Option<Child>>,
    client: Client<HttpConnector, Full<Bytes>>,
    checks: Arc<Mutex<Checks>>,
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().flatten() {
            // A process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Cell {
    /// Starts the processes and some workers, and puts a configuration in force.
    pub async fn start(number: u8, workers: u8) -> Self {
        let pid = u8::try_from(std::process::id() % 60).expect("small");
        let mut cell = Self {
            folder: tempfile::tempdir().expect("temporary folder"),
            block: 4 * pid + number,
            processes: Vec::new(),
            client: Client::builder(TokioExecutor::new()).build_http(),
            checks: Arc::default(),
        };
        for vm in 0..=usize::from(CONTROLS) {
            cell.write_settings(vm, "level = info");
            cell.processes.push(None);
            cell.restart(vm);
        }
        cell.put_config().await;
        let controls = (0..usize::from(CONTROLS))
            .map(|vm| cell.control(vm))
            .collect::<Vec<_>>();
        for n in 0..workers {
            let address = SocketAddr::from(([127, 90, cell.block, 100 + n], 8080));
            let checks = Arc::clone(&cell.checks);
            worker::start(address, format!("worker-{n}"), controls.clone(), checks).await;
        }
        let began = Instant::now();
        while cell.status("GET", cell.callers(), "/q/", "").await != Some(200) {
            assert!(began.elapsed() < Duration::from_secs(10), "no leader");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        cell
    }

    fn address(&self, vm: usize) -> [u8; 4] {
        [127, 90, self.block, 1 + u8::try_from(vm).expect("small")]
    }

    fn control(&self, vm: usize) -> SocketAddr {
        (self.address(vm), CONTROL_PORT).into()
    }

    fn callers(&self) -> SocketAddr {
        (self.address(ENTRY), ENTRY_PORT).into()
    }

    fn settings_file(&self, vm: usize) -> PathBuf {
        self.folder.path().join(format!("vm-{vm}.ini"))
    }

    fn log_file(&self, vm: usize) -> PathBuf {
        self.folder.path().join(format!("vm-{vm}.log"))
    }

    pub fn log_of(&self, vm: usize) -> String {
        fs::read_to_string(self.log_file(vm)).expect("log")
    }

    pub fn write_settings(&self, vm: usize, logs: &str) {
        let seeds: Vec<String> = (0..usize::from(CONTROLS))
            .map(|vm| self.control(vm).to_string())
            .collect();
        let address = SocketAddr::from((self.address(vm), 0)).ip();
        let role = if vm == ENTRY {
            format!(
                "role = entry\n[listen]\ncallers = {}\nreadiness = {address}:18167\n",
                self.callers()
            )
        } else {
            format!(
                "role = control\ndata_folder = {}\nfirst_start = true\n[listen]\ncontrol = {}\n",
                self.folder.path().join(format!("data-{vm}")).display(),
                self.control(vm)
            )
        };
        let text = format!(
            "[vm]\nname = vm-{vm}\naddress = {address}\nfailure_domain = a\n{role}\
             peers_port = 17720\nmetrics_port = 17721\n[cell]\nseeds = {}\n\
             [bounds]\nlease_ms = 6000\n[logs]\n{logs}\n",
            seeds.join(",")
        );
        fs::write(self.settings_file(vm), text).expect("settings");
    }

    /// Replaces the settings of a VM by ones that are not valid.
    pub fn spoil_settings(&self, vm: usize) {
        fs::write(self.settings_file(vm), "[vm]\nrole = queen\n").expect("settings");
    }

    /// Starts the process of a VM.
    pub fn restart(&mut self, vm: usize) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_file(vm))
            .expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(env!("CARGO_BIN_EXE_acaciareeld"))
            .arg("--cell")
            .arg(self.settings_file(vm))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("started process");
        self.processes[vm] = Some(child);
    }

    pub fn signal(&mut self, vm: usize, signal: Signal) {
        let child = self.processes[vm].as_mut().expect("running process");
        if let Signal::Kill = signal {
            child.kill().expect("killed process");
            child.wait().expect("ended process");
            return;
        }
        let number = match signal {
            Signal::Kill => Number::KILL,
            Signal::Stop => Number::STOP,
            Signal::Continue => Number::CONT,
            Signal::Terminate => Number::TERM,
        };
        kill_process(Pid::from_child(child), number).expect("signalled process");
    }

    /// Waits for a process to end by itself and returns its exit code.
    pub async fn wait_for_exit(&mut self, vm: usize, limit: Duration) -> Option<i32> {
        let began = Instant::now();
        let child = self.processes[vm].as_mut().expect("running process");
        while began.elapsed() < limit {
            if let Some(status) = child.try_wait().expect("status") {
                return status.code();
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        None
    }

    // ---- calls ----

    async fn call(
        &self,
        method: &str,
        to: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let request = Request::builder()
            .method(Method::from_bytes(method.as_bytes()).expect("method"))
            .uri(format!("http://{to}{path}"))
            .header("host", "jobs.example")
            .body(Full::new(Bytes::from(body.to_owned())))
            .expect("request");
        let answer = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await.ok()?.to_bytes();
            Some((status, String::from_utf8_lossy(&body).into_owned()))
        };
        tokio::time::timeout(Duration::from_secs(3), answer)
            .await
            .ok()?
    }

    async fn status(&self, method: &str, to: SocketAddr, path: &str, body: &str) -> Option<u16> {
        self.call(method, to, path, body)
            .await
            .map(|(status, _)| status)
    }

    async fn put_config(&self) {
        let began = Instant::now();
        loop {
            for vm in 0..usize::from(CONTROLS) {
                let path = "/acaciareel/Config.Replace";
                if self.status("POST", self.control(vm), path, CONFIG).await == Some(200) {
                    return;
                }
            }
            assert!(began.elapsed() < Duration::from_secs(15), "no leader");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    /// Returns the control VM that leads: the one that answers a read itself.
    pub async fn leader(&self) -> usize {
        let began = Instant::now();
        loop {
            for vm in 0..usize::from(CONTROLS) {
                let path = "/acaciareel/Config.Get";
                if self.status("GET", self.control(vm), path, "").await == Some(200) {
                    return vm;
                }
            }
            assert!(began.elapsed() < Duration::from_secs(15), "no leader");
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub async fn submit(&self, id: u64) -> Option<u16> {
        self.status("POST", self.callers(), &format!("/q/{id:016x}"), JOB)
            .await
    }

    pub async fn wait_until_completed(&self, ids: &[u64], limit: Duration) {
        let began = Instant::now();
        for id in ids {
            let path = format!("/q/{id:016x}");
            loop {
                let answer = self.call("GET", self.callers(), &path, "").await;
                if answer == Some((200, r#"{"state":"completed"}"#.to_owned())) {
                    break;
                }
                assert!(began.elapsed() < limit, "job {id}: {answer:?}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }

    /// Returns what the workers saw that must not be.
    pub fn violations(&self) -> Vec<String> {
        self.checks.lock().expect("checks").violations.clone()
    }
}
