//! Links between nodes of one cluster, and against everything else that may dial.

use super::handshake::{self, Identity};
use super::queue::{QueueLimits, SendQueue};
use super::session::Direction;
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
use thornbridge_proto::peer::health::HealthMessage;
use thornbridge_proto::peer::{PROTOCOL_VERSION, PeerEndpoint, PeerMessage};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// One side of a link, with what its driver would get.
struct Side {
    peers: Peers,
    receiver: InputReceiver,
    endpoint: PeerEndpoint,
}

const MESSAGE: PeerMessage = PeerMessage::Health(HealthMessage::Request);

async fn side(node: u64, key: &ClusterKey) -> Side {
    let parameters = PeerParameters {
        hello_timeout: Duration::from_secs(20),
        ..PeerParameters::default()
    };
    side_with(node, key, parameters).await
}

async fn side_with(node: u64, key: &ClusterKey, parameters: PeerParameters) -> Side {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let endpoint = PeerEndpoint {
        node: NodeId(node),
        address: listener.local_addr().unwrap(),
    };
    let (inputs, receiver) = input::channel(64);
    let peers = Peers::new(endpoint, key.clone(), parameters, inputs);
    tokio::spawn(peers.clone().listen(listener));
    Side {
        peers,
        receiver,
        endpoint,
    }
}

impl Side {
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

    /// Waits until the counters say so.
    async fn until(&self, condition: impl Fn(&super::PeerCounters) -> bool) {
        while !condition(&self.peers.counters()) {
            tokio::task::yield_now().await;
        }
    }
}

fn key() -> ClusterKey {
    ClusterKey::generate().unwrap()
}

#[tokio::test]
async fn one_link_serves_both_directions() {
    let key = key();
    let (mut left, mut right) = (side(1, &key).await, side(2, &key).await);
    assert!(left.peers.send(right.endpoint.address, &MESSAGE));
    right.expect_message_from(left.endpoint).await;
    assert!(right.peers.send(left.endpoint.address, &MESSAGE));
    left.expect_message_from(right.endpoint).await;
    assert_eq!((left.peers.links(), right.peers.links()), (1, 1));
    assert_eq!(right.peers.counters().links_opened, 1);
}

#[tokio::test]
async fn a_foreign_cluster_is_refused_by_both_sides() {
    let (mut left, right) = (side(1, &key()).await, side(2, &key()).await);
    left.peers.send(right.endpoint.address, &MESSAGE);
    left.expect_link_down(right.endpoint.address).await;
    right
        .until(|counters| counters.refused_foreign_cluster == 1)
        .await;
    assert_eq!(right.peers.links(), 0);
    assert_eq!(right.peers.counters().frames_received, 0);
    assert_eq!(left.peers.counters().messages_dropped, 1);
}

/// Position of the node's id in a greeting: after magic, version, and two array markers.
const NODE_ID_POSITION: usize = 8;

/// Takes a dial and answers it with the dialer's own greeting, under `node` as the id.
async fn echo_greeting(listener: &TcpListener, node: u8) -> TcpStream {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.unwrap();
    let mut greeting = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut greeting).await.unwrap();
    assert_eq!(greeting[NODE_ID_POSITION], 1);
    greeting[NODE_ID_POSITION] = node;
    stream.write_all(&length).await.unwrap();
    stream.write_all(&greeting).await.unwrap();
    stream
}

#[tokio::test]
async fn a_listener_that_echoes_is_not_believed() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut left = side(1, &key()).await;
    left.peers.send(address, &MESSAGE);
    let _stream = echo_greeting(&listener, 1).await;
    left.expect_link_down(address).await;
    assert_eq!(left.peers.counters().refused_myself, 1);

    left.peers.send(address, &MESSAGE);
    let mut stream = echo_greeting(&listener, 2).await;
    let mut proof = [0; 4 + 32];
    stream.read_exact(&mut proof).await.unwrap();
    stream.write_all(&proof).await.unwrap();
    left.expect_link_down(address).await;
    assert_eq!(left.peers.counters().refused_foreign_cluster, 1);
    assert_eq!(left.peers.counters().frames_sent, 0);
}

#[tokio::test]
async fn whatever_is_not_a_peer_is_refused_and_counted() {
    let side = side(1, &key()).await;
    let version = PROTOCOL_VERSION.to_be_bytes();
    let other_version = (PROTOCOL_VERSION + 1).to_be_bytes();
    let greetings: [&[u8]; 4] = [
        b"\0\0\0\x08GET / HT",
        b"\0\0\0\x02tb",
        &[b"\0\0\0\x09tbpr".as_slice(), &version, b"\xff\xff\xff"].concat(),
        &[b"\0\0\0\x06tbpr".as_slice(), &other_version].concat(),
    ];
    for greeting in greetings {
        send_and_see_close(side.endpoint.address, greeting).await;
    }
    send_and_see_close(side.endpoint.address, b"GET / HTTP/1.1\r\n\r\n").await;
    side.until(|counters| {
        counters.refused_garbage == 3
            && counters.refused_unknown_version == 1
            && counters.refused_oversized == 1
    })
    .await;
}

async fn send_and_see_close(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut rest = Vec::new();
    // A reset is a close as well: the listener left bytes unread.
    let _ = stream.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "{rest:?}");
}

/// A peer that holds the key, and whose frames are under the test's control.
async fn rogue(side: &Side, key: &ClusterKey) -> handshake::Established {
    let identity = Identity {
        endpoint: PeerEndpoint {
            node: NodeId(99),
            address: "127.0.0.1:9".parse().unwrap(),
        },
        cluster_key: key.clone(),
    };
    let stream = TcpStream::connect(side.endpoint.address).await.unwrap();
    handshake::dial(stream, &identity).await.unwrap()
}

#[tokio::test]
async fn a_repeated_frame_cuts_the_link() {
    let key = key();
    let mut side = side(1, &key).await;
    let mut rogue = rogue(&side, &key).await;
    let payload = thornbridge_proto::frame::encode(&MESSAGE).unwrap();
    let sealed = rogue.outgoing.seal(&payload);
    rogue.writer.send(sealed.clone()).await.unwrap();
    rogue.writer.send(sealed).await.unwrap();
    side.expect_message_from(PeerEndpoint {
        node: NodeId(99),
        address: "127.0.0.1:9".parse().unwrap(),
    })
    .await;
    side.expect_link_down("127.0.0.1:9".parse().unwrap()).await;
    assert_eq!(side.peers.counters().refused_tampered, 1);
    assert_eq!(side.peers.links(), 0);
}

#[tokio::test]
async fn an_authenticated_frame_that_is_no_message_cuts_the_link() {
    let key = key();
    let mut side = side(1, &key).await;
    let mut rogue = rogue(&side, &key).await;
    let sealed = rogue.outgoing.seal(b"\xc1 is no MessagePack");
    rogue.writer.send(sealed).await.unwrap();
    side.expect_link_down("127.0.0.1:9".parse().unwrap()).await;
    assert_eq!(side.peers.counters().refused_garbage, 1);
}

#[tokio::test]
async fn an_unreachable_peer_is_told_and_dialled_again_later() {
    let key = key();
    let mut left = side(1, &key).await;
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

#[tokio::test]
async fn a_planned_end_sends_what_waits_and_is_no_broken_link() {
    let key = key();
    let (left, mut right) = (side(1, &key).await, side(2, &key).await);
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
async fn an_aborted_node_is_noticed_as_a_broken_link() {
    let key = key();
    let (left, mut right) = (side(1, &key).await, side(2, &key).await);
    left.peers.send(right.endpoint.address, &MESSAGE);
    right.expect_message_from(left.endpoint).await;
    left.peers.abort();
    right.expect_link_down(left.endpoint.address).await;
}

#[tokio::test]
async fn an_idle_link_is_closed_without_alarm() {
    let key = key();
    let idle = PeerParameters {
        idle: Duration::from_secs(30),
        ..PeerParameters::default()
    };
    let left = side_with(1, &key, idle.clone()).await;
    let mut right = side_with(2, &key, idle).await;
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
fn a_full_queue_drops_its_oldest() {
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
    fn frames_open_in_their_order_only(
        payloads in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..64), 1..8),
        flip in any::<(prop::sample::Index, prop::sample::Index, u8)>(),
    ) {
        let (mut sender, mut receiver) = (Direction::new(&[7; 32]), Direction::new(&[7; 32]));
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
        prop_assert!(Direction::new(&[7; 32]).open(changed).is_err());
    }

    #[test]
    fn any_bytes_open_to_an_error(bytes in prop::collection::vec(any::<u8>(), 0..128)) {
        prop_assert!(Direction::new(&[7; 32]).open(BytesMut::from(bytes.as_slice())).is_err());
    }
}
