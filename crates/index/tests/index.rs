//! Compares each structure with a simple implementation of the same operations, and bounds the work per operation.

use ravenhead_index::{Cursor, CursorLog, ExpiringMap, FirstFit, FirstFitByKind};

fn linear_search(slots: &[[i64; 3]], from: usize, need: &[i64; 3]) -> Option<usize> {
    (from..slots.len()).find(|i| {
        slots[*i]
            .iter()
            .zip(need)
            .all(|(available, needed)| available >= needed)
    })
}

#[test]
fn first_fit_agrees_with_a_linear_search() {
    let mut rng = fastrand::Rng::with_seed(1);
    for slots in [0, 1, 2, 3, 7, 8, 9, 100] {
        let mut expected_slots: Vec<[i64; 3]> = Vec::new();
        let mut tree = FirstFit::new(expected_slots.clone());
        for _ in 0..slots {
            let amounts = [rng.i64(-2..8), rng.i64(-2..8), rng.i64(-2..8)];
            expected_slots.push(amounts);
            tree.push(amounts);
        }
        assert_eq!((tree.len(), tree.is_empty()), (slots, slots == 0));
        for _ in 0..400 {
            if slots > 0 && rng.bool() {
                let slot = rng.usize(..slots);
                let amounts = [rng.i64(-2..8), rng.i64(-2..8), rng.i64(-2..8)];
                expected_slots[slot] = amounts;
                tree.set(slot, amounts);
            }
            let need = [rng.i64(-3..9), rng.i64(-3..9), rng.i64(-3..9)];
            let from = rng.usize(..slots + 2);
            let expected = linear_search(&expected_slots, from, &need);
            assert_eq!(
                tree.first_from(from, &need),
                expected,
                "{expected_slots:?} {need:?} {from}"
            );
        }
    }
}

// Prevents offer evaluation from taking time proportional to the number of machines times the number of jobs.
#[test]
fn placing_a_task_visits_logarithmically_many_nodes() {
    let machines = 4_200;
    let mut tree = FirstFit::new(vec![[24, 2, 96]; machines]);
    let need = [10, 1, 36];
    for task in 0..2 * machines {
        let slot = tree
            .first_from(0, &need)
            .expect("a machine with free resources");
        assert_eq!(slot, task / 2, "the lowest id with free resources");
        let remaining = if task % 2 == 0 {
            [14, 1, 60]
        } else {
            [4, 0, 24]
        };
        tree.set(slot, remaining);
    }
    assert_eq!(tree.first_from(0, &need), None);
    let per_task = tree.visited() / (2 * machines as u64);
    assert!(per_task <= 60, "{per_task} nodes per task");
}

#[test]
fn expired_entries_are_hidden_and_removed_within_two_lifetimes() {
    let mut map = ExpiringMap::new(10);
    assert_eq!(map.insert("a".to_owned(), 1, 100), None);
    assert_eq!(map.insert("a".to_owned(), 2, 110), Some(1));
    assert_eq!(map.get("a", 120), Some((110, &2)));
    assert_eq!(map.get("a", 121), None);
    assert_eq!(map.insert("b".to_owned(), 3, 121), None);
    assert_eq!(map.iter(121).collect::<Vec<_>>(), [(&"b".to_owned(), &3)]);
    assert_eq!(map.insert("a".to_owned(), 4, 131), None);
    map.insert("c".to_owned(), 5, 132);
    assert_eq!(map.stored_entries(), 2, "the sweep removed b");
}

// Prevents a sweep of all entries for every heartbeat once their number has reached a bound.
#[test]
fn repeated_heartbeats_keep_one_entry_per_machine() {
    let mut map = ExpiringMap::new(12_000);
    for round in 0..20u64 {
        for machine in 0..4_200u64 {
            map.insert(machine, (), round * 6_000 + machine);
        }
    }
    assert_eq!(map.stored_entries(), 4_200);
}

#[test]
fn each_cursor_reads_every_entry_once() {
    let mut log = CursorLog::default();
    let start = log.end();
    (0..10).for_each(|i| log.push(i));
    let mut read = Vec::new();
    let mut at = start;
    while at < log.end() {
        let (entries, next) = log.read(at, 3);
        read.extend(entries.copied());
        at = next;
    }
    assert_eq!(read, (0..10).collect::<Vec<_>>());
    log.drop_while(|i| *i < 4);
    log.push(10);
    let (rest, end) = log.read(at, 100);
    assert_eq!(rest.copied().collect::<Vec<i32>>(), [10]);
    assert_eq!(end, log.end());
    let (all, _) = log.read(Cursor::default(), 100);
    assert_eq!(
        all.copied().collect::<Vec<i32>>(),
        [4, 5, 6, 7, 8, 9, 10],
        "dropped entries are skipped"
    );
}

// Prevents a search from visiting every slot where full slots of the kind are mixed with free slots of another kind.
#[test]
fn search_for_one_kind_does_not_scan_slots_of_another() {
    type Index = FirstFitByKind<1, 2>;
    let slots = 4_096;
    // Kind 0 contains all slots, kind 1 every second slot.
    let mut free = vec![4; slots];
    let amounts = |free: &[i64], slot: usize, kind: usize| {
        if kind == 0 || slot % 2 == 1 {
            [free[slot]]
        } else {
            Index::ABSENT_AMOUNTS
        }
    };
    let mut index = Index::new(slots);
    for n in 0..slots / 2 {
        let found = index.first_from(1, 0, &[4], |slot| amounts(&free, slot, 1));
        assert_eq!(found, Some(2 * n + 1));
        free[2 * n + 1] = 0;
        index.set(2 * n + 1, |kind| amounts(&free, 2 * n + 1, kind));
    }
    assert_eq!(index.first_from(1, 0, &[4], |_| [0]), None);
    assert!(index.visited() < 40 * slots as u64, "{}", index.visited());
    assert_eq!(
        index.first_from(0, 1, &[4], |slot| amounts(&free, slot, 0)),
        Some(2)
    );
    free.push(9);
    index.push(|kind| amounts(&free, slots, kind));
    assert_eq!(index.first_from(0, 0, &[5], |_| [0]), Some(slots));
    assert_eq!(index.first_from(1, 0, &[5], |_| [0]), None);
}
