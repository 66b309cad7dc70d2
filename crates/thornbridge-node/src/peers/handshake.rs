//! Handshake: two nodes prove to each other that they hold the cluster key and derive a link's
//! keys.
//!
//! ```text
//! dialer   → listener   Hello      magic, version, endpoint, nonce
//! listener → dialer     Challenge  magic, version, endpoint, nonce
//! dialer   → listener   Proof      HMAC(cluster key, "dialer", Hello, Challenge)
//! listener → dialer     Proof      HMAC(cluster key, "listener", Hello, Challenge)
//! ```
//!
//! The dialer proves first, so that an unauthenticated dialer receives nothing that depends on the
//! key. Each proof and each key covers both nonces, which prevents replay on another link, and the
//! role, which prevents reflection of a proof to its sender.

use super::counters::LinkError;
use super::session::{FrameAuthenticator, KEY_BYTES, mac_of_parts, verify_mac_of_parts};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use rand::Rng;
use serde::{Deserialize, Serialize};
use thornbridge_config::keys::ClusterKey;
use thornbridge_proto::frame;
use thornbridge_proto::limits::PEER_FRAME_BYTES;
use thornbridge_proto::peer::{PROTOCOL_VERSION, PeerEndpoint};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// First bytes of Hello and Challenge; identify the protocol.
const MAGIC: [u8; 4] = *b"tbpr";
/// Maximum frame length before the peer is authenticated.
const MAX_HANDSHAKE_FRAME_BYTES: usize = 256;

const DIALER_PROOF_LABEL: &[u8] = b"thornbridge dialer proof";
const LISTENER_PROOF_LABEL: &[u8] = b"thornbridge listener proof";
const DIALER_KEY_LABEL: &[u8] = b"thornbridge dialer frames";
const LISTENER_KEY_LABEL: &[u8] = b"thornbridge listener frames";

pub(super) type Reader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;
pub(super) type Writer = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Content of Hello and Challenge after magic and version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HelloContent {
    endpoint: PeerEndpoint,
    nonce: [u8; KEY_BYTES],
}

/// Identity of this node towards its peers.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    /// Id of this run of the node, and its advertised address.
    pub(super) endpoint: PeerEndpoint,
    /// Cluster key.
    pub(super) cluster_key: ClusterKey,
}

/// Link on which both sides are authenticated.
pub(super) struct Established {
    /// Peer at the other end.
    pub(super) peer: PeerEndpoint,
    pub(super) reader: Reader,
    pub(super) writer: Writer,
    /// Opens received frames.
    pub(super) incoming: FrameAuthenticator,
    /// Seals sent frames.
    pub(super) outgoing: FrameAuthenticator,
}

/// Performs the handshake as the dialer.
pub(super) async fn dial(stream: TcpStream, identity: &Identity) -> Result<Established, LinkError> {
    let (mut reader, mut writer) = framed(stream);
    let hello = encode_hello(identity)?;
    send(&mut writer, hello.clone()).await?;
    let challenge = receive(&mut reader).await?;
    let peer = decode_hello(&challenge, identity)?;
    let keys = Keys::derive(identity, &hello, &challenge);
    send(&mut writer, Bytes::copy_from_slice(&keys.dialer_proof)).await?;
    let proof = receive(&mut reader).await?;
    if !keys.verifies(LISTENER_PROOF_LABEL, &proof) {
        return Err(LinkError::WrongClusterKey);
    }
    Ok(established(
        peer,
        reader,
        writer,
        &keys.listener_key,
        &keys.dialer_key,
    ))
}

/// Performs the handshake as the listener.
pub(super) async fn accept(
    stream: TcpStream,
    identity: &Identity,
) -> Result<Established, LinkError> {
    let (mut reader, mut writer) = framed(stream);
    let hello = receive(&mut reader).await?;
    let peer = decode_hello(&hello, identity)?;
    let challenge = encode_hello(identity)?;
    send(&mut writer, challenge.clone()).await?;
    let keys = Keys::derive(identity, &hello, &challenge);
    let proof = receive(&mut reader).await?;
    if !keys.verifies(DIALER_PROOF_LABEL, &proof) {
        return Err(LinkError::WrongClusterKey);
    }
    send(&mut writer, Bytes::copy_from_slice(&keys.listener_proof)).await?;
    Ok(established(
        peer,
        reader,
        writer,
        &keys.dialer_key,
        &keys.listener_key,
    ))
}

/// Proofs and frame keys, derived from the cluster key, Hello and Challenge.
struct Keys<'a> {
    cluster_key: &'a [u8],
    hello: &'a [u8],
    challenge: &'a [u8],
    dialer_proof: [u8; KEY_BYTES],
    listener_proof: [u8; KEY_BYTES],
    dialer_key: [u8; KEY_BYTES],
    listener_key: [u8; KEY_BYTES],
}

impl<'a> Keys<'a> {
    fn derive(identity: &'a Identity, hello: &'a [u8], challenge: &'a [u8]) -> Self {
        let cluster_key = identity.cluster_key.as_bytes().as_slice();
        let derive = |label: &[u8]| mac_of_parts(cluster_key, &[label, hello, challenge]);
        Self {
            cluster_key,
            hello,
            challenge,
            dialer_proof: derive(DIALER_PROOF_LABEL),
            listener_proof: derive(LISTENER_PROOF_LABEL),
            dialer_key: derive(DIALER_KEY_LABEL),
            listener_key: derive(LISTENER_KEY_LABEL),
        }
    }

    fn verifies(&self, label: &[u8], proof: &[u8]) -> bool {
        verify_mac_of_parts(
            self.cluster_key,
            &[label, self.hello, self.challenge],
            proof,
        )
    }
}

fn framed(stream: TcpStream) -> (Reader, Writer) {
    let (read, write) = stream.into_split();
    let codec = || {
        LengthDelimitedCodec::builder()
            .max_frame_length(MAX_HANDSHAKE_FRAME_BYTES)
            .new_codec()
    };
    (
        FramedRead::new(read, codec()),
        FramedWrite::new(write, codec()),
    )
}

fn established(
    peer: PeerEndpoint,
    mut reader: Reader,
    mut writer: Writer,
    incoming: &[u8; KEY_BYTES],
    outgoing: &[u8; KEY_BYTES],
) -> Established {
    let max_length = PEER_FRAME_BYTES + super::session::TAG_BYTES;
    reader.decoder_mut().set_max_frame_length(max_length);
    writer.encoder_mut().set_max_frame_length(max_length);
    Established {
        peer,
        reader,
        writer,
        incoming: FrameAuthenticator::new(incoming),
        outgoing: FrameAuthenticator::new(outgoing),
    }
}

fn encode_hello(identity: &Identity) -> Result<Bytes, LinkError> {
    let hello = HelloContent {
        endpoint: identity.endpoint,
        nonce: rand::rng().random(),
    };
    let body = frame::encode(&hello).map_err(|_| LinkError::Malformed)?;
    let mut bytes = BytesMut::with_capacity(MAGIC.len() + size_of::<u16>() + body.len());
    bytes.put_slice(&MAGIC);
    bytes.put_u16(PROTOCOL_VERSION);
    bytes.put_slice(&body);
    Ok(bytes.freeze())
}

/// Checks the version first, since the rest of the encoding depends on it.
fn decode_hello(bytes: &[u8], identity: &Identity) -> Result<PeerEndpoint, LinkError> {
    let mut rest = bytes.strip_prefix(&MAGIC).ok_or(LinkError::Malformed)?;
    let version = rest.try_get_u16().map_err(|_| LinkError::Malformed)?;
    if version != PROTOCOL_VERSION {
        return Err(LinkError::UnknownVersion);
    }
    let hello: HelloContent = frame::decode(rest).map_err(|_| LinkError::Malformed)?;
    if hello.endpoint.node == identity.endpoint.node {
        return Err(LinkError::OwnAddress);
    }
    Ok(hello.endpoint)
}

async fn send(writer: &mut Writer, frame: Bytes) -> Result<(), LinkError> {
    writer
        .send(frame)
        .await
        .map_err(|_| LinkError::ConnectionBroken)
}

async fn receive(reader: &mut Reader) -> Result<BytesMut, LinkError> {
    match reader.next().await {
        None => Err(LinkError::ConnectionBroken),
        Some(Ok(frame)) => Ok(frame),
        Some(Err(error)) => Err(LinkError::from_read_error(&error)),
    }
}
