//! The views that a gateway keeps: the route configuration, the registry of instances and the
//! evacuated zones.
//!
//! Each is read from the store by a list and then watches ([`source`]), by one member for all, and
//! compared with peers ([`peers`], nearer ones first: [`neighbourhood`]), so that a node that the
//! store refuses or cannot reach still learns every change. [`freshness`] says who reads.
//! Guards against going back: a view is replaced only by a newer one.

pub(super) mod era;
pub(super) mod evacuations;
pub(super) mod freshness;
pub(super) mod neighbourhood;
pub(super) mod peers;
pub(super) mod registry;
pub(super) mod source;
