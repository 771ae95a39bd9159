//! Starting, running and stopping tasks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use acaciareel_types::{Answer, CpuMillicores, FencingToken, MemoryBytes, Resources, TaskId};
use acaciareel_wire::http::StartTask;
use tokio::time;

use crate::{
    entry,
    state::{ActiveTask, Shared},
};

/// Interval at which gate files and the task lease are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Reason why a call was refused; the call had no effect.
#[derive(Debug)]
pub enum Refusal {
    Unauthorized,
    NotFound(&'static str),
    Invalid(String),
    /// Holds the current token.
    StaleToken(FencingToken),
    Leaving,
    NoCapacity,
}

/// Starts a task. Succeeds without effect if the task was started before.
pub fn start(shared: &Arc<Shared>, call: StartTask) -> Result<(), Refusal> {
    let invalid = |reason: &dyn std::fmt::Display| Refusal::Invalid(reason.to_string());
    let task: TaskId = call.task_id.parse().map_err(|error| invalid(&error))?;
    let resources = call
        .resources
        .ok_or_else(|| invalid(&"StartTask.resources: field is missing"))?;
    let reserved: Resources = resources.try_into().map_err(|error| invalid(&error))?;
    let mut state = shared.state();
    state
        .check_token(FencingToken(call.token))
        .map_err(Refusal::StaleToken)?;
    if state.accepted.contains(&task) {
        return Ok(());
    }
    if state.leaving {
        return Err(Refusal::Leaving);
    }
    let capacity = shared.arguments.capacity();
    if !state.reserved().plus(&reserved).fits_in(&capacity) {
        return Err(Refusal::NoCapacity);
    }
    state.accepted.insert(task.clone());
    let run_ms = shared.arguments.run_ms + state.random.below(shared.arguments.run_spread_ms + 1);
    let fails = state.random.below(100) < shared.arguments.failure_percent;
    state.running.insert(
        task.clone(),
        ActiveTask {
            reserved,
            used: usage(shared, &reserved),
            exclusive: call.exclusive,
            handle: None,
        },
    );
    let running = tokio::spawn(run(Arc::clone(shared), task.clone(), call, run_ms, fails));
    if let Some(entry) = state.running.get_mut(&task) {
        entry.handle = Some(running.abort_handle());
    }
    Ok(())
}

/// Returns the usage that the worker reports: the configured percentage of the reservation. Slots,
/// connections and accelerators count in full.
fn usage(shared: &Shared, reserved: &Resources) -> Resources {
    let percent = shared.arguments.usage_percent;
    let cpu_millicores = u64::from(reserved.cpu_millicores.0) * percent / 100;
    Resources {
        cpu_millicores: CpuMillicores(u32::try_from(cpu_millicores).unwrap_or(u32::MAX)),
        memory_bytes: MemoryBytes(reserved.memory_bytes.0.saturating_mul(percent) / 100),
        ..*reserved
    }
}

/// Runs a task to its end and posts its result.
async fn run(shared: Arc<Shared>, task: TaskId, call: StartTask, run_ms: u64, fails: bool) {
    let body = String::from_utf8_lossy(&call.body).into_owned();
    let first_word: String = body.chars().take_while(|c| !c.is_whitespace()).collect();
    shared.log(&format!("start {task} {} {first_word}", call.kind));
    wait(&shared, &body, run_ms).await;
    let answer = Answer {
        ok: !fails,
        body: format!("{}:{body}", call.kind).into_bytes().into(),
    };
    let used = {
        let mut state = shared.state();
        // A task that was stopped is no longer in the map; it has no answer.
        let Some(completed) = state.running.remove(&task) else {
            return;
        };
        state.unacknowledged.insert(task.clone(), answer.clone());
        completed.used
    };
    shared.log(&format!("end {task} {} {first_word}", call.kind));
    let late_ms = shared.state().random.below(shared.arguments.late_ms + 1);
    time::sleep(Duration::from_millis(late_ms)).await;
    entry::post_result(&shared, &task, &answer, used).await;
    shared.state().unacknowledged.remove(&task);
}

/// Waits for the gate or the time that the body names, otherwise for `run_ms`.
async fn wait(shared: &Shared, body: &str, run_ms: u64) {
    let directive = body.split_once(';').map_or("", |(directive, _)| directive);
    let gate = directive.strip_prefix("gate=");
    if let (Some(name), Some(folder)) = (gate, &shared.arguments.gate_folder) {
        while !folder.join(name).exists() {
            time::sleep(POLL_INTERVAL).await;
        }
        return;
    }
    let sleep_ms = directive.strip_prefix("sleep=").map(str::parse);
    let run_ms = sleep_ms.and_then(Result::ok).unwrap_or(run_ms);
    time::sleep(Duration::from_millis(run_ms)).await;
}

/// Stops a running task, which then has no answer, and logs `reason` as the first word of the line.
/// Returns whether the task was running.
pub fn stop(shared: &Shared, task: &TaskId, reason: &str) -> bool {
    let Some(stopped) = shared.state().running.remove(task) else {
        return false;
    };
    if let Some(handle) = stopped.handle {
        handle.abort();
    }
    shared.log(&format!("{reason} {task}"));
    true
}

/// Stops the exclusive tasks when no placer has called for the duration of the task lease. A new
/// incarnation begins first.
pub async fn watch_task_lease(shared: Arc<Shared>) {
    let task_lease = Duration::from_millis(shared.arguments.task_lease_ms);
    loop {
        time::sleep(POLL_INTERVAL).await;
        let expired: Vec<TaskId> = {
            let mut state = shared.state();
            if Instant::now() < state.last_contact + task_lease {
                continue;
            }
            let exclusive = state.running.iter().filter(|(_, task)| task.exclusive);
            let expired: Vec<_> = exclusive.map(|(task, _)| task.clone()).collect();
            if !expired.is_empty() {
                state.begin_incarnation();
            }
            expired
        };
        for task in expired {
            stop(&shared, &task, "expire");
        }
    }
}
