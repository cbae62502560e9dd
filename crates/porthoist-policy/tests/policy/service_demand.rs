//! Measuring and adding the demand on a service.

use porthoist_core::{RequestRate, UnixMillis};
use porthoist_policy::proxy::demand::{DemandMeter, LevelDemand, PriorityLevel, ServiceDemand};
use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const LEVEL: PriorityLevel = PriorityLevel(1);

/// Records requests at random times, `per_second` of them on average; returns the mean measured rate.
fn measure(meter: &mut DemandMeter, per_second: f64, from: u64, until: u64, random: &mut Pcg64Mcg) -> f64 {
    let mut sum = 0.0;
    for now in (from..until).map(UnixMillis) {
        if random.random_bool(per_second / 1_000.0) {
            meter.record_asked(LEVEL, now);
        }
        sum += meter.demand(now).asked(LEVEL).0;
    }
    sum / (until - from) as f64
}

/// Guards against an estimate whose mean is too high: an entry with few requests would get too large a share.
#[test_case(0.4; "an entry out of hundreds")]
#[test_case(2.5; "an entry out of tens")]
#[test_case(90.0; "the only entry")]
fn constant_rate_is_measured(per_second: f64) {
    let mut meter = DemandMeter::default();
    let mut random = Pcg64Mcg::seed_from_u64(7);
    measure(&mut meter, per_second, 0, 5_000, &mut random);
    let mean = measure(&mut meter, per_second, 5_000, 1_000_000, &mut random);
    assert!((0.9..1.25).contains(&(mean / per_second)), "{mean} of {per_second}");
}

/// Guards against a measure that follows a burst of a few seconds only when it is nearly over. The mean over a
/// second alone has risen by 0.18 of the difference after 200 ms.
#[test]
fn measured_rate_rises_within_200_ms() {
    let mut meter = DemandMeter::default();
    for now in (0..3_000).step_by(10) {
        meter.record_asked(LEVEL, UnixMillis(now));
    }
    for now in (3_000..3_200).step_by(4) {
        meter.record_asked(LEVEL, UnixMillis(now));
    }
    let rate = meter.demand(UnixMillis(3_200)).asked(LEVEL).0;
    assert!((150.0..260.0).contains(&rate), "{rate} after a rise from 100 to 250");
}

/// An entry with a request every 400 ms keeps most of its share between two of them.
#[test]
fn measured_rate_lasts_between_requests() {
    let mut meter = DemandMeter::default();
    for now in (0..=4_000).step_by(400) {
        meter.record_asked(LEVEL, UnixMillis(now));
    }
    let rate = meter.demand(UnixMillis(4_399)).asked(LEVEL).0;
    assert!(rate > 1.8, "{rate} of 2.5");
    assert!(meter.demand(UnixMillis(9_000)).asked(LEVEL).0 < 0.1, "it ends with the requests");
}

#[test]
fn demands_are_added_by_priority() {
    let demand = |levels: &[(u8, f64, u32)]| ServiceDemand {
        levels: levels
            .iter()
            .map(|(level, asked, running)| {
                (PriorityLevel(*level), LevelDemand { asked: RequestRate(*asked), running: *running })
            })
            .collect(),
        entries: 1,
    };
    let mut sum = demand(&[(0, 2.0, 3), (1, 1.0, 0)]);
    sum.add(&demand(&[(1, 0.5, 2), (2, 4.0, 1)]));
    let expected = ServiceDemand { entries: 2, ..demand(&[(0, 2.0, 3), (1, 1.5, 2), (2, 4.0, 1)]) };
    assert_eq!(sum, expected);
    assert_eq!(sum.total_asked(), RequestRate(7.5));
}
