//! Lookup of a stream at the turn stores.

use crate::store_link::StoreLink;
use crate::turn_client::TurnClient;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use luglink_fleet::StreamOrigin;
use luglink_turns::{KnownOutput, OutputQuery, TurnId};
use std::rc::Rc;
use std::time::Duration;

/// Maximum time that the stores asked together get to return what they know about a stream.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(200);

/// What the stores know about a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamLookup {
    pub(crate) origin: Option<StreamOrigin>,
    pub(crate) output: Option<KnownOutput>,
    /// Number of stores that were asked.
    pub(crate) asked: usize,
    /// Number of stores that answered.
    pub(crate) answers: usize,
}

impl StreamLookup {
    /// Returns true if further answers would add nothing.
    fn is_sufficient(&self, needs_output: bool) -> bool {
        let output = self.output.as_ref();
        let has_output = output.is_some_and(|output| output.is_complete);
        self.origin.is_some() && (has_output || !needs_output)
    }

    fn add(&mut self, found: FoundStream) {
        self.answers += 1;
        self.origin = self.origin.take().or(found.origin);
        let output = found.output;
        let output = output.filter(|output| output.is_better_than(self.output.as_ref()));
        self.output = output.or(self.output.take());
    }
}

/// What one store knows about a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct FoundStream {
    pub(crate) origin: Option<StreamOrigin>,
    pub(crate) output: Option<KnownOutput>,
}

/// Looks up the origin of a stream and, for a query, its output. Stores that do not own the records are
/// asked last: one of them may have owned them in an earlier view.
pub(crate) async fn find(
    turns: &TurnClient,
    stream: &TurnId,
    query: Option<&OutputQuery>,
) -> StreamLookup {
    let owners = turns.links_to(&stream.0);
    let is_owner = |link: &Rc<StoreLink>| owners.iter().any(|owner| Rc::ptr_eq(owner, link));
    let others = turns.links().into_iter().map(|(_, link)| link);
    let others: Vec<_> = others.filter(|link| !is_owner(link)).collect();
    let mut lookup = StreamLookup::default();
    for links in [owners, others] {
        lookup.asked += links.len();
        let asking = ask(turns.epoch(), links, stream, query, &mut lookup);
        // Answers that came in time are in `lookup`.
        let _ = actix_rt::time::timeout(LOOKUP_TIMEOUT, asking).await;
        if lookup.is_sufficient(query.is_some()) {
            break;
        }
    }
    lookup
}

async fn ask(
    epoch: u64,
    links: Vec<Rc<StoreLink>>,
    stream: &TurnId,
    query: Option<&OutputQuery>,
    lookup: &mut StreamLookup,
) {
    let links = links.into_iter();
    let asking = links.map(|link| link.find_stream(epoch, stream.clone(), query.cloned()));
    let mut pending: FuturesUnordered<_> = asking.collect();
    while let Some(answer) = pending.next().await {
        let Some(found) = answer else { continue };
        lookup.add(found);
        if lookup.is_sufficient(query.is_some()) {
            return;
        }
    }
}
