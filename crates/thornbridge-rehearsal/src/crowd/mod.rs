//! Callers that send a part of what they announce, keep their connections open, and come back when
//! these are closed.

pub mod usage;

use bytes::Bytes;
use socket2::SockRef;
use std::io::ErrorKind;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Connections that a caller of a crowd opens, one after the other, before it stays away.
const MAX_ROUNDS: usize = 3;
/// Callers that come at once.
const WAVE: usize = 32;
/// Connections that wait to be accepted, beyond which no further caller comes: those that a listener's
/// backlog does not hold would be open on one side only.
const MAX_WAITING_CONNECTIONS: u64 = 64;
/// Receive buffer of callers that do not read: the system may take twice as much.
const UNREAD_BUFFER_BYTES: usize = 4 * 1_024;

/// What a caller does once all is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Afterwards {
    /// Keeps the connection open.
    Stay,
    /// Waits for the first bytes of an answer, and takes no more.
    AwaitFirstBytes,
    /// Has sent no more than the system takes at once, and stays.
    StayWhenBlocked,
}

/// What a caller sends.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Bytes in the pieces in which they are sent.
    pub pieces: Vec<Bytes>,
    /// What follows.
    pub afterwards: Afterwards,
}

impl Behaviour {
    /// Sends bytes at once and stays.
    pub fn whole(bytes: Vec<u8>) -> Self {
        let len = bytes.len();
        Self::in_pieces(bytes, len.max(1))
    }

    /// Sends bytes in pieces and stays.
    pub fn in_pieces(bytes: Vec<u8>, piece_bytes: usize) -> Self {
        let bytes = Bytes::from(bytes);
        let starts = (0..bytes.len()).step_by(piece_bytes);
        let pieces = starts.map(|start| {
            let end = bytes.len().min(start + piece_bytes);
            bytes.slice(start..end)
        });
        Self {
            pieces: pieces.collect(),
            afterwards: Afterwards::Stay,
        }
    }

    /// Takes no more than the first bytes of the answer.
    pub fn leaving_answer_unread(mut self) -> Self {
        self.afterwards = Afterwards::AwaitFirstBytes;
        self
    }

    /// Sends no more than the system takes at once.
    pub fn sending_until_blocked(mut self) -> Self {
        self.afterwards = Afterwards::StayWhenBlocked;
        self
    }
}

/// A crowd whose callers have sent what they send; its connections are open until it is dropped.
#[derive(Debug)]
pub struct Crowd {
    /// Connections that were open when all was sent.
    open: Vec<TcpStream>,
}

impl Crowd {
    /// Sends a crowd, and waits until each caller holds a connection or was turned away for the last time.
    pub async fn send(address: SocketAddr, callers: usize, behaviour: &Behaviour) -> Self {
        Self::send_each(address, callers, |_| behaviour.clone()).await
    }

    /// The same where each caller has a behaviour of its own.
    pub async fn send_each(
        address: SocketAddr,
        callers: usize,
        behaviour: impl Fn(usize) -> Behaviour,
    ) -> Self {
        let mut running = JoinSet::new();
        for caller in 0..callers {
            if caller % WAVE == 0 {
                while usage::waiting_connections(address) > MAX_WAITING_CONNECTIONS {
                    tokio::task::yield_now().await;
                }
            }
            let behaviour = behaviour(caller);
            let first = connect(address, behaviour.afterwards).await;
            running.spawn(async move { run_caller(address, first, &behaviour).await });
        }
        let open = running.join_all().await.into_iter().flatten().collect();
        Self { open }
    }

    /// Connections that were open when all was sent.
    pub fn connections(&self) -> usize {
        self.open.len()
    }
}

/// The connection that the caller holds in the end.
async fn run_caller(
    address: SocketAddr,
    first: Option<TcpStream>,
    behaviour: &Behaviour,
) -> Option<TcpStream> {
    let mut connection = first;
    for round in 1.. {
        if let Some(stream) = connection
            && let Some(held) = run_round(stream, behaviour).await
        {
            return Some(held);
        }
        if round == MAX_ROUNDS {
            break;
        }
        connection = connect(address, behaviour.afterwards).await;
    }
    None
}

/// Sends everything; `None` if the connection is closed meanwhile.
async fn run_round(mut stream: TcpStream, behaviour: &Behaviour) -> Option<TcpStream> {
    for piece in &behaviour.pieces {
        match behaviour.afterwards {
            Afterwards::StayWhenBlocked => write_until_blocked(&stream, piece)?,
            Afterwards::Stay | Afterwards::AwaitFirstBytes => {
                stream.write_all(piece).await.ok()?;
            }
        }
    }
    match behaviour.afterwards {
        Afterwards::Stay | Afterwards::StayWhenBlocked => is_open(&stream).then_some(stream),
        Afterwards::AwaitFirstBytes => {
            let mut first = [0; 64];
            let received = stream.read(&mut first).await.ok()?;
            (received > 0).then_some(stream)
        }
    }
}

async fn connect(address: SocketAddr, afterwards: Afterwards) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    if afterwards == Afterwards::AwaitFirstBytes {
        let socket = SockRef::from(&stream);
        socket.set_recv_buffer_size(UNREAD_BUFFER_BYTES).ok()?;
    }
    Some(stream)
}

fn write_until_blocked(stream: &TcpStream, mut bytes: &[u8]) -> Option<()> {
    while !bytes.is_empty() {
        match stream.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Some(()),
            Err(_) => return None,
        }
    }
    Some(())
}

fn is_open(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let read = stream.try_read(&mut byte);
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}
