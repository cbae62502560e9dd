//! Metrics of the daemon, collected by OpenTelemetry and exported as Prometheus text.
//!
//! Every refusal reason and every retry reason has its own time series, which exists from the start with the value 0.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use porthoist_core::{RefusalReason, RetryReason, RunVerdict};
use prometheus::{Encoder as _, Registry, TextEncoder};
use std::fmt;
use std::sync::{Arc, OnceLock};

/// What the times of retries planned after an outage follow from.
const PLANNED_RETRY_TIMES: [&str; 2] = ["recovery", "deadline"];

/// Events of crashes that are attributed to requests: the level that a new one leads to, and later changes.
const CRASH_EVENTS: [&str; 12] = [
    "noted",
    "watched",
    "held",
    "quarantined",
    "trusted",
    "heard",
    "refused",
    "cleared",
    "lifted",
    "lapsed",
    "dropped",
    "unwritten",
];
/// Changes of the backpressure that a target reports.
const BACKPRESSURE_CHANGES: [&str; 6] = ["limited", "lifted", "resting", "rested", "leaving", "unreadable"];
/// Tables of the table service, as labels.
const TABLES: [&str; 3] = ["routes", "targets", "crashes"];
/// What of a row can't be read.
const ROW_PROBLEMS: [&str; 3] = ["key", "version", "content"];
/// What happens to connections of callers that exceed the limit.
const CONNECTION_EVENTS: [&str; 3] = ["evicted", "refused", "failed"];
/// Who ends connections of callers on which a request is not complete.
const CONNECTION_ENDS: [&str; 4] = ["caller_closed", "caller_reset", "write_failed", "process"];
/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS: [f64; 12] = [0.5, 1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 250.0, 500.0, 1400.0, 5000.0];

/// Error of setting up the exporter.
pub type MetricsError = opentelemetry_sdk::error::OTelSdkError;

/// Returns the current value of a gauge.
type ValueReader = Box<dyn Fn() -> u64 + Send + Sync>;

/// All metrics of one process.
pub struct MetricsHub {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    planned_retries: Counter<u64>,
    answers: Counter<u64>,
    dropped_frames: Counter<u64>,
    runs: Counter<u64>,
    control_bytes: Counter<u64>,
    revision: Gauge<u64>,
    first_byte: Histogram<f64>,
    queue_wait: Histogram<f64>,
    event_pause: Histogram<f64>,
    connections: Counter<u64>,
    broken_streams: Counter<u64>,
    cut_responses: Counter<u64>,
    cut_at_stop: Counter<u64>,
    connection_ends: Counter<u64>,
    held_bytes: Arc<OnceLock<ValueReader>>,
    crash_events: Counter<u64>,
    connection_events: Counter<u64>,
    backpressure_changes: Counter<u64>,
    cold_targets: Gauge<u64>,
    capacity_slots: Gauge<f64>,
    capacity_free: Gauge<f64>,
    capacity_share: Gauge<f64>,
    zones_emptied: Gauge<u64>,
    suspected_requests: Gauge<u64>,
    table_calls: Counter<u64>,
    table_fallbacks: Counter<u64>,
    avoided_peers: Counter<u64>,
    unreadable_rows: Counter<u64>,
    table_ages: Gauge<u64>,
    table_era: Gauge<u64>,
}

impl fmt::Debug for MetricsHub {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MetricsHub").finish_non_exhaustive()
    }
}

impl MetricsHub {
    /// Registers all metrics.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("porthoist");
        let held_bytes: Arc<OnceLock<ValueReader>> = Arc::default();
        let held_reader = Arc::clone(&held_bytes);
        // Exists from the start, although the value is known only once callers are served.
        meter
            .u64_observable_gauge("porthoist_held_bytes")
            .with_callback(move |gauge| gauge.observe(held_reader.get().map_or(0, |read| read()), &[]))
            .build();
        let hub = Self {
            requests: meter.u64_counter("porthoist_requests").build(),
            refusals: meter.u64_counter("porthoist_refusals").build(),
            retries: meter.u64_counter("porthoist_retries").build(),
            planned_retries: meter.u64_counter("porthoist_retries_planned").build(),
            answers: meter.u64_counter("porthoist_answers").build(),
            dropped_frames: meter.u64_counter("porthoist_frames_dropped").build(),
            runs: meter.u64_counter("porthoist_runs").build(),
            control_bytes: meter.u64_counter("porthoist_control_bytes").build(),
            revision: meter.u64_gauge("porthoist_config_revision").build(),
            first_byte: meter
                .f64_histogram("porthoist_first_byte_milliseconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            queue_wait: meter
                .f64_histogram("porthoist_queue_wait_milliseconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            event_pause: meter
                .f64_histogram("porthoist_event_pause_milliseconds")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .build(),
            connections: meter.u64_counter("porthoist_target_connections").build(),
            broken_streams: meter.u64_counter("porthoist_broken_streams").build(),
            cut_responses: meter.u64_counter("porthoist_responses_cut").build(),
            cut_at_stop: meter.u64_counter("porthoist_cut_at_stop").build(),
            connection_ends: meter.u64_counter("porthoist_caller_connections_ended").build(),
            held_bytes,
            crash_events: meter.u64_counter("porthoist_crash_events").build(),
            connection_events: meter.u64_counter("porthoist_caller_connections").build(),
            backpressure_changes: meter.u64_counter("porthoist_target_need_changes").build(),
            cold_targets: meter.u64_gauge("porthoist_cold_targets").build(),
            capacity_slots: meter.f64_gauge("porthoist_capacity_slots").build(),
            capacity_free: meter.f64_gauge("porthoist_capacity_free").build(),
            capacity_share: meter.f64_gauge("porthoist_capacity_share").build(),
            zones_emptied: meter.u64_gauge("porthoist_zone_emptied_since_milliseconds").build(),
            suspected_requests: meter.u64_gauge("porthoist_suspected_requests").build(),
            table_calls: meter.u64_counter("porthoist_table_calls").build(),
            table_fallbacks: meter.u64_counter("porthoist_table_asked").build(),
            avoided_peers: meter.u64_counter("porthoist_table_peers_avoided").build(),
            unreadable_rows: meter.u64_counter("porthoist_table_rows_unreadable").build(),
            table_ages: meter.u64_gauge("porthoist_belief_age_milliseconds").build(),
            table_era: meter.u64_gauge("porthoist_table_era").build(),
            registry,
            _provider: provider,
        };
        hub.start_at_zero();
        Ok(hub)
    }

    /// Creates all time series whose labels are known, with the value 0.
    fn start_at_zero(&self) {
        for reason in RefusalReason::ALL {
            self.refusals.add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for reason in RetryReason::ALL {
            self.retries.add(0, &[KeyValue::new("reason", reason.as_str())]);
        }
        for when in PLANNED_RETRY_TIMES {
            self.planned_retries.add(0, &[KeyValue::new("when", when)]);
        }
        for kind in ["foreign", "repeated", "gap"] {
            self.dropped_frames.add(0, &[KeyValue::new("kind", kind)]);
        }
        self.requests.add(0, &[]);
        self.answers.add(0, &[]);
        self.runs.add(0, &[]);
        self.control_bytes.add(0, &[]);
        self.connections.add(0, &[]);
        self.broken_streams.add(0, &[]);
        self.cut_responses.add(0, &[]);
        for verdict in [RunVerdict::NotRun, RunVerdict::MayHaveRun] {
            self.cut_at_stop.add(0, &[KeyValue::new("verdict", verdict.as_str())]);
        }
        for ended_by in CONNECTION_ENDS {
            self.connection_ends.add(0, &[KeyValue::new("by", ended_by)]);
        }
        self.table_calls.add(0, &[]);
        for event in CRASH_EVENTS {
            self.crash_events.add(0, &[KeyValue::new("event", event)]);
        }
        for event in CONNECTION_EVENTS {
            self.connection_events.add(0, &[KeyValue::new("event", event)]);
        }
        for change in BACKPRESSURE_CHANGES {
            self.backpressure_changes.add(0, &[KeyValue::new("change", change)]);
        }
        for table in TABLES {
            for problem in ROW_PROBLEMS {
                let labels = [KeyValue::new("table", table), KeyValue::new("problem", problem)];
                self.unreadable_rows.add(0, &labels);
            }
        }
        self.suspected_requests.record(0, &[]);
        self.cold_targets.record(0, &[]);
    }

    /// Sets the slots of a service whose capacity is divided among entries, the free ones, and this
    /// process's share of the demand, from 0 to 1.
    pub fn set_capacity(&self, service: &str, slots: f64, free: f64, share: f64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.capacity_slots.record(slots, &labels);
        self.capacity_free.record(free, &labels);
        self.capacity_share.record(share, &labels);
    }

    /// Sets the number of cold targets.
    pub fn set_cold_targets(&self, targets: u64) {
        self.cold_targets.record(targets, &[]);
    }

    /// Sets since when operators have emptied a zone, in Unix milliseconds; 0 if, as far as this process knows, they have not.
    pub fn set_zone_emptied(&self, zone: &str, since: u64) {
        self.zones_emptied.record(since, &[KeyValue::new("zone", zone.to_owned())]);
    }

    /// Counts a new connection to a target.
    pub fn record_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts a stream that ended before it was complete.
    pub fn record_broken_stream(&self) {
        self.broken_streams.add(1, &[]);
    }

    /// Counts a request that the end of a graceful shutdown cut.
    pub fn record_cut_at_stop(&self, verdict: RunVerdict) {
        self.cut_at_stop.add(1, &[KeyValue::new("verdict", verdict.as_str())]);
    }

    /// Counts a connection that ended while a request on it was not complete, by who ended it.
    pub fn record_connection_end(&self, ended_by: &'static str) {
        self.connection_ends.add(1, &[KeyValue::new("by", ended_by)]);
    }

    /// Counts a response that was cut because its caller read nothing.
    pub fn record_cut_response(&self) {
        self.cut_responses.add(1, &[]);
    }

    /// Exports the number of bytes held for callers, which `read` returns at each export.
    /// The first reader is kept.
    pub fn observe_held_bytes(&self, read: impl Fn() -> u64 + Send + Sync + 'static) {
        self.held_bytes.get_or_init(|| Box::new(read));
    }

    /// Counts an event of crashes that are attributed to requests.
    pub fn record_crash_event(&self, event: &'static str) {
        self.crash_events.add(1, &[KeyValue::new("event", event)]);
    }

    /// Records that a caller's connection gave way, was refused or could not be accepted.
    pub fn record_connection_event(&self, event: &'static str) {
        self.connection_events.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts a change of the backpressure that a target reports.
    pub fn record_backpressure_change(&self, change: &'static str) {
        self.backpressure_changes.add(1, &[KeyValue::new("change", change)]);
    }

    /// Sets the number of requests to which crashes are attributed.
    pub fn set_suspected_requests(&self, requests: u64) {
        self.suspected_requests.record(requests, &[]);
    }

    /// Counts a call to the table service.
    pub fn record_table_call(&self) {
        self.table_calls.add(1, &[]);
    }

    /// Counts a query to the table service that another process could have answered, with the reason why it did not.
    pub fn record_table_fallback(&self, reason: &'static str) {
        self.table_fallbacks.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a process that is not queried for a while, with the reason.
    pub fn record_avoided_peer(&self, reason: &'static str) {
        self.avoided_peers.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a change of a row after which it can't be read, with what of it.
    pub fn record_unreadable_row(&self, table: &'static str, problem: &'static str) {
        self.unreadable_rows.add(1, &[KeyValue::new("table", table), KeyValue::new("problem", problem)]);
    }

    /// Sets the age of the known state of a table, in milliseconds: the time since it was last confirmed to be the newest.
    pub fn set_table_age(&self, table: &'static str, millis: u64) {
        self.table_ages.record(millis, &[KeyValue::new("table", table)]);
    }

    /// Sets the era of the table service, which increases by one each time the service is restored from a backup.
    pub fn set_table_era(&self, era: u64) {
        self.table_era.record(era, &[]);
    }

    /// Records how long a request waited for a slot, in milliseconds.
    pub fn record_queue_wait(&self, millis: f64) {
        self.queue_wait.record(millis, &[]);
    }

    /// Records the pause between two events of a stream, in milliseconds.
    pub fn record_event_pause(&self, millis: f64) {
        self.event_pause.record(millis, &[]);
    }

    /// Counts a request that a caller sent.
    pub fn record_request(&self) {
        self.requests.add(1, &[]);
    }

    /// Counts a refusal.
    pub fn record_refusal(&self, reason: RefusalReason, _verdict: RunVerdict) {
        self.refusals.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a retry.
    pub fn record_retry(&self, reason: RetryReason) {
        self.retries.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a caller's retry that was given a turn after an outage, by what its time follows from.
    pub fn record_planned_retry(&self, when: &'static str) {
        self.planned_retries.add(1, &[KeyValue::new("when", when)]);
    }

    /// Counts a complete answer and records the time to its first byte, in milliseconds.
    pub fn record_answer(&self, first_byte_millis: f64) {
        self.answers.add(1, &[]);
        self.first_byte.record(first_byte_millis, &[]);
    }

    /// Counts frames that were not delivered; `kind` is foreign, repeated or gap.
    pub fn record_dropped_frames(&self, kind: &'static str, count: u64) {
        if count > 0 {
            self.dropped_frames.add(count, &[KeyValue::new("kind", kind)]);
        }
    }

    /// Counts a request handed to the engine or service.
    pub fn record_run(&self) {
        self.runs.add(1, &[]);
    }

    /// Counts bytes of control traffic.
    pub fn record_control_bytes(&self, bytes: u64) {
        self.control_bytes.add(bytes, &[]);
    }

    /// Sets the configuration revision in force.
    pub fn set_revision(&self, revision: u64) {
        self.revision.record(revision, &[]);
    }

    /// Returns the metrics as Prometheus text.
    pub fn to_prometheus_text(&self) -> String {
        let mut buffer = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut buffer) {
            return format!("# {error}\n");
        }
        String::from_utf8_lossy(&buffer).into_owned()
    }
}
