//! Endpoints whose capacity shrinks and grows while they run, and that start whatever they are
//! told to.

use std::time::{Duration, Instant};

use super::state::State;

/// Time for which an earlier capacity counts after an endpoint has shrunk, as in the settings
/// file.
const GRACE: Duration = Duration::from_millis(4_500);

/// CPU that an endpoint has unless it is resized, in thousandths of a core.
pub(crate) const FULL_CPU: u64 = 32_000;

/// The capacity of one endpoint over time.
#[derive(Clone, Debug)]
pub(crate) struct Capacity {
    /// Present CPU, in thousandths of a core.
    pub(crate) cpu: u64,
    /// Earlier values, each with the time at which it ended.
    earlier: Vec<(Instant, u64)>,
}

impl Capacity {
    /// Returns the capacity of an endpoint that wasn't resized.
    pub(crate) const fn full() -> Self {
        Self {
            cpu: FULL_CPU,
            earlier: Vec::new(),
        }
    }

    fn resize(&mut self, cpu: u64) {
        self.earlier.push((Instant::now(), self.cpu));
        self.cpu = cpu;
    }

    /// Returns the largest capacity that counts now.
    fn counted(&self) -> u64 {
        let earlier = self.earlier.iter();
        let counts = earlier.filter(|(ended_at, _)| ended_at.elapsed() <= GRACE);
        counts.map(|&(_, cpu)| cpu).fold(self.cpu, u64::max)
    }
}

impl State {
    /// Changes the capacity of an endpoint. Its registration shows it from the next heartbeat
    /// on.
    pub(crate) fn resize(&mut self, id: &str, cpu: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.capacity.resize(cpu);
        }
    }

    /// Records a violation if the runs of an endpoint exceed its capacity after a start.
    pub(crate) fn check_capacity(&mut self, id: &str, task: &str) {
        let (Some(task_cpu), Some(endpoint)) =
            (self.overload_task_cpu, self.endpoints.get(id))
        else {
            return;
        };
        let used = endpoint.live.len() as u64 * task_cpu;
        let counted = endpoint.capacity.counted();
        if used > counted {
            self.violations.push(format!(
                "{task} brought {id} to {used} of {counted} thousandths of a core"
            ));
        }
    }
}
