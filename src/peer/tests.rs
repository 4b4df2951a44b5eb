use super::*;
use crate::net::Listener;
use futures_lite::future;

// Guards against what cost two hundred live machines on a quiet day: the other side had closed a connection that
// was idle, the next report met its end, and the controller was taken to be out of reach.
#[test]
fn a_kept_connection_that_has_ended_is_no_failure() {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let peer = Peer::new("n-1".into(), listener.local_addr().unwrap());
        let server = async {
            for _ in 0..2 {
                let mut stream = listener.accept().await.unwrap();
                let request: Frame<Request> = read_frame(&mut stream).await.unwrap();
                let reply = Frame {
                    known: request.known,
                    message: Reply::Pong,
                };
                write_frame(&mut stream, &reply).await.unwrap();
                // The connection ends here, though the asking side keeps it.
            }
        };
        let asking = async {
            for _ in 0..2 {
                let limit = Micros::secs(30);
                let ping = Request::Ping {
                    cancelled: Vec::new(),
                    gone: Vec::new(),
                };
                let reply = peer.call(Knowledge::default(), ping, limit).await;
                assert_eq!(reply.expect("a reply").message, Reply::Pong);
            }
        };
        future::zip(server, asking).await;
    });
}
