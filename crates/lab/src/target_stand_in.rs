//! Stand-in for one target: an HTTP server with the protocol of section 4.2 of the design page, which can inject faults
//! and records the calls that ran.

pub mod target_behaviour;
pub mod slot_limiter;
pub mod run_ledger;
pub mod reply_content;
mod target_state;
mod target_call;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;
use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::link::LinkDelay;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::ShardMapId;
use vanillapick_model::target::TargetEntry;
use vanillapick_model::target::TargetId;

use crate::target_stand_in::run_ledger::RunLedger;
use crate::target_stand_in::target_behaviour::TargetBehaviour;
pub use crate::target_stand_in::target_state::ProcessState;
pub use crate::target_stand_in::target_state::TargetCounts;
use crate::target_stand_in::target_state::TargetState;

/// Request header with the failure domain of the caller.
pub const DOMAIN_HEADER: &str = "vp-domain";

/// Fixed properties of a target stand-in and its initial behaviour.
#[derive(Clone, Debug)]
pub struct TargetSetup {
    /// Target id, unique in the experiment.
    pub id: TargetId,
    /// Service that the target belongs to, which is the name of its pool.
    pub service: String,
    /// Failure domain that the target runs in.
    pub domain: DomainId,
    /// Shard map that the shard index refers to.
    pub shard_map: ShardMapId,
    /// Index of the shard that the target serves.
    pub shard: ShardIndex,
    /// Index of the target among the replicas of its shard.
    pub replica: u32,
    /// Initial behaviour.
    pub behaviour: TargetBehaviour,
    /// One-way delays between failure domains; 0 for a pair that is not listed.
    pub links: Arc<Vec<LinkDelay>>,
    /// Ledger that each run is recorded in.
    pub ledger: Arc<RunLedger>,
    /// Seed of the service times and of faults that hit a share of calls.
    pub seed: u64,
}

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 128;

/// A running target stand-in.
#[derive(Debug)]
pub struct TargetStandIn {
    address: SocketAddr,
    state: Arc<TargetState>,
    accept_task: JoinHandle<()>,
}

impl TargetStandIn {
    /// Starts a stand-in on a free loopback port, without a cold start.
    pub async fn launch(setup: TargetSetup) -> io::Result<Self> {
        let reserved = bind_reusable(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = reserved.local_addr()?;
        let listener = listen(address)?;
        let state = Arc::new(TargetState::new(setup));
        let accept_task = tokio::spawn(accept_connections(reserved, listener, Arc::clone(&state)));
        Ok(Self { address, state, accept_task })
    }

    /// Returns the address that the stand-in listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the properties that the stand-in was started with.
    pub fn setup(&self) -> &TargetSetup {
        &self.state.setup
    }

    /// Returns the entry that lists the stand-in in the pools table.
    pub fn entry(&self) -> TargetEntry {
        let setup = &self.state.setup;
        TargetEntry {
            id: setup.id.clone(),
            address: self.address,
            domain: setup.domain.clone(),
            shard_map: setup.shard_map,
            shard: setup.shard,
            leaving: false,
        }
    }

    /// Returns a copy of the current behaviour.
    pub fn behaviour(&self) -> TargetBehaviour {
        TargetBehaviour::clone(&self.state.behaviour())
    }

    /// Replaces the behaviour while the stand-in runs.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.state.set_behaviour(behaviour);
    }

    /// Returns the counters since the launch.
    pub fn counts(&self) -> TargetCounts {
        self.state.counts()
    }

    /// Returns whether the simulated process is up, and its incarnation.
    pub fn process_state(&self) -> ProcessState {
        *self.state.process_state.borrow()
    }

    /// Closes all connections and refuses new ones until the restart.
    pub fn kill(&self) {
        self.state.kill();
    }

    /// Starts a new incarnation, which begins with a cold start.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Begins a cold start without a new incarnation.
    pub fn start_cold(&self) {
        self.state.start_cold();
    }

    /// Stops the stand-in and closes its connections.
    pub fn stop(&self) {
        self.state.kill();
        self.accept_task.abort();
    }
}

/// Listens while the target is up. `reserved` keeps the port bound while nothing listens, so that connections to a
/// target that is down are refused, as by a host whose process has ended.
async fn accept_connections(reserved: TcpSocket, listener: TcpListener, state: Arc<TargetState>) {
    let mut process_state = state.process_state.subscribe();
    let mut listener = Some(listener);
    let address = reserved.local_addr();
    loop {
        let is_up = process_state.borrow_and_update().is_up;
        if !is_up {
            listener = None;
        } else if listener.is_none() {
            listener = address.as_ref().ok().and_then(|address| listen(*address).ok());
        }
        let Some(open) = &listener else {
            if process_state.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                if state.open_connection() {
                    tokio::spawn(serve_connection(stream, Arc::clone(&state)));
                }
            }
            changed = process_state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

fn bind_reusable(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind_reusable(address)?.listen(LISTEN_BACKLOG)
}

async fn serve_connection(stream: TcpStream, state: Arc<TargetState>) {
    let mut process_state = state.process_state.subscribe();
    let initial = *process_state.borrow();
    let _ = stream.set_nodelay(true);
    let served = async {
        time::sleep(Duration::from_millis(state.behaviour().connect_cost_ms)).await;
        let service = service_fn(|request| target_call::serve_request(Arc::clone(&state), request));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        // An error here is a closed connection, which is one of the injected faults.
        let _ = connection.await;
    };
    tokio::select! {
        () = served => {}
        _ = process_state.wait_for(|now| *now != initial) => {}
    }
    state.close_connection();
}
