//! Emulator of back ends, platform, network and callers; load and experiment tool; reports.
//!
//! [`simulator`] drives unchanged [`thornbridge_core::Node`]s in virtual time over models of
//! everything around them; [`oracle`] checks after each event what must always hold;
//! [`rehearse`] runs one rehearsal, [`fuzz`] many, [`compare`] several policies; [`report`] draws one;
//! [`scale`] measures what control costs as the cluster grows.
//! [`gateway`] does the same for HTTP gateways over a registry of servers.
//! [`stand_in`] are the platform and back ends over real sockets; [`load`] offers load to real nodes;
//! [`crowd`] are callers that make them hold memory and connections.

pub mod compare;
pub mod crowd;
pub mod fault;
pub mod fuzz;
pub mod gateway;
pub mod http_client;
pub mod load;
pub mod oracle;
pub mod rehearse;
pub mod report;
pub mod scale;
pub mod scenario;
pub mod simulator;
pub mod stand_in;
