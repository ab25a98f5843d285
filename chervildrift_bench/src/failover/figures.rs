//! Figures of each rule and the table of them.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Figures of one rule.
#[derive(Debug)]
pub(super) struct Figures {
    pub(super) changes: usize,
    pub(super) unreplaced: usize,
    pub(super) acked: usize,
    pub(super) lost: usize,
    pub(super) duplicated: usize,
    pub(super) unknown: u64,
    pub(super) open_writes: usize,
    pub(super) violations: usize,
    pub(super) gap: Histogram<u64>,
    pub(super) detection: Histogram<u64>,
    pub(super) agreement: Histogram<u64>,
    pub(super) promotion: Histogram<u64>,
    pub(super) write_latency: Histogram<u64>,
}

impl Figures {
    pub(super) fn new() -> Self {
        Self {
            changes: 0,
            unreplaced: 0,
            acked: 0,
            lost: 0,
            duplicated: 0,
            unknown: 0,
            open_writes: 0,
            violations: 0,
            gap: histogram(),
            detection: histogram(),
            agreement: histogram(),
            promotion: histogram(),
            write_latency: histogram(),
        }
    }

    /// Prints the table; the added write latency is relative to the last row.
    pub(super) fn print(measured: &[(&str, Self)]) {
        let base_median = measured
            .last()
            .map_or(0, |(_name, figures)| figures.median());
        println!(
            "| Rule | Changes | No change in 8 s | Acknowledged | Lost | Doubled | Unknown at first \
             | Never settled | Broken invariants | Gap p50/p99/max | Detection p50/p99/max \
             | Agreement p50/p99/max | Promotion p50/p99/max | Write latency p50/p99 \
             | Added write latency p50 |"
        );
        println!("|{}", " --- |".repeat(15));
        for (name, figures) in measured {
            figures.print_row(name, base_median);
        }
    }

    fn median(&self) -> u64 {
        self.write_latency.value_at_quantile(0.5)
    }

    fn print_row(&self, name: &str, base_median: u64) {
        println!(
            "| {name} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {} / {} | {} |",
            self.changes,
            self.unreplaced,
            self.acked,
            self.lost,
            self.duplicated,
            self.unknown,
            self.open_writes,
            self.violations,
            format_quantiles(&self.gap),
            format_quantiles(&self.detection),
            format_quantiles(&self.agreement),
            format_quantiles(&self.promotion),
            format_millis(self.median()),
            format_millis(self.write_latency.value_at_quantile(0.99)),
            format_millis(self.median().saturating_sub(base_median)),
        );
    }
}

/// Records a duration in microseconds.
pub(super) fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(span.as_micros() as u64);
}

/// Creates a histogram of microseconds up to 100 s.
pub(super) fn histogram() -> Histogram<u64> {
    // The library accepts these constant bounds; the fallback resizes its range automatically.
    Histogram::new_with_bounds(1, 100_000_000, 3)
        .or_else(|_bounds| Histogram::new(3))
        .unwrap_or_else(|_digits| unreachable!("three digits are allowed"))
}

/// Returns the median, the 99th percentile and the maximum as text.
pub(super) fn format_quantiles(histogram: &Histogram<u64>) -> String {
    let [p50, p99] =
        [0.5, 0.99].map(|quantile| format_millis(histogram.value_at_quantile(quantile)));
    format!("{p50} / {p99} / {}", format_millis(histogram.max()))
}

/// Returns microseconds as text in milliseconds.
fn format_millis(micros: u64) -> String {
    format!("{:.1} ms", micros as f64 / 1_000.0)
}
