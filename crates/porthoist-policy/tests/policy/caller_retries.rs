//! Identification of callers' retries.

use porthoist_core::{ServiceName, UnixMillis};
use porthoist_policy::proxy::caller_retries::{CallerAttempt, CallerRetryDetector};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

/// Deadline of all callers in milliseconds; they honour a retry delay of up to a third of it.
const TIMEOUT_MILLIS: u64 = 8_000;
/// Time between two requests of a route at one entry.
const INTERVAL_MILLIS: u64 = 400;

fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

/// One entry, whose requests arrive at regular intervals.
struct ObservedRoute {
    detector: CallerRetryDetector,
    route: String,
    service: ServiceName,
    now: u64,
}

impl ObservedRoute {
    fn new() -> Self {
        let detector = CallerRetryDetector::default();
        Self { detector, route: "r".to_owned(), service: service("s"), now: 1_000_000 }
    }

    /// With 100 first attempts that state these remaining times in turn.
    fn calm(remaining: &[u64]) -> Self {
        let mut observed = Self::new();
        for index in 0..100 {
            assert!(!observed.is_retry(remaining[index % remaining.len()]));
        }
        observed
    }

    fn attempt<'a>(route: &'a str, service: &'a ServiceName, remaining: Option<u64>) -> CallerAttempt<'a> {
        CallerAttempt { route, service, remaining_millis: remaining, timeout_millis: TIMEOUT_MILLIS }
    }

    fn is_retry(&mut self, remaining: u64) -> bool {
        self.now += INTERVAL_MILLIS;
        let attempt = Self::attempt(&self.route, &self.service, Some(remaining));
        self.detector.observe(attempt, UnixMillis(self.now))
    }

    /// Refuses a request of another caller.
    fn refuse(&mut self, route: &str, name: &str) {
        let service = service(name);
        let attempt = Self::attempt(route, &service, Some(TIMEOUT_MILLIS));
        self.detector.record_refusal(attempt, UnixMillis(self.now));
    }

    fn pass(&mut self, millis: u64) {
        self.now += millis;
    }
}

/// Remaining times spread evenly between half of the longest and the longest.
fn spread(generator: &mut Pcg64Mcg) -> u64 {
    generator.random_range(TIMEOUT_MILLIS / 2..=TIMEOUT_MILLIS)
}

/// Guards against first attempts that count as retries because other callers state more: half of the
/// first attempts under calm load did, and never waited for a slot.
#[test]
fn first_attempts_with_spread_remaining_times_are_no_retries() {
    let mut generator = Pcg64Mcg::seed_from_u64(1);
    let mut observed = ObservedRoute::new();
    let retries = (0..10_000).filter(|_attempt| observed.is_retry(spread(&mut generator))).count();
    assert_eq!(retries, 0, "nothing was refused");
}

/// The same with a refusal from time to time, for example of a quarantined request, that makes retries
/// possible: at most 1 in 100 first attempts may count as one, however few were learned from.
#[test_case(35; "after few attempts")]
#[test_case(100; "after some")]
#[test_case(2_000; "after many")]
fn first_attempts_between_refusals_are_hardly_ever_retries(learned: usize) {
    for seed in 0..100 {
        let mut generator = Pcg64Mcg::seed_from_u64(seed);
        let mut observed = ObservedRoute::new();
        for _attempt in 0..learned {
            observed.is_retry(spread(&mut generator));
        }
        let retries = (0..2_000).filter(|_attempt| {
            observed.refuse("other", "s");
            observed.is_retry(spread(&mut generator))
        });
        let retries = retries.count();
        assert!(retries <= 20, "seed {seed}: {retries} of 2,000");
    }
}

/// Callers that state 8,000 ms, and callers that state from 4,000 ms.
#[test_case(&[8_000, 7_990], 7_900 => false; "a first attempt that was long in the network")]
#[test_case(&[8_000, 7_990], 6_900 => true; "a retry after a second")]
#[test_case(&[8_000, 6_000, 4_000], 5_300 => false; "a retry that may be a first attempt")]
#[test_case(&[8_000, 6_000, 4_000], 3_000 => true; "a retry of a caller that had little time")]
fn retry_is_identified_in_overload(first_attempts: &[u64], remaining: u64) -> bool {
    let mut observed = ObservedRoute::calm(first_attempts);
    observed.refuse("r", "s");
    observed.is_retry(remaining)
}

/// Guards against evidence that requires that this entry refused the very caller or one on its route:
/// callers retry mostly at another entry.
#[test_case("r", "s" => true; "of the same route and service")]
#[test_case("other", "s" => true; "of another route of the service")]
#[test_case("r", "canary" => true; "of the route at another of its services")]
#[test_case("other", "t" => false; "of another service")]
fn refusal_makes_retries_possible(route: &str, service: &str) -> bool {
    let mut observed = ObservedRoute::calm(&[8_000]);
    observed.refuse(route, service);
    observed.is_retry(6_000)
}

/// Callers retry within a third of 8,000 ms.
#[test_case(2_000 => true; "while callers retry")]
#[test_case(3_500 => false; "later")]
fn refusal_is_evidence_for_a_time(millis: u64) -> bool {
    let mut observed = ObservedRoute::calm(&[8_000]);
    observed.refuse("r", "s");
    observed.pass(millis);
    observed.is_retry(6_000)
}

#[test]
fn entry_that_refused_nobody_takes_every_request_for_a_first_attempt() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    assert!(!observed.is_retry(6_000));
}

/// Guards against retries that are learned as first attempts, after which none is identified any more:
/// those that arrive before this entry refuses the first request, and those that arrive after refusals.
#[test]
fn retries_are_not_learned_as_first_attempts() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    assert!(!observed.is_retry(5_500), "refused by another entry");
    observed.refuse("other", "s");
    for _retry in 0..10 {
        assert!(observed.is_retry(5_500));
        observed.refuse("r", "s");
    }
    observed.pass(10_000);
    for _attempt in 0..100 {
        observed.is_retry(8_000);
    }
    observed.refuse("r", "s");
    assert!(observed.is_retry(5_500));
}

/// The refusal is on another route, and no request of this one arrives while retries are possible.
#[test]
fn attempts_before_refusal_are_discarded_after_a_pause() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    assert!(!observed.is_retry(5_500));
    observed.refuse("other", "s");
    observed.pass(10_000);
    for _attempt in 0..100 {
        observed.is_retry(8_000);
    }
    observed.refuse("r", "s");
    assert!(observed.is_retry(5_500));
}

#[test]
fn callers_that_state_less_from_now_on_become_first_attempts() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    for _attempt in 0..100 {
        assert!(!observed.is_retry(5_000));
    }
    observed.refuse("r", "s");
    assert!(!observed.is_retry(5_000));
    // Callers that state little are forgotten as well.
    observed.pass(10_000);
    for _attempt in 0..1_200 {
        assert!(!observed.is_retry(8_000));
    }
    observed.refuse("r", "s");
    assert!(observed.is_retry(5_000));
}

#[test]
fn retries_are_not_distinguished_without_first_attempts() {
    let mut observed = ObservedRoute::new();
    for _attempt in 0..10 {
        observed.is_retry(8_000);
    }
    observed.refuse("r", "s");
    assert!(!observed.is_retry(5_000));
}

/// A process without a configuration refuses requests whose service it does not know.
#[test]
fn unrouted_refusal_makes_retries_possible_on_all_routes() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    observed.detector.record_unrouted_refusal(1_000, UnixMillis(observed.now));
    assert!(observed.is_retry(6_000));
    observed.pass(2_000);
    assert!(!observed.is_retry(6_000));
}

#[test]
fn request_without_remaining_time_is_no_retry() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    observed.refuse("r", "s");
    let attempt = ObservedRoute::attempt("r", &observed.service, None);
    assert!(!observed.detector.observe(attempt, UnixMillis(observed.now)));
}

/// Guards against unbounded memory, whatever routes come and go.
#[test]
fn number_of_routes_is_bounded() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    for index in 0..5_000 {
        observed.refuse(&format!("r{index}"), "s");
    }
    assert!(!observed.is_retry(5_400), "the route is forgotten");
}

/// Guards against unbounded memory, and against retries that are learned as first attempts because a
/// refusal was forgotten: with too many services, a refusal counts for all.
#[test]
fn number_of_services_is_bounded() {
    let mut observed = ObservedRoute::calm(&[8_000]);
    for index in 0..5_000 {
        observed.refuse("other", &format!("s{index}"));
    }
    assert!(observed.is_retry(5_400));
    observed.pass(10_000);
    assert!(!observed.is_retry(5_400), "later");
}
