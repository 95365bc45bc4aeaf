//! How a request ends every replica that runs it.

use crate::random::Random;

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

const COME_BACKS: [(&str, ComeBack); 3] = [
    ("same", ComeBack::SameId),
    ("other", ComeBack::OtherId),
    ("never", ComeBack::Never),
];

/// What a request does to every replica that runs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashPlan {
    pub moment: Moment,
    pub end: End,
    pub come_back: ComeBack,
}

impl CrashPlan {
    /// Returns the name of a request with a random plan.
    pub fn name(random: &mut Random, number: &str) -> String {
        let moment = MOMENTS[random.below(3)].0;
        let end = ENDS[random.below(3)].0;
        let come_back = COME_BACKS[random.below(3)].0;
        format!("crash-{moment}-{end}-{come_back}-{number}")
    }

    /// Returns the plan of a request; `None` if it ends no replica.
    pub fn parse(name: &str) -> Option<Self> {
        let mut parts = name.split('-');
        if parts.next() != Some("crash") {
            return None;
        }
        let moment = find(&MOMENTS, parts.next()?);
        let end = find(&ENDS, parts.next()?);
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
