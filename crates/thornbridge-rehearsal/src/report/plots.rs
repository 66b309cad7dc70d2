//! The plots, each as one SVG text.

use crate::rehearse::BackEndLoad;
use plotters::coord::Shift;
use plotters::prelude::*;
use snafu::Snafu;
use std::time::Duration;

const SIZE: (u32, u32) = (760, 340);
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 44;
const CAPTION_FONT: (&str, u32) = ("sans-serif", 16);
/// Points of a distribution: enough for a smooth line, few enough for a small file.
const DISTRIBUTION_POINTS: usize = 400;
/// Parts of the time axis over which coverage is averaged.
const TIME_PARTS: usize = 120;
/// Height of one back end's bar.
const BAR_HEIGHT: u32 = 13;

/// The drawing library failed.
#[derive(Debug, Snafu)]
#[snafu(display("the drawing library failed: {detail}"))]
pub struct PlotError {
    detail: String,
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for PlotError {
    fn from(error: DrawingAreaErrorKind<E>) -> Self {
        Self {
            detail: error.to_string(),
        }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw(
    size: (u32, u32),
    content: impl FnOnce(&Area<'_>) -> Result<(), PlotError>,
) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, size).into_drawing_area();
        area.fill(&WHITE)?;
        content(&area)?;
        area.present()?;
    }
    Ok(text)
}

/// Latencies (ascending, milliseconds) as the share of slower answers, on a logarithmic axis so that
/// the tail shows; the lower bound's p99 as a line. The axis of time is linear: over less than a
/// decade a logarithmic one gets no labels.
pub fn latency(
    service: &str,
    latencies_ms: &[f64],
    bound_p99_ms: Option<f64>,
) -> Result<String, PlotError> {
    let least = latencies_ms.first().copied().unwrap_or(1.0).max(0.1);
    let greatest = latencies_ms
        .last()
        .copied()
        .unwrap_or(10.0)
        .max(least * 2.0);
    let floor = 1.0 / latencies_ms.len().max(10) as f64;
    draw(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(
                format!("{service}: share of slower answers (red: p99 of the lower bound)"),
                CAPTION_FONT,
            )
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA + MARGIN)
            .build_cartesian_2d(0.0..greatest, (floor..1.0).log_scale())?;
        chart
            .configure_mesh()
            .x_desc("latency, ms")
            .y_desc("share slower")
            .y_label_formatter(&|share| format!("{share:.0e}"))
            .draw()?;
        chart.draw_series(LineSeries::new(slower_shares(latencies_ms), &BLUE))?;
        if let Some(bound) = bound_p99_ms {
            chart.draw_series(LineSeries::new([(bound, floor), (bound, 1.0)], &RED))?;
        }
        Ok(())
    })
}

fn slower_shares(latencies_ms: &[f64]) -> Vec<(f64, f64)> {
    let count = latencies_ms.len();
    // Ranks are spread evenly over the logarithm of the share, so that the tail keeps its points.
    let mut ranks: Vec<usize> = (0..DISTRIBUTION_POINTS)
        .map(|point| point as f64 / DISTRIBUTION_POINTS as f64)
        .map(|part| count - ((count as f64).powf(1.0 - part) as usize).clamp(1, count.max(1)))
        .collect();
    ranks.dedup();
    ranks
        .into_iter()
        .filter(|rank| *rank < count)
        .map(|rank| (latencies_ms[rank], 1.0 - rank as f64 / count as f64))
        .collect()
}

/// Mean coverage of the answers over the time of their requests.
pub fn coverage(service: &str, points: &[(Duration, f64)]) -> Result<String, PlotError> {
    let longest = points.iter().map(|(at, _)| *at).max().unwrap_or_default();
    let seconds = longest.as_secs_f64().max(1.0);
    let means = means_over_time(points, seconds);
    let least = means.iter().map(|(_, mean)| *mean).fold(1.0, f64::min);
    let floor = (least - 0.02).clamp(0.0, 0.9);
    draw(SIZE, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(format!("{service}: mean coverage over time"), CAPTION_FONT)
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(LABEL_AREA + MARGIN)
            .build_cartesian_2d(0.0..seconds, floor..1.005)?;
        chart
            .configure_mesh()
            .x_desc("time, s")
            .y_desc("coverage")
            .draw()?;
        chart.draw_series(LineSeries::new(means, &BLUE))?;
        Ok(())
    })
}

fn means_over_time(points: &[(Duration, f64)], seconds: f64) -> Vec<(f64, f64)> {
    let mut sums = vec![(0.0, 0u64); TIME_PARTS];
    for (at, coverage) in points {
        let part = at.as_secs_f64() / seconds * TIME_PARTS as f64;
        let part = (part as usize).min(TIME_PARTS - 1);
        sums[part].0 += coverage;
        sums[part].1 += 1;
    }
    let width = seconds / TIME_PARTS as f64;
    sums.iter()
        .enumerate()
        .filter(|(_, (_, count))| *count > 0)
        .map(|(part, (sum, count))| ((part as f64 + 0.5) * width, sum / *count as f64))
        .collect()
}

/// Load of each back end as a bar, grouped by service in the order of the deployment.
pub fn back_end_load(loads: &[BackEndLoad]) -> Result<String, PlotError> {
    let greatest = loads.iter().map(|load| load.share).fold(1.0, f64::max);
    let height = 2 * LABEL_AREA + loads.len() as u32 * BAR_HEIGHT;
    draw((SIZE.0, height), |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(
                "service time begun over slot time, by back end",
                CAPTION_FONT,
            )
            .margin(MARGIN)
            .x_label_area_size(LABEL_AREA)
            .y_label_area_size(150)
            .build_cartesian_2d(0.0..greatest * 1.05, 0.0..loads.len().max(1) as f64)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .y_labels(0)
            .x_desc("share of slot time")
            .draw()?;
        let mut color = 0;
        for (index, load) in loads.iter().enumerate() {
            if index > 0 && loads[index - 1].service != load.service {
                color += 1;
            }
            let top = (loads.len() - index) as f64;
            let bar = [(0.0, top - 0.9), (load.share, top - 0.1)];
            chart.draw_series([Rectangle::new(bar, Palette99::pick(color).filled())])?;
            let (x, y) = chart.backend_coord(&(0.0, top - 0.1));
            let label = Text::new(load.back_end.clone(), (x - 145, y), ("sans-serif", 10));
            area.draw(&label)?;
        }
        Ok(())
    })
}
