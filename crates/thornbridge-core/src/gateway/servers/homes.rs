//! Home regions: servers outside of a route's homes get none of its requests.

use super::server::Server;
use super::{Placement, ServerKey, Servers};
use crate::gateway::budget::ServiceKey;
use thornbridge_proto::{RegionName, ZoneName};

impl Placement {
    /// Region of a zone, if it is known.
    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        match *zone == self.zone {
            true => Some(&self.region),
            false => self.regions.get(zone),
        }
    }
}

impl Server {
    /// Whether the server is in one of the homes, or there are none. A server whose region is unknown
    /// is at home nowhere.
    pub(in crate::gateway) fn is_at_home(&self, homes: &[RegionName]) -> bool {
        let in_homes = |region| homes.contains(region);
        homes.is_empty() || self.region.as_ref().is_some_and(in_homes)
    }
}

impl Servers {
    /// Whether a service has a server in the homes that takes requests.
    pub(in crate::gateway) fn has_server_at_home(
        &self,
        service: ServiceKey,
        homes: &[RegionName],
    ) -> bool {
        self.has_other_server(service, &[], homes)
    }

    /// Whether a service has a server in the homes that takes requests and is not in `tried`.
    pub(in crate::gateway) fn has_other_server(
        &self,
        service: ServiceKey,
        tried: &[ServerKey],
        homes: &[RegionName],
    ) -> bool {
        let keys = &self.services[service.0 as usize].servers;
        let others = keys.iter().filter(|key| !tried.contains(key));
        let mut others = others.filter_map(|key| self.get(*key));
        others.any(|server| server.takes_requests() && server.is_at_home(homes))
    }
}
