use super::ChangeLog;
use crate::store::ViewChange;

#[test]
fn changes_are_recorded_only_while_this_controller_leads() {
    let log = ChangeLog::default();
    assert!(!log.extend(vec![ViewChange::MachineTypes]));
    assert!(log.take().is_empty());
    log.record(true);
    assert!(!log.extend(Vec::new()), "nothing to take");
    assert!(log.extend(vec![ViewChange::MachineTypes]));
    assert_eq!(log.take(), [ViewChange::MachineTypes]);
    assert!(log.take().is_empty());
}

// Guards against a new leader taking contacts from before its term for new ones.
#[test]
fn a_new_term_begins_without_the_changes_of_the_last() {
    let log = ChangeLog::default();
    log.record(true);
    assert!(log.extend(vec![ViewChange::MachineTypes]));
    log.record(false);
    assert!(log.take().is_empty());
    log.record(true);
    assert!(log.take().is_empty());
}
