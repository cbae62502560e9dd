//! Quarantine of requests: single cases, and several hosts in random order.

use porthoist_core::{MarkedHead, RequestMark, SuspectMark, UnixMillis};
use porthoist_policy::proxy::quarantine::{
    CERTAIN_DEATHS, CrashKey, CrashReport, CrashRows, DeathOutcome, HOLD_MILLIS, MAX_MARKS,
    QUARANTINE_MILLIS, QuarantineRules, QuarantineTracker, SendPermit, SuspicionLevel,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use test_case::test_case;

fn request_mark(body: &str) -> RequestMark {
    MarkedHead { host: "h", path: "/p", team: Some("t"), body_bytes: body.len() }.mark(body.as_bytes())
}

fn mark(body: &str) -> SuspectMark {
    request_mark(body).into()
}

fn key(body: &str, target: &str) -> CrashKey {
    CrashKey { mark: mark(body), target: target.into() }
}

fn at(millis: u64) -> UnixMillis {
    UnixMillis(1_000_000 + millis)
}

fn report(millis: u64, ranked: bool) -> CrashReport {
    CrashReport { died: at(millis), ranked, by: "a".into(), ambiguous: false }
}

fn level(tracker: &QuarantineTracker, body: &str, millis: u64) -> Option<SuspicionLevel> {
    tracker.status(&mark(body), at(millis)).map(|block| block.level)
}

#[test_case(false, 0, None, 0; "nothing is known")]
#[test_case(false, 1, Some(SuspicionLevel::Watched), 0; "a plain target")]
#[test_case(true, 1, Some(SuspicionLevel::Held), HOLD_MILLIS; "a rank of a group")]
#[test_case(false, 2, Some(SuspicionLevel::Held), HOLD_MILLIS; "two targets")]
#[test_case(false, 3, Some(SuspicionLevel::Quarantined), QUARANTINE_MILLIS; "three targets")]
#[test_case(true, 4, Some(SuspicionLevel::Quarantined), 2 * QUARANTINE_MILLIS; "four ranks")]
fn deaths_block_request(ranked: bool, deaths: usize, expected: Option<SuspicionLevel>, hold: u64) {
    let mut tracker = QuarantineTracker::default();
    for index in 0..deaths {
        tracker.died(&key("x", &format!("t{index}")), report(0, ranked), at(0));
    }
    assert_eq!(level(&tracker, "x", 0), expected);
    assert_eq!(level(&tracker, "another", 0), None);
    let until = tracker.status(&mark("x"), at(0)).map_or(0, |block| block.until.0.since(at(0)));
    if expected == Some(SuspicionLevel::Held) {
        assert!((hold..=hold + hold / 2).contains(&until), "{until}");
    } else {
        assert_eq!(until, hold);
    }
    if until > 0 {
        assert!(tracker.begin(&[mark("x")], at(until - 1)).is_err(), "blocked until the end");
    }
    let hold_end = until;
    let after = tracker.begin(&[mark("x")], at(hold_end));
    assert!(after.is_ok(), "{after:?}");
    if expected.is_some() {
        assert_eq!(after, Ok(SendPermit::Suspected));
        assert!(tracker.begin(&[mark("x")], at(hold_end)).is_err(), "one send at a time");
        tracker.ended(&[mark("x")]);
        assert_eq!(tracker.begin(&[mark("x")], at(hold_end)), Ok(SendPermit::Suspected));
    }
}

#[test]
fn complete_answer_clears_and_protects_request() {
    let mut tracker = QuarantineTracker::default();
    tracker.died(&key("hot", "t0"), report(0, true), at(0));
    assert_eq!(tracker.answered(&request_mark("hot"), at(10)), [key("hot", "t0")]);
    assert_eq!(level(&tracker, "hot", 10), None);
    let verdict = tracker.died(&key("hot", "t1"), report(19_000, true), at(19_000));
    assert_eq!(verdict, DeathOutcome::Trusted);
    let verdict = tracker.died(&key("hot", "t2"), report(30_000, true), at(30_000));
    assert_eq!(verdict, DeathOutcome::Held { level: SuspicionLevel::Held, deaths: 1 });
}

#[test]
fn deaths_from_table_count_until_rows_are_removed() {
    let mut tracker = QuarantineTracker::default();
    let mut rows: CrashRows = CrashRows::new();
    for target in ["t0", "t1", "t2"] {
        rows.insert(key("x", target), report(0, true));
    }
    let changes = tracker.apply_rows(&rows, true, at(500));
    assert_eq!(changes.heard, [(mark("x"), SuspicionLevel::Quarantined, 3)]);
    // An operator removes them.
    let changes = tracker.apply_rows(&CrashRows::new(), false, at(900));
    assert_eq!(changes.lifted, [mark("x")]);
    assert_eq!(tracker.begin(&[mark("x")], at(900)), Ok(SendPermit::Clear));
}

#[test]
fn own_death_counts_until_its_row_is_removed() {
    let mut tracker = QuarantineTracker::default();
    tracker.died(&key("x", "t0"), report(0, true), at(0));
    tracker.apply_rows(&CrashRows::new(), true, at(10));
    assert_eq!(level(&tracker, "x", 10), Some(SuspicionLevel::Held), "the table service was away");
    tracker.apply_rows(&CrashRows::from([(key("x", "t0"), report(0, true))]), false, at(20));
    tracker.apply_rows(&CrashRows::new(), false, at(30));
    assert_eq!(level(&tracker, "x", 30), None);
}

#[test_case(true, 999_000, 999_000 + HOLD_MILLIS; "at the start, the time of the other host counts")]
#[test_case(true, 9_999_999_999, 1_000_500 + HOLD_MILLIS; "but not where it lies ahead")]
#[test_case(false, 5, 1_000_500 + HOLD_MILLIS; "later, news are of now")]
fn clocks_of_other_hosts_barely_shift_holds(first: bool, died: u64, until: u64) {
    let mut tracker = QuarantineTracker::default();
    let report = CrashReport { died: UnixMillis(died), ..report(0, true) };
    tracker.apply_rows(&CrashRows::from([(key("x", "t0"), report)]), first, at(500));
    let block = tracker.status(&mark("x"), at(500)).unwrap();
    let spread = block.until.0.since(UnixMillis(until));
    assert!(block.until.0 >= UnixMillis(until) && spread <= HOLD_MILLIS / 2, "{block:?}");
}

#[test]
fn expired_rows_are_removed_by_writer_then_by_others() {
    let mut tracker = QuarantineTracker::default();
    let rows = CrashRows::from([(key("x", "t0"), report(0, true))]);
    tracker.apply_rows(&rows, true, at(0));
    let expiry = 2 * tracker.status(&mark("x"), at(0)).unwrap().until.0.since(at(0));
    assert_eq!(tracker.take_expired("a", 0.5, at(expiry - 1)), []);
    assert_eq!(tracker.begin(&[mark("x")], at(expiry)), Ok(SendPermit::Clear));
    assert_eq!(tracker.take_expired("b", 0.5, at(expiry + 29_999)), []);
    assert_eq!(tracker.take_expired("a", 0.5, at(expiry)), [key("x", "t0")]);
    assert_eq!(tracker.take_expired("a", 0.5, at(expiry + 1)), [], "once");
    let mut other = QuarantineTracker::default();
    other.apply_rows(&rows, true, at(0));
    assert_eq!(other.take_expired("b", 0.5, at(expiry + 45_000)), [key("x", "t0")]);
}

#[test]
fn tracker_is_bounded_and_keeps_quarantined_requests() {
    let mut tracker = QuarantineTracker::default();
    for target in ["t0", "t1", "t2"] {
        tracker.died(&key("killer", target), report(0, true), at(0));
    }
    let mut removed = Vec::new();
    for index in 0..MAX_MARKS + 50 {
        tracker.died(&key(&format!("b{index}"), "t9"), report(1 + index as u64, true), at(1));
        removed.extend(tracker.evict_excess());
    }
    assert_eq!(tracker.len(), MAX_MARKS);
    assert_eq!(removed.len(), 51);
    assert_eq!(removed[0], key("b0", "t9"), "the oldest goes first");
    assert_eq!(level(&tracker, "killer", 1), Some(SuspicionLevel::Quarantined));
}

#[test_case("", false; "nothing")]
#[test_case("zz/t", false; "no mark")]
#[test_case("0123456789abcdef0123456789abcdef0123456789abcdef/", false; "no target")]
#[test_case("0123456789abcdef0123456789abcdef0123456789abcdef", false; "no slash")]
#[test_case("0123456789abcdef0123456789abcdef0123456789abcdef/i-1@7", true; "a key")]
fn row_keys_are_parsed_as_written(text: &str, valid: bool) {
    let parsed = text.parse::<CrashKey>();
    assert_eq!(parsed.is_ok(), valid);
    if let Ok(key) = parsed {
        assert_eq!(key.to_string(), text);
    }
}

/// Several hosts, targets that die of one request or at random, and a table whose changes reach the
/// hosts late.
struct Simulation {
    random: Pcg64Mcg,
    trackers: Vec<QuarantineTracker>,
    /// When each host reads the table again, at most [`MAX_READ_DELAY_MILLIS`] after a change.
    next_reads: Vec<u64>,
    rows: CrashRows,
    /// When the target at each index is back, and the number of its life.
    targets: Vec<(u64, u32)>,
    now: u64,
    killed: Vec<u64>,
    sent_late: usize,
    accused: HashSet<String>,
}

/// Numbers of hosts and targets, and the longest time in milliseconds until a host reads a row.
const HOSTS: usize = 4;
const TARGETS: usize = 6;
const MAX_READ_DELAY_MILLIS: u64 = 1_000;
/// Simulated time in milliseconds; shorter than a quarantine.
const SIMULATED_MILLIS: u64 = 400_000;
/// Maximum number of deaths that the request that kills may cause in one simulation.
const MAX_KILLED: usize = 5;

impl Simulation {
    fn new(seed: u64, rules: QuarantineRules) -> Self {
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            trackers: (0..HOSTS).map(|_host| QuarantineTracker::new(rules)).collect(),
            next_reads: vec![0; HOSTS],
            rows: CrashRows::new(),
            targets: vec![(0, 0); TARGETS],
            now: 0,
            killed: Vec::new(),
            sent_late: 0,
            accused: HashSet::new(),
        }
    }

    fn read_rows(&mut self) {
        for host in 0..HOSTS {
            if self.next_reads[host] <= self.now {
                let changes = self.trackers[host].apply_rows(&self.rows, false, at(self.now));
                for row in changes.remove {
                    self.rows.remove(&row);
                }
                for row in self.trackers[host].take_expired("a", 0.0, at(self.now)) {
                    self.rows.remove(&row);
                }
                self.next_reads[host] = self.now + self.random.random_range(0..MAX_READ_DELAY_MILLIS);
            }
        }
    }

    /// Whether a host may send a request, and whether the request is suspected.
    fn try_begin(&mut self, host: usize, body: &str) -> Option<bool> {
        match self.trackers[host].begin(&[mark(body)], at(self.now)) {
            Ok(permit) => Some(permit == SendPermit::Suspected),
            Err(block) => {
                if block.level == SuspicionLevel::Quarantined && body != "killer" {
                    self.accused.insert(body.to_owned());
                }
                None
            }
        }
    }

    /// Sends some requests to a target. It dies if one of them kills it, or at random.
    fn round(&mut self) {
        self.read_rows();
        let index = self.random.random_range(0..TARGETS);
        if self.targets[index].0 > self.now {
            return;
        }
        let life = format!("t{index}-{}", self.targets[index].1);
        let mut sent = Vec::new();
        for _request in 0..self.random.random_range(1..6) {
            let host = self.random.random_range(0..HOSTS);
            let body = match self.random.random_range(0..10) {
                0 => "killer".to_owned(),
                1..4 => "hot".to_owned(),
                _ => format!("once{}", self.random.random_range(0..40)),
            };
            if let Some(suspected) = self.try_begin(host, &body) {
                sent.push((host, body, suspected));
            }
        }
        let kills = sent.iter().any(|(_host, body, _suspected)| body == "killer");
        let third = self.killed.get(CERTAIN_DEATHS - 1);
        if kills && third.is_some_and(|third| self.now > third + 3 * MAX_READ_DELAY_MILLIS) {
            self.sent_late += 1;
        }
        let dies = kills || self.random.random_range(0..60) == 0;
        for (host, body, suspected) in &sent {
            if dies {
                let report = report(self.now, false);
                let row = CrashKey { mark: mark(body), target: life.as_str().into() };
                let verdict = self.trackers[*host].died(&row, report.clone(), at(self.now));
                if matches!(verdict, DeathOutcome::Held { .. }) {
                    self.rows.insert(row, report);
                }
            } else {
                for row in self.trackers[*host].answered(&request_mark(body), at(self.now)) {
                    self.rows.remove(&row);
                }
            }
            if *suspected {
                self.trackers[*host].ended(&[mark(body)]);
            }
        }
        if kills {
            self.killed.push(self.now);
        }
        if dies {
            let (returns_at, life) = &mut self.targets[index];
            (*returns_at, *life) = (self.now + 3_000, *life + 1);
        }
        // A host may restart; it then knows only what the table contains.
        if self.random.random_range(0..400) == 0 {
            let host = self.random.random_range(0..HOSTS);
            self.trackers[host] = QuarantineTracker::default();
            self.trackers[host].apply_rows(&self.rows, true, at(self.now));
        }
    }

    fn run(mut self) -> Self {
        while self.now < SIMULATED_MILLIS {
            self.now += self.random.random_range(20..120);
            self.round();
        }
        self
    }
}

/// Totals of many simulations with the same rules.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    deaths: usize,
    sent_late: usize,
    hot_accused: usize,
    others_accused: usize,
}

fn outcome(rules: QuarantineRules) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..60 {
        let simulation = Simulation::new(seed, rules).run();
        outcome.deaths = outcome.deaths.max(simulation.killed.len());
        outcome.sent_late = outcome.sent_late.max(simulation.sent_late);
        outcome.hot_accused += usize::from(simulation.accused.contains("hot"));
        outcome.others_accused += simulation.accused.iter().filter(|body| *body != "hot").count();
    }
    outcome
}

#[test]
fn only_cause_is_quarantined_in_any_order_of_events() {
    let result = outcome(QuarantineRules::default());
    assert_eq!((result.sent_late, result.hot_accused, result.others_accused), (0, 0, 0), "{result:?}");
    // Other hosts may send it once more before they learn of a death.
    assert!(result.deaths <= MAX_KILLED, "{result:?}");
}

/// The same simulations detect each relaxed rule.
#[test_case(QuarantineRules { certain_deaths: 9, hold_millis: 0, trust: true }, |without| without.deaths > MAX_KILLED; "one that is lenient lets more die")]
#[test_case(QuarantineRules { trust: false, certain_deaths: 2, ..QuarantineRules::default() }, |without| without.hot_accused > 0; "one that forgets answers accuses a hot request")]
#[test_case(QuarantineRules { certain_deaths: 2, hold_millis: 0, ..QuarantineRules::default() }, |without| without.others_accused > 0; "one that is certain too early accuses bystanders")]
fn relaxed_rule_is_detected(rules: QuarantineRules, worse: fn(&Outcome) -> bool) {
    let without = outcome(rules);
    assert!(worse(&without), "{without:?}");
}

/// Guards against lost rows that no process rewrites, or that all processes rewrite at once.
#[test]
fn rows_lost_in_restore_are_rewritten_by_writer_then_by_others() {
    let rows: CrashRows = [(key("x", "t0"), report(0, true))].into();
    let mut trackers = ["a", "b", "c"].map(|own_host| {
        let mut tracker = QuarantineTracker::default();
        tracker.apply_rows(&rows, true, at(0));
        tracker.schedule_rewrites(&CrashRows::new(), own_host, 0.5, at(10));
        tracker.apply_rows(&CrashRows::new(), true, at(10));
        assert_eq!(level(&tracker, "x", 10), Some(SuspicionLevel::Held));
        tracker
    });
    assert_eq!(trackers[0].take_due_rewrites(at(10)), [(key("x", "t0"), report(0, true))]);
    assert_eq!(trackers[0].take_due_rewrites(at(20)), []);
    trackers[1].apply_rows(&rows, false, at(20));
    assert_eq!(trackers[1].take_due_rewrites(at(10_000)), []);
    assert_eq!(trackers[2].take_due_rewrites(at(2_000)), []);
    assert_eq!(trackers[2].take_due_rewrites(at(3_010)).len(), 1);
}
