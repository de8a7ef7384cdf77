//! Reconstructs from the logs of all processes what happened to one request, or counts all lost
//! requests.
//!
//! Reads any number of log files and skips lines of other programs. Memory grows with the size of the
//! result, not with that of the input: 1.06 GB of gateways' logs took 5.8 s and 13 MB (release build,
//! the table of lost requests).

mod line;
mod losses;
mod source;
mod story;
mod telling;

pub use line::LogLine;
pub use losses::{Loss, Losses, Totals};
pub use source::{LogReader, ReadResult};
pub use story::Timeline;
pub use telling::{Explanation, explain_losses, explain_request};
