//! Typical program of a route, learned from its turns.
//!
//! Kinds of programs differ by a factor of ten in what they need. Everything is learned from single
//! turns, so it also holds if the turns of a program reach different gateways: the turns per
//! program are the number of turns divided by the number of first turns.

use luglink_types::Timestamp;
use std::time::Duration;

/// Maximum number of samples that an average covers.
const MAX_AVERAGED_SAMPLES: f64 = 128.0;

/// Time that the average prompt covers, so that the young programs of a burst do not count as
/// typical ones.
const PROMPT_AVERAGING_PERIOD: Duration = Duration::from_secs(60);

/// Factor on the counts of turns and first turns after each turn. Their ratio must outlast a burst,
/// which starts with many first turns and few later ones.
const COUNT_RETENTION: f64 = 1.0 - 1.0 / 512.0;

/// Turns per program that are assumed before any is known.
const DEFAULT_TURNS: f64 = 4.0;

/// Maximum number of turns per program that is assumed.
const MAX_TURNS: f64 = 32.0;

/// Pause between turns that is assumed before any is known.
const DEFAULT_PAUSE: Duration = Duration::from_millis(200);

/// Number of pauses after which a program that has not returned counts as ended, or as moved to
/// another gateway.
const EXPIRY_FACTOR: f64 = 2.5;

/// Bounds of that time. With a longer one, the time between two turns with other turns at other
/// gateways in between would count as one pause.
const MIN_EXPIRY: Duration = Duration::from_millis(150);
const MAX_EXPIRY: Duration = Duration::from_secs(1);

/// Average over the latest samples.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    samples: f64,
}

impl Average {
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(MAX_AVERAGED_SAMPLES);
        self.value += (sample - self.value) / self.samples;
    }

    fn get(self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.value)
    }
}

/// Average in which a second with many samples weighs no more than one with few.
#[derive(Clone, Copy, Debug, Default)]
struct TimedAverage {
    value: f64,
    seconds: f64,
    at: Timestamp,
}

impl TimedAverage {
    fn add(&mut self, sample: f64, now: Timestamp) {
        let elapsed = now.since(self.at).as_secs_f64().max(1e-3);
        let elapsed = if self.seconds > 0.0 { elapsed } else { 1e-3 };
        self.at = now;
        self.seconds = (self.seconds + elapsed).min(PROMPT_AVERAGING_PERIOD.as_secs_f64());
        self.value += (sample - self.value) * (elapsed / self.seconds).min(1.0);
    }

    fn get(self) -> Option<f64> {
        (self.seconds > 0.0).then_some(self.value)
    }
}

/// Typical program of a route.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteProfile {
    turns: f64,
    first_turns: f64,
    first_prompt: TimedAverage,
    prompt: TimedAverage,
    turn_seconds: Average,
    pause_seconds: Average,
}

impl RouteProfile {
    /// Records the start of a turn with a prompt of `prompt` tokens.
    pub(crate) fn note_turn(&mut self, prompt: f64, is_first_turn: bool, now: Timestamp) {
        self.turns = self.turns * COUNT_RETENTION + 1.0;
        self.first_turns *= COUNT_RETENTION;
        self.prompt.add(prompt, now);
        if is_first_turn {
            self.first_turns += 1.0;
            self.first_prompt.add(prompt, now);
        }
    }

    /// Records the duration of a turn.
    pub(crate) fn note_end(&mut self, taken: Duration) {
        self.turn_seconds.add(taken.as_secs_f64());
    }

    /// Records the pause before a turn of a program that returned to this gateway.
    pub(crate) fn note_pause(&mut self, pause: Duration) {
        self.pause_seconds.add(pause.as_secs_f64());
    }

    /// Returns the mean number of turns per program.
    fn turns_per_program(&self) -> f64 {
        let turns = (self.turns + DEFAULT_TURNS) / (self.first_turns + 1.0);
        turns.clamp(1.0, MAX_TURNS)
    }

    /// Returns the number of tokens by which a prompt grows in a program's life. The average prompt
    /// is that of the middle turn.
    pub(crate) fn growth(&self) -> f64 {
        match (self.first_prompt.get(), self.prompt.get()) {
            (Some(first), Some(average)) => (2.0 * (average - first)).max(0.0),
            _ => 0.0,
        }
    }

    /// Returns the share of its life that a program has completed, by the growth of its prompt.
    pub(crate) fn progress(&self, prompt: f64) -> f64 {
        let growth = self.growth();
        let first = self.first_prompt.get().unwrap_or(prompt);
        if growth < 1.0 {
            return 0.0;
        }
        ((prompt - first) / growth).clamp(0.0, 1.0)
    }

    /// Returns the probability that a program has a next turn. Prompts that do not grow give no
    /// information; then one turn out of the mean number of turns is the last.
    pub(crate) fn continue_probability(&self, prompt: f64) -> f64 {
        if self.growth() < 1.0 {
            return 1.0 - 1.0 / self.turns_per_program();
        }
        f64::from(u8::from(self.progress(prompt) < 1.0))
    }

    fn pause(&self) -> Duration {
        let seconds = self.pause_seconds.get();
        seconds.map_or(DEFAULT_PAUSE, Duration::from_secs_f64)
    }

    /// Returns the time after which a paused program is no longer counted.
    pub(crate) fn expiry(&self) -> Duration {
        let expiry = self.pause().mul_f64(EXPIRY_FACTOR);
        expiry.clamp(MIN_EXPIRY, MAX_EXPIRY)
    }

    /// Returns the probability that a program is still pausing after a time. Its integral over all
    /// times is one pause, so that programs whose next turn goes to another gateway are not counted
    /// twice.
    pub(crate) fn pausing_probability(&self, time: Duration) -> f64 {
        let pauses = time.as_secs_f64() / self.pause().as_secs_f64().max(1e-3);
        // Pauses differ, but not so much that most of them are short.
        (1.5 - pauses).clamp(0.0, 1.0)
    }

    /// Returns the time from a program's start to its end.
    pub(crate) fn lifetime(&self) -> Duration {
        let turn = self.turn_seconds.get().unwrap_or(0.0);
        let cycle = Duration::from_secs_f64(turn) + self.pause();
        cycle.mul_f64(self.turns_per_program())
    }
}
