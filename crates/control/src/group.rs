//! One replication group at one member.

use crate::errors::ControlError;
use crate::machine::{Applied, LoggedCommand, StateMachine, decode, decode_snapshot};
use crate::protocol::{GroupStatus, Request, RequestToken, Response};
use luglink_fleet::RetireResponse;
use luglink_program::Release;
use luglink_raft::{Entry, LogIndex, Payload, RaftNode, ReadId, ReadOutcome, Snapshot, Term};
use luglink_types::{GroupId, MemberId, Timestamp};
use std::collections::BTreeMap;

/// A client's command whose entry is in the log but not committed yet.
#[derive(Clone, Copy, Debug)]
struct PendingCommand {
    term: Term,
    token: RequestToken,
}

/// A replica of a group: its Raft node, its state machine, and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) raft: RaftNode,
    pub(crate) state_machine: StateMachine,
    commands: BTreeMap<LogIndex, PendingCommand>,
    reads: BTreeMap<ReadId, (RequestToken, Request)>,
    /// Term in which release orders are numbered.
    pub(crate) order_term: Term,
    /// Sequence number of the last release order of that term.
    pub(crate) order_sequence: u64,
}

impl Group {
    pub(crate) fn new(id: GroupId, raft: RaftNode, state_machine: StateMachine) -> Self {
        Self {
            id,
            raft,
            state_machine,
            commands: BTreeMap::new(),
            reads: BTreeMap::new(),
            order_term: 0,
            order_sequence: 0,
        }
    }

    pub(crate) fn leader(&self) -> Option<MemberId> {
        self.raft.leader().map(|peer| peer.member)
    }

    pub(crate) fn not_leader(&self) -> Response {
        let me = self.raft.me().member;
        Response::NotLeader {
            group: self.id,
            leader: self.leader().filter(|leader| *leader != me),
        }
    }

    /// Proposes a command. Returns a response at once only if this member does not lead.
    pub(crate) fn propose(
        &mut self,
        command: Vec<u8>,
        token: Option<RequestToken>,
        now: Timestamp,
    ) -> Option<Response> {
        match self.raft.propose(command, now) {
            Ok((index, term)) => {
                if let Some(token) = token {
                    self.commands.insert(index, PendingCommand { term, token });
                }
                None
            }
            Err(_) => Some(self.not_leader()),
        }
    }

    /// Starts a linearizable read. Returns a response at once only if this member does not lead.
    pub(crate) fn read(
        &mut self,
        request: Request,
        token: RequestToken,
        now: Timestamp,
    ) -> Option<Response> {
        match self.raft.request_read(now) {
            Ok(read) => {
                self.reads.insert(read, (token, request));
                None
            }
            Err(_) => Some(self.not_leader()),
        }
    }

    /// Applies committed entries and answers the clients that wait for them.
    pub(crate) fn apply(
        &mut self,
        committed: &[Entry],
    ) -> Result<Vec<(RequestToken, Response)>, ControlError> {
        let mut answers = Vec::new();
        for entry in committed {
            let waiting = self.commands.remove(&entry.index);
            let Payload::Command(bytes) = &entry.payload else {
                continue;
            };
            let command: LoggedCommand = decode("a logged command", bytes)?;
            let applied = self.state_machine.apply(entry.appended_at, &command);
            if let Some(pending) = waiting {
                let response = if pending.term == entry.term {
                    response_of(applied)
                } else {
                    // The entry of another leader replaced the proposed one at this index.
                    self.not_leader()
                };
                answers.push((pending.token, response));
            }
        }
        Ok(answers)
    }

    /// Answers the reads that consensus has confirmed or given up.
    pub(crate) fn answer_reads(
        &mut self,
        outcomes: &[ReadOutcome],
    ) -> Vec<(RequestToken, Response)> {
        let mut answers = Vec::new();
        for outcome in outcomes {
            let (read, ready) = match outcome {
                ReadOutcome::Ready(read) => (read, true),
                ReadOutcome::Lost(read) => (read, false),
            };
            if let Some((token, request)) = self.reads.remove(read) {
                let response = if ready {
                    self.answer_read(&request)
                } else {
                    self.not_leader()
                };
                answers.push((token, response));
            }
        }
        answers
    }

    fn answer_read(&self, request: &Request) -> Response {
        match (request, &self.state_machine) {
            (Request::View(program), StateMachine::Programs(store)) => {
                let view = store
                    .program(*program)
                    .map(|program| Box::new(program.view()));
                Response::View(view)
            }
            (Request::ReadConfiguration { known }, StateMachine::Configuration(state)) => {
                Response::Configuration(state.resources.catch_up(*known))
            }
            (Request::ReadDocument, StateMachine::Configuration(state)) => {
                Response::Document(state.document.held().cloned())
            }
            (Request::ReadRetirement(name), StateMachine::Configuration(state)) => {
                let state = state.stores.retirement(name);
                Response::Retirement(state.map_or(RetireResponse::Unknown, RetireResponse::State))
            }
            _ => Response::Unavailable {
                reason: "the request does not belong to this group".to_owned(),
            },
        }
    }

    /// Returns a not-leader response for each pending command, if this member no longer leads.
    /// Its uncommitted entries may never commit, and clients may safely retry any request with the
    /// new leader.
    pub(crate) fn abandon_pending(&mut self) -> Vec<(RequestToken, Response)> {
        if self.raft.is_leader() || self.commands.is_empty() {
            return Vec::new();
        }
        let response = self.not_leader();
        let commands = std::mem::take(&mut self.commands);
        let tokens = commands.into_values().map(|pending| pending.token);
        tokens.map(|token| (token, response.clone())).collect()
    }

    /// Replaces the state with that of a received snapshot.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> Result<(), ControlError> {
        if !snapshot.state.is_empty() {
            self.state_machine = decode_snapshot(&snapshot.state)?;
        }
        Ok(())
    }

    pub(crate) fn releases(&self) -> Vec<Release> {
        self.state_machine
            .programs()
            .map(|store| store.releases().collect())
            .unwrap_or_default()
    }

    pub(crate) fn status(&self) -> GroupStatus {
        GroupStatus {
            group: self.id,
            term: self.raft.term(),
            leader: self.leader(),
            commit: self.raft.commit_index(),
            log_entries: self.raft.log().len() as u64,
            membership: self.raft.membership().clone(),
        }
    }
}

fn response_of(applied: Applied) -> Response {
    match applied {
        Applied::Program(reply) => Response::Program(reply),
        Applied::Change(answer) => Response::Change(answer),
        Applied::Document(version) => Response::DocumentHeld { version },
        Applied::Store(answer) => Response::Retirement(answer),
        Applied::WrongGroup => Response::Unavailable {
            reason: "the command does not belong to this group".to_owned(),
        },
    }
}
