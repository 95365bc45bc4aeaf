//! How a request ends every replica that runs it.

use crate::random::Random;
use std::time::Duration;

/// First part of the names of requests that end their replicas.
pub const BAD_PREFIX: &str = "crash";

/// Time between the close of a request's connection and that of the others.
const CLOSE_INTERVAL: Duration = Duration::from_millis(60);

/// Time between what the gateway receives and the end of the process.
const END_DELAY: Duration = Duration::from_millis(200);

/// The same for an end that comes later than the time after which a replica first counts as in order.
pub const LATE_END_DELAY: Duration = Duration::from_millis(700);

/// Time for which a run takes work before it ends its replica, also after its connection has closed.
const WORK_DURATION: Duration = Duration::from_millis(1_500);

/// Moment of a run at which the replica ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    BeforeHead,
    /// After the head, before the first event or in the middle of a body.
    BeforeEvents,
    MidStream,
}

/// How the end of the replica shows at its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Exit,
    Reset,
    Silence,
    /// The connections stay open and silent, and new ones are refused.
    Deaf,
    /// The connections stay open and silent, new ones are accepted, and the platform finds out late.
    Hang,
    /// The connection of the request is reset, and the process goes on with the run and ends later.
    Drop,
    /// Nothing shows until the process ends, also if the connection of the request is closed before.
    Work,
    /// The connection of the request closes, the others a little later.
    InTurn,
    /// The connection of the request closes, the process ends later.
    Late,
    /// The same, but the process ends later still.
    Later,
    /// A whole server error, then the process ends.
    Error,
    /// Bytes that are no response, then the process ends.
    Noise,
    /// A whole response and bytes beyond its length, then the process ends.
    Surplus,
}

impl End {
    /// Returns the time between what the gateway receives and the end of the process.
    pub fn delay(self) -> Duration {
        match self {
            Self::Exit | Self::Reset | Self::Silence | Self::Deaf | Self::Hang => Duration::ZERO,
            Self::Work | Self::Drop => WORK_DURATION,
            Self::InTurn => CLOSE_INTERVAL,
            Self::Later => LATE_END_DELAY,
            Self::Late | Self::Error | Self::Noise | Self::Surplus => END_DELAY,
        }
    }

    /// Returns true if all connections stay open.
    pub fn is_silent(self) -> bool {
        matches!(self, Self::Silence | Self::Deaf | Self::Hang)
    }

    /// Returns true if the request gets nothing before the end.
    pub fn is_unanswered(self) -> bool {
        self.is_silent() || self == Self::Work
    }

    /// Returns true if the request's connection stays open.
    pub fn keeps_connection(self) -> bool {
        self.is_silent() || matches!(self, Self::Error | Self::Surplus)
    }
}

/// How the replica comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComeBack {
    /// At once, under the same identifier and address.
    SameId,
    /// Later, under another identifier.
    OtherId,
    Never,
}

const MOMENTS: [(&str, Moment); 3] = [
    ("head", Moment::BeforeHead),
    ("body", Moment::BeforeEvents),
    ("stream", Moment::MidStream),
];

const ENDS: [(&str, End); 3] = [
    ("exit", End::Exit),
    ("reset", End::Reset),
    ("silence", End::Silence),
];

/// Ends that do not close all connections at once.
const GRADUAL_ENDS: [(&str, End); 7] = [
    ("deaf", End::Deaf),
    ("turn", End::InTurn),
    ("late", End::Late),
    ("later", End::Later),
    ("error", End::Error),
    ("noise", End::Noise),
    ("surplus", End::Surplus),
];

/// Ends of which callers that give their attempts up see nothing.
const UNSEEN_ENDS: [(&str, End); 2] = [("hang", End::Hang), ("work", End::Work)];

/// End of a run whose connection was reset before.
const RESET_ENDS: [(&str, End); 1] = [("drop", End::Drop)];

const COME_BACKS: [(&str, ComeBack); 3] = [
    ("same", ComeBack::SameId),
    ("other", ComeBack::OtherId),
    ("never", ComeBack::Never),
];

/// Which ends a soak plays. Callers give attempts up where ends are unseen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ends {
    AtOnce,
    Gradual,
    Unseen,
}

/// What a request does to every replica that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPlan {
    pub moment: Moment,
    pub end: End,
    pub come_back: ComeBack,
}

impl CrashPlan {
    /// Returns the name of a request with a random plan.
    pub fn name(random: &mut Random, number: &str, ends: Ends) -> String {
        let moment = MOMENTS[random.below(3)].0;
        let end = match ends {
            Ends::AtOnce => ENDS[random.below(ENDS.len())].0,
            Ends::Gradual => GRADUAL_ENDS[random.below(GRADUAL_ENDS.len())].0,
            Ends::Unseen => UNSEEN_ENDS[random.below(UNSEEN_ENDS.len())].0,
        };
        let come_back = COME_BACKS[random.below(3)].0;
        format!("{BAD_PREFIX}-{moment}-{end}-{come_back}-{number}")
    }

    /// Returns the plan of a request; `None` if it ends no replica.
    pub fn parse(name: &str) -> Option<Self> {
        let mut parts = name.split('-');
        if parts.next() != Some(BAD_PREFIX) {
            return None;
        }
        let moment = find(&MOMENTS, parts.next()?);
        let end = parts.next()?;
        let end = find(
            &[
                &ENDS[..],
                &GRADUAL_ENDS[..],
                &UNSEEN_ENDS[..],
                &RESET_ENDS[..],
            ]
            .concat(),
            end,
        );
        let come_back = find(&COME_BACKS, parts.next()?);
        Some(Self {
            moment,
            end,
            come_back,
        })
    }
}

fn find<Value: Copy>(known: &[(&str, Value)], text: &str) -> Value {
    let found = known.iter().find(|(name, _)| *name == text);
    found.expect("a known part of a plan").1
}
