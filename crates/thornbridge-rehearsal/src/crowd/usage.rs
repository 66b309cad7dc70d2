//! What a process holds, as the system tells it in `/proc`.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// States of a socket in `/proc/net/tcp`.
const ESTABLISHED: &str = "01";
const LISTENING: &str = "0A";

/// Most memory that a running process held, in MB.
pub fn peak_memory_mb(pid: u32) -> u64 {
    let status = fs::read_to_string(proc_path(pid, "status")).expect("a running process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes.expect("VmHWM").parse().expect("kB");
    kilobytes * 1_024 / 1_000_000
}

/// Open descriptors of a running process.
pub fn descriptors(pid: u32) -> usize {
    let descriptors = fs::read_dir(proc_path(pid, "fd"));
    descriptors.expect("a running process").count()
}

/// Bytes that the system holds for the connections of one listener.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemBuffers {
    /// Received, and not read by the process.
    pub unread_bytes: u64,
    /// Written by the process, and not acknowledged by its peers.
    pub unsent_bytes: u64,
}

impl SystemBuffers {
    /// Of the open connections to an IPv4 address.
    pub fn of_listener(address: SocketAddr) -> Self {
        let mut sum = Self::default();
        for (unsent_bytes, unread_bytes) in queues(address, ESTABLISHED) {
            sum.unsent_bytes += unsent_bytes;
            sum.unread_bytes += unread_bytes;
        }
        sum
    }
}

/// Connections that wait to be accepted by the listener of an IPv4 address.
pub fn waiting_connections(address: SocketAddr) -> u64 {
    let queues = queues(address, LISTENING);
    queues.into_iter().map(|(_, waiting)| waiting).sum()
}

/// Send and receive queues of an address's sockets in a state.
fn queues(address: SocketAddr, wanted_state: &str) -> Vec<(u64, u64)> {
    let sockets = fs::read_to_string("/proc/net/tcp").expect("sockets");
    let local = proc_address(address);
    let queues = sockets.lines().filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let &[_, local_address, _, state, queues, ..] = &fields[..] else {
            return None;
        };
        let (sending, receiving) = queues.split_once(':')?;
        let count = |hex| u64::from_str_radix(hex, 16).expect("a hexadecimal number");
        (local_address == local && state == wanted_state)
            .then(|| (count(sending), count(receiving)))
    });
    queues.collect()
}

/// An address as `/proc/net/tcp` shows it: the IP number in the machine's byte order.
fn proc_address(address: SocketAddr) -> String {
    let SocketAddr::V4(address) = address else {
        panic!("expected an IPv4 address");
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn proc_path(pid: u32, file: &str) -> PathBuf {
    Path::new("/proc").join(pid.to_string()).join(file)
}
