//! Reading the platform's store: one kept connection for each view, one call at a time on it.

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

/// Time that sent bytes may stay unacknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

/// What a platform's store speaks.
pub trait StoreProtocol: Send + Sync + 'static {
    /// Where the store is.
    fn address(&self) -> SocketAddr;
    /// The call for a read.
    fn request(&self, kind: ViewKind, read: &SourceRead) -> Request<Full<Bytes>>;
    /// What the head of its answer says of its era.
    fn era(&self, headers: &HeaderMap) -> ReportedEra;
    /// What its answer says.
    fn reply(
        &self,
        kind: ViewKind,
        read: &SourceRead,
        status: StatusCode,
        body: &[u8],
    ) -> Result<SourceReply, SourceFailure>;
}

type Kept = Arc<Mutex<BTreeMap<ViewKind, SendRequest<Full<Bytes>>>>>;

/// The client of the store.
#[derive(Clone)]
pub(super) struct StoreClient {
    protocol: Arc<dyn StoreProtocol>,
    kept: Kept,
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
            kept: Kept::default(),
            era: Arc::default(),
            inputs,
        }
    }

    /// Makes a call; its answer comes as an input.
    pub(super) fn start(&self, kind: ViewKind, read: u64, what: SourceRead, timeout: Duration) {
        let client = self.clone();
        tokio::spawn(async move {
            let call = client.call(kind, &what);
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

    async fn call(&self, kind: ViewKind, what: &SourceRead) -> Result<SourceReply, SourceFailure> {
        let mut sender = match self.take(kind) {
            Some(sender) => sender,
            None => self.connect().await?,
        };
        let request = self.protocol.request(kind, what);
        let response = sender.send_request(request).await;
        let response = response.map_err(|_| SourceFailure::Unreachable)?;
        let status = response.status();
        let told = self.protocol.era(response.headers());
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| SourceFailure::Unreachable)?.to_bytes();
        // The connection is kept only after a whole answer: one that lost an answer is silent.
        self.keep(kind, sender);
        let era = self.take_era(kind, &told)?;
        let reply = self.protocol.reply(kind, what, status, &body)?;
        Ok(reply.in_era(era))
    }

    /// The era that an answer belongs to.
    fn take_era(&self, kind: ViewKind, told: &ReportedEra) -> Result<u64, SourceFailure> {
        let mut tracker = self.era.lock().unwrap_or_else(PoisonError::into_inner);
        match tracker.observe(told) {
            Ok((era, believed)) => {
                if !believed {
                    log::warn!(view = kind.as_str(), told:? = told, era = era; "store era ignored");
                }
                Ok(era)
            }
            Err(ended) => {
                log::warn!(view = kind.as_str(), error:% = ended; "store answer dropped");
                Err(SourceFailure::StaleEra)
            }
        }
    }

    async fn connect(&self) -> Result<SendRequest<Full<Bytes>>, SourceFailure> {
        let connecting = TcpStream::connect(self.protocol.address());
        let stream = connecting.await.map_err(|_| SourceFailure::Unreachable)?;
        sockets::prepare(&stream, UNACKNOWLEDGED);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|_| SourceFailure::Unreachable)?;
        tokio::spawn(async move {
            // Its end shows in the next call.
            let _ = connection.await;
        });
        Ok(sender)
    }

    fn take(&self, kind: ViewKind) -> Option<SendRequest<Full<Bytes>>> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.remove(&kind).filter(|sender| !sender.is_closed())
    }

    fn keep(&self, kind: ViewKind, sender: SendRequest<Full<Bytes>>) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.insert(kind, sender);
    }
}
