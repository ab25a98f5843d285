//! Names, times and log positions shared by all modules.

mod log_position;
mod name;
mod status;
mod time;

pub use self::log_position::{LogPosition, Position, Term};
pub use self::name::{Caller, GroupId, Instance, Kind, Organisation, Service, Upstream, Vm, Zone};
pub use self::status::{Rank, Role, Status};
pub use self::time::Time;
