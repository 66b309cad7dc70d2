//! Versions of a service's servers: which of them get requests during and after a roll-out.

use thornbridge_proto::ServerVersion;

/// What servers of a version get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::gateway) enum VersionRole {
    /// All requests.
    Serving,
    /// Requests with a permit.
    Trial,
    /// Nothing, unless no other server of the service remains: nobody ordered the version.
    Held,
    /// Nothing.
    Rejected,
}

/// Roles of the versions of one service. By default, every version serves.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(in crate::gateway) struct VersionRoles {
    /// Version that serves; `None` if every version without another role does.
    pub(in crate::gateway) established: Option<ServerVersion>,
    /// Version on trial.
    pub(in crate::gateway) trial: Option<ServerVersion>,
    /// Version that was rolled back.
    pub(in crate::gateway) rejected: Option<ServerVersion>,
}

impl VersionRoles {
    /// Role of servers of a version.
    pub(in crate::gateway) fn role_of(&self, version: &ServerVersion) -> VersionRole {
        if self.trial.as_ref() == Some(version) {
            return VersionRole::Trial;
        }
        if self.rejected.as_ref() == Some(version) {
            return VersionRole::Rejected;
        }
        match &self.established {
            Some(established) if established != version => VersionRole::Held,
            _ => VersionRole::Serving,
        }
    }
}
