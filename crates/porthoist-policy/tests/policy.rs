//! Tests of the decision logic, driven like the daemon drives it.

#[path = "policy/admission.rs"]
mod admission;
#[path = "policy/cold.rs"]
mod cold;
#[path = "policy/cold_fleet.rs"]
mod cold_fleet;
#[path = "policy/configuration.rs"]
mod configuration;
#[path = "policy/copying.rs"]
mod copying;
#[path = "policy/demand.rs"]
mod demand;
#[path = "policy/domains.rs"]
mod domains;
#[path = "policy/equal_shares.rs"]
mod equal_shares;
#[path = "policy/forecast.rs"]
mod forecast;
#[path = "policy/gate.rs"]
mod gate;
#[path = "policy/limits.rs"]
mod limits;
#[path = "policy/loads.rs"]
mod loads;
#[path = "policy/moving.rs"]
mod moving;
#[path = "policy/needs.rs"]
mod needs;
#[path = "policy/needy_fleet.rs"]
mod needy_fleet;
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
#[path = "policy/roll_forward.rs"]
mod roll_forward;
#[path = "policy/router.rs"]
mod router;
#[path = "policy/table.rs"]
mod table;
