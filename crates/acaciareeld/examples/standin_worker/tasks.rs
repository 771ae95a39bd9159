//! Start, run and end of tasks.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use acaciareel_types::{Answer, CpuMillicores, FencingToken, MemoryBytes, Resources, TaskId};
use acaciareel_wire::http::StartTask;
use tokio::time;

use crate::{
    entry,
    state::{Running, Shared},
};

/// Interval at which gate files and the task lease are looked at.
const POLL: Duration = Duration::from_millis(20);

/// Why a call was refused. Nothing was done.
#[derive(Debug)]
pub enum Refusal {
    Unauthorized,
    NotFound(&'static str),
    Wrong(String),
    StaleToken(FencingToken),
    Leaving,
    NoRoom,
}

/// Starts a task, or accepts it without effect if it was started before.
pub fn start(shared: &Arc<Shared>, call: StartTask) -> Result<(), Refusal> {
    let wrong = |reason: &dyn std::fmt::Display| Refusal::Wrong(reason.to_string());
    let task: TaskId = call.task_id.parse().map_err(|error| wrong(&error))?;
    let resources = call.resources.ok_or_else(|| wrong(&"no resources"))?;
    let reserved: Resources = resources.try_into().map_err(|error| wrong(&error))?;
    let mut state = shared.state();
    state
        .check(FencingToken(call.token))
        .map_err(Refusal::StaleToken)?;
    if state.seen.contains(&task) {
        return Ok(());
    }
    if state.leaving {
        return Err(Refusal::Leaving);
    }
    let capacity = shared.arguments.capacity();
    if !state.reserved().plus(&reserved).fits_in(&capacity) {
        return Err(Refusal::NoRoom);
    }
    state.seen.insert(task.clone());
    let run_ms = shared.arguments.run_ms + state.random.below(shared.arguments.run_spread_ms + 1);
    let fails = state.random.below(100) < shared.arguments.failure_percent;
    state.running.insert(
        task.clone(),
        Running {
            reserved,
            used: used(shared, &reserved),
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

/// Usage that the worker measures: a share of the reservation.
fn used(shared: &Shared, reserved: &Resources) -> Resources {
    let percent = shared.arguments.usage_percent;
    let cpu_millicores = u64::from(reserved.cpu_millicores.0) * percent / 100;
    Resources {
        cpu_millicores: CpuMillicores(u32::try_from(cpu_millicores).unwrap_or(u32::MAX)),
        memory_bytes: MemoryBytes(reserved.memory_bytes.0.saturating_mul(percent) / 100),
        ..*reserved
    }
}

async fn run(shared: Arc<Shared>, task: TaskId, call: StartTask, run_ms: u64, fails: bool) {
    let body = String::from_utf8_lossy(&call.body).into_owned();
    let first_line: String = body.chars().take_while(|c| !c.is_whitespace()).collect();
    shared.log(&format!("start {task} {} {first_line}", call.kind));
    wait(&shared, &body, run_ms).await;
    let answer = Answer {
        ok: !fails,
        body: format!("{}:{body}", call.kind).into_bytes().into(),
    };
    let used = {
        let mut state = shared.state();
        // A stop that came first has removed the task; it has no answer then.
        let Some(ended) = state.running.remove(&task) else {
            return;
        };
        state.ended.insert(task.clone(), answer.clone());
        ended.used
    };
    shared.log(&format!("end {task} {} {first_line}", call.kind));
    let late_ms = shared.state().random.below(shared.arguments.late_ms + 1);
    time::sleep(Duration::from_millis(late_ms)).await;
    entry::post_result(&shared, &task, &answer, used).await;
    shared.state().ended.remove(&task);
}

/// Waits as the body says, or for the run time.
async fn wait(shared: &Shared, body: &str, run_ms: u64) {
    let directive = body.split_once(';').map_or("", |(directive, _)| directive);
    let gate = directive.strip_prefix("gate=");
    if let (Some(name), Some(folder)) = (gate, &shared.arguments.gate_folder) {
        while !folder.join(name).exists() {
            time::sleep(POLL).await;
        }
        return;
    }
    let sleep_ms = directive.strip_prefix("sleep=").map(str::parse);
    let run_ms = sleep_ms.and_then(Result::ok).unwrap_or(run_ms);
    time::sleep(Duration::from_millis(run_ms)).await;
}

/// Ends a running task without an answer; returns whether it ran.
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

/// Stops exclusive tasks when no placer was heard of for the length of the task lease.
pub async fn watch_task_lease(shared: Arc<Shared>) {
    let task_lease = Duration::from_millis(shared.arguments.task_lease_ms);
    loop {
        time::sleep(POLL).await;
        let expired: Vec<TaskId> = {
            let mut state = shared.state();
            if Instant::now() < state.heard + task_lease {
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
