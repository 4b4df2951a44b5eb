use super::frame::{MAX_FRAME, read_frame, write_frame};
use super::{Cancellation, ClusterStatus, Frame, Peer, PeerReply, PeerRequest, ResidueCleared};
use crate::net::Listener;
use crate::scheduler::{JobId, MAX_TASKS, MachineId};
use crate::units::Micros;
use futures_lite::future;

// Guards against what cost two hundred live machines on a quiet day: the other side had closed a connection that
// was idle, the next heartbeat met its end, and the controller was taken to be out of reach.
#[test]
fn a_kept_connection_that_has_ended_is_no_failure() {
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
                // The connection ends here, though the asking side keeps it.
            }
        };
        let asking = async {
            for _ in 0..2 {
                let limit = Micros::secs(30);
                let ping = PeerRequest::Ping {
                    cancelled: Vec::new(),
                    cleared: Vec::new(),
                };
                let reply = peer.call(ClusterStatus::default(), ping, limit).await;
                assert_eq!(reply.expect("a reply").message, PeerReply::Pong);
            }
        };
        future::zip(server, asking).await;
    });
}

// Guards against a rolling upgrade in which controllers do not understand each other's pings: the landing before this one
// sent pairs.
#[test]
fn what_is_gone_is_encoded_as_the_version_before_did() {
    let names = [
        ("j-1", "m-000001"),
        ("j-000412", "m-000231"),
        ("j-1", "m-2"),
    ];
    let pairs: Vec<(JobId, MachineId)> = names
        .iter()
        .map(|(job, machine)| (JobId((*job).into()), MachineId((*machine).into())))
        .collect();
    let found: Vec<ResidueCleared> = pairs
        .iter()
        .map(|(job, machine)| ResidueCleared {
            job: job.clone(),
            machine: machine.clone(),
        })
        .collect();
    assert_eq!(bitcode::encode(&pairs), bitcode::encode(&found));
}

// Guards against a cancellation that no controller can be told, as its machines are too many for a frame.
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
