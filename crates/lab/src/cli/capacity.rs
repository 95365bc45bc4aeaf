//! `luglink-lab capacity`.

use crate::capacity::{Probe, Slope, TargetSize, derive, measure, probe};
use bpaf::Bpaf;
use serde_json::json;

/// Options of `capacity`.
#[derive(Clone, Debug, Bpaf)]
pub struct CapacityOptions {
    /// Print one line of JSON in place of the tables
    json: bool,
    /// Measure only the memory of one thing in this process: programs, held-programs or replicas
    #[bpaf(argument("NAME"), optional)]
    probe: Option<Probe>,
    /// Size of that thing
    #[bpaf(argument("N"), fallback(100), display_fallback)]
    size: u64,
}

pub(super) fn run(options: &CapacityOptions) -> Result<bool, String> {
    if let Some(wanted) = options.probe {
        println!("{}", probe(wanted, options.size));
        return Ok(true);
    }
    let slopes = measure();
    let size = TargetSize::TWO_YEARS;
    let figures = derive(&slopes, &size);
    if options.json {
        println!(
            "{}",
            json!({ "slopes": slopes, "size": size, "figures": figures })
        );
        return Ok(true);
    }
    println!("| What | at zero | for each | unit | grows with | measured at |");
    println!("|---|---|---|---|---|---|");
    for slope in &slopes {
        println!("{}", slope_row(slope));
    }
    println!();
    println!("| Role | What | Value | Unit | Carried by | Mark |");
    println!("|---|---|---|---|---|---|");
    for figure in &figures {
        println!(
            "| {} | {} | {} | {} | {} | {} |",
            figure.role,
            figure.what,
            short(figure.value),
            figure.unit,
            figure.mechanism,
            figure.mark.as_str()
        );
    }
    Ok(true)
}

fn slope_row(slope: &Slope) -> String {
    let points: Vec<String> = slope
        .points
        .iter()
        .map(|(size, value)| format!("{}: {}", short(*size), short(*value)))
        .collect();
    format!(
        "| {} | {} | {} | {} | {} | {} |",
        slope.what,
        short(slope.base),
        short(slope.slope),
        slope.unit,
        slope.over,
        points.join(", ")
    )
}

/// A number with three digits that mean something.
fn short(value: f64) -> String {
    let size = value.abs();
    if size >= 100.0 || value == 0.0 {
        format!("{value:.0}")
    } else if size >= 1.0 {
        format!("{value:.2}")
    } else {
        format!("{value:.4}")
    }
}
