//! Fair queuing: decides which workspace's request of one pool starts next.
//!
//! Each workspace is ranked by the slot time it has used divided by its share, plus a
//! charge for the work it has running; the lowest rank starts next. The charge for
//! running work lets a returning workspace catch up as slots free up. The used slot time
//! makes shares hold over time, even for a share below one slot.
//!
//! Urgent requests start before normal ones of their own workspace. An urgent request
//! that is due also starts before other workspaces' requests, in at most three of four
//! starts.

mod fair_queue;
mod workspace_queue;

pub use fair_queue::{FairQueue, Pick};
pub use workspace_queue::QueuedRequest;
