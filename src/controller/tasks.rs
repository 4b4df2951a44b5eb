//! The async tasks of a controller: the long-lived background tasks, and one per connection.

use super::Controller;
use crate::clock::{Clock, sleep};
use crate::http;
use crate::net::{Listener, Stream};
use crate::pause_detector::PAUSE_CHECK_INTERVAL;
use crate::peer;
use crate::units::Micros;
use async_executor::{LocalExecutor, Task};
use futures_lite::future;
use log::{debug, info, warn};
use std::future::Future;
use std::io;
use std::rc::Rc;

/// Pause after a failed accept, as the process may have run out of sockets.
const ACCEPT_RETRY: Micros = Micros::millis(50);

/// Runs a controller; returns only on an error.
///
/// Each connection has its own task. All background tasks are cancelled when the returned future is dropped.
///
/// # Errors
///
/// Fails if it can't listen on one of its addresses.
pub async fn run<'a>(ex: &LocalExecutor<'a>, controller: Rc<Controller>) -> io::Result<()>
where
    Rc<Controller>: 'a,
{
    let platform = &controller.shared.platform;
    let listener = Listener::bind(platform.bind).await?;
    let peer_listener = Listener::bind(platform.internal_addr).await?;
    info!(
        "event=started node={} zone={} bind={} internal={}",
        platform.node, platform.zone, platform.bind, platform.internal_addr
    );
    for warning in platform.warnings() {
        warn!("event=settings_marginal reason={warning:?}");
    }
    let _tasks = spawn_tasks(ex, &controller);
    let c = controller.clone();
    let peer_executor = LocalExecutor::new();
    let serve_peers = accept(&peer_executor, peer_listener, &controller, move |stream| {
        let c = c.clone();
        async move { peer::serve(stream, |frame| c.peer_api.answer(frame)).await }
    });
    let c = controller.clone();
    let serve_http = accept(ex, listener, &controller, move |stream| {
        let c = c.clone();
        async move {
            let idle_limit = || c.connections.idle_limit();
            http::serve(stream, idle_limit, |request| c.route(request)).await
        }
    });
    future::zip(peer_executor.run(serve_peers), serve_http).await;
    Ok(())
}

/// Spawns the background tasks that run for the life of the controller.
fn spawn_tasks<'a>(ex: &LocalExecutor<'a>, controller: &Rc<Controller>) -> Vec<Task<()>>
where
    Rc<Controller>: 'a,
{
    let c = controller;
    let mut tasks = vec![
        spawn(ex, c, "follow", async |c| c.shared.store.follow().await),
        spawn(ex, c, "barriers", async |c| {
            c.shared.store.serve_barriers().await;
        }),
        spawn(ex, c, "lead", async |c| c.leader.run().await),
        spawn(ex, c, "contacts", async |c| c.contacts.publish().await),
        spawn(ex, c, "pulse", async |c| watch_process(&c).await),
        spawn(ex, c, "clear_up", async |c| {
            c.overdue_terminator.run().await;
        }),
    ];
    if c.shared.settings.rebuilds_lost_state() {
        tasks.push(spawn(ex, c, "rebuild", async |c| c.state_loss.run().await));
    }
    for i in 0..c.shared.peers.len() {
        let ping = async move |c: Rc<Controller>| c.pinger.run(&c.shared.peers[i]).await;
        tasks.push(spawn(ex, c, "ping", ping));
    }
    tasks
}

/// Spawns a task that is not expected to end; `name` identifies it in the log if it does.
fn spawn<'a>(
    ex: &LocalExecutor<'a>,
    controller: &Rc<Controller>,
    name: &'static str,
    work: impl AsyncFnOnce(Rc<Controller>) + 'a,
) -> Task<()>
where
    Rc<Controller>: 'a,
{
    let controller = controller.clone();
    ex.spawn(async move {
        work(controller).await;
        warn!("event=background_task_ended duty={name}");
    })
}

/// Accepts connections and serves each in its own task; never returns.
async fn accept<'a, F, Fut>(
    ex: &LocalExecutor<'a>,
    listener: Listener,
    controller: &Controller,
    serve: F,
) where
    F: Fn(Stream) -> Fut,
    Fut: Future<Output = ()> + 'a,
{
    loop {
        match listener.accept().await {
            Ok(stream) => match controller.connections.accept() {
                Some(open) => {
                    let work = serve(stream);
                    ex.spawn(async move {
                        work.await;
                        drop(open);
                    })
                    .detach();
                }
                None => debug!("event=connection_refused reason=too_many"),
            },
            Err(e) => {
                debug!("event=accept_failed error={:?}", e.to_string());
                sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

/// Detects process pauses, and logs socket shortages and summaries periodically; never returns.
async fn watch_process(controller: &Controller) {
    loop {
        let now = Clock.now();
        if let Some(gap) = controller.shared.pause_detector.check(now) {
            controller.shared.current_term.on_process_pause(gap, now);
        }
        controller.connections.log_shortage();
        controller.log_summary_if_due();
        sleep(PAUSE_CHECK_INTERVAL).await;
    }
}
