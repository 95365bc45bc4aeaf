//! Requests that a store refuses because the client could not count its response.

use crate::account::{Account, Spend};
use crate::crash_parts::CrashRequest;
use crate::hand_over::HandOver;
use crate::parts::ClientView;
use crate::protocol::StoreRequest;
use crate::record::ProgramName;
use crate::state::State;
use luglink_fleet::{StoreName, settled_owners};
use snafu::Snafu;

/// Reason for which a store refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum Refusal {
    /// The store's disk is not the one that the client expects, so it may lack records.
    #[snafu(display("the disk of this store is not the one in the view of the client"))]
    UnexpectedDisk,
    /// The owners of the program have changed since the client's view.
    #[snafu(display("the owners of the program have changed since the view of the client"))]
    OutdatedView,
    /// The store does not own the program in the settled configuration, and the client is of a build
    /// that would count its response.
    #[snafu(display("this store may not have received all records of the program yet"))]
    Unsettled,
    /// The control members are others than those that the client knows.
    #[snafu(display("the membership of the control members is not that of the client"))]
    OtherMembership,
    /// The control member may lack reports that were recorded before it joined or lost its disk.
    #[snafu(display("this control member may lack crash reports"))]
    Incomplete,
}

impl Refusal {
    /// Returns the value of the metric label and log key `reason`.
    #[must_use]
    pub fn label(&self) -> &'static str {
        match self {
            Self::UnexpectedDisk => "unexpected_disk",
            Self::OutdatedView => "outdated_view",
            Self::Unsettled => "unsettled",
            Self::OtherMembership => "other_membership",
            Self::Incomplete => "incomplete",
        }
    }
}

/// What a store needs to know about itself to decide whether its response would count.
pub(crate) struct RequestCheck<'store> {
    pub(crate) name: &'store StoreName,
    pub(crate) incarnation: u64,
    pub(crate) copies: usize,
    pub(crate) hand_over: &'store HandOver,
    /// True if the settled configuration of the present view is not known yet.
    pub(crate) is_view_restored: bool,
    pub(crate) state: &'store State,
}

impl RequestCheck<'_> {
    /// Returns the reason for which a request must be refused.
    pub(crate) fn refusal(
        &self,
        client_view: Option<ClientView>,
        request: &StoreRequest,
    ) -> Option<Refusal> {
        let Some(client_view) = client_view else {
            return self.refusal_of_older_client(request);
        };
        let program = match request {
            StoreRequest::Spend { program, .. } | StoreRequest::Account(program) => program,
            StoreRequest::Keep { turn, .. } => &turn.program,
            StoreRequest::Lookup(query) => {
                let is_absent = !self.state.turns.contains_key(&query.turn);
                let is_uncertain = is_absent && self.owners_changed(client_view.epoch, None);
                return is_uncertain.then_some(Refusal::OutdatedView);
            }
            StoreRequest::HandOver { accounts, .. } => {
                return self.repair_refusal(client_view, accounts);
            }
            StoreRequest::Quota(_) => return None,
        };
        if client_view.incarnation != self.incarnation {
            return Some(Refusal::UnexpectedDisk);
        }
        self.owners_changed(client_view.epoch, Some(program))
            .then_some(Refusal::OutdatedView)
    }

    /// Returns the reason for which records from a client must be refused, by which it completes what
    /// this store lacks.
    fn repair_refusal(
        &self,
        client_view: ClientView,
        accounts: &[(ProgramName, Account, u64)],
    ) -> Option<Refusal> {
        if client_view.incarnation != self.incarnation {
            return Some(Refusal::UnexpectedDisk);
        }
        let mut programs = accounts.iter().map(|(program, _, _)| program);
        programs
            .any(|program| self.owners_changed(client_view.epoch, Some(program)))
            .then_some(Refusal::OutdatedView)
    }

    /// Returns the reason for which a request about crash reports must be refused. A lease covers the
    /// reports of all requests, so it needs the present owners of all.
    pub(crate) fn report_refusal(
        &self,
        client_view: Option<ClientView>,
        request: &CrashRequest,
    ) -> Option<Refusal> {
        let client_view = client_view?;
        let subject = match request {
            CrashRequest::Update(_) | CrashRequest::TakeOver(_) => return None,
            request => request.subject().map(|subject| subject.to_string()),
        };
        if client_view.incarnation != self.incarnation {
            return Some(Refusal::UnexpectedDisk);
        }
        self.hand_over
            .owners_changed_since(client_view.epoch, subject.as_deref(), self.copies)
            .then_some(Refusal::OutdatedView)
    }

    /// A client of an older build counts each response to these requests towards a quorum of the
    /// writable owners, so only owners in the settled configuration may respond.
    fn refusal_of_older_client(&self, request: &StoreRequest) -> Option<Refusal> {
        let (program, epoch) = match request {
            StoreRequest::Spend {
                program,
                epoch,
                spend: Spend::Reserved(_),
                ..
            } => (program, *epoch),
            StoreRequest::Keep { turn, epoch, .. } => (&turn.program, *epoch),
            StoreRequest::Account(program) => (program, self.hand_over.view().epoch),
            _ => return None,
        };
        let view = self.hand_over.view();
        let counts = !self.is_view_restored
            && settled_owners(view, &program.0, self.copies).contains(self.name)
            && view.is_authoritative(self.name, self.incarnation);
        if !counts {
            return Some(Refusal::Unsettled);
        }
        self.owners_changed(epoch, Some(program))
            .then_some(Refusal::OutdatedView)
    }

    /// Prepares a request that was not refused. The owners under the client's view are the present
    /// ones, so nothing has to be forwarded. A chain may belong to a program with other owners: a
    /// query that would be answered with a turn's absence is removed if that could not count.
    pub(crate) fn accepted(
        &self,
        client_view: Option<ClientView>,
        mut request: StoreRequest,
    ) -> StoreRequest {
        let Some(client_view) = client_view else {
            return request;
        };
        let present_epoch = self.hand_over.view().epoch;
        match &mut request {
            StoreRequest::Spend { epoch, chain, .. } => {
                *epoch = (*epoch).max(present_epoch);
                if self.owners_changed(client_view.epoch, None) {
                    let turns = &self.state.turns;
                    *chain = chain.take().filter(|query| turns.contains_key(&query.turn));
                }
            }
            StoreRequest::Keep { epoch, .. } => *epoch = (*epoch).max(present_epoch),
            _ => {}
        }
        request
    }

    /// Returns true if the owners of a program, or of any program, may have changed since a view.
    pub(crate) fn owners_changed(&self, epoch: u64, program: Option<&ProgramName>) -> bool {
        let program = program.map(|program| program.0.as_str());
        self.hand_over
            .owners_changed_since(epoch, program, self.copies)
    }
}
