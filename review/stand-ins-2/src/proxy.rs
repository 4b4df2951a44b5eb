//! A TCP proxy for one link. While the link is cut, it holds back what it gets and delivers it in order afterwards.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Link {
    pub addr: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Link {
            addr: listener.local_addr().expect("its address"),
            cut: Arc::new(AtomicBool::new(false)),
        };
        let cut = link.cut.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let cut = cut.clone();
                thread::spawn(move || carry(client, to, cut));
            }
        });
        link
    }

    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn hold(cut: &AtomicBool) {
    while cut.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(5));
    }
}

fn carry(client: TcpStream, to: SocketAddr, cut: Arc<AtomicBool>) {
    // A connection attempt that was given up during the cut does not complete later.
    if cut.load(Ordering::SeqCst) {
        hold(&cut);
        let _ = client.set_nonblocking(true);
        let given_up = matches!(client.peek(&mut [0]), Ok(0));
        let _ = client.set_nonblocking(false);
        if given_up {
            return;
        }
    }
    let Ok(server) = TcpStream::connect(to) else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (Ok(client_2), Ok(server_2)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let cut_2 = cut.clone();
    thread::spawn(move || pump(client_2, server_2, &cut_2));
    pump(server, client, &cut);
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buf = [0u8; 16 * 1024];
    loop {
        let n = from.read(&mut buf).unwrap_or(0);
        hold(cut);
        if n == 0 || to.write_all(&buf[..n]).is_err() {
            let _ = to.shutdown(Shutdown::Write);
            let _ = from.shutdown(Shutdown::Read);
            return;
        }
    }
}
