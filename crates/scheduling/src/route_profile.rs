//! What the programs of a route are usually like, learned from their turns.
//!
//! Answers loads whose kinds of program differ by ten times in what they need. Everything is
//! learned from single turns, so it holds also where the turns of a program reach different
//! gateways: turns for each program is the number of turns over the number of beginnings.

use luglink_types::Timestamp;
use std::time::Duration;

/// Samples that an average is taken over.
const AVERAGED_SAMPLES: f64 = 128.0;

/// Time over which prompts are averaged. The young programs of a burst must not pass for what
/// programs are like.
const PROMPTS_AVERAGED_OVER: Duration = Duration::from_secs(60);

/// What is left of the counts of turns and beginnings after each turn. Their ratio must outlast a
/// burst, at whose start there are many beginnings and few later turns.
const COUNT_RETENTION: f64 = 1.0 - 1.0 / 512.0;

/// Turns that a program is taken to have before any is known.
const FIRST_TURNS: f64 = 4.0;

/// Most turns that a program is taken to have.
const MOST_TURNS: f64 = 32.0;

/// Pause between turns before any is known.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Pauses after which a program that has not come back counts as ended, or gone to another
/// gateway.
const EXPIRY_FACTOR: f64 = 2.5;

/// Bounds of that time. With a longer one, the pause between two turns that had others at other
/// gateways between them would be taken for one pause.
const SHORTEST_EXPIRY: Duration = Duration::from_millis(150);
const LONGEST_EXPIRY: Duration = Duration::from_secs(1);

/// An average that follows its samples.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    samples: f64,
}

impl Average {
    fn add(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(AVERAGED_SAMPLES);
        self.value += (sample - self.value) / self.samples;
    }

    fn get(self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.value)
    }
}

/// An average in which a second with many samples weighs no more than one with few.
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
        self.seconds = (self.seconds + elapsed).min(PROMPTS_AVERAGED_OVER.as_secs_f64());
        self.value += (sample - self.value) * (elapsed / self.seconds).min(1.0);
    }

    fn get(self) -> Option<f64> {
        (self.seconds > 0.0).then_some(self.value)
    }
}

/// What the programs of a route are usually like.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RouteProfile {
    turns: f64,
    beginnings: f64,
    first_prompt: TimedAverage,
    prompt: TimedAverage,
    turn_seconds: Average,
    pause_seconds: Average,
}

impl RouteProfile {
    /// Notes a turn that begins. `prompt` in tokens.
    pub(crate) fn note_turn(&mut self, prompt: f64, is_first_turn: bool, now: Timestamp) {
        self.turns = self.turns * COUNT_RETENTION + 1.0;
        self.beginnings *= COUNT_RETENTION;
        self.prompt.add(prompt, now);
        if is_first_turn {
            self.beginnings += 1.0;
            self.first_prompt.add(prompt, now);
        }
    }

    /// Notes how long a turn took.
    pub(crate) fn note_end(&mut self, taken: Duration) {
        self.turn_seconds.add(taken.as_secs_f64());
    }

    /// Notes the pause before a turn of a program that came back to this gateway.
    pub(crate) fn note_pause(&mut self, pause: Duration) {
        self.pause_seconds.add(pause.as_secs_f64());
    }

    /// Turns of a program.
    fn turns_per_program(&self) -> f64 {
        let turns = (self.turns + FIRST_TURNS) / (self.beginnings + 1.0);
        turns.clamp(1.0, MOST_TURNS)
    }

    /// Tokens by which a prompt grows in a program's life: the average prompt is that of the middle
    /// turn.
    pub(crate) fn growth(&self) -> f64 {
        match (self.first_prompt.get(), self.prompt.get()) {
            (Some(first), Some(average)) => (2.0 * (average - first)).max(0.0),
            _ => 0.0,
        }
    }

    /// The share of its life that a program has behind it, by how far its prompt has grown.
    pub(crate) fn age(&self, prompt: f64) -> f64 {
        let growth = self.growth();
        let first = self.first_prompt.get().unwrap_or(prompt);
        if growth < 1.0 {
            return 0.0;
        }
        ((prompt - first) / growth).clamp(0.0, 1.0)
    }

    /// How likely a program has a next turn. Where prompts do not grow they say nothing of that, and
    /// one turn in as many as programs have is the last.
    pub(crate) fn goes_on(&self, prompt: f64) -> f64 {
        if self.growth() < 1.0 {
            return 1.0 - 1.0 / self.turns_per_program();
        }
        f64::from(u8::from(self.age(prompt) < 1.0))
    }

    fn pause(&self) -> Duration {
        let seconds = self.pause_seconds.get();
        seconds.map_or(FIRST_PAUSE, Duration::from_secs_f64)
    }

    /// Time after which a program that pauses does not count any more.
    pub(crate) fn expiry(&self) -> Duration {
        let expiry = self.pause().mul_f64(EXPIRY_FACTOR);
        expiry.clamp(SHORTEST_EXPIRY, LONGEST_EXPIRY)
    }

    /// How likely a program has not gone on after such a time. Over all times it adds up to one
    /// pause, so that programs whose next turn goes to another gateway are not counted twice.
    pub(crate) fn pauses_still(&self, time: Duration) -> f64 {
        let pauses = time.as_secs_f64() / self.pause().as_secs_f64().max(1e-3);
        // Pauses differ, but are not so different that most would be short.
        (1.5 - pauses).clamp(0.0, 1.0)
    }

    /// Time from a program's beginning to its end.
    pub(crate) fn lifetime(&self) -> Duration {
        let turn = self.turn_seconds.get().unwrap_or(0.0);
        let cycle = Duration::from_secs_f64(turn) + self.pause();
        cycle.mul_f64(self.turns_per_program())
    }
}
