//! Each run of each action, to prove that there is at most one.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use thornbridge_proto::{BackEndId, RequestId};

/// One run of an action.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Execution {
    /// Where it ran.
    pub back_end: BackEndId,
    /// Request that it ran for.
    pub request: RequestId,
}

/// All runs under one key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// In the order in which they began.
    pub runs: Vec<Execution>,
}

/// All runs, by key.
#[derive(Debug, Default)]
pub struct ExecutionLog {
    by_key: Mutex<BTreeMap<String, Executions>>,
}

impl ExecutionLog {
    /// An action begins to run.
    pub fn record(&self, key: &str, execution: Execution) {
        let mut by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        let executions = by_key.entry(key.to_owned()).or_default();
        executions.runs.push(execution);
    }

    /// Runs under a key.
    pub fn of_key(&self, key: &str) -> Executions {
        let by_key = self.by_key.lock().unwrap_or_else(PoisonError::into_inner);
        by_key.get(key).cloned().unwrap_or_default()
    }
}
