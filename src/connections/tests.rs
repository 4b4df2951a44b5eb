use super::Connections;
use crate::units::Micros;
use std::rc::Rc;

fn connections(max_sockets: usize) -> Rc<Connections> {
    Rc::new(Connections::with_limits(max_sockets, Micros::secs(2)))
}

// Guards against a leak in the count: connections that are still counted after they were closed would use up the limit
// for good.
#[test]
fn connection_counts_against_limit_until_dropped() {
    let connections = connections(10);
    let open: Vec<_> = (0..8).map_while(|_| connections.accept()).collect();
    assert_eq!(open.len(), 8, "a fifth of the sockets is reserved");
    assert!(connections.accept().is_none());
    drop(open);
    assert!(connections.accept().is_some());
}

#[test]
fn idle_limit_shrinks_at_high_socket_use() {
    let connections = connections(100);
    assert_eq!(connections.idle_limit(), Micros::secs(60));
    let _open: Vec<_> = (0..61).map_while(|_| connections.accept()).collect();
    assert!(connections.is_use_high() && !connections.is_limit_near());
    assert_eq!(connections.idle_limit(), Micros::secs(20));
}
