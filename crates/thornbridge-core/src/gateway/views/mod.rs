//! Replicated views of a gateway: the route configuration, the registry of instances and the
//! evacuated zones.
//!
//! One member reads the views from the store by a list and subsequent watches ([`source`]).
//! Members exchange them by digests and pulls ([`gossip`]), preferring peers of their own zone
//! ([`zone_peers`]), so that a node without access to the store still receives every change.
//! [`freshness`] decides which members read the store. A view is replaced only by a newer one.

pub(super) mod era;
pub(super) mod evacuations;
pub(super) mod freshness;
pub(super) mod gossip;
pub(super) mod registry;
pub(super) mod source;
pub(super) mod zone_peers;
