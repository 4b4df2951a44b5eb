use super::frame::{MAX_FRAME, read_frame, write_frame};
use super::{Cancellation, ClusterStatus, Frame, Peer, PeerReply, PeerRequest, ResidueCleared};
use crate::net::Listener;
use crate::scheduler::{JobId, MAX_TASKS, MachineId};
use crate::units::Micros;
use futures_lite::future;

// A peer may close an idle connection just before the next heartbeat is sent on it. Treating that error as an
// unreachable controller once cost two hundred live machines.
#[test]
fn a_request_on_a_closed_idle_connection_is_retried() {
    async_io::block_on(async {
        let listener = Listener::bind("127.0.0.1:0".parse().unwrap())
            .await
            .unwrap();
        let peer = Peer::new("n-1".into(), listener.local_addr().unwrap(), 8);
        let server = async {
            for _ in 0..2 {
                let mut stream = listener.accept().await.unwrap();
                let request: Frame<PeerRequest> = read_frame(&mut stream).await.unwrap();
                let reply = Frame {
                    cluster_status: request.cluster_status,
                    message: PeerReply::Pong,
                };
                write_frame(&mut stream, &reply).await.unwrap();
                // The server closes the connection here, while the client keeps it in its pool.
            }
        };
        let client = async {
            for _ in 0..2 {
                let time_limit = Micros::secs(30);
                let ping = PeerRequest::Ping {
                    cancelled: Vec::new(),
                    cleared: Vec::new(),
                };
                let reply = peer.call(ClusterStatus::default(), ping, time_limit).await;
                assert_eq!(reply.expect("a reply").message, PeerReply::Pong);
            }
        };
        future::zip(server, client).await;
    });
}

// During a rolling upgrade controllers must decode each other's pings: the previous version encoded these reports as
// pairs of job and machine.
#[test]
fn cleared_reports_are_encoded_like_pairs_of_the_previous_version() {
    let names = [
        ("j-1", "m-000001"),
        ("j-000412", "m-000231"),
        ("j-1", "m-2"),
    ];
    let pairs: Vec<(JobId, MachineId)> = names
        .iter()
        .map(|(job, machine)| (JobId((*job).into()), MachineId((*machine).into())))
        .collect();
    let cleared_reports: Vec<ResidueCleared> = pairs
        .iter()
        .map(|(job, machine)| ResidueCleared {
            job: job.clone(),
            machine: machine.clone(),
        })
        .collect();
    assert_eq!(bitcode::encode(&pairs), bitcode::encode(&cleared_reports));
}

// A cancellation whose machines do not fit into a frame could not be sent to any controller.
#[test]
fn the_cancellation_of_the_largest_job_fits_into_a_frame() {
    let machines = (0..MAX_TASKS).map(|n| MachineId(format!("m-{n:06}-of-a-long-name")));
    let cancelled = Cancellation {
        job: JobId("j-000412".into()),
        at: u64::MAX,
        machines: machines.collect(),
    };
    let ping = Frame {
        cluster_status: ClusterStatus::default(),
        message: PeerRequest::Ping {
            cancelled: vec![cancelled],
            cleared: Vec::new(),
        },
    };
    let bytes = bitcode::encode(&ping).len();
    assert!(bytes < MAX_FRAME, "{bytes} bytes");
}
