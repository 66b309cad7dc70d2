//! A configuration that is known but not yet in force.
//!
//! A configuration that names other shards waits, for a bounded time, for a connection to each of
//! them: the first requests would else all pay for opening one. A version is put in force as a
//! whole, so that no route goes back.

use crate::gateway::notes::ViewOrigin;
use crate::time::Timestamp;
use std::sync::Arc;
use thornbridge_config::routes::{RouteConfiguration, RouteVersion};

/// A configuration on its way.
#[derive(Clone, Debug)]
pub(super) struct Staged {
    pub(super) configuration: Arc<RouteConfiguration>,
    pub(super) origin: ViewOrigin,
    pub(super) since: Timestamp,
}

/// The newest configuration that is not in force.
#[derive(Debug, Default)]
pub(super) struct Staging {
    staged: Option<Staged>,
}

impl Staging {
    /// Takes a configuration that is newer than what is in force. A wait that has begun for an
    /// older one goes on, so that a quick succession of versions is not put off for ever.
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

    /// Version on its way.
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
