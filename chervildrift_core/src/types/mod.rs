//! Names, times and log marks shared by all modules.

mod mark;
mod name;
mod status;
mod time;

pub use self::mark::{Mark, Position, Term};
pub use self::name::{Caller, GroupId, Instance, Kind, Service, Upstream, Vm, Zone};
pub use self::status::{Rank, Role, Status};
pub use self::time::Time;
