//! Options of TCP sockets, the same for every side.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Silence after which an idle connection is tried.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(15);
/// Time between tries that are not answered.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Sets the sizes of a connection's buffers in the system, in place of ones that grow with the load. Where
/// the system refuses them the connection works without.
pub(crate) fn limit_buffers(stream: &TcpStream, bytes: usize) {
    let socket = SockRef::from(stream);
    let _ = socket.set_recv_buffer_size(bytes);
    let _ = socket.set_send_buffer_size(bytes);
}

/// Prepares a connection: no delay for small writes, a limit on the time that sent bytes may
/// stay unacknowledged or untaken, and tries of an idle one, so that a machine that vanished
/// without a word is noticed. Where the system refuses an option the connection works without.
pub(crate) fn prepare(stream: &TcpStream, unacknowledged: Duration) {
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(unacknowledged));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&keepalive);
}
