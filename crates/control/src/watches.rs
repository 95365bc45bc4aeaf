//! Long-polling watches of the configuration.

use crate::machine::CONFIGURATION_GROUP;
use crate::node::ControlNode;
use crate::protocol::{RequestToken, Response};
use luglink_resources::CatchUp;
use luglink_storage::Disk;
use luglink_types::{Revision, Timestamp};

/// A configuration watch that waits for a newer revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watch {
    pub(crate) token: RequestToken,
    pub(crate) known: Revision,
    pub(crate) deadline: Timestamp,
}

impl<D: Disk> ControlNode<D> {
    /// Starts a configuration watch. Returns the response if it can be given at once.
    pub(crate) fn watch(
        &mut self,
        token: RequestToken,
        known: Revision,
        hold: bool,
    ) -> Option<Response> {
        if !self.configuration_is_fresh() {
            return Some(Response::Unavailable {
                reason: "this member does not hear the configuration leader".to_owned(),
            });
        }
        if self.revision() > known {
            return Some(Response::Configuration(self.catch_up(known)));
        }
        if !hold {
            return Some(Response::Configuration(CatchUp::Current));
        }
        self.watches.push(Watch {
            token,
            known,
            deadline: self.now.plus(self.config.watch_hold),
        });
        None
    }

    /// Returns true if this member leads the configuration group, or was recently confirmed to be
    /// up to date by its leader.
    pub(crate) fn configuration_is_fresh(&self) -> bool {
        let leads = self.leads(CONFIGURATION_GROUP);
        let staleness = self.now.since(self.configuration_confirmed_at);
        leads || staleness < self.config.max_configuration_staleness
    }

    pub(crate) fn catch_up(&self, known: Revision) -> CatchUp {
        self.configuration()
            .and_then(|group| group.state_machine.configuration())
            .map_or(CatchUp::Current, |store| store.catch_up(known))
    }

    /// Answers the watches that a newer revision is available for.
    pub(crate) fn answer_watches(&mut self) {
        let revision = self.revision();
        let (ready, waiting): (Vec<Watch>, Vec<Watch>) = self
            .watches
            .drain(..)
            .partition(|watch| watch.known < revision);
        self.watches = waiting;
        for watch in ready {
            let catch_up = self.catch_up(watch.known);
            self.reply(watch.token, Response::Configuration(catch_up));
        }
    }

    /// Answers the watches that are at their deadline, or all of them if the configuration is
    /// stale.
    pub(crate) fn expire_watches(&mut self) {
        let now = self.now;
        let fresh = self.configuration_is_fresh();
        let (expired, waiting): (Vec<Watch>, Vec<Watch>) = self
            .watches
            .drain(..)
            .partition(|watch| !fresh || now >= watch.deadline);
        self.watches = waiting;
        for watch in expired {
            let response = if fresh {
                Response::Configuration(CatchUp::Current)
            } else {
                Response::Unavailable {
                    reason: "this member does not hear the configuration leader".to_owned(),
                }
            };
            self.reply(watch.token, response);
        }
    }
}
