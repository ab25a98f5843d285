//! The report on service-level burn.

use std::fmt::{Display, Formatter, Result as FormatResult};

use derive_more::Display;
use serde::Serialize;

use super::{Tally, WINDOWS, Window};
use crate::types::{Kind, Rank, Service};

/// Burn rate at which a 30 day budget loses 2% in one hour.
const FAST_BURN_RATE: f64 = 14.4;

/// Burn rate at which a 30 day budget loses 5% in six hours.
const SLOW_BURN_RATE: f64 = 6.0;

/// Urgency of a burn rate.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Alert {
    /// Within the budget.
    #[display("-")]
    None,
    /// The 6 hour and 1 hour windows burn the budget in days.
    #[display("slow")]
    Slow,
    /// The 1 hour and 5 minute windows burn the budget in hours.
    #[display("fast")]
    Fast,
}

/// Burn over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Window.
    pub window: Window,
    /// Requests in it.
    pub tally: Tally,
    /// Share of bad requests over the share that the objective allows.
    pub rate: f64,
}

/// Burn of one kind and rank.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Kind of the requests.
    pub kind: Kind,
    /// Their rank.
    pub rank: Rank,
    /// Objective, if one is declared.
    pub target: Option<f64>,
    /// Burn over each of [`WINDOWS`].
    pub spans: [WindowBurn; WINDOWS.len()],
    /// Alert.
    pub alert: Alert,
}

/// Burn of a service over the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    /// Service concerned.
    pub service: Service,
    /// Whether the counts of earlier aggregators are included.
    pub complete: bool,
    /// VMs that reported.
    pub reporters: usize,
    /// Rows by kind, then rank.
    pub rows: Vec<Row>,
}

impl Row {
    pub(super) fn of(kind: Kind, rank: Rank, target: Option<f64>, tallies: [Tally; 3]) -> Self {
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

/// Two windows have to agree: the longer shows that the burn matters, the shorter that it lasts.
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
