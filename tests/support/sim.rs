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

/// Identifier of a host on the simulated network: a controller, a machine, a service or a client.
pub type HostId = usize;
/// Host that is current while the scenario's own code runs.
pub const SCENARIO: HostId = usize::MAX;
/// External clients, for users and for duplicates of heartbeats, are hosts with numbers above this one.
const EXTERNAL_CLIENTS: HostId = 1_000_000;
/// Wall-clock time at the start of every run, in microseconds since the Unix epoch.
const EPOCH: u64 = 1_800_000_000_000_000;

type BoxedFuture = Pin<Box<dyn Future<Output = ()>>>;
type Executor = async_executor::LocalExecutor<'static>;

/// Waker of a host's main future. The first wake-up adds the host to the list of hosts to poll.
struct HostWaker {
    host: HostId,
    woken: AtomicBool,
    ready: Arc<Mutex<Vec<HostId>>>,
}

impl Wake for HostWaker {
    fn wake(self: Arc<Self>) {
        if !self.woken.swap(true, Ordering::Relaxed) {
            self.ready
                .lock()
                .expect("the lock is not poisoned")
                .push(self.host);
        }
    }
}

/// The process that runs on a host until it completes or is killed.
struct Process {
    main: BoxedFuture,
    waker: Arc<HostWaker>,
    /// Executor of the tasks that the main future spawns. `None` if it spawns none.
    executor: Option<Rc<Executor>>,
}

#[derive(Default)]
struct Host {
    process: Option<Process>,
    /// Virtual time in microseconds until which the process is paused.
    paused_until: u64,
    /// Total time in microseconds for which the host has been paused.
    total_pause: u64,
}

/// A simulation: the virtual clock, the hosts, and the network between them.
#[derive(Default)]
pub struct Sim {
    now: Cell<u64>,
    timers: RefCell<BTreeMap<(u64, u64), Waker>>,
    timers_made: Cell<u64>,
    current: Cell<HostId>,
    hosts: RefCell<BTreeMap<HostId, Host>>,
    /// Hosts whose main future has been woken.
    ready: Arc<Mutex<Vec<HostId>>>,
    /// Hosts with an executor. They are polled in each step, as an executor's wake-ups are not reported to the
    /// simulation.
    hosts_with_executor: RefCell<BTreeSet<HostId>>,
    rng: RefCell<fastrand::Rng>,
    external_clients: Cell<usize>,
    /// Minimum network latency in microseconds. Each write takes one to two times as long.
    pub latency: Cell<u64>,
    accept_queues: RefCell<BTreeMap<SocketAddr, Rc<AcceptQueue>>>,
    /// Links (sender, receiver) that deliver nothing at present.
    blocked: RefCell<BTreeSet<(HostId, HostId)>>,
    /// Links (client, server) on which new connections are refused.
    refusing: RefCell<BTreeSet<(HostId, HostId)>>,
    links_changed: Event,
    pipes: RefCell<Vec<Weak<Pipe>>>,
    /// Number of stored pipes at which those that have been dropped are removed from the list.
    pipe_sweep_threshold: Cell<usize>,
}

thread_local! {
    static SIM: RefCell<Option<Rc<Sim>>> = const { RefCell::new(None) };
}

fn sim() -> Rc<Sim> {
    SIM.with_borrow(|s| s.clone())
        .expect("a simulation is installed")
}

impl Sim {
    /// Creates a simulation and installs it as the clock and the network of this thread.
    pub fn new(seed: u64) -> Rc<Sim> {
        let sim = Rc::new(Sim {
            current: Cell::new(SCENARIO),
            latency: Cell::new(500),
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            ..Sim::default()
        });
        fastrand::seed(seed);
        SIM.set(Some(sim.clone()));
        clock::use_time_source(Some(Rc::new(SimHandle(Rc::downgrade(&sim)))));
        net::use_transport(Some(Rc::new(SimHandle(Rc::downgrade(&sim)))));
        sim
    }

    /// Returns the microseconds since the start of the simulation.
    pub fn now(&self) -> u64 {
        self.now.get()
    }

    /// Returns a random number from 0 to 1.
    pub fn random(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    /// Returns a random integer below `n`, or 0 if `n` is 0.
    pub fn random_below(&self, n: usize) -> usize {
        self.rng.borrow_mut().usize(..n.max(1))
    }

    /// Waits for `seconds` of virtual time.
    pub fn sleep(self: &Rc<Self>, seconds: f64) -> impl Future<Output = ()> + use<> {
        Sleep {
            sim: Rc::downgrade(self),
            at: self.now() + (seconds * 1e6) as u64,
            id: None,
        }
    }

    /// Returns an unused host id for a client.
    pub fn next_client(&self) -> HostId {
        self.external_clients.set(self.external_clients.get() + 1);
        EXTERNAL_CLIENTS + self.external_clients.get()
    }

    /// Starts a process on a host and replaces the one that runs there.
    pub fn start<F: Future<Output = ()> + 'static>(
        &self,
        host: HostId,
        make: impl FnOnce(Rc<Executor>) -> F,
    ) {
        let executor = Rc::new(Executor::new());
        let previous = self.current.replace(host);
        let main = Box::pin(make(executor.clone()));
        self.current.set(previous);
        // If the future did not keep the executor, nothing can be spawned on it.
        let executor = (Rc::strong_count(&executor) > 1).then_some(executor);
        if executor.is_some() {
            self.hosts_with_executor.borrow_mut().insert(host);
        } else {
            self.hosts_with_executor.borrow_mut().remove(&host);
        }
        let waker = Arc::new(HostWaker {
            host,
            woken: AtomicBool::new(false),
            ready: self.ready.clone(),
        });
        waker.clone().wake();
        let process = Process {
            main,
            waker,
            executor,
        };
        let mut hosts = self.hosts.borrow_mut();
        let entry = hosts.entry(host).or_default();
        entry.paused_until = 0;
        let old = entry.process.replace(process);
        drop(hosts);
        drop(old);
    }

    /// Kills the process on a host and closes its connections and listeners.
    pub fn kill(&self, host: HostId) {
        let process = self
            .hosts
            .borrow_mut()
            .get_mut(&host)
            .and_then(|h| h.process.take());
        let previous = self.current.replace(host);
        drop(process);
        self.current.set(previous);
        self.accept_queues
            .borrow_mut()
            .retain(|_, queue| queue.host != host);
    }

    /// Returns whether a process runs on a host.
    pub fn is_running(&self, host: HostId) -> bool {
        self.hosts
            .borrow()
            .get(&host)
            .is_some_and(|h| h.process.is_some())
    }

    /// Pauses a host's process for `seconds` while its clocks continue.
    pub fn pause(&self, host: HostId, seconds: f64) {
        if let Some(h) = self.hosts.borrow_mut().get_mut(&host) {
            let until = self.now() + (seconds * 1e6) as u64;
            h.total_pause += until.saturating_sub(h.paused_until.max(self.now()));
            h.paused_until = until;
            let waker = match &h.process {
                Some(process) => Waker::from(process.waker.clone()),
                None => Waker::noop().clone(),
            };
            let id = self.next_timer();
            self.timers.borrow_mut().insert((until, id), waker);
        }
    }

    /// Returns the total time in microseconds for which a host has been paused.
    pub fn total_pause(&self, host: HostId) -> u64 {
        self.hosts.borrow().get(&host).map_or(0, |h| h.total_pause)
    }

    /// Returns whether a host is paused.
    pub fn is_paused(&self, host: HostId) -> bool {
        let hosts = self.hosts.borrow();
        hosts
            .get(&host)
            .is_some_and(|h| h.paused_until > self.now())
    }

    /// Blocks or reopens a link in one direction. Data sent while it is blocked is delivered once it reopens.
    pub fn block(&self, from: HostId, to: HostId, blocked: bool) {
        let mut blocked_links = self.blocked.borrow_mut();
        if blocked {
            blocked_links.insert((from, to));
            return;
        }
        blocked_links.remove(&(from, to));
        drop(blocked_links);
        self.wake_links();
    }

    /// Refuses new connections on a link and resets the existing ones, or accepts new connections again.
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

    fn wake_links(&self) {
        self.links_changed.notify(usize::MAX);
        for pipe in self.open_pipes() {
            pipe.change(|_| ());
        }
    }

    fn next_timer(&self) -> u64 {
        self.timers_made.set(self.timers_made.get() + 1);
        self.timers_made.get()
    }

    /// Runs all hosts for `seconds` of virtual time.
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

    /// Polls each host that can make progress. Returns whether any did.
    fn step(&self) -> bool {
        let mut ids = std::mem::take(&mut *self.ready.lock().expect("the lock is not poisoned"));
        ids.extend(self.hosts_with_executor.borrow().iter());
        ids.sort_unstable();
        ids.dedup();
        let mut progressed = false;
        for id in ids {
            let process = {
                let mut hosts = self.hosts.borrow_mut();
                let host = hosts.get_mut(&id);
                host.filter(|h| h.paused_until <= self.now())
                    .and_then(|h| h.process.take())
            };
            let Some(mut process) = process else { continue };
            self.current.set(id);
            let mut finished = false;
            if process.waker.woken.swap(false, Ordering::Relaxed) {
                progressed = true;
                let waker = Waker::from(process.waker.clone());
                finished = process
                    .main
                    .as_mut()
                    .poll(&mut Context::from_waker(&waker))
                    .is_ready();
            }
            while process
                .executor
                .as_ref()
                .is_some_and(|executor| executor.try_tick())
            {
                progressed = true;
            }
            self.current.set(SCENARIO);
            let mut hosts = self.hosts.borrow_mut();
            let host = hosts.entry(id).or_default();
            if host.process.is_some() {
                continue;
            }
            if !finished {
                host.process = Some(process);
            } else {
                hosts.remove(&id);
                self.hosts_with_executor.borrow_mut().remove(&id);
            }
        }
        progressed
    }
}

struct SimHandle(RcWeak<Sim>);

impl TimeSource for SimHandle {
    fn now(&self) -> Micros {
        Micros(self.0.upgrade().map_or(0, |s| s.now()))
    }

    fn unix_time(&self) -> u64 {
        EPOCH + self.0.upgrade().map_or(0, |s| s.now())
    }

    fn sleep_until(&self, at: Micros) -> BoxedFuture {
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
        if sim.pipes.borrow().len() >= sim.pipe_sweep_threshold.get() {
            let open = sim.open_pipes().len();
            sim.pipe_sweep_threshold.set(2 * open + 1_024);
        }
        sim.pipes.borrow_mut().push(Arc::downgrade(&pipe));
        pipe
    }

    fn change<T>(&self, change: impl FnOnce(&mut PipeState) -> T) -> T {
        let mut state = self.state.lock().expect("the lock is not poisoned");
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
struct Endpoint {
    input: Arc<Pipe>,
    output: Arc<Pipe>,
}

impl Duplex for Endpoint {
    fn poll_read(
        &self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
        mode: ReadMode,
    ) -> Poll<io::Result<usize>> {
        let sim = sim();
        let mut state = self.input.state.lock().expect("the lock is not poisoned");
        if state.broken {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        let link = (self.input.from, self.input.to);
        if sim.blocked.borrow().contains(&link) {
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
        let min_latency = sim.latency.get();
        let deliver_at = sim.now() + min_latency + sim.random_below(min_latency as usize) as u64;
        let accepted = self.output.change(|p| {
            if p.broken || p.closed {
                return false;
            }
            let deliver_at = p
                .chunks
                .back()
                .map_or(deliver_at, |(last, _)| deliver_at.max(*last));
            p.chunks.push_back((deliver_at, buf.to_vec()));
            true
        });
        wire::record_write(sim.now(), self.output.from, self.output.to, buf);
        Poll::Ready(if accepted {
            Ok(buf.len())
        } else {
            Err(io::ErrorKind::BrokenPipe.into())
        })
    }

    fn close(&self) {
        self.output.change(|p| p.closed = true);
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.close();
        self.input.change(|p| p.closed = true);
    }
}

/// Accept queue of a listening address.
struct AcceptQueue {
    host: HostId,
    pending: RefCell<VecDeque<(HostId, Stream)>>,
    arrival: Event,
}

/// A listener on the simulated network that also reports the client's host.
pub struct SimListener {
    at: SocketAddr,
    queue: Rc<AcceptQueue>,
}

impl SimListener {
    /// Binds `at` on the host that is currently being polled.
    pub fn bind(at: SocketAddr) -> SimListener {
        let sim = sim();
        let queue = Rc::new(AcceptQueue {
            host: sim.current.get(),
            pending: RefCell::default(),
            arrival: Event::new(),
        });
        sim.accept_queues.borrow_mut().insert(at, queue.clone());
        SimListener { at, queue }
    }

    /// Accepts the next connection and returns it with the client's host.
    pub async fn accept_with_peer(&self) -> (HostId, Stream) {
        loop {
            let arrival = self.queue.arrival.listen();
            if let Some(connection) = self.queue.pending.borrow_mut().pop_front() {
                return connection;
            }
            arrival.await;
        }
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let sim = sim();
        let mut accept_queues = sim.accept_queues.borrow_mut();
        if accept_queues
            .get(&self.at)
            .is_some_and(|q| Rc::ptr_eq(q, &self.queue))
        {
            accept_queues.remove(&self.at);
        }
    }
}

impl Acceptor for SimListener {
    fn accept(&self) -> Pin<Box<dyn Future<Output = io::Result<Stream>> + '_>> {
        Box::pin(async { Ok(self.accept_with_peer().await.1) })
    }
}

impl Transport for SimHandle {
    fn connect(&self, to: SocketAddr) -> Pin<Box<dyn Future<Output = io::Result<Stream>>>> {
        let sim = self.0.upgrade().expect("a simulation is installed");
        let from = sim.current.get();
        Box::pin(async move {
            loop {
                let changed = sim.links_changed.listen();
                let host = sim.accept_queues.borrow().get(&to).map(|q| q.host);
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
            let Some(queue) = sim.accept_queues.borrow().get(&to).cloned() else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let (outbound, inbound) = (Pipe::new(from, queue.host), Pipe::new(queue.host, from));
            let server_end = Endpoint {
                input: outbound.clone(),
                output: inbound.clone(),
            };
            let client_end = Endpoint {
                input: inbound,
                output: outbound,
            };
            let server_end = Stream::Substitute(Arc::new(server_end));
            queue.pending.borrow_mut().push_back((from, server_end));
            queue.arrival.notify(usize::MAX);
            Ok(Stream::Substitute(Arc::new(client_end)))
        })
    }

    fn listen(&self, at: SocketAddr) -> io::Result<Box<dyn Acceptor>> {
        Ok(Box::new(SimListener::bind(at)))
    }
}

/// Runs `work` with a timeout of `seconds`. Returns `None` if the timeout expires first.
pub async fn with_timeout<T>(
    sim: &Rc<Sim>,
    seconds: f64,
    work: impl Future<Output = T>,
) -> Option<T> {
    let timeout = sim.sleep(seconds);
    async { Some(work.await) }
        .or(async {
            timeout.await;
            None
        })
        .await
}
