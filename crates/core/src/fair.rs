//! Fair order: which workspace's request of one pool starts next.
//!
//! Each workspace is ranked by the slot time it used, over its share, plus the work it
//! has running now. The running part makes a returning workspace catch up as slots free
//! up; the used part makes shares hold over time, also when a share is less than one
//! slot.
//!
//! Urgent requests go before normal ones of their own workspace. One that has waited
//! until it is due goes before other workspaces' requests as well, in at most three
//! starts of four.

mod fair_queue;
mod workspace_queue;

pub use fair_queue::{FairQueue, Pick};
pub use workspace_queue::QueuedRequest;
