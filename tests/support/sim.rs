//! Virtual time and an in-memory network for whole processes on one thread. The same seed gives the same run.

use super::wire;
use event_listener::Event;
use futures_lite::FutureExt;
use ravenhead::clock::{self, TimeSource};
use ravenhead::net::{self, Acceptor, Duplex, ReadMode, Stream, Transport};
use ravenhead::units::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::{Rc, Weak as RcWeak};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Poll, Wake, Waker};

/// A machine of any kind on the network.
pub type HostId = usize;
/// The host from which a scenario itself acts.
pub const SCENARIO: HostId = usize::MAX;
/// Hosts that run one routine of a user each are after this one.
const EXTERNAL_CLIENTS: HostId = 1_000_000;
/// The time of day at which every run begins.
const EPOCH: u64 = 1_800_000_000_000_000;

type Work = Pin<Box<dyn Future<Output = ()>>>;
type Executor = async_executor::LocalExecutor<'static>;

/// Whether a host's work was woken; the first to wake it puts the host among those that can go on.
struct Flag {
    host: HostId,
    woken: AtomicBool,
    ready: Arc<Mutex<Vec<HostId>>>,
}

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        if !self.woken.swap(true, Ordering::Relaxed) {
            self.ready.lock().expect("the hosts").push(self.host);
        }
    }
}

/// What runs on a host, until it is killed.
struct Life {
    work: Work,
    woken: Arc<Flag>,
    /// The executor of its routines, if it has any beside its work.
    ex: Option<Rc<Executor>>,
}

#[derive(Default)]
struct Host {
    life: Option<Life>,
    /// It is paused until then.
    still_until: u64,
    /// Microseconds that it was paused in all.
    still_for: u64,
}

/// Time, hosts and the network among them.
#[derive(Default)]
pub struct Sim {
    now: Cell<u64>,
    timers: RefCell<BTreeMap<(u64, u64), Waker>>,
    timers_made: Cell<u64>,
    current: Cell<HostId>,
    hosts: RefCell<BTreeMap<HostId, Host>>,
    /// Hosts whose work was woken.
    ready: Arc<Mutex<Vec<HostId>>>,
    /// Hosts with executors, of which nothing else tells that they can go on.
    with_executor: RefCell<BTreeSet<HostId>>,
    rng: RefCell<fastrand::Rng>,
    external_clients: Cell<usize>,
    /// Microseconds that a packet takes at least.
    pub latency: Cell<u64>,
    doors: RefCell<BTreeMap<SocketAddr, Rc<Door>>>,
    /// Ways on which nothing gets through for now.
    blocked: RefCell<BTreeSet<(HostId, HostId)>>,
    /// Ways on which new connections are refused.
    refusing: RefCell<BTreeSet<(HostId, HostId)>>,
    ways_changed: Event,
    pipes: RefCell<Vec<Weak<Pipe>>>,
    /// So many pipes are kept before it is looked which of them are gone.
    pipes_kept: Cell<usize>,
}

thread_local! {
    static SIM: RefCell<Option<Rc<Sim>>> = const { RefCell::new(None) };
}

fn sim() -> Rc<Sim> {
    SIM.with_borrow(|s| s.clone()).expect("a simulation")
}

impl Sim {
    /// A new simulation, by which this thread lives until it is dropped.
    pub fn new(seed: u64) -> Rc<Sim> {
        let made = Rc::new(Sim {
            current: Cell::new(SCENARIO),
            latency: Cell::new(500),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            ..Sim::default()
        });
        fastrand::seed(seed);
        SIM.set(Some(made.clone()));
        clock::use_time_source(Some(Rc::new(Handle(Rc::downgrade(&made)))));
        net::use_transport(Some(Rc::new(Handle(Rc::downgrade(&made)))));
        made
    }

    /// Microseconds since the beginning.
    pub fn now(&self) -> u64 {
        self.now.get()
    }

    /// A number from 0 to 1.
    pub fn chance(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    /// A number below `n`.
    pub fn below(&self, n: usize) -> usize {
        self.rng.borrow_mut().usize(..n.max(1))
    }

    /// Waits for some seconds.
    pub fn sleep(self: &Rc<Self>, seconds: f64) -> impl Future<Output = ()> + use<> {
        Sleep {
            sim: Rc::downgrade(self),
            at: self.now() + (seconds * 1e6) as u64,
            id: None,
        }
    }

    /// A host that nobody else is.
    pub fn next_client(&self) -> HostId {
        self.external_clients.set(self.external_clients.get() + 1);
        EXTERNAL_CLIENTS + self.external_clients.get()
    }

    /// Begins the life of a host.
    pub fn start<F: Future<Output = ()> + 'static>(
        &self,
        host: HostId,
        make: impl FnOnce(Rc<Executor>) -> F,
    ) {
        let ex = Rc::new(Executor::new());
        let before = self.current.replace(host);
        let work = Box::pin(make(ex.clone()));
        self.current.set(before);
        // Where nobody else holds the executor, nothing is spawned on it.
        let ex = (Rc::strong_count(&ex) > 1).then_some(ex);
        if ex.is_some() {
            self.with_executor.borrow_mut().insert(host);
        } else {
            self.with_executor.borrow_mut().remove(&host);
        }
        let woken = Arc::new(Flag {
            host,
            woken: AtomicBool::new(false),
            ready: self.ready.clone(),
        });
        woken.clone().wake();
        let life = Life { work, woken, ex };
        let mut hosts = self.hosts.borrow_mut();
        let entry = hosts.entry(host).or_default();
        entry.still_until = 0;
        let old = entry.life.replace(life);
        drop(hosts);
        drop(old);
    }

    /// Ends the life of a host with all its connections.
    pub fn kill(&self, host: HostId) {
        let life = self
            .hosts
            .borrow_mut()
            .get_mut(&host)
            .and_then(|h| h.life.take());
        let before = self.current.replace(host);
        drop(life);
        self.current.set(before);
        self.doors.borrow_mut().retain(|_, door| door.host != host);
    }

    /// Whether something runs on a host.
    pub fn lives(&self, host: HostId) -> bool {
        self.hosts
            .borrow()
            .get(&host)
            .is_some_and(|h| h.life.is_some())
    }

    /// Lets a host stand still while its clocks run on.
    pub fn stand_still(&self, host: HostId, seconds: f64) {
        if let Some(h) = self.hosts.borrow_mut().get_mut(&host) {
            let until = self.now() + (seconds * 1e6) as u64;
            h.still_for += until.saturating_sub(h.still_until.max(self.now()));
            h.still_until = until;
            let waker = match &h.life {
                Some(life) => Waker::from(life.woken.clone()),
                None => Waker::noop().clone(),
            };
            let id = self.next_timer();
            self.timers.borrow_mut().insert((until, id), waker);
        }
    }

    /// Microseconds that a host was paused in all.
    pub fn still_for(&self, host: HostId) -> u64 {
        self.hosts.borrow().get(&host).map_or(0, |h| h.still_for)
    }

    /// Blocks or opens a way; what was sent meanwhile is held and then delivered.
    pub fn block(&self, from: HostId, to: HostId, blocked: bool) {
        let mut ways = self.blocked.borrow_mut();
        if blocked {
            ways.insert((from, to));
            return;
        }
        ways.remove(&(from, to));
        drop(ways);
        self.wake_ways();
    }

    /// Refuses new connections on a way and resets those there are, or ends that.
    pub fn refuse(&self, from: HostId, to: HostId, refused: bool) {
        if !refused {
            self.refusing.borrow_mut().remove(&(from, to));
            return;
        }
        self.refusing.borrow_mut().insert((from, to));
        for pipe in self.open_pipes() {
            if (pipe.from, pipe.to) == (from, to) || (pipe.to, pipe.from) == (from, to) {
                pipe.change(|p| p.broken = true);
            }
        }
    }

    fn open_pipes(&self) -> Vec<Arc<Pipe>> {
        let mut pipes = self.pipes.borrow_mut();
        pipes.retain(|p| p.strong_count() > 0);
        pipes.iter().filter_map(Weak::upgrade).collect()
    }

    fn wake_ways(&self) {
        self.ways_changed.notify(usize::MAX);
        for pipe in self.open_pipes() {
            pipe.change(|_| ());
        }
    }

    fn next_timer(&self) -> u64 {
        self.timers_made.set(self.timers_made.get() + 1);
        self.timers_made.get()
    }

    /// Runs everything for some seconds.
    pub fn run(self: &Rc<Self>, seconds: f64) {
        let end = self.now() + (seconds * 1e6) as u64;
        loop {
            while self.step() {}
            let next = self.timers.borrow().keys().next().copied();
            match next {
                Some((at, _)) if at <= end => {
                    self.now.set(self.now().max(at));
                    let due: Vec<Waker> = {
                        let mut timers = self.timers.borrow_mut();
                        let later = timers.split_off(&(self.now() + 1, 0));
                        let due = std::mem::replace(&mut *timers, later);
                        due.into_values().collect()
                    };
                    due.into_iter().for_each(Waker::wake);
                }
                _ => {
                    self.now.set(end);
                    return;
                }
            }
        }
    }

    /// Polls what can go on; false if nothing can.
    fn step(&self) -> bool {
        let mut ids = std::mem::take(&mut *self.ready.lock().expect("the hosts"));
        ids.extend(self.with_executor.borrow().iter());
        ids.sort_unstable();
        ids.dedup();
        let mut went_on = false;
        for id in ids {
            let life = {
                let mut hosts = self.hosts.borrow_mut();
                let host = hosts.get_mut(&id);
                host.filter(|h| h.still_until <= self.now())
                    .and_then(|h| h.life.take())
            };
            let Some(mut life) = life else { continue };
            self.current.set(id);
            let mut over = false;
            if life.woken.woken.swap(false, Ordering::Relaxed) {
                went_on = true;
                let waker = Waker::from(life.woken.clone());
                over = life
                    .work
                    .as_mut()
                    .poll(&mut Context::from_waker(&waker))
                    .is_ready();
            }
            while life.ex.as_ref().is_some_and(|ex| ex.try_tick()) {
                went_on = true;
            }
            self.current.set(SCENARIO);
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.entry(id).or_default();
            if host.life.is_some() {
                continue;
            }
            if !over {
                host.life = Some(life);
            } else {
                hosts.remove(&id);
                self.with_executor.borrow_mut().remove(&id);
            }
        }
        went_on
    }
}

struct Handle(RcWeak<Sim>);

impl TimeSource for Handle {
    fn now(&self) -> Micros {
        Micros(self.0.upgrade().map_or(0, |s| s.now()))
    }

    fn unix_time(&self) -> u64 {
        EPOCH + self.0.upgrade().map_or(0, |s| s.now())
    }

    fn sleep_until(&self, at: Micros) -> Work {
        Box::pin(Sleep {
            sim: self.0.clone(),
            at: at.0,
            id: None,
        })
    }
}

struct Sleep {
    sim: RcWeak<Sim>,
    at: u64,
    id: Option<u64>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let Some(sim) = self.sim.upgrade() else {
            return Poll::Pending;
        };
        if sim.now() >= self.at {
            return Poll::Ready(());
        }
        let id = *self.id.get_or_insert_with(|| sim.next_timer());
        let waker = cx.waker().clone();
        sim.timers.borrow_mut().insert((self.at, id), waker);
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        if let (Some(sim), Some(id)) = (self.sim.upgrade(), self.id) {
            let old = sim.timers.borrow_mut().remove(&(self.at, id));
            drop(old);
        }
    }
}

/// One direction of a connection.
struct Pipe {
    from: HostId,
    to: HostId,
    state: Mutex<PipeState>,
}

#[derive(Default)]
struct PipeState {
    chunks: VecDeque<(u64, Vec<u8>)>,
    closed: bool,
    broken: bool,
    reader: Option<Waker>,
}

impl Pipe {
    fn new(from: HostId, to: HostId) -> Arc<Pipe> {
        let pipe = Arc::new(Pipe {
            from,
            to,
            state: Mutex::default(),
        });
        let sim = sim();
        if sim.pipes.borrow().len() >= sim.pipes_kept.get() {
            let open = sim.open_pipes().len();
            sim.pipes_kept.set(2 * open + 1_024);
        }
        sim.pipes.borrow_mut().push(Arc::downgrade(&pipe));
        pipe
    }

    fn change<T>(&self, change: impl FnOnce(&mut PipeState) -> T) -> T {
        let mut state = self.state.lock().expect("a pipe");
        let result = change(&mut state);
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
        result
    }
}

/// One end of a connection.
struct End {
    input: Arc<Pipe>,
    output: Arc<Pipe>,
}

impl Duplex for End {
    fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
        mode: ReadMode,
    ) -> Poll<io::Result<usize>> {
        let sim = sim();
        let mut state = self.input.state.lock().expect("a pipe");
        if state.broken {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let way = (self.input.from, self.input.to);
        if sim.blocked.borrow().contains(&way) {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let closed = state.closed;
        match state.chunks.front_mut() {
            Some((at, _)) if *at > sim.now() => {
                let id = sim.next_timer();
                let waker = cx.waker().clone();
                sim.timers.borrow_mut().insert((*at, id), waker);
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
            Some((_, bytes)) => {
                let n = bytes.len().min(buf.len());
                buf[..n].copy_from_slice(&bytes[..n]);
                if mode == ReadMode::Consume {
                    bytes.drain(..n);
                    if bytes.is_empty() {
                        state.chunks.pop_front();
                    }
                }
                Poll::Ready(Ok(n))
            }
            None if closed => Poll::Ready(Ok(0)),
            None => {
                state.reader = Some(cx.waker().clone());
                Poll::Pending
            }
        }
    }

    fn poll_write(&self, _: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let sim = sim();
        let least = sim.latency.get();
        let at = sim.now() + least + sim.below(least as usize) as u64;
        let good = self.output.change(|p| {
            if p.broken || p.closed {
                return false;
            }
            let at = p.chunks.back().map_or(at, |(last, _)| at.max(*last));
            p.chunks.push_back((at, buf.to_vec()));
            true
        });
        wire::note(sim.now(), self.output.from, self.output.to, buf);
        Poll::Ready(if good {
            Ok(buf.len())
        } else {
            Err(io::ErrorKind::BrokenPipe.into())
        })
    }

    fn close(&self) {
        self.output.change(|p| p.closed = true);
    }
}

impl Drop for End {
    fn drop(&mut self) {
        self.close();
        self.input.change(|p| p.closed = true);
    }
}

/// Where connections to an address come in.
struct Door {
    host: HostId,
    waiting: RefCell<VecDeque<(HostId, Stream)>>,
    knock: Event,
}

/// Accepts connections and tells from which host they come.
pub struct Entrance {
    at: SocketAddr,
    door: Rc<Door>,
}

impl Entrance {
    /// Listens on the host that runs now.
    pub fn open(at: SocketAddr) -> Entrance {
        let sim = sim();
        let door = Rc::new(Door {
            host: sim.current.get(),
            waiting: RefCell::default(),
            knock: Event::new(),
        });
        sim.doors.borrow_mut().insert(at, door.clone());
        Entrance { at, door }
    }

    /// The next connection.
    pub async fn next(&self) -> (HostId, Stream) {
        loop {
            let knock = self.door.knock.listen();
            if let Some(came) = self.door.waiting.borrow_mut().pop_front() {
                return came;
            }
            knock.await;
        }
    }
}

impl Drop for Entrance {
    fn drop(&mut self) {
        let sim = sim();
        let mut doors = sim.doors.borrow_mut();
        if doors
            .get(&self.at)
            .is_some_and(|d| Rc::ptr_eq(d, &self.door))
        {
            doors.remove(&self.at);
        }
    }
}

impl Acceptor for Entrance {
    fn accept(&self) -> Pin<Box<dyn Future<Output = io::Result<Stream>> + '_>> {
        Box::pin(async { Ok(self.next().await.1) })
    }
}

impl Transport for Handle {
    fn connect(&self, to: SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<Stream>>>> {
        let sim = self.0.upgrade().expect("a simulation");
        let from = sim.current.get();
        Box::pin(async move {
            loop {
                let changed = sim.ways_changed.listen();
                let host = sim.doors.borrow().get(&to).map(|d| d.host);
                let Some(host) = host else {
                    sim.sleep(0.001).await;
                    return Err(io::ErrorKind::ConnectionRefused.into());
                };
                if sim.refusing.borrow().contains(&(from, host)) {
                    return Err(io::ErrorKind::ConnectionRefused.into());
                }
                if !sim.blocked.borrow().contains(&(from, host)) {
                    break;
                }
                changed.await;
            }
            sim.sleep(0.001).await;
            let Some(door) = sim.doors.borrow().get(&to).cloned() else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let (there, back) = (Pipe::new(from, door.host), Pipe::new(door.host, from));
            let far = End {
                input: there.clone(),
                output: back.clone(),
            };
            let near = End {
                input: back,
                output: there,
            };
            let far = Stream::Substitute(Arc::new(far));
            door.waiting.borrow_mut().push_back((from, far));
            door.knock.notify(usize::MAX);
            Ok(Stream::Substitute(Arc::new(near)))
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Acceptor>> {
        Ok(Box::new(Entrance::open(at)))
    }
}

/// Runs `work` for some seconds at the most.
pub async fn within<T>(sim: &Rc<Sim>, seconds: f64, work: impl Future<Output = T>) -> Option<T> {
    let end = sim.sleep(seconds);
    async { Some(work.await) }
        .or(async {
            end.await;
            None
        })
        .await
}
