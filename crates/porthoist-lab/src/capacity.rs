//! Slopes of memory, processor time and message sizes, measured on the daemon's own types in this
//! process.
//!
//! docs/CAPACITY.md derives the size expected in two years from them.

use crate::report::rounded;
use porthoist_core::{
    AttemptId, ByteSize, ClockSource, IncarnationId, LoadReport, MarkedHead, OfferOutcome, PartMark,
    RefusalReason, RepeatPolicy, RequestId, RequestOffer, RequestPriority, RequestRate, RunVerdict,
    ServiceKind, ServiceName, SuspectMark, TargetName, TeamName, UnixDeadline, UnixMillis, ZoneName,
};
use porthoist_fleet::FleetDigest;
use porthoist_fleet::convert::{read_offer, write_digest, write_offer, write_outcome, write_settle_asks};
use porthoist_fleet::fleet_capnp::{digest, node, offer, outcome};
use porthoist_policy::adoption::{ConfigChange, ConfigState};
use porthoist_policy::decision_log::{DecisionKind, DecisionLog};
use porthoist_policy::gate::{GateKey, GateMachine, GateOffer};
use porthoist_policy::limits::coordinator::{LimitCoordinator, SettleAsk};
use porthoist_policy::limits::{EntryLimiter, TeamLimit};
use porthoist_policy::placement::equal_shares::{EqualShareBounds, EqualShareMap, improve};
use porthoist_policy::placement::map::ExpertId;
use porthoist_policy::placement::{GroupEstimate, PlannerSettings, place_from_scratch, plan};
use porthoist_policy::proxy::quarantine::{CrashKey, CrashReport, MAX_MARKS, QuarantineTracker};
use porthoist_policy::router::{PREFIX_CAPACITY, RouteQuery, RouteTarget, Router, RouterSettings};
use porthoist_policy::table::{RowKey, RowKind, TableRow, TeamRow};
use serde::Serialize;
use std::hint::black_box;
use std::time::Instant;

/// One measured slope.
#[derive(Debug, Clone, Serialize)]
pub struct CapacitySlope {
    /// Name of the measured quantity.
    pub name: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Measured value.
    pub value: f64,
}

/// Number of teams expected in two years.
const TEAMS: usize = 41_000;
/// Number of targets that one entry follows.
const TARGETS: usize = 128;
const CALLS: usize = 20_000;
const PAGE_BYTES: u64 = 4096;

/// Resident memory of this process.
fn resident_memory() -> ByteSize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = text.split(' ').nth(1).and_then(|pages| pages.parse().ok()).unwrap_or(0);
    ByteSize(pages * PAGE_BYTES)
}

/// Creates `count` items and returns the memory growth per item in bytes, and the items.
fn bytes_per_item<T>(count: usize, create: impl FnOnce() -> T) -> (f64, T) {
    let before = resident_memory();
    let items = create();
    let growth = resident_memory().0.saturating_sub(before.0);
    (growth as f64 / count as f64, items)
}

/// Mean duration of one call in microseconds.
fn micros_per_call(calls: usize, mut call: impl FnMut(usize)) -> f64 {
    let started_at = Instant::now();
    for call_index in 0..calls {
        call(call_index);
    }
    started_at.elapsed().as_secs_f64() * 1e6 / calls as f64
}

fn slope(name: &'static str, unit: &'static str, value: f64) -> CapacitySlope {
    CapacitySlope { name, unit, value: rounded(value) }
}

fn team(index: usize) -> TeamName {
    format!("team-{index:05}").parse().expect("valid")
}

fn team_row(index: usize) -> (RowKey, Option<TableRow>) {
    let row = TableRow::Team(TeamRow {
        weight: 1.0,
        rate: RequestRate(50.0),
        concurrency: 100,
        priority: RequestPriority::default(),
        token: porthoist_core::secret::sha256_hex(&index.to_be_bytes()),
    });
    (RowKey { kind: RowKind::Team, name: team(index).to_string() }, Some(row))
}

fn attempt(index: usize) -> AttemptId {
    AttemptId { entry: IncarnationId(1), request: RequestId(index as u64), attempt: 0 }
}

/// Measures all slopes.
pub fn measure() -> Vec<CapacitySlope> {
    // The created items are never freed, so that freed memory can't hide the growth of a later
    // measurement.
    let mut slopes = target();
    slopes.extend(configuration());
    slopes.extend(limits());
    slopes.extend(routing());
    slopes.extend(messages());
    slopes.extend(placement());
    slopes.extend(crash_marks());
    slopes
}

fn configuration() -> Vec<CapacitySlope> {
    let (row_bytes, mut state) = bytes_per_item(TEAMS, || {
        let mut state: ConfigState = ConfigState::default();
        let rows = (0..TEAMS).map(team_row).collect();
        state.adopt(ConfigChange { since: 0, revision: 1, rows });
        state
    });
    let json = serde_json::to_vec(&state.snapshot()).unwrap_or_default().len();
    let mut revision = 1;
    let adopt = micros_per_call(20, |call_index| {
        let change =
            ConfigChange { since: revision, revision: revision + 1, rows: vec![team_row(call_index)] };
        revision += 1;
        state.adopt(change);
        black_box(state.clone());
    });
    std::mem::forget(state);
    vec![
        slope("configuration: memory of a team's row", "B", row_bytes),
        slope("configuration: snapshot of 41,000 teams", "B", json as f64),
        slope("configuration: adopt one row among 41,000 and publish", "us", adopt),
    ]
}

fn limits() -> Vec<CapacitySlope> {
    let limit = TeamLimit { rate: RequestRate(50.0), concurrency: 100 };
    let names: Vec<TeamName> = (0..TEAMS).map(team).collect();
    let now = UnixMillis(1_000_000);
    let (team_bytes, mut limiter) = bytes_per_item(TEAMS, || {
        let mut limiter = EntryLimiter::new(63);
        for name in &names {
            black_box(limiter.admit(now, name, limit).is_ok());
            limiter.release(name);
        }
        limiter
    });
    let admit = micros_per_call(CALLS, |call_index| {
        let name = &names[call_index % names.len()];
        black_box(limiter.admit(now, name, limit).is_ok());
        limiter.release(name);
    });
    let due = micros_per_call(50, |call_index| {
        black_box(limiter.due(now.plus(call_index as u64)));
    });
    let buckets = 20 * TEAMS;
    let (bucket_bytes, mut coordinator) = bytes_per_item(buckets, || {
        let mut coordinator = LimitCoordinator::new();
        for team in 0..buckets as u64 {
            coordinator.settle(now, SettleAsk { team, debt: 1, wanted: 0 }, limit);
        }
        coordinator
    });
    let settle = micros_per_call(CALLS, |call_index| {
        let team = (call_index % TEAMS) as u64;
        black_box(coordinator.settle(now, SettleAsk { team, debt: 1, wanted: 1 }, limit));
    });
    std::mem::forget((limiter, coordinator));
    vec![
        slope("limits: memory of an active team at an entry", "B", team_bytes),
        slope("limits: admit a request", "us", admit),
        slope("limits: look for due settlements among 41,000 active teams", "us", due),
        slope("limits: memory of a kept bucket", "B", bucket_bytes),
        slope("limits: settle a team", "us", settle),
    ]
}

fn routing() -> Vec<CapacitySlope> {
    let zone: ZoneName = "zone-1".parse().expect("valid");
    let service: ServiceName = "model".parse().expect("valid");
    let names: Vec<TargetName> =
        (0..TARGETS).map(|index| format!("target-{index}").parse().expect("valid")).collect();
    let (target_bytes, mut router) = bytes_per_item(TARGETS, || {
        let mut router = Router::new(RouterSettings::builder().zone(zone.clone()).build());
        for (index, name) in names.iter().enumerate() {
            router.upsert(RouteTarget {
                name: name.clone(),
                zone: zone.clone(),
                services: vec![service.clone()],
                weight: 1.0,
                leaving: false,
            });
            let blocks: Vec<u64> =
                (0..PREFIX_CAPACITY as u64).map(|block| block + ((index as u64) << 32)).collect();
            router.cache_events(name, &blocks, &[]);
        }
        router
    });
    let blocks: Vec<u64> = (0..32).collect();
    let query = RouteQuery {
        service: &service,
        now: UnixMillis(1),
        deadline: UnixDeadline(UnixMillis(1400)),
        prompt_tokens: 2100,
        prefix_blocks: &blocks,
        exclude: &[],
    };
    let choose = micros_per_call(CALLS, |call_index| {
        if let Ok(choice) = router.choose(&query) {
            router.sent(query.now, &choice.target, attempt(call_index), &query);
            router.done(&choice.target, attempt(call_index));
        }
    });
    let (decision_bytes, log) = bytes_per_item(1_000_000, || {
        let mut log = DecisionLog::new(1_000_000);
        for index in 0..1_000_000 {
            let kind = DecisionKind::Offered {
                attempt: 0,
                target: names[index % TARGETS].clone(),
                cost_millis: 1.0,
                cached_tokens: 0,
                candidates: 16,
            };
            log.record(UnixMillis(1), RequestId(index as u64), kind);
        }
        log
    });
    std::mem::forget((router, log));
    vec![
        slope("routing: memory of a followed target with a full prefix view", "B", target_bytes),
        slope("routing: choose among 128 targets, send and finish", "us", choose),
        slope("explain: memory of a kept decision", "B", decision_bytes),
    ]
}

fn target() -> Vec<CapacitySlope> {
    let incarnation = IncarnationId(1);
    let deadline = UnixDeadline(UnixMillis(1_000_000));
    let now = UnixMillis(1);
    let count = 100_000;
    let (ticket_bytes, mut gate) = bytes_per_item(count, || {
        let mut gate = GateMachine::new(incarnation, 2 * count);
        for _ in 0..count {
            gate.mint(now, deadline);
        }
        gate
    });
    let offer = micros_per_call(CALLS, |call_index| {
        let key = GateKey::Ticket(call_index as u64 + 1);
        let offer = GateOffer { key, incarnation, fingerprint: 1, deadline };
        black_box(gate.offer(now, offer, || Ok(())));
        gate.finished(key);
    });
    std::mem::forget(gate);
    vec![
        slope("gate: memory of a ticket", "B", ticket_bytes),
        slope("gate: decide on an offer and remember its end", "us", offer),
    ]
}

fn request_offer(body: usize) -> RequestOffer {
    RequestOffer {
        attempt: attempt(1),
        team: team(1),
        service: "model".parse().expect("valid"),
        kind: ServiceKind::Model,
        method: "POST".to_owned(),
        path: "/v1/completions".to_owned(),
        headers: vec![("content-type".to_owned(), "application/json".to_owned())],
        body: vec![b'x'; body].into(),
        deadline: UnixDeadline(porthoist_core::AnchoredClock::new().now()),
        priority: RequestPriority::default(),
        repeat: RepeatPolicy::Safe,
        ticket: None,
        stream: true,
        resume_after: None,
        prompt_tokens: 500,
        prefix_blocks: vec![1; 8],
    }
}

fn messages() -> Vec<CapacitySlope> {
    let request = request_offer(2000);
    let encode = micros_per_call(CALLS, |_call_index| {
        let mut message = capnp::message::Builder::new_default();
        write_offer(message.init_root::<offer::Builder<'_>>(), &request);
        let reader = message.into_reader();
        black_box(reader.get_root::<offer::Reader<'_>>().and_then(read_offer).is_ok());
    });
    let load = LoadReport::default();
    let refused = OfferOutcome::Refused {
        reason: RefusalReason::Draining,
        verdict: RunVerdict::NotRun,
        retry_at: Some(UnixMillis(1)),
    };
    let mut message = capnp::message::Builder::new_default();
    write_outcome(message.init_root::<outcome::Builder<'_>>(), &refused, &load);
    let outcome_bytes = capnp::serialize::write_message_to_words(&message).len();
    let mut message = capnp::message::Builder::new_default();
    let own_digest = FleetDigest {
        node: "entry-123".parse().expect("valid"),
        zone: "zone-1".parse().expect("valid"),
        revision: 1,
        change: None,
        wants_hosts: false,
        hosts: Vec::new(),
    };
    let is_valid = write_digest(message.init_root::<digest::Builder<'_>>(), &own_digest).is_ok();
    let digest_bytes = capnp::serialize::write_message_to_words(&message).len() * usize::from(is_valid);
    let ask_bytes = |count: u64| {
        let asks: Vec<SettleAsk> = (0..count).map(|team| SettleAsk { team, debt: 1, wanted: 1 }).collect();
        let mut message = capnp::message::Builder::new_default();
        let mut params = message.init_root::<node::settle_params::Builder<'_>>();
        write_settle_asks(params.reborrow().init_asks(asks.len() as u32), &asks);
        capnp::serialize::write_message_to_words(&message).len()
    };
    vec![
        slope("messages: write and read an offer of 2 KB", "us", encode),
        slope("messages: a refusal with its load report", "B", outcome_bytes as f64),
        slope("messages: a digest without changes", "B", digest_bytes as f64),
        slope("messages: a settlement of one team", "B", ask_bytes(1) as f64),
        slope("messages: each further team in it", "B", (ask_bytes(101) - ask_bytes(1)) as f64 / 100.0),
    ]
}

fn placement() -> Vec<CapacitySlope> {
    let experts = 128;
    let popularity: Vec<f64> = (1..=experts).map(|place| 1.0 / f64::from(place)).collect();
    let sum: f64 = popularity.iter().sum();
    let popularity = popularity.into_iter().map(|weight| weight / sum).collect();
    let estimate = GroupEstimate { popularity, speed: vec![1.0; 64] };
    let settings = PlannerSettings::builder().skew_weight(4.0).move_weight(1.0).build();
    let map =
        place_from_scratch(&GroupEstimate { popularity: vec![1.0 / 128.0; 128], ..estimate.clone() }, 64, 3);
    let plan_micros = micros_per_call(5, |_call_index| {
        black_box(plan(&map, &estimate, &settings));
    });
    let mut slopes =
        vec![slope("placement: plan for 64 ranks and 128 experts after a jump", "us", plan_micros)];
    slopes.extend(equal_share_maps());
    slopes
}

/// Sizes of the bodies that are marked: a usual one, the longest whose answer is kept, and the
/// longest that entries accept.
const BODY_CASES: [(usize, &str); 3] = [
    (3 * 1024, "marks: of a request with a body of 3 KB"),
    (16 * 1024, "marks: of a request with a body of 16 KB"),
    (4 * 1024 * 1024, "marks: of a request with a body of 4 MB"),
];

/// Cost of checking whether a request is one that crashed targets.
fn crash_marks() -> Vec<CapacitySlope> {
    let head = |body_bytes| MarkedHead {
        host: "refunds.example",
        path: "/receipts/read?market=7",
        team: Some("border"),
        body_bytes,
    };
    let head_micros = micros_per_call(10_000, |index| {
        black_box(head(index).digest());
    });
    let mut slopes = vec![slope("marks: of a request without its body", "us", head_micros)];
    slopes.extend(BODY_CASES.map(|(bytes, name)| {
        let body = vec![7; bytes];
        let micros = micros_per_call(20, |_call_index| {
            black_box(head(bytes).mark(&body));
        });
        slope(name, "us", micros)
    }));
    let mut tracker = QuarantineTracker::default();
    let report =
        CrashReport { died: UnixMillis(1_000), ranked: true, by: "entry-1".into(), ambiguous: false };
    for index in 0..MAX_MARKS {
        let mark = head(index).mark(&[]).into();
        tracker.died(&CrashKey { mark, target: "t".into() }, report.clone(), UnixMillis(1_000));
    }
    let lookup = micros_per_call(1_000, |index| {
        black_box(tracker.knows_head(index as u64));
    });
    slopes.push(slope("marks: a request asked about in a full book", "us", lookup));
    slopes.extend(part_marks());
    slopes
}

/// Number of shared parts of a prompt, as many as callers send at most.
const PROMPT_PARTS: usize = 32;

/// Cost of the parts of a prompt: their marks, and whether a request may be sent while deaths of as many parts are known as a
/// tracker holds.
fn part_marks() -> Vec<CapacitySlope> {
    let service: ServiceName = "lm-refund".parse().expect("a valid name");
    let part = |index: usize| PartMark::new(&service, &format!("{index:x}"));
    let digest = micros_per_call(10_000, |index| {
        black_box(part(index));
    });
    let mut tracker = QuarantineTracker::default();
    for index in 0..MAX_MARKS {
        let key = CrashKey { mark: part(index).into(), target: format!("t{index}").into() };
        let by = format!("entry-{}", index % 8).into();
        let report = CrashReport { died: UnixMillis(1_000), ranked: true, by, ambiguous: false };
        tracker.died(&key, report, UnixMillis(1_000));
    }
    let sound: Vec<SuspectMark> = (0..PROMPT_PARTS).map(|index| part(2 * MAX_MARKS + index).into()).collect();
    let suspected = [SuspectMark::Part(part(7))];
    let unknown = micros_per_call(1_000, |_call_index| {
        let parts = sound.iter().filter(|mark| tracker.status(mark, UnixMillis(2_000)).is_some());
        black_box(parts.count());
    });
    let held = micros_per_call(1_000, |_call_index| {
        black_box(tracker.begin(&suspected, UnixMillis(2_000)).is_err());
    });
    vec![
        slope("marks: of a part of a prompt", "us", digest),
        slope("marks: 32 unsuspected parts asked about in a full book", "us", unknown),
        slope("marks: a suspected part asked about in a full book", "us", held),
    ]
}

/// Numbers of ranks for which expert maps are planned.
const RANK_CASES: [(usize, &str); 3] = [
    (24, "expert maps: plan for 24 ranks after a shift, 16 sets of 258 experts"),
    (63, "expert maps: plan for 63 ranks after a shift, 16 sets of 258 experts"),
    (129, "expert maps: plan for 129 ranks after a shift, 16 sets of 258 experts"),
];
/// Number of expert sets, and number of experts in each set.
const EXPERT_SETS: usize = 16;
const EXPERTS_PER_SET: usize = 258;

/// Cost of one plan after half of the demand moved to other experts, with at most two new copies
/// per rank.
fn equal_share_maps() -> Vec<CapacitySlope> {
    let measure_group = |(ranks, name): (usize, &'static str)| {
        let max_experts = EXPERTS_PER_SET.div_ceil(ranks) + 1;
        let slots_of = |rank: usize| {
            (0..max_experts)
                .map(|place| ExpertId(((place * ranks + rank) % EXPERTS_PER_SET) as u16))
                .collect()
        };
        let map = EqualShareMap::new(vec![(0..ranks).map(slots_of).collect(); EXPERT_SETS]);
        let demand: Vec<Vec<f64>> = (0..EXPERT_SETS).map(shifted_demand).collect();
        let bounds = EqualShareBounds {
            max_experts,
            max_new_experts: 2,
            max_new_per_rank: 2,
            move_price: 0.6 / ranks as f64,
        };
        let micros = micros_per_call(5, |_call_index| {
            black_box(improve(&map, &demand, &[], &bounds));
        });
        slope(name, "us", micros)
    };
    RANK_CASES.into_iter().map(measure_group).collect()
}

/// Demand of a set in which a few experts get a large part.
fn shifted_demand(set: usize) -> Vec<f64> {
    let weight = |expert: usize| 1.0 / (1.0 + ((expert * 7 + set * 31) % EXPERTS_PER_SET) as f64);
    let total: f64 = (0..EXPERTS_PER_SET).map(weight).sum();
    (0..EXPERTS_PER_SET).map(|expert| weight(expert) / total).collect()
}
