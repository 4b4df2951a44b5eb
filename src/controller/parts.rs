//! The components that several duties of a controller share.

use crate::clock::Clock;
use crate::cloud::Cloud;
use crate::config::{Platform, Settings};
use crate::kv::KvClient;
use crate::membership::Membership;
use crate::pause_detector::PauseDetector;
use crate::peer::Peer;
use crate::store::StateCache;
use crate::term::CurrentTerm;
use crate::units::Micros;
use std::rc::Rc;

/// Watches may use about a sixth of a controller's share of the request rate: one request in this many. The pause
/// between two watches follows from that, within the bounds below in seconds.
const REQUESTS_PER_WATCH: f64 = 6.0;
const MIN_WATCH_PAUSE_S: f64 = 0.05;
const MAX_WATCH_PAUSE_S: f64 = 0.25;

/// Settings, clients, the view, and the status of the other controllers.
pub(super) struct SharedParts {
    pub(super) platform: Rc<Platform>,
    pub(super) settings: Rc<Settings>,
    pub(super) kv: Rc<KvClient>,
    pub(super) store: Rc<StateCache>,
    pub(super) cloud: Rc<Cloud>,
    pub(super) peers: Rc<Vec<Peer>>,
    pub(super) membership: Rc<Membership>,
    pub(super) current_term: Rc<CurrentTerm>,
    pub(super) pause_detector: Rc<PauseDetector>,
}

impl SharedParts {
    pub(super) fn new(platform: Platform, settings: Settings) -> SharedParts {
        let kv = Rc::new(kv_client(&platform, &settings));
        let store = Rc::new(StateCache::new(kv.clone(), Clock, watch_pause(&platform)));
        let cloud = Cloud::new(platform.external.cloud, platform.facts.cloud.rps);
        SharedParts {
            kv,
            cloud: Rc::new(cloud),
            peers: Rc::new(peer_clients(&platform)),
            membership: Rc::new(Membership::new(&platform, store.clone())),
            store,
            current_term: Rc::default(),
            pause_detector: Rc::new(PauseDetector::new(&platform.node, Clock.now())),
            platform: Rc::new(platform),
            settings: Rc::new(settings),
        }
    }
}

fn kv_client(platform: &Platform, settings: &Settings) -> KvClient {
    let limits = &platform.facts.state;
    let size = platform.facts.size as f64;
    KvClient::new(
        platform.external.state,
        limits.rps / size,
        limits.write_rps / size,
        settings.rebuilds(),
    )
}

/// Returns the pause between two watches, during which changes accumulate.
fn watch_pause(platform: &Platform) -> Micros {
    let size = platform.facts.size as f64;
    let pause_s = REQUESTS_PER_WATCH * size / platform.facts.state.rps;
    Micros::from_secs_f64(pause_s.clamp(MIN_WATCH_PAUSE_S, MAX_WATCH_PAUSE_S))
}

fn peer_clients(platform: &Platform) -> Vec<Peer> {
    let max_idle = platform.kept_connections();
    let members = platform.members.iter();
    let peers = members.map(|m| Peer::new(m.node.clone(), m.address, max_idle));
    peers.collect()
}
