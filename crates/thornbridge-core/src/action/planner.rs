//! Planning of an action: validates the request and selects the shard.

use crate::configuration::ActiveConfiguration;
use crate::planning::{PlanRefusal, check_timeout, find_service, refuse};
use sha2::{Digest as _, Sha256};
use std::sync::Arc;
use std::time::Duration;
use thornbridge_config::bundle::ServiceKind;
use thornbridge_proto::caller::{ActionRequest, RefusalReason};
use thornbridge_proto::limits::{CALLER_BODY_BYTES, IDEMPOTENCY_KEY_BYTES};
use thornbridge_proto::{BackEndId, Digest, ServiceName, ShardId};

/// A validated action with its shard and replicas.
#[derive(Debug)]
pub(super) struct ActionPlan {
    pub(super) configuration: Arc<ActiveConfiguration>,
    pub(super) service: ServiceName,
    pub(super) shard: ShardId,
    pub(super) replicas: Vec<BackEndId>,
    pub(super) key_text: Arc<str>,
    pub(super) payload_text: Arc<str>,
    /// Digest of service name and idempotency key.
    pub(super) key: Digest,
    /// Digest of the payload.
    pub(super) payload: Digest,
    hard_deadline: Duration,
}

/// Plans an action under the active configuration.
pub(super) fn plan(
    active: Option<&Arc<ActiveConfiguration>>,
    request: &ActionRequest,
) -> Result<ActionPlan, PlanRefusal> {
    let (active, service) = find_service(active, &request.service, ServiceKind::Action)?;
    check_limits(request)?;
    let layout = service
        .snapshots
        .iter()
        .find_map(|snapshot| service.layout_of(snapshot))
        .or(service.layouts.first())
        .filter(|layout| !layout.shards.is_empty());
    let Some(layout) = layout else {
        let detail = format!("service {:?} has no layout", service.name);
        return refuse(RefusalReason::NoSnapshot, detail);
    };
    let key = digest_of_key(&request.service, &request.key);
    let shard = shard_of(&key, layout.shards.len());
    Ok(ActionPlan {
        configuration: Arc::clone(active),
        service: service.name.clone(),
        shard,
        replicas: layout.shards[shard.0 as usize].clone(),
        key_text: request.key.as_str().into(),
        payload_text: request.payload.as_str().into(),
        key,
        payload: Digest(Sha256::digest(request.payload.as_bytes()).into()),
        hard_deadline: service.completeness.hard_deadline,
    })
}

impl ActionPlan {
    /// Timeout of the request: the caller's, limited by the service's hard deadline.
    pub(super) fn timeout(&self, request: &ActionRequest) -> Duration {
        let requested = request.timeout.unwrap_or(self.hard_deadline);
        requested.min(self.hard_deadline)
    }
}

fn check_limits(request: &ActionRequest) -> Result<(), PlanRefusal> {
    let length = request.key.len();
    if !(1..=IDEMPOTENCY_KEY_BYTES).contains(&length) {
        let detail = format!("key has {length} bytes; expected 1 to {IDEMPOTENCY_KEY_BYTES}");
        return refuse(RefusalReason::Invalid, detail);
    }
    let length = request.payload.len();
    if length > CALLER_BODY_BYTES {
        let detail = format!("payload has {length} bytes; the limit is {CALLER_BODY_BYTES}");
        return refuse(RefusalReason::Invalid, detail);
    }
    check_timeout(request.timeout)
}

/// Hashes the service name with the key, since keys of different services are independent.
fn digest_of_key(service: &ServiceName, key: &str) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update((service.as_str().len() as u64).to_be_bytes());
    hasher.update(service.as_str().as_bytes());
    hasher.update(key.as_bytes());
    Digest(hasher.finalize().into())
}

fn shard_of(key: &Digest, shards: usize) -> ShardId {
    let mut first = [0; size_of::<u64>()];
    first.copy_from_slice(&key.0[..size_of::<u64>()]);
    ShardId((u64::from_be_bytes(first) % shards as u64) as u32)
}
