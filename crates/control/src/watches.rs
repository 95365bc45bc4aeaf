//! Clients that wait for a newer configuration.

use crate::machine::CONFIGURATION_GROUP;
use crate::node::ControlNode;
use crate::protocol::{RequestToken, Response};
use luglink_resources::CatchUp;
use luglink_storage::Disk;
use luglink_types::{Revision, Timestamp};

/// A configuration watch that waits for news.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Watch {
    pub(crate) token: RequestToken,
    pub(crate) known: Revision,
    pub(crate) until: Timestamp,
}

impl<D: Disk> ControlNode<D> {
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
            until: self.now.plus(self.config.watch_hold),
        });
        None
    }

    pub(crate) fn configuration_is_fresh(&self) -> bool {
        let leads = self.leads(CONFIGURATION_GROUP);
        let silence = self.now.since(self.configuration_confirmed_at);
        leads || silence < self.config.max_configuration_staleness
    }

    pub(crate) fn catch_up(&self, known: Revision) -> CatchUp {
        self.configuration()
            .and_then(|group| group.state_machine.configuration())
            .map_or(CatchUp::Current, |store| store.catch_up(known))
    }

    pub(crate) fn answer_watches(&mut self) {
        let revision = self.revision();
        let (news, waiting): (Vec<Watch>, Vec<Watch>) = self
            .watches
            .drain(..)
            .partition(|watch| watch.known < revision);
        self.watches = waiting;
        for watch in news {
            let catch_up = self.catch_up(watch.known);
            self.reply(watch.token, Response::Configuration(catch_up));
        }
    }

    pub(crate) fn expire_watches(&mut self) {
        let now = self.now;
        let fresh = self.configuration_is_fresh();
        let (over, waiting): (Vec<Watch>, Vec<Watch>) = self
            .watches
            .drain(..)
            .partition(|watch| !fresh || now >= watch.until);
        self.watches = waiting;
        for watch in over {
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
