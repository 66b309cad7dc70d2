//! Links between nodes: TCP with length-delimited frames, each an `rmp-serde` value.
//!
//! A link is opened when the core first sends to an address, carries messages in both directions,
//! and is closed when it has been idle for a while. Delivery is best effort: each peer has a
//! bounded queue that drops its oldest messages when full. If a link cannot be opened, the queue is
//! emptied. The core receives `PeerLinkDown` for a link that cannot be opened or that breaks, and
//! before it `PeerTasksUnsent` for slice tasks in an emptied queue. See [`handshake`] for the
//! authentication of peers.

mod counters;
mod handshake;
mod link;
mod queue;
mod session;
mod table;
#[cfg(test)]
mod tests;

pub(crate) use counters::PeerCounters;

use crate::input::InputSender;
use crate::sockets;
use bytes::Bytes;
use counters::{AtomicPeerCounters, LinkError, increment};
use handshake::{Established, Identity};
use link::{LinkContext, LinkEnd, LinkLimits};
use queue::{QueueLimits, SendQueue};
use rand::Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use table::{Dial, LinkTable};
use thornbridge_config::keys::ClusterKey;
use thornbridge_core::Event;
use thornbridge_proto::frame;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage};
use thornbridge_proto::peer::{PeerEndpoint, PeerMessage};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Tunables of the peer links.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerParameters {
    /// Maximum number of peers with a link or a queue; bounds memory.
    pub links: usize,
    /// Maximum number of incoming connections in the handshake.
    pub greeting_connections: usize,
    /// Time to open a connection and complete the handshake.
    pub hello_timeout: Duration,
    /// Maximum number of messages queued for one peer.
    pub queue_messages: usize,
    /// Maximum number of bytes queued for one peer; holds two bundles of maximum size.
    pub queue_bytes: usize,
    /// Time without a frame in either direction after which a link is closed.
    pub idle: Duration,
    /// Time for a peer to accept a batch of frames, and to acknowledge sent bytes. After a network
    /// outage, a new link recovers sooner than TCP's retransmission would.
    pub write_timeout: Duration,
    /// Delay after the first failed dial, doubled with each further failure. Jitter reduces each
    /// delay by up to half, so that nodes that lost the same peer do not dial it at once.
    pub first_backoff: Duration,
    /// Maximum delay between dials.
    pub longest_backoff: Duration,
    /// Time to send queued frames at the end of a planned stop.
    pub closing: Duration,
}

impl Default for PeerParameters {
    fn default() -> Self {
        Self {
            links: 1_024,
            greeting_connections: 64,
            hello_timeout: Duration::from_secs(2),
            queue_messages: 256,
            queue_bytes: 8 * 1024 * 1024,
            idle: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
            first_backoff: Duration::from_millis(100),
            longest_backoff: Duration::from_secs(3),
            closing: Duration::from_secs(1),
        }
    }
}

/// Handle of all peer links of a node. Clones share the links.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    identity: Identity,
    parameters: PeerParameters,
    inputs: InputSender,
    table: LinkTable,
    counters: AtomicPeerCounters,
    closing: CancellationToken,
    aborted: CancellationToken,
    tasks: TaskTracker,
}

impl Shared {
    /// Spawns a link's task, which is cancelled by [`Peers::abort`].
    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let aborted = self.aborted.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = aborted.cancelled() => {}
                () = task => {}
            }
        });
    }
}

impl Peers {
    pub(crate) fn new(
        endpoint: PeerEndpoint,
        cluster_key: ClusterKey,
        parameters: PeerParameters,
        inputs: InputSender,
    ) -> Self {
        let limits = QueueLimits {
            messages: parameters.queue_messages,
            bytes: parameters.queue_bytes,
        };
        let shared = Shared {
            identity: Identity {
                endpoint,
                cluster_key,
            },
            table: LinkTable::new(parameters.links, limits),
            parameters,
            inputs,
            counters: AtomicPeerCounters::default(),
            closing: CancellationToken::new(),
            aborted: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Queues a message for a peer, dialling if needed; `false` if the message cannot be queued.
    pub(crate) fn send(&self, to: SocketAddr, message: &PeerMessage) -> bool {
        let shared = &self.shared;
        let Ok(encoded) = frame::encode(message) else {
            return false;
        };
        let Ok(handle) = shared.table.queue_for(to) else {
            shared
                .counters
                .record_error(to.ip(), LinkError::TooManyLinks);
            return false;
        };
        let dropped = handle.queue.push(encoded.into());
        counters::add(&shared.counters.messages_dropped, dropped);
        if handle.dial == Dial::Needed {
            let dialling = dial(Arc::clone(shared), to, handle.queue);
            shared.spawn(dialling);
        }
        true
    }

    /// Snapshot of the counters of all links.
    pub(crate) fn counters(&self) -> PeerCounters {
        self.shared.counters.snapshot()
    }

    /// Number of authenticated links.
    pub(crate) fn links(&self) -> usize {
        self.shared.table.links()
    }

    /// Removes peers without a link that have been unused for the idle time.
    pub(crate) fn remove_unused(&self) {
        self.shared.table.remove_unused(self.shared.parameters.idle);
    }

    /// Accepts links from peers until [`Peers::close`].
    pub(crate) async fn listen(self, listener: TcpListener) {
        let handshakes = Arc::new(Semaphore::new(self.shared.parameters.greeting_connections));
        loop {
            let accepted = tokio::select! {
                () = self.shared.closing.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let (stream, source) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!(side = "peers", error:% = error; "accept failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            let Ok(permit) = Arc::clone(&handshakes).try_acquire_owned() else {
                self.shared
                    .counters
                    .record_error(source.ip(), LinkError::TooManyLinks);
                continue;
            };
            let shared = Arc::clone(&self.shared);
            self.shared.spawn(async move {
                let established = accept_handshake(&shared, stream, source.ip()).await;
                drop(permit);
                if let Some(established) = established {
                    serve_accepted(shared, established, source.ip()).await;
                }
            });
        }
    }

    /// Cuts all links at once, without sending queued messages.
    pub(crate) fn abort(&self) {
        self.shared.aborted.cancel();
    }

    /// Sends queued messages, closes all links and waits for them to end.
    pub(crate) async fn close(&self) {
        self.shared.closing.cancel();
        self.shared.tasks.close();
        let ended = self.shared.tasks.wait();
        // Frames that a peer does not accept within this time are lost.
        let _ = tokio::time::timeout(self.shared.parameters.closing, ended).await;
    }
}

/// Opens a link for queued messages and serves it.
fn dial(shared: Arc<Shared>, address: SocketAddr, queue: Arc<SendQueue>) -> BoxedTask {
    Box::pin(dial_unboxed(shared, address, queue))
}

async fn dial_unboxed(shared: Arc<Shared>, address: SocketAddr, queue: Arc<SendQueue>) {
    if let Some(backoff) = shared.table.dial_backoff(address) {
        tokio::select! {
            () = tokio::time::sleep(backoff) => {}
            () = shared.closing.cancelled() => {}
        }
    }
    let timeout = shared.parameters.hello_timeout;
    let dialled = tokio::time::timeout(timeout, connect(&shared, address)).await;
    match dialled.unwrap_or(Err(LinkError::HandshakeTimeout)) {
        Ok(established) => {
            shared.table.link_dialled(address);
            serve_link(&shared, established, address, &queue, address.ip()).await;
        }
        Err(error) => {
            shared.counters.record_error(address.ip(), error);
            let dropped = queue.take();
            counters::add(&shared.counters.messages_dropped, dropped.len() as u64);
            let backoff = jittered_backoff(&shared, address);
            shared.table.dial_failed(address, backoff);
            let slices = slices_of_tasks(&dropped);
            if !slices.is_empty() {
                let unsent = Event::PeerTasksUnsent { address, slices };
                let _ = shared.inputs.event(unsent).await;
            }
            let _ = shared.inputs.event(Event::PeerLinkDown { address }).await;
        }
    }
}

/// Slices whose tasks are among encoded messages.
fn slices_of_tasks(messages: &VecDeque<Bytes>) -> Vec<SliceId> {
    let decoded = messages.iter().map(|message| frame::decode(message));
    let slices = decoded.filter_map(|message| match message {
        Ok(PeerMessage::Slice(SliceMessage::Ask { task, .. })) => Some(task.slice),
        _ => None,
    });
    slices.collect()
}

async fn connect(shared: &Shared, address: SocketAddr) -> Result<Established, LinkError> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|_| LinkError::ConnectionBroken)?;
    sockets::prepare(&stream, shared.parameters.write_timeout);
    handshake::dial(stream, &shared.identity).await
}

async fn accept_handshake(
    shared: &Shared,
    stream: TcpStream,
    source: IpAddr,
) -> Option<Established> {
    sockets::prepare(&stream, shared.parameters.write_timeout);
    let handshake = handshake::accept(stream, &shared.identity);
    let result = tokio::time::timeout(shared.parameters.hello_timeout, handshake).await;
    match result.unwrap_or(Err(LinkError::HandshakeTimeout)) {
        Ok(established) => Some(established),
        Err(error) => {
            shared.counters.record_error(source, error);
            None
        }
    }
}

async fn serve_accepted(shared: Arc<Shared>, established: Established, source: IpAddr) {
    let address = established.peer.address;
    let Ok(queue) = shared.table.link_accepted(address) else {
        shared
            .counters
            .record_error(source, LinkError::TooManyLinks);
        return;
    };
    serve_link(&shared, established, address, &queue, source).await;
}

/// Runs a link that is registered in the table, and removes it from the table at its end.
async fn serve_link(
    shared: &Arc<Shared>,
    established: Established,
    address: SocketAddr,
    queue: &Arc<SendQueue>,
    source: IpAddr,
) {
    increment(&shared.counters.links_opened);
    let context = LinkContext {
        queue,
        inputs: &shared.inputs,
        counters: &shared.counters,
        limits: LinkLimits {
            idle: shared.parameters.idle,
            write_timeout: shared.parameters.write_timeout,
        },
        closing: &shared.closing,
    };
    let end = link::run(established, &context).await;
    let redial = shared.table.link_ended(address);
    if let LinkEnd::Failed(error) = end {
        shared.counters.record_error(source, error);
        if !shared.table.has_link(address) {
            let _ = shared.inputs.event(Event::PeerLinkDown { address }).await;
        }
    }
    if redial == Dial::Needed {
        let dialling = dial(Arc::clone(shared), address, Arc::clone(queue));
        shared.spawn(dialling);
    }
}

/// Boxed because a link's task may spawn another one: the future's type would be recursive.
type BoxedTask = std::pin::Pin<Box<dyn Future<Output = ()> + Send>>;

fn jittered_backoff(shared: &Shared, address: SocketAddr) -> Duration {
    let failures = shared.table.failures(address).min(16);
    let parameters = &shared.parameters;
    let full_backoff = parameters
        .first_backoff
        .saturating_mul(1 << failures)
        .min(parameters.longest_backoff);
    full_backoff.mul_f64(rand::rng().random_range(0.5..=1.0))
}
