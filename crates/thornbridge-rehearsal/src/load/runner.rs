//! Sends each request when it is due, whatever became of those before it.

use super::options::{LoadError, LoadOptions};
use super::report::{FinishedRequest, LoadReport, Recorder};
use super::schedule::{DueRequest, Schedule};
use super::sender::RequestSender;
use indicatif::{ProgressBar, ProgressStyle};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;

/// The progress bar moves at most so often.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// One run.
#[derive(Debug)]
pub struct Runner<S> {
    options: LoadOptions,
    sender: Arc<S>,
}

impl<S: RequestSender> Runner<S> {
    /// A run of checked options.
    pub fn new(options: &LoadOptions, sender: S) -> Self {
        Self {
            options: options.clone(),
            sender: Arc::new(sender),
        }
    }

    /// Runs until every request has its outcome; each has one, since each has a timeout.
    pub async fn run(self) -> Result<LoadReport, LoadError> {
        let mut recorder = Recorder::new(&self.options)?;
        let progress = progress_bar(self.options.duration);
        let (finished, mut outcomes) = mpsc::unbounded_channel();
        let start = Instant::now();
        let sending = tokio::spawn(self.send_all(start, finished));
        let mut shown = start;
        while let Some(outcome) = outcomes.recv().await {
            recorder.record(&outcome);
            if shown.elapsed() >= PROGRESS_INTERVAL {
                shown = Instant::now();
                progress.set_position(shown.duration_since(start).as_millis() as u64);
            }
        }
        progress.finish_and_clear();
        // All outcomes are in, so the task has ended.
        let _ = sending.await;
        Ok(recorder.report())
    }

    async fn send_all(self, start: Instant, finished: mpsc::UnboundedSender<FinishedRequest>) {
        let slots = Arc::new(Semaphore::new(self.options.concurrency));
        for request in Schedule::new(&self.options) {
            tokio::time::sleep_until(start + request.due).await;
            let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
                return;
            };
            let sender = Arc::clone(&self.sender);
            tokio::spawn(send_one(sender, request, start, slot, finished.clone()));
        }
    }
}

async fn send_one<S: RequestSender>(
    sender: Arc<S>,
    request: DueRequest,
    start: Instant,
    slot: OwnedSemaphorePermit,
    finished: mpsc::UnboundedSender<FinishedRequest>,
) {
    let sent = start.elapsed();
    let outcome = sender.send(request).await;
    drop(slot);
    // The receiver outlives the run.
    let _ = finished.send(FinishedRequest {
        service: request.service,
        due: request.due,
        sent,
        finished: start.elapsed(),
        outcome,
    });
}

fn progress_bar(duration: Duration) -> ProgressBar {
    let bar = ProgressBar::new(duration.as_millis() as u64);
    let template = "{elapsed_precise} {wide_bar} {percent}%";
    match ProgressStyle::with_template(template) {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
