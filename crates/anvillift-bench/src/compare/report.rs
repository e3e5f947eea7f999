//! Report of a comparison as text and as JSON.

use std::fmt::Write;

use anvillift_routing::policy::Policy;
use serde_json::{Value, json};

use super::Comparison;
use super::measures::{self, Measure, Spread};
use super::targets::{self, TargetResult};

const NAME_WIDTH: usize = 34;
const CELL_WIDTH: usize = 28;

/// Formats the table of measures, the targets and the errors of failed runs.
pub fn text(comparison: &Comparison) -> String {
    let mut text = String::new();
    let experiment = &comparison.experiment;
    let seeds: Vec<String> = experiment.seeds.iter().map(u64::to_string).collect();
    let _ = writeln!(
        text,
        "{}: {} % of capacity, seeds {}, {} s measured after {} s of warm-up; all runs took {} s\n",
        experiment.name,
        experiment.load_milli as f64 / 10.0,
        seeds.join(", "),
        experiment.duration_s,
        experiment.warm_up_s,
        comparison.took_s,
    );
    if !comparison.outcomes.is_empty() {
        write_table(comparison, &mut text);
    }
    for result in targets::evaluate(comparison) {
        let _ =
            writeln!(text, "{}: {} ({})", result_label(&result), result.target, result.measured);
    }
    for error in &comparison.errors {
        let _ = writeln!(text, "not run: {error}");
    }
    text
}

fn write_table(comparison: &Comparison, text: &mut String) {
    let _ = write!(text, "{:NAME_WIDTH$}", "median [least, largest]");
    for policy in Policy::ALL {
        let _ = write!(text, "{:>CELL_WIDTH$}", policy.to_string());
    }
    text.push('\n');
    for measure in &measures::ALL {
        let _ = write!(text, "{:NAME_WIDTH$}", measure_label(measure));
        for policy in Policy::ALL {
            let spread = comparison.spread(policy, measure);
            let _ = write!(text, "{:>CELL_WIDTH$}", spread.map_or_else(String::new, spread_cell));
        }
        text.push('\n');
    }
    text.push('\n');
}

fn measure_label(measure: &Measure) -> String {
    if measure.unit.is_empty() {
        return measure.name.to_owned();
    }
    format!("{} [{}]", measure.name, measure.unit)
}

fn spread_cell(spread: Spread) -> String {
    format!("{:.1} [{:.1}, {:.1}]", spread.median, spread.min, spread.max)
}

fn result_label(result: &TargetResult) -> &'static str {
    match result.met {
        Some(true) => "met",
        Some(false) => "MISSED",
        None => "not judged",
    }
}

/// Returns the measures, the targets and the errors as JSON.
pub fn json(comparison: &Comparison) -> Value {
    let policies: Vec<Value> = Policy::ALL
        .iter()
        .filter(|policy| comparison.outcomes.contains_key(&policy.to_string()))
        .map(
            |policy| json!({ "policy": policy.to_string(), "measures": rows(comparison, *policy) }),
        )
        .collect();
    json!({
        "experiment": comparison.experiment.name,
        "load_milli": comparison.experiment.load_milli,
        "seeds": comparison.experiment.seeds,
        "took_s": comparison.took_s,
        "policies": policies,
        "errors": comparison.errors,
        "targets": targets::evaluate(comparison),
    })
}

fn rows(comparison: &Comparison, policy: Policy) -> Vec<Value> {
    let rows = measures::ALL.iter().filter_map(|measure| {
        let spread = comparison.spread(policy, measure)?;
        Some(json!({
            "name": measure.name,
            "unit": measure.unit,
            "median": spread.median,
            "min": spread.min,
            "max": spread.max,
        }))
    });
    rows.collect()
}
