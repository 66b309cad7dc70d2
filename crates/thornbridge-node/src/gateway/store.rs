//! Client of the platform's store. Keeps one idle connection for each view; a write opens its own,
//! since one kept from an earlier write may be dead, which would cost the write its timeout.

use crate::sockets;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thornbridge_core::gateway::{
    EraTracker, ReportedEra, SourceFailure, SourceRead, SourceReply, StateWriteReply, ViewKind,
};
use thornbridge_proto::peer::rollout::RolloutState;
use thornbridge_proto::peer::view::StoreRevision;
use thornbridge_proto::{ServerVersion, ServiceName};
use tokio::net::TcpStream;

/// Time for the store to acknowledge sent bytes before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Label of writes in logs, beside those of views.
const WRITES: &str = "rollout_states";

/// Conditional write of a roll-out's state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateWrite {
    /// Service of the roll-out.
    pub service: ServiceName,
    /// Revision that the object must still have.
    pub based_on: StoreRevision,
    /// Version on trial.
    pub target: ServerVersion,
    /// State to write.
    pub state: RolloutState,
}

/// HTTP protocol of a platform's store.
pub trait StoreProtocol: Send + Sync + 'static {
    /// Address of the store.
    fn address(&self) -> SocketAddr;
    /// Builds the request for a read.
    fn request(&self, kind: ViewKind, read: &SourceRead) -> Request<Full<Bytes>>;
    /// Parses the era in a response's headers.
    fn parse_era(&self, headers: &HeaderMap) -> ReportedEra;
    /// Parses a response to a read.
    fn parse_reply(
        &self,
        kind: ViewKind,
        read: &SourceRead,
        status: StatusCode,
        body: &[u8],
    ) -> Result<SourceReply, SourceFailure>;
    /// Builds the request for a write.
    fn write_request(&self, write: &StateWrite) -> Request<Full<Bytes>>;
    /// Parses a response to a write.
    fn parse_write_reply(
        &self,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StateWriteReply, SourceFailure>;
}

/// Complete response of the store.
struct StoreResponse {
    status: StatusCode,
    body: Bytes,
    era: ReportedEra,
}

type IdleConnections = Arc<Mutex<BTreeMap<ViewKind, SendRequest<Full<Bytes>>>>>;

/// Client of the store. Clones share connections and era.
#[derive(Clone)]
pub struct StoreClient {
    protocol: Arc<dyn StoreProtocol>,
    idle: IdleConnections,
    era: Arc<Mutex<EraTracker>>,
}

impl fmt::Debug for StoreClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreClient")
            .field("address", &self.protocol.address())
            .finish_non_exhaustive()
    }
}

impl StoreClient {
    /// A client without connections.
    pub fn new(protocol: Arc<dyn StoreProtocol>) -> Self {
        Self {
            protocol,
            idle: IdleConnections::default(),
            era: Arc::default(),
        }
    }

    /// Performs a read.
    pub async fn read(
        &self,
        kind: ViewKind,
        query: &SourceRead,
        timeout: Duration,
    ) -> Result<SourceReply, SourceFailure> {
        let call = self.call_read(kind, query);
        let finished = tokio::time::timeout(timeout, call).await;
        finished.unwrap_or(Err(SourceFailure::Unreachable))
    }

    /// Performs a write. After a failure other than `Refused`, it may still be done.
    pub async fn write_state(
        &self,
        write: &StateWrite,
        timeout: Duration,
    ) -> Result<StateWriteReply, SourceFailure> {
        let call = self.call_write(write);
        let finished = tokio::time::timeout(timeout, call).await;
        finished.unwrap_or(Err(SourceFailure::Unreachable))
    }

    async fn call_read(
        &self,
        kind: ViewKind,
        query: &SourceRead,
    ) -> Result<SourceReply, SourceFailure> {
        let mut sender = match self.take_idle(kind) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let request = self.protocol.request(kind, query);
        let response = self.exchange(&mut sender, request).await?;
        // Keep the connection only after a complete response: after a timeout, it may be dead.
        self.put_idle(kind, sender);
        let era = self.observe_era(kind.as_str(), &response.era)?;
        let StoreResponse { status, body, .. } = response;
        let reply = self.protocol.parse_reply(kind, query, status, &body)?;
        Ok(reply.in_era(era))
    }

    async fn call_write(&self, write: &StateWrite) -> Result<StateWriteReply, SourceFailure> {
        self.ensure_same_era(write.based_on)?;
        let mut sender = self.connect().await?;
        let request = self.protocol.write_request(write);
        let response = self.exchange(&mut sender, request).await?;
        let era = self.observe_era(WRITES, &response.era)?;
        let StoreResponse { status, body, .. } = response;
        let reply = self.protocol.parse_write_reply(status, &body)?;
        Ok(reply.in_era(era))
    }

    async fn exchange(
        &self,
        sender: &mut SendRequest<Full<Bytes>>,
        request: Request<Full<Bytes>>,
    ) -> Result<StoreResponse, SourceFailure> {
        let response = sender.send_request(request).await;
        let response = response.map_err(|_| SourceFailure::Unreachable)?;
        let status = response.status();
        let era = self.protocol.parse_era(response.headers());
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| SourceFailure::Unreachable)?.to_bytes();
        Ok(StoreResponse { status, body, era })
    }

    /// Fails for a revision of an ended era: another change of the object may have it now.
    fn ensure_same_era(&self, revision: StoreRevision) -> Result<(), SourceFailure> {
        let tracker = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        match tracker.is_past(revision.era) {
            true => Err(SourceFailure::StaleEra),
            false => Ok(()),
        }
    }

    /// Returns the era that a response belongs to; fails for one older than the current era.
    fn observe_era(&self, view: &str, reported: &ReportedEra) -> Result<u64, SourceFailure> {
        let mut tracker = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        match tracker.observe(reported) {
            Ok((era, believed)) => {
                if !believed {
                    log::warn!(
                        view,
                        told:? = reported,
                        era = era;
                        "store era ignored"
                    );
                }
                Ok(era)
            }
            Err(stale) => {
                log::warn!(view, error:% = stale; "store answer dropped");
                Err(SourceFailure::StaleEra)
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SourceFailure> {
        let connecting = TcpStream::connect(self.protocol.address());
        let stream = connecting.await.map_err(|_| SourceFailure::Unreachable)?;
        sockets::prepare(&stream, TCP_USER_TIMEOUT);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SourceFailure::Unreachable)?;
        tokio::spawn(async move {
            // The next call notices a closed connection.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take_idle(&self, kind: ViewKind) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&kind).filter(|sender| !sender.is_closed())
    }

    fn put_idle(&self, kind: ViewKind, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.insert(kind, sender);
    }
}
