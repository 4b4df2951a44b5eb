//! Each structure against a plain one that does the same the slow way, and bounds on the work.

use ravenhead_index::{Cursor, CursorLog, ExpiringMap, FirstFit, FirstFitByKind};

fn slow_first(slots: &[[i64; 3]], from: usize, need: &[i64; 3]) -> Option<usize> {
    (from..slots.len()).find(|i| slots[*i].iter().zip(need).all(|(has, n)| has >= n))
}

#[test]
fn first_fit_finds_what_a_plain_search_finds() {
    let mut rng = fastrand::Rng::with_seed(1);
    for slots in [0, 1, 2, 3, 7, 8, 9, 100] {
        let mut plain: Vec<[i64; 3]> = Vec::new();
        let mut tree = FirstFit::new(plain.clone());
        for _ in 0..slots {
            let amounts = [rng.i64(-2..8), rng.i64(-2..8), rng.i64(-2..8)];
            plain.push(amounts);
            tree.push(amounts);
        }
        assert_eq!((tree.len(), tree.is_empty()), (slots, slots == 0));
        for _ in 0..400 {
            if slots > 0 && rng.bool() {
                let slot = rng.usize(..slots);
                let amounts = [rng.i64(-2..8), rng.i64(-2..8), rng.i64(-2..8)];
                plain[slot] = amounts;
                tree.set(slot, amounts);
            }
            let need = [rng.i64(-3..9), rng.i64(-3..9), rng.i64(-3..9)];
            let from = rng.usize(..slots + 2);
            let expected = slow_first(&plain, from, &need);
            assert_eq!(
                tree.first_from(from, &need),
                expected,
                "{plain:?} {need:?} {from}"
            );
        }
    }
}

// Guards against offers whose work follows machines times jobs.
#[test]
fn placing_a_fleets_worth_of_tasks_costs_a_logarithm_each() {
    let machines = 4_200;
    let mut tree = FirstFit::new(vec![[24, 2, 96]; machines]);
    let need = [10, 1, 36];
    for task in 0..2 * machines {
        let slot = tree.first_from(0, &need).expect("room");
        assert_eq!(slot, task / 2, "the lowest id with room");
        let left = if task % 2 == 0 {
            [14, 1, 60]
        } else {
            [4, 0, 24]
        };
        tree.set(slot, left);
    }
    assert_eq!(tree.first_from(0, &need), None);
    let per_task = tree.visited() / (2 * machines as u64);
    assert!(per_task <= 60, "{per_task} nodes a task");
}

#[test]
fn expired_entries_are_not_returned_and_go_within_two_lifetimes() {
    let mut map = ExpiringMap::new(10);
    assert_eq!(map.insert("a".to_owned(), 1, 100), None);
    assert_eq!(map.insert("a".to_owned(), 2, 110), Some(1));
    assert_eq!(map.get("a", 120), Some((110, &2)));
    assert_eq!(map.get("a", 121), None);
    assert_eq!(map.insert("b".to_owned(), 3, 121), None);
    assert_eq!(map.iter(121).collect::<Vec<_>>(), [(&"b".to_owned(), &3)]);
    assert_eq!(map.insert("a".to_owned(), 4, 131), None);
    map.insert("c".to_owned(), 5, 132);
    assert_eq!(map.held(), 2, "b went with the sweep");
}

// Guards against a sweep of all entries for every heartbeat once a bound on their number is reached.
#[test]
fn a_fleet_that_reports_again_and_again_keeps_one_entry_a_machine() {
    let mut map = ExpiringMap::new(12_000);
    for round in 0..20u64 {
        for machine in 0..4_200u64 {
            map.insert(machine, (), round * 6_000 + machine);
        }
    }
    assert_eq!(map.held(), 4_200);
}

#[test]
fn every_reader_of_a_log_gets_every_entry_once() {
    let mut log = CursorLog::default();
    let late = log.end();
    (0..10).for_each(|i| log.push(i));
    let mut read = Vec::new();
    let mut at = late;
    while at < log.end() {
        let (some, next) = log.read(at, 3);
        read.extend(some.copied());
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
        "what was dropped is skipped"
    );
}

// Guards against a search that looks at every slot, as full ones of the kind stand beside free ones of the other.
#[test]
fn a_kind_is_searched_without_looking_at_the_other() {
    type Index = FirstFitByKind<1, 2>;
    let slots = 4_096;
    // Kind 0 has all slots, kind 1 every second one.
    let mut free = vec![4; slots];
    let amounts = |free: &[i64], slot: usize, kind: usize| {
        if kind == 0 || slot % 2 == 1 {
            [free[slot]]
        } else {
            Index::ABSENT_KEY
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
