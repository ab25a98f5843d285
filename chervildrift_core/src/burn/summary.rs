//! Report of the burn rates of a service.

use std::fmt::{Display, Formatter, Result as FormatResult};

use derive_more::Display;
use serde::Serialize;

use super::{Tally, WINDOWS, Window};
use crate::types::{Kind, Rank, Service};

/// Burn rate that uses up 2% of a 30 day error budget in one hour.
const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate that uses up 5% of a 30 day error budget in six hours.
const SLOW_BURN_RATE: f64 = 6.0;

/// Alert level of a series.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// No alert.
    #[display("-")]
    None,
    /// The burn rates over 6 hours and 1 hour would use up the error budget within five days.
    #[display("slow")]
    Slow,
    /// The burn rates over 1 hour and 5 minutes would use up the error budget within 50 hours.
    #[display("fast")]
    Fast,
}

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Window of the rate.
    pub window: Window,
    /// Requests within the window.
    pub tally: Tally,
    /// Share of bad requests divided by the share that the objective allows.
    pub rate: f64,
}

/// Burn rates of one kind and rank.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Kind of the requests.
    pub kind: Kind,
    /// Rank of the requests.
    pub rank: Rank,
    /// Target share of the objective, if one is declared.
    pub target: Option<f64>,
    /// Burn rates over each of [`WINDOWS`].
    pub spans: [WindowBurn; WINDOWS.len()],
    /// Alert level.
    pub alert: Alert,
}

/// Burn rates of a service over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Service of the requests.
    pub service: Service,
    /// Whether the stored counts of earlier aggregators are included.
    pub complete: bool,
    /// Number of processes that have sent counts.
    pub reporters: usize,
    /// Rows, sorted by kind and rank.
    pub rows: Vec<Row>,
}

impl Row {
    pub(super) fn new(kind: Kind, rank: Rank, target: Option<f64>, tallies: [Tally; 3]) -> Self {
        let span = |index: usize| WindowBurn {
            window: WINDOWS[index],
            tally: tallies[index],
            rate: target.map_or(0.0, |target| burn_rate(tallies[index], target)),
        };
        let spans = [span(0), span(1), span(2)];
        Self {
            kind,
            rank,
            target,
            alert: alert(&spans),
            spans,
        }
    }
}

fn burn_rate(tally: Tally, target: f64) -> f64 {
    let total = tally.good + tally.bad;
    let error_budget = 1.0 - target;
    if total == 0 || error_budget <= 0.0 {
        return 0.0;
    }
    tally.bad as f64 / total as f64 / error_budget
}

/// Returns the alert level, for which two windows must exceed the threshold: the longer one shows
/// that the burn is significant, the shorter one that it is still going on.
fn alert(spans: &[WindowBurn; WINDOWS.len()]) -> Alert {
    let [short, middle, long] = spans;
    if middle.rate >= FAST_BURN_RATE && short.rate >= FAST_BURN_RATE {
        return Alert::Fast;
    }
    if long.rate >= SLOW_BURN_RATE && middle.rate >= SLOW_BURN_RATE {
        return Alert::Slow;
    }
    Alert::None
}

impl Display for Summary {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let note = if self.complete { "" } else { ", incomplete" };
        let Self {
            service, reporters, ..
        } = self;
        writeln!(f, "{service} ({reporters} VMs{note})")?;
        let head = ["kind", "rank", "target", "5m", "1h", "6h", "alert"];
        let [kind, rank, target, short, middle, long, alert] = head;
        writeln!(
            f,
            "{kind:<20} {rank:<8} {target:>8} {short:>8} {middle:>8} {long:>8} {alert:>6}"
        )?;
        self.rows.iter().try_for_each(|row| write!(f, "{row}"))
    }
}

impl Display for Row {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        let target = self
            .target
            .map_or_else(|| "-".to_owned(), |target| target.to_string());
        let (kind, rank) = (self.kind.as_str(), self.rank.to_string());
        write!(f, "{kind:<20} {rank:<8} {target:>8}")?;
        for span in &self.spans {
            write!(f, " {:>8.2}", span.rate)?;
        }
        let alert = self.alert.to_string();
        writeln!(f, " {alert:>6}")
    }
}
