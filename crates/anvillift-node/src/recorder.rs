//! Metrics recorder that renders counters, gauges and histograms as text for the
//! metrics address.
//!
//! Histograms have fixed buckets, so that recording needs no clock.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};

use metrics::{
    Counter, CounterFn, Gauge, GaugeFn, Histogram, HistogramFn, Key, KeyName, Metadata, Recorder,
    SharedString, Unit,
};

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 12] =
    [1.0, 5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0];

static REGISTRY: LazyLock<Mutex<Registry>> = LazyLock::new(Mutex::default);

#[derive(Default)]
struct Registry {
    counters: BTreeMap<String, Arc<Value>>,
    gauges: BTreeMap<String, Arc<Value>>,
    histograms: BTreeMap<String, Arc<Buckets>>,
}

/// Value of a counter, or the bits of a gauge's `f64`.
#[derive(Default)]
struct Value(AtomicU64);

/// Counts per bucket of a histogram; the last is for values above all bounds.
#[derive(Default)]
struct Buckets {
    counts: [AtomicU64; BUCKETS_MS.len() + 1],
    sum_us: AtomicU64,
}

impl CounterFn for Value {
    fn increment(&self, value: u64) {
        self.0.fetch_add(value, Ordering::Relaxed);
    }

    fn absolute(&self, value: u64) {
        self.0.fetch_max(value, Ordering::Relaxed);
    }
}

impl GaugeFn for Value {
    fn increment(&self, value: f64) {
        GaugeFn::set(self, f64::from_bits(self.0.load(Ordering::Relaxed)) + value);
    }

    fn decrement(&self, value: f64) {
        GaugeFn::set(self, f64::from_bits(self.0.load(Ordering::Relaxed)) - value);
    }

    fn set(&self, value: f64) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let bucket = BUCKETS_MS.iter().position(|bound| value <= *bound);
        self.counts[bucket.unwrap_or(BUCKETS_MS.len())].fetch_add(1, Ordering::Relaxed);
        self.sum_us.fetch_add((value * 1_000.0) as u64, Ordering::Relaxed);
    }
}

/// Registers the metrics of the process in [`REGISTRY`].
struct TextRecorder;

impl Recorder for TextRecorder {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let mut registry = REGISTRY.lock().unwrap_or_else(PoisonError::into_inner);
        Counter::from_arc(Arc::clone(registry.counters.entry(series_name(key)).or_default()))
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let mut registry = REGISTRY.lock().unwrap_or_else(PoisonError::into_inner);
        Gauge::from_arc(Arc::clone(registry.gauges.entry(series_name(key)).or_default()))
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> Histogram {
        let mut registry = REGISTRY.lock().unwrap_or_else(PoisonError::into_inner);
        Histogram::from_arc(Arc::clone(registry.histograms.entry(series_name(key)).or_default()))
    }
}

/// Installs the recorder for the whole process.
pub(crate) fn install() {
    if metrics::set_global_recorder(TextRecorder).is_err() {
        log::warn!(
            "another metrics recorder is installed already; the metrics address serves no metrics"
        );
    }
}

/// Renders all metrics in the Prometheus text format.
pub(crate) fn render() -> String {
    let registry = REGISTRY.lock().unwrap_or_else(PoisonError::into_inner);
    let mut out = String::new();
    // Writing to a string can't fail.
    for (name, value) in &registry.counters {
        writeln!(out, "{name} {}", value.0.load(Ordering::Relaxed)).ok();
    }
    for (name, value) in &registry.gauges {
        writeln!(out, "{name} {}", f64::from_bits(value.0.load(Ordering::Relaxed))).ok();
    }
    for (name, buckets) in &registry.histograms {
        render_histogram(&mut out, name, buckets);
    }
    out
}

fn render_histogram(out: &mut String, name: &str, buckets: &Buckets) {
    let (name, labels) = name.split_once('{').unwrap_or((name, "}"));
    let labels = labels.trim_end_matches('}');
    let comma = if labels.is_empty() { "" } else { "," };
    let mut total = 0;
    for (index, count) in buckets.counts.iter().enumerate() {
        total += count.load(Ordering::Relaxed);
        let bound = BUCKETS_MS.get(index).map_or("+Inf".to_owned(), f64::to_string);
        writeln!(out, "{name}_bucket{{{labels}{comma}le=\"{bound}\"}} {total}").ok();
    }
    let sum_ms = buckets.sum_us.load(Ordering::Relaxed) as f64 / 1_000.0;
    writeln!(out, "{name}_sum{{{labels}}} {sum_ms}").ok();
    writeln!(out, "{name}_count{{{labels}}} {total}").ok();
}

fn series_name(key: &Key) -> String {
    let labels: Vec<String> =
        key.labels().map(|label| format!("{}=\"{}\"", label.key(), label.value())).collect();
    if labels.is_empty() {
        key.name().to_owned()
    } else {
        format!("{}{{{}}}", key.name(), labels.join(","))
    }
}
