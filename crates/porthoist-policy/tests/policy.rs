//! Tests of the decision logic, driven like the daemon drives it.

#[path = "policy/admission.rs"]
mod admission;
#[path = "policy/adoption.rs"]
mod adoption;
#[path = "policy/backpressure.rs"]
mod backpressure;
#[path = "policy/backpressure_simulation.rs"]
mod backpressure_simulation;
#[path = "policy/caller_retries.rs"]
mod caller_retries;
#[path = "policy/change_bound.rs"]
mod change_bound;
#[path = "policy/cold_start.rs"]
mod cold_start;
#[path = "policy/cold_start_simulation.rs"]
mod cold_start_simulation;
#[path = "policy/contention.rs"]
mod contention;
#[path = "policy/contention_simulation.rs"]
mod contention_simulation;
#[path = "policy/copy_times.rs"]
mod copy_times;
#[path = "policy/decision_replay.rs"]
mod decision_replay;
#[path = "policy/demand.rs"]
mod demand;
#[path = "policy/drain.rs"]
mod drain;
#[path = "policy/equal_shares.rs"]
mod equal_shares;
#[path = "policy/file_bounds.rs"]
mod file_bounds;
#[path = "policy/forecast.rs"]
mod forecast;
#[path = "policy/gate.rs"]
mod gate;
#[path = "policy/group_loads.rs"]
mod group_loads;
#[path = "policy/group_selection.rs"]
mod group_selection;
#[path = "policy/limits.rs"]
mod limits;
#[path = "policy/memory_bounds.rs"]
mod memory_bounds;
#[path = "policy/moving.rs"]
mod moving;
#[path = "policy/outages.rs"]
mod outages;
#[path = "policy/part_quarantine.rs"]
mod part_quarantine;
#[path = "policy/pass_time.rs"]
mod pass_time;
#[path = "policy/placement.rs"]
mod placement;
#[path = "policy/proxy.rs"]
mod proxy;
#[path = "policy/quarantine.rs"]
mod quarantine;
#[path = "policy/retry.rs"]
mod retry;
#[path = "policy/returns.rs"]
mod returns;
#[path = "policy/returns_simulation.rs"]
mod returns_simulation;
#[path = "policy/roll_forward.rs"]
mod roll_forward;
#[path = "policy/router.rs"]
mod router;
#[path = "policy/service_demand.rs"]
mod service_demand;
#[path = "policy/service_retry.rs"]
mod service_retry;
#[path = "policy/table.rs"]
mod table;
#[path = "policy/target_silence.rs"]
mod target_silence;
