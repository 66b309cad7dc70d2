//! Links between nodes of a cluster, and rejection of other connections.

use super::handshake::{self, Identity};
use super::queue::{QueueLimits, SendQueue};
use super::session::FrameAuthenticator;
use super::{PeerParameters, Peers};
use crate::input::{self, Input, InputReceiver};
use assert_matches::assert_matches;
use bytes::{Bytes, BytesMut};
use futures_util::SinkExt;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use std::net::SocketAddr;
use std::time::Duration;
use thornbridge_config::keys::ClusterKey;
use thornbridge_core::Event;
use thornbridge_proto::NodeId;
use thornbridge_proto::fingerprint::Fingerprint;
use thornbridge_proto::peer::health::HealthMessage;
use thornbridge_proto::peer::slice::{SliceId, SliceMessage, SliceTask};
use thornbridge_proto::peer::{PROTOCOL_VERSION, PeerEndpoint, PeerMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Node with peer links, and the inputs for its driver.
struct TestNode {
    peers: Peers,
    receiver: InputReceiver,
    endpoint: PeerEndpoint,
}

const MESSAGE: PeerMessage = PeerMessage::Health(HealthMessage::Request);

fn slice_task(slice: u64) -> PeerMessage {
    let task = SliceTask {
        slice: SliceId(slice),
        request_id: String::new(),
        fingerprint: Fingerprint::default(),
        host: String::new(),
        prefix: String::new(),
        version: 1,
        shards: Vec::new(),
        records: 1,
        attempts: 1,
        prior_attempts: 0,
        objective_us: 0,
        report_in_us: 0,
        second_after_us: 0,
        ends_in_us: 0,
        home_regions: Vec::new(),
    };
    let request = Vec::new().into();
    PeerMessage::Slice(SliceMessage::Ask { task, request })
}

async fn start_node(node: u64, key: &ClusterKey) -> TestNode {
    let parameters = PeerParameters {
        hello_timeout: Duration::from_secs(20),
        ..PeerParameters::default()
    };
    start_node_with(node, key, parameters).await
}

async fn start_node_with(node: u64, key: &ClusterKey, parameters: PeerParameters) -> TestNode {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = PeerEndpoint {
        node: NodeId(node),
        address: listener.local_addr().unwrap(),
    };
    let (inputs, receiver) = input::channel(64);
    let peers = Peers::new(endpoint, key.clone(), parameters, inputs);
    tokio::spawn(peers.clone().listen(listener));
    TestNode {
        peers,
        receiver,
        endpoint,
    }
}

impl TestNode {
    async fn next(&mut self) -> Event {
        match self.receiver.inputs.recv().await {
            Some(Input::Core(event)) => event,
            other => panic!("unexpected input {other:?}"),
        }
    }

    async fn expect_message_from(&mut self, sender: PeerEndpoint) {
        assert_matches!(self.next().await, Event::PeerMessage { from, message } => {
            assert_eq!(from, sender);
            assert_eq!(message, MESSAGE);
        });
    }

    async fn expect_link_down(&mut self, to: SocketAddr) {
        assert_matches!(self.next().await, Event::PeerLinkDown { address } => {
            assert_eq!(address, to);
        });
    }

    /// Waits until the counters satisfy `condition`.
    async fn wait_for_counters(&self, condition: impl Fn(&super::PeerCounters) -> bool) {
        while !condition(&self.peers.counters()) {
            tokio::task::yield_now().await;
        }
    }
}

fn key() -> ClusterKey {
    ClusterKey::generate().unwrap()
}

#[tokio::test]
async fn link_carries_messages_in_both_directions() {
    let key = key();
    let (mut left, mut right) = (start_node(1, &key).await, start_node(2, &key).await);
    assert!(left.peers.send(right.endpoint.address, &MESSAGE));
    right.expect_message_from(left.endpoint).await;
    assert!(right.peers.send(left.endpoint.address, &MESSAGE));
    left.expect_message_from(right.endpoint).await;
    assert_eq!((left.peers.links(), right.peers.links()), (1, 1));
    assert_eq!(right.peers.counters().links_opened, 1);
}

#[tokio::test]
async fn both_sides_refuse_wrong_cluster_key() {
    let (mut left, right) = (start_node(1, &key()).await, start_node(2, &key()).await);
    left.peers.send(right.endpoint.address, &MESSAGE);
    left.expect_link_down(right.endpoint.address).await;
    right
        .wait_for_counters(|counters| counters.refused_foreign_cluster == 1)
        .await;
    assert_eq!(right.peers.links(), 0);
    assert_eq!(right.peers.counters().frames_received, 0);
    assert_eq!(left.peers.counters().messages_dropped, 1);
}

/// Offset of the node id in Hello: after magic, version and two array markers.
const NODE_ID_OFFSET: usize = 8;

/// Accepts a connection and echoes the dialer's Hello, with its node id replaced.
async fn echo_hello(listener: &TcpListener, node: u8) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.unwrap();
    let mut hello = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut hello).await.unwrap();
    assert_eq!(hello[NODE_ID_OFFSET], 1);
    hello[NODE_ID_OFFSET] = node;
    stream.write_all(&length).await.unwrap();
    stream.write_all(&hello).await.unwrap();
    stream
}

#[tokio::test]
async fn echoed_hello_and_proof_are_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut left = start_node(1, &key()).await;
    left.peers.send(address, &MESSAGE);
    let _stream = echo_hello(&listener, 1).await;
    left.expect_link_down(address).await;
    assert_eq!(left.peers.counters().refused_myself, 1);

    left.peers.send(address, &MESSAGE);
    let mut stream = echo_hello(&listener, 2).await;
    let mut proof = [0; 4 + 32];
    stream.read_exact(&mut proof).await.unwrap();
    stream.write_all(&proof).await.unwrap();
    left.expect_link_down(address).await;
    assert_eq!(left.peers.counters().refused_foreign_cluster, 1);
    assert_eq!(left.peers.counters().frames_sent, 0);
}

#[tokio::test]
async fn malformed_handshakes_are_refused_and_counted() {
    let node = start_node(1, &key()).await;
    let version = PROTOCOL_VERSION.to_be_bytes();
    let other_version = (PROTOCOL_VERSION + 1).to_be_bytes();
    let hellos: [&[u8]; 4] = [
        b"\0\0\0\x08GET / HT",
        b"\0\0\0\x02tb",
        &[b"\0\0\0\x09tbpr".as_slice(), &version, b"\xff\xff\xff"].concat(),
        &[b"\0\0\0\x06tbpr".as_slice(), &other_version].concat(),
    ];
    for hello in hellos {
        send_and_expect_close(node.endpoint.address, hello).await;
    }
    send_and_expect_close(node.endpoint.address, b"GET / HTTP/1.1\r\n\r\n").await;
    node.wait_for_counters(|counters| {
        counters.refused_garbage == 3
            && counters.refused_unknown_version == 1
            && counters.refused_oversized == 1
    })
    .await;
}

async fn send_and_expect_close(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    // A reset counts as a close: the listener left bytes unread.
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "{rest:?}");
}

/// Links to a node as a peer that holds the key and whose frames the test controls.
async fn dial_raw(node: &TestNode, key: &ClusterKey) -> handshake::Established {
    let identity = Identity {
        endpoint: PeerEndpoint {
            node: NodeId(99),
            address: "127.0.0.1:9".parse().unwrap(),
        },
        cluster_key: key.clone(),
    };
    let stream = TcpStream::connect(node.endpoint.address).await.unwrap();
    handshake::dial(stream, &identity).await.unwrap()
}

#[tokio::test]
async fn repeated_frame_cuts_link() {
    let key = key();
    let mut node = start_node(1, &key).await;
    let mut raw = dial_raw(&node, &key).await;
    let payload = thornbridge_proto::frame::encode(&MESSAGE).unwrap();
    let sealed = raw.outgoing.seal(&payload);
    raw.writer.send(sealed.clone()).await.unwrap();
    raw.writer.send(sealed).await.unwrap();
    node.expect_message_from(PeerEndpoint {
        node: NodeId(99),
        address: "127.0.0.1:9".parse().unwrap(),
    })
    .await;
    node.expect_link_down("127.0.0.1:9".parse().unwrap()).await;
    assert_eq!(node.peers.counters().refused_tampered, 1);
    assert_eq!(node.peers.links(), 0);
}

#[tokio::test]
async fn authenticated_malformed_message_cuts_link() {
    let key = key();
    let mut node = start_node(1, &key).await;
    let mut raw = dial_raw(&node, &key).await;
    let sealed = raw.outgoing.seal(b"\xc1 is no MessagePack");
    raw.writer.send(sealed).await.unwrap();
    node.expect_link_down("127.0.0.1:9".parse().unwrap()).await;
    assert_eq!(node.peers.counters().refused_garbage, 1);
}

#[tokio::test]
async fn unreachable_peer_is_reported_and_redialled() {
    let key = key();
    let mut left = start_node(1, &key).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    left.peers.send(address, &MESSAGE);
    left.expect_link_down(address).await;
    left.peers.send(address, &MESSAGE);
    left.expect_link_down(address).await;
    assert_eq!(left.peers.counters().connections_broken, 2);
    assert_eq!(left.peers.counters().messages_dropped, 2);
}

/// Guards against tasks that count as run although they never left this node.
#[tokio::test]
async fn failed_dial_reports_unsent_tasks() {
    let key = key();
    let mut left = start_node(1, &key).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    left.peers.send(address, &MESSAGE);
    left.peers.send(address, &slice_task(7));
    assert_matches!(left.next().await, Event::PeerTasksUnsent { address: peer, slices } => {
        assert_eq!((peer, slices), (address, vec![SliceId(7)]));
    });
    left.expect_link_down(address).await;
}

#[tokio::test]
async fn close_sends_queued_messages_without_link_down() {
    let key = key();
    let (left, mut right) = (start_node(1, &key).await, start_node(2, &key).await);
    left.peers.send(right.endpoint.address, &MESSAGE);
    left.peers.close().await;
    right.expect_message_from(left.endpoint).await;
    while right.peers.links() > 0 {
        tokio::task::yield_now().await;
    }
    assert!(right.receiver.inputs.try_recv().is_err());
    assert_eq!(right.peers.counters().connections_broken, 0);
}

#[tokio::test]
async fn abort_is_reported_as_link_down() {
    let key = key();
    let (left, mut right) = (start_node(1, &key).await, start_node(2, &key).await);
    left.peers.send(right.endpoint.address, &MESSAGE);
    right.expect_message_from(left.endpoint).await;
    left.peers.abort();
    right.expect_link_down(left.endpoint.address).await;
}

#[tokio::test]
async fn idle_link_closes_without_link_down() {
    let key = key();
    let parameters = PeerParameters {
        idle: Duration::from_secs(30),
        ..PeerParameters::default()
    };
    let left = start_node_with(1, &key, parameters.clone()).await;
    let mut right = start_node_with(2, &key, parameters).await;
    left.peers.send(right.endpoint.address, &MESSAGE);
    right.expect_message_from(left.endpoint).await;
    tokio::time::pause();
    while left.peers.links() + right.peers.links() > 0 {
        tokio::time::advance(Duration::from_secs(1)).await;
        tokio::task::yield_now().await;
    }
    assert!(right.receiver.inputs.try_recv().is_err());
}

#[test]
fn full_queue_drops_oldest_messages() {
    let queue = SendQueue::new(QueueLimits {
        messages: 2,
        bytes: 10,
    });
    let message = |byte: u8, length: usize| Bytes::from(vec![byte; length]);
    assert_eq!(queue.push(message(1, 1)), 0);
    assert_eq!(queue.push(message(2, 1)), 0);
    assert_eq!(queue.push(message(3, 1)), 1);
    assert_eq!(queue.push(message(4, 10)), 2);
    assert_eq!(queue.push(message(5, 99)), 1);
    assert_eq!(queue.take(), [message(5, 99)]);
    assert_eq!(queue.push(message(6, 10)), 0);
}

fn config() -> Config {
    Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn frames_open_only_in_order_and_unchanged(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 1..8),
        flip in any::<(prop::sample::Index, prop::sample::Index, u8)>(),
    ) {
        let (mut sender, mut receiver) =
            (FrameAuthenticator::new(&[7; 32]), FrameAuthenticator::new(&[7; 32]));
        let sealed: Vec<Bytes> = payloads.iter().map(|payload| sender.seal(payload)).collect();
        for (payload, frame) in payloads.iter().zip(&sealed) {
            let opened = receiver.open(BytesMut::from(frame.as_ref()));
            prop_assert_eq!(opened.as_deref(), Ok(payload.as_slice()));
        }
        let repeated = &sealed[flip.0.index(sealed.len())];
        prop_assert!(receiver.open(BytesMut::from(repeated.as_ref())).is_err());

        let mut changed = BytesMut::from(sealed[0].as_ref());
        let position = flip.1.index(changed.len());
        changed[position] ^= 1 << (flip.2 % 8);
        prop_assert!(FrameAuthenticator::new(&[7; 32]).open(changed).is_err());
    }

    #[test]
    fn arbitrary_bytes_do_not_open(bytes in prop::collection::vec(any::<u8>(), 0..128)) {
        prop_assert!(
            FrameAuthenticator::new(&[7; 32]).open(BytesMut::from(bytes.as_slice())).is_err()
        );
    }
}
