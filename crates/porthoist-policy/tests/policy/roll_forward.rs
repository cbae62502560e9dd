//! Tests of the roll-forward switch, order by order.

use porthoist_policy::roll_forward::{
    ArmedMap, EngineOrder, GroupEpoch, OrderSequence, RankView, RollForwardDriver, RollForwardRules,
};
use porthoist_policy::switch::{MapVersion, StepNumber};

const EPOCH: GroupEpoch = GroupEpoch(1);

fn view(step: u32) -> RankView {
    RankView {
        epoch: EPOCH,
        sequence: OrderSequence(0),
        step: StepNumber(step),
        map: MapVersion(0),
        prepared: None,
        armed: None,
        held: None,
        busy: false,
    }
}

/// A driver that has waited for old holds to expire, and its last reports.
fn ready_driver() -> (RollForwardDriver, Vec<RankView>) {
    let mut driver = RollForwardDriver::new(RollForwardRules::SOUND);
    assert!(!driver.can_begin(&[view(5), view(5)]), "an old hold may still come into force");
    let views = vec![view(7), view(7)];
    assert!(driver.can_begin(&views));
    (driver, views)
}

#[test]
fn switch_proceeds_after_each_confirmation() {
    let (mut driver, mut views) = ready_driver();
    let version = driver.begin(&views, MapVersion(40));
    assert_eq!(version, MapVersion(40));
    let prepare = EngineOrder::Prepare { epoch: EPOCH, version, sequence: OrderSequence(0) };
    assert_eq!(driver.next(&views), [(0, prepare), (1, prepare)]);
    views[0].prepared = Some(version);
    assert_eq!(driver.next(&views), [(1, prepare)], "repeated with the same condition until read back");
    views[1].prepared = Some(version);
    let armed = ArmedMap { version, step: StepNumber(9) };
    let hold = EngineOrder::Hold { epoch: EPOCH, step: armed.step };
    assert_eq!(driver.next(&views), [(0, hold)]);
    views[0].held = Some(armed.step);
    let arm = EngineOrder::Arm { epoch: EPOCH, armed };
    assert_eq!(driver.next(&views), [(0, arm), (1, arm)]);
    views[1].armed = Some(armed);
    assert_eq!(driver.next(&views), [(0, arm)]);
    views[0].armed = Some(armed);
    assert_eq!(driver.next(&views), [(0, EngineOrder::Go { epoch: EPOCH, step: armed.step })]);
    views[0].held = None;
    assert_eq!(driver.next(&views), []);
    for rank in &mut views {
        *rank = RankView { map: version, armed: None, prepared: None, ..view(9) };
    }
    assert_eq!(driver.next(&views), []);
    assert!(driver.can_begin(&views) && !driver.holding());
}

#[test]
fn late_hold_is_repeated_for_later_pass() {
    let (mut driver, mut views) = ready_driver();
    let version = driver.begin(&views, MapVersion(1));
    for rank in &mut views {
        rank.prepared = Some(version);
    }
    assert_eq!(driver.next(&views), [(0, EngineOrder::Hold { epoch: EPOCH, step: StepNumber(9) })]);
    for rank in &mut views {
        rank.step = StepNumber(9);
    }
    assert_eq!(driver.next(&views), [(0, EngineOrder::Hold { epoch: EPOCH, step: StepNumber(11) })]);
}

#[test]
fn new_driver_continues_from_existing_hold() {
    let armed = ArmedMap { version: MapVersion(3), step: StepNumber(8) };
    let mut views = vec![view(7), view(7), view(7)];
    for rank in &mut views {
        rank.prepared = Some(armed.version);
    }
    views[0].held = Some(armed.step);
    views[2].armed = Some(armed);
    let mut driver = RollForwardDriver::new(RollForwardRules::SOUND);
    assert!(!driver.can_begin(&views));
    let arm = EngineOrder::Arm { epoch: EPOCH, armed };
    assert_eq!(driver.next(&views), [(0, arm), (1, arm)]);
}

#[test]
fn new_formation_ends_switch() {
    let (mut driver, mut views) = ready_driver();
    driver.begin(&views, MapVersion(1));
    for rank in &mut views {
        rank.epoch = GroupEpoch(2);
    }
    assert_eq!(driver.next(&views), []);
    assert_eq!(driver.target(), None);
    views[0].epoch = GroupEpoch(3);
    assert_eq!(driver.next(&views), [], "ranks in different formations get nothing");
}

#[test]
fn version_skips_ahead_after_refusal() {
    let (mut driver, views) = ready_driver();
    let first = driver.begin(&views, MapVersion(1));
    driver.version_refused();
    let second = driver.begin(&views, MapVersion(1));
    assert!(second.0 > first.0 + 10, "{first:?} then {second:?}");
}
