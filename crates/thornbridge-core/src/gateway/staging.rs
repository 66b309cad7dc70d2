//! Staging of a configuration that is known but not yet active.
//!
//! A configuration with new shards is staged until a connection to each of them is open, or a
//! timeout has passed, so that the first requests need not wait for connections. A version is
//! activated as a whole, so that no route reverts to an older version.

use crate::gateway::telemetry::ViewOrigin;
use crate::time::Timestamp;
use std::sync::Arc;
use thornbridge_config::routes::{RouteConfiguration, RouteVersion};

/// A staged configuration.
#[derive(Clone, Debug)]
pub(super) struct Staged {
    pub(super) configuration: Arc<RouteConfiguration>,
    pub(super) origin: ViewOrigin,
    pub(super) since: Timestamp,
}

/// Holder of the newest configuration that is not yet active.
#[derive(Debug, Default)]
pub(super) struct Staging {
    staged: Option<Staged>,
}

impl Staging {
    /// Stages a configuration that is newer than the active one, unless a newer one is staged.
    ///
    /// The staging time of a replaced version is kept, so that rapid updates cannot postpone
    /// activation forever.
    pub(super) fn stage(
        &mut self,
        now: Timestamp,
        configuration: Arc<RouteConfiguration>,
        origin: ViewOrigin,
    ) {
        if self.version() >= Some(configuration.version) {
            return;
        }
        let since = self.staged.as_ref().map_or(now, |staged| staged.since);
        self.staged = Some(Staged {
            configuration,
            origin,
            since,
        });
    }

    /// Version of the staged configuration.
    pub(super) fn version(&self) -> Option<RouteVersion> {
        Some(self.staged.as_ref()?.configuration.version)
    }

    pub(super) fn get(&self) -> Option<&Staged> {
        self.staged.as_ref()
    }

    pub(super) fn take(&mut self) -> Option<Staged> {
        self.staged.take()
    }
}
