use super::ChangeLog;
use crate::store::ViewChange;

#[test]
fn changes_are_recorded_only_while_this_controller_leads() {
    let log = ChangeLog::default();
    assert!(!log.extend(vec![ViewChange::MachineTypes]));
    assert!(log.take().is_empty());
    log.record(true);
    assert!(!log.extend(Vec::new()), "no changes to take");
    assert!(log.extend(vec![ViewChange::MachineTypes]));
    assert_eq!(log.take(), [ViewChange::MachineTypes]);
    assert!(log.take().is_empty());
}

// A new leader must not apply contacts from before its term as if they were recent.
#[test]
fn new_leader_term_starts_without_changes_of_the_previous_term() {
    let log = ChangeLog::default();
    log.record(true);
    assert!(log.extend(vec![ViewChange::MachineTypes]));
    log.record(false);
    assert!(log.take().is_empty());
    log.record(true);
    assert!(log.take().is_empty());
}
