//! Who reads the store: it bears only a few readers at once.

use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug)]
struct Reader {
    last_request: Instant,
    open_watches: usize,
}

/// Readers by the name they give themselves.
#[derive(Debug)]
pub struct Readers {
    window: Duration,
    readers: BTreeMap<String, Reader>,
    most_at_once: usize,
}

impl Readers {
    /// No readers yet; each counts for `window` after its last request.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            readers: BTreeMap::new(),
            most_at_once: 0,
        }
    }

    /// Admits a request of a reader unless it would be one too many.
    pub fn admit(&mut self, name: &str, limit: Option<usize>, now: Instant) -> bool {
        self.forget_old(now);
        let known = self.readers.contains_key(name);
        if !known && limit.is_some_and(|limit| self.readers.len() >= limit) {
            return false;
        }
        let reader = self.readers.entry(name.to_owned()).or_insert(Reader {
            last_request: now,
            open_watches: 0,
        });
        reader.last_request = now;
        self.most_at_once = self.most_at_once.max(self.readers.len());
        true
    }

    /// A reader that was admitted opened a watch.
    pub fn watch_opened(&mut self, name: &str) {
        if let Some(reader) = self.readers.get_mut(name) {
            reader.open_watches += 1;
        }
    }

    /// A reader's watch is gone.
    pub fn watch_closed(&mut self, name: &str, now: Instant) {
        if let Some(reader) = self.readers.get_mut(name) {
            reader.open_watches = reader.open_watches.saturating_sub(1);
            reader.last_request = now;
        }
    }

    /// Readers that count now.
    pub fn count(&mut self, now: Instant) -> usize {
        self.forget_old(now);
        self.readers.len()
    }

    fn forget_old(&mut self, now: Instant) {
        let window = self.window;
        self.readers.retain(|_, reader| {
            reader.open_watches > 0 || now.duration_since(reader.last_request) < window
        });
    }

    /// Most readers that ever counted at once.
    pub fn most_at_once(&self) -> usize {
        self.most_at_once
    }
}
