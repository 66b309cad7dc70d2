//! Client of the platform's store. Keeps one idle connection for each view.

use super::driver::GatewayInput;
use crate::sockets;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use thornbridge_core::gateway::{
    EraTracker, GatewayEvent, ReportedEra, SourceFailure, SourceRead, SourceReply, ViewKind,
};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// Time for the store to acknowledge sent bytes before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

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
}

type IdleConnections = Arc<Mutex<BTreeMap<ViewKind, SendRequest<Full<Bytes>>>>>;

/// Client of the store. Clones share connections and era.
#[derive(Clone)]
pub(super) struct StoreClient {
    protocol: Arc<dyn StoreProtocol>,
    idle: IdleConnections,
    era: Arc<Mutex<EraTracker>>,
    inputs: mpsc::Sender<GatewayInput>,
}

impl StoreClient {
    pub(super) fn new(
        protocol: Arc<dyn StoreProtocol>,
        inputs: mpsc::Sender<GatewayInput>,
    ) -> Self {
        Self {
            protocol,
            idle: IdleConnections::default(),
            era: Arc::default(),
            inputs,
        }
    }

    /// Starts a read; its result is sent to the driver as [`GatewayEvent::SourceReplied`].
    pub(super) fn start(&self, kind: ViewKind, read: u64, query: SourceRead, timeout: Duration) {
        let client = self.clone();
        tokio::spawn(async move {
            let call = client.call(kind, &query);
            let result = match tokio::time::timeout(timeout, call).await {
                Ok(result) => result,
                Err(_) => Err(SourceFailure::Unreachable),
            };
            let event = GatewayEvent::SourceReplied { kind, read, result };
            let _ = client
                .inputs
                .send(GatewayInput::Event(Box::new(event)))
                .await;
        });
    }

    async fn call(&self, kind: ViewKind, query: &SourceRead) -> Result<SourceReply, SourceFailure> {
        let mut sender = match self.take_idle(kind) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let request = self.protocol.request(kind, query);
        let response = sender.send_request(request).await;
        let response = response.map_err(|_| SourceFailure::Unreachable)?;
        let status = response.status();
        let reported = self.protocol.parse_era(response.headers());
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| SourceFailure::Unreachable)?.to_bytes();
        // Keep the connection only after a complete response: after a timeout, it may be dead.
        self.put_idle(kind, sender);
        let era = self.observe_era(kind, &reported)?;
        let reply = self.protocol.parse_reply(kind, query, status, &body)?;
        Ok(reply.in_era(era))
    }

    /// Returns the era that a response belongs to; fails for one older than the current era.
    fn observe_era(&self, kind: ViewKind, reported: &ReportedEra) -> Result<u64, SourceFailure> {
        let mut tracker = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        match tracker.observe(reported) {
            Ok((era, believed)) => {
                if !believed {
                    log::warn!(
                        view = kind.as_str(),
                        told:? = reported,
                        era = era;
                        "store era ignored"
                    );
                }
                Ok(era)
            }
            Err(stale) => {
                log::warn!(view = kind.as_str(), error:% = stale; "store answer dropped");
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
