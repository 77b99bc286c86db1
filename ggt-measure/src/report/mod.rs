//! Markdown tables and SVG plots of the results.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;

use plotters::prelude::ChartBuilder;
use plotters::prelude::Circle;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::Palette;
use plotters::prelude::Palette99;
use plotters::prelude::SVGBackend;
use plotters::style::Color;
use plotters::style::WHITE;
use snafu::Snafu;

use crate::replay::ReplayOutcome;

/// Error of drawing or writing a plot.
#[derive(Debug, Snafu)]
#[snafu(display("cannot write plot {file}: {cause}"))]
pub struct PlotError {
    file: String,
    cause: String,
}

/// Results of one scenario, by routing policy.
pub type ScenarioOutcomes = BTreeMap<String, ReplayOutcome>;

/// Formats a Markdown table with a row for each routing policy.
pub fn format_table(title: &str, outcomes: &ScenarioOutcomes) -> String {
    let mut text = String::new();
    let oracle_reuse = outcomes.get("oracle").map_or(1.0, |outcome| outcome.reuse);
    // Ignored: writing to a string cannot fail.
    let _ = writeln!(text, "### {title}\n");
    let _ = writeln!(
        text,
        "| way | reuse | of oracle | skew p99 | skew max | refused | refused, worst other | lost | \
         control B/s | decision |"
    );
    let _ = writeln!(text, "|---|---|---|---|---|---|---|---|---|---|");
    for (policy, outcome) in outcomes {
        // In a surge, the largest fraction is that of the surging customer.
        let mut refused = outcome.refused_by_customer.clone();
        refused.sort_by(f64::total_cmp);
        let second_largest = refused.len().saturating_sub(2);
        let worst_other = refused.get(second_largest).copied().unwrap_or_default();
        let _ = writeln!(
            text,
            "| {policy} | {:.3} | {:.1} % | {:.2} | {:.2} | {:.2} % | {:.2} % | {:.2} % | {:.0} | {} ns |",
            outcome.reuse,
            100.0 * outcome.reuse / oracle_reuse,
            outcome.skew_p99,
            outcome.skew_max,
            100.0 * outcome.refused,
            100.0 * worst_other,
            100.0 * outcome.lost,
            outcome.control_bytes,
            outcome.decision_ns,
        );
    }
    text.push('\n');
    text
}

/// Draws cache reuse against load skew as SVG, with a dot for each routing policy.
///
/// # Errors
/// Returns [`PlotError`] if the plot cannot be drawn or the file cannot be written.
pub fn write_plot(file: &Path, title: &str, outcomes: &ScenarioOutcomes) -> Result<(), PlotError> {
    draw(file, title, outcomes)
        .map_err(|e| PlotError { file: file.display().to_string(), cause: e.to_string() })
}

/// Draws and writes the plot; the errors are those of `plotters`.
fn draw(
    file: &Path,
    title: &str,
    outcomes: &ScenarioOutcomes,
) -> Result<(), Box<dyn std::error::Error>> {
    const SIZE: (u32, u32) = (760, 480);
    let max_skew = outcomes.values().map(|x| x.skew_p99).fold(1.0, f64::max);
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.9..max_skew * 1.1, 0.0..1.0)?;
    chart
        .configure_mesh()
        .x_desc("load over mean load, 99th percentile")
        .y_desc("prompt tokens reused")
        .draw()?;
    for (index, (policy, outcome)) in outcomes.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let dot = Circle::new((outcome.skew_p99, outcome.reuse), 5, colour.filled());
        chart
            .draw_series(std::iter::once(dot))?
            .label(policy.clone())
            .legend(move |(x, y)| Circle::new((x, y), 5, colour.filled()));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
