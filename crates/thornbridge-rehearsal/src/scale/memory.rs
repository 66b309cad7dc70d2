//! Resident memory of this process, from the kernel's `/proc/self/statm` (proc(5)).

/// Size of a page on the platforms that the project runs on.
const PAGE_BYTES: u64 = 4_096;

/// Resident set of this process at one moment; nothing where the kernel does not tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResidentMemory {
    bytes: Option<u64>,
}

impl ResidentMemory {
    /// Reads it.
    pub fn now() -> Self {
        let text = std::fs::read_to_string("/proc/self/statm").ok();
        Self {
            bytes: text
                .as_deref()
                .and_then(resident_pages)
                .map(|pages| pages * PAGE_BYTES),
        }
    }

    /// Bytes that came since an earlier reading; 0 where unknown or less.
    pub fn growth_since(self, earlier: Self) -> u64 {
        match (self.bytes, earlier.bytes) {
            (Some(now), Some(before)) => now.saturating_sub(before),
            _ => 0,
        }
    }
}

/// The second field: resident pages.
fn resident_pages(statm: &str) -> Option<u64> {
    statm.split_whitespace().nth(1)?.parse().ok()
}
