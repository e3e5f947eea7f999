//! What the log lines of entry hosts say about a day.
//!
//! After a bad evening the lines are what there is. [`DayRecorder`] takes those
//! of any number of hosts, in any order, and [`DayReport`] says for each second,
//! route and worker what was answered, how soon, and what was not: as text, JSON
//! or an SVG plot.

mod line;
mod plot;
mod recorder;
mod report;
mod text;

pub use recorder::DayRecorder;
pub use report::{DayReport, RouteReport, SecondReport, Times, WorkerReport};
