//! Account of a connection, and what is reserved in it.

use super::{CallerTable, Growth, Phase, Pool};
use crate::held_bytes::holding;
use bytes::Bytes;
use std::sync::Arc;
use tokio_util::sync::CancellationToken;

/// The account has to give way to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Evicted;

/// Account of an open connection; closed when dropped.
#[derive(Debug)]
pub(crate) struct Account {
    table: Arc<CallerTable>,
    key: u64,
    buffer_bytes: usize,
    evicted: CancellationToken,
}

/// Bytes that are reserved in an account; released when dropped, also after the account was closed.
#[derive(Debug)]
pub(crate) struct Reservation {
    table: Arc<CallerTable>,
    key: u64,
    pool: Pool,
    bytes: usize,
}

impl Account {
    pub(super) fn new(
        table: Arc<CallerTable>,
        key: u64,
        buffer_bytes: usize,
        evicted: CancellationToken,
    ) -> Self {
        Self {
            table,
            key,
            buffer_bytes,
            evicted,
        }
    }

    /// Size to set for each of the system's buffers of the connection.
    pub(crate) fn socket_buffer_bytes(&self) -> usize {
        self.buffer_bytes
    }

    /// Records who the connection waits for from now on.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.table.set_phase(self.key, phase);
    }

    /// Waits until the account is evicted.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// A reservation of no bytes yet.
    pub(crate) fn reservation(&self, pool: Pool) -> Reservation {
        Reservation {
            table: Arc::clone(&self.table),
            key: self.key,
            pool,
            bytes: 0,
        }
    }

    /// Reserves bytes, once there is room for them.
    pub(crate) async fn reserve(&self, pool: Pool, bytes: usize) -> Result<Reservation, Evicted> {
        let mut reservation = self.reservation(pool);
        reservation.grow(bytes).await?;
        Ok(reservation)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.table.close(self.key);
    }
}

impl Reservation {
    /// Bytes that are reserved.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes, once there is room for them.
    pub(crate) async fn grow(&mut self, bytes: usize) -> Result<(), Evicted> {
        loop {
            let table = Arc::clone(&self.table);
            let changed = table.changed.notified();
            tokio::pin!(changed);
            // Changes count from before the look at the state.
            changed.as_mut().enable();
            match self.table.try_grow(self.key, self.pool, bytes) {
                Growth::Granted => {
                    self.bytes += bytes;
                    return Ok(());
                }
                Growth::Refused => return Err(Evicted),
                Growth::Wait => changed.await,
            }
        }
    }

    /// The bytes, which hold the reservation as long as anything refers to them.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        holding(bytes, self)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.table.release(self.key, self.pool, self.bytes);
    }
}
