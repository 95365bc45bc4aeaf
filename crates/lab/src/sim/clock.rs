//! The virtual clock: one model of the event engine `nexosim`, which wakes the world for each of
//! its events in order.

use crate::sim::world::{SimResult, World};
use luglink_types::Timestamp;
use nexosim::model::{Context, Model, schedulable};
use nexosim::simulation::{Mailbox, SimInit, SimulationError};
use nexosim::time::MonotonicTime;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Number of an event that waits in the world.
pub(crate) type EventNumber = u64;

/// The event engine refused to go on; a defect of the simulator.
#[derive(Debug, Snafu)]
pub enum ClockError {
    /// The simulation could not be set up.
    #[snafu(display("cannot set up the simulation: {source}"))]
    Setup {
        /// Why not.
        source: SimulationError,
    },
    /// A step failed.
    #[snafu(display("cannot go on with the simulation: {source}"))]
    Step {
        /// Why not.
        source: nexosim::simulation::ExecutionError,
    },
    /// The run does not end.
    #[snafu(display("no end after {events} events, at {at}"))]
    Endless {
        /// Events that happened.
        events: u64,
        /// Virtual time that they took it to.
        at: MonotonicTime,
    },
}

/// The model that carries the world. The engine saves models by serde; a world is not saved.
#[derive(Default, Serialize, Deserialize)]
struct WorldModel {
    #[serde(skip)]
    world: Option<Arc<Mutex<World>>>,
}

#[Model]
impl WorldModel {
    /// Schedules what the world begins with.
    #[nexosim(init)]
    async fn begin(&mut self, context: &Context<Self>) {
        self.run(None, context);
    }

    /// Lets one event of the world happen.
    #[nexosim(schedulable)]
    async fn wake(&mut self, event: EventNumber, context: &Context<Self>) {
        self.run(Some(event), context);
    }

    fn run(&mut self, event: Option<EventNumber>, context: &Context<Self>) {
        let Some(world) = &self.world else {
            return;
        };
        let mut world = world.lock().unwrap_or_else(PoisonError::into_inner);
        let now = timestamp(context.time());
        match event {
            Some(event) => world.happen(event, now),
            None => world.begin(),
        }
        for (at, event) in world.take_scheduled() {
            let at = at.max(now.plus(Duration::from_micros(1)));
            let deadline = MonotonicTime::EPOCH + Duration::from_micros(at.as_micros());
            // A refusal means that the time has passed, which `max` has ruled out.
            let _ = context.schedule_event(deadline, schedulable!(Self::wake), event);
        }
    }
}

fn timestamp(time: MonotonicTime) -> Timestamp {
    let elapsed = time.duration_since(MonotonicTime::EPOCH);
    Timestamp::from_micros(u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX))
}

/// Runs a world until it says that it is finished.
///
/// # Errors
/// The event engine failed, or the run does not end.
pub(crate) fn run(world: World, most_events: u64) -> Result<SimResult, ClockError> {
    let shared = Arc::new(Mutex::new(world));
    let model = WorldModel {
        world: Some(Arc::clone(&shared)),
    };
    let mut simulation = SimInit::with_num_threads(1)
        .add_model(model, Mailbox::new(), "world")
        .init(MonotonicTime::EPOCH)
        .context(SetupSnafu)?;
    let mut events = 0;
    while !shared
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .is_finished()
    {
        let at = simulation.time();
        ensure!(events < most_events, EndlessSnafu { events, at });
        events += 1;
        simulation.step().context(StepSnafu)?;
    }
    let outcome = shared
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take_result();
    Ok(outcome)
}
