use super::Connections;
use crate::units::Micros;
use std::rc::Rc;

fn connections(max_sockets: usize) -> Rc<Connections> {
    Rc::new(Connections::with_limits(max_sockets, Micros::secs(2)))
}

// Guards against sockets that are gone for good, as the connections that had them are still counted.
#[test]
fn a_connection_counts_until_it_is_dropped() {
    let connections = connections(10);
    let open: Vec<_> = (0..8).map_while(|_| connections.accept()).collect();
    assert_eq!(open.len(), 8, "a fifth is kept back");
    assert!(connections.accept().is_none());
    drop(open);
    assert!(connections.accept().is_some());
}

#[test]
fn idle_limit_shrinks_where_socket_use_is_high() {
    let connections = connections(100);
    assert_eq!(connections.idle_limit(), Micros::secs(60));
    let _open: Vec<_> = (0..61).map_while(|_| connections.accept()).collect();
    assert!(connections.is_use_high() && !connections.is_limit_near());
    assert_eq!(connections.idle_limit(), Micros::secs(20));
}
