//! One replication group at one member.

use crate::errors::ControlError;
use crate::machine::{Applied, LoggedCommand, Machine, decode};
use crate::protocol::{GroupStatus, Request, RequestToken, Response};
use luglink_fleet::RetireResponse;
use luglink_program::Release;
use luglink_raft::{Entry, LogIndex, Payload, RaftNode, ReadId, ReadOutcome, Snapshot, Term};
use luglink_types::{GroupId, MemberId, Timestamp};
use std::collections::BTreeMap;

/// A request whose entry is in the log but not committed yet.
#[derive(Clone, Copy, Debug)]
struct PendingCommand {
    term: Term,
    token: RequestToken,
}

/// A group: consensus, state, and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) id: GroupId,
    pub(crate) raft: RaftNode,
    pub(crate) machine: Machine,
    commands: BTreeMap<LogIndex, PendingCommand>,
    reads: BTreeMap<ReadId, (RequestToken, Request)>,
    /// Term in which this member last noticed that it leads, for numbering orders.
    pub(crate) order_term: Term,
    pub(crate) order_sequence: u64,
}

impl Group {
    pub(crate) fn new(id: GroupId, raft: RaftNode, machine: Machine) -> Self {
        Self {
            id,
            raft,
            machine,
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

    /// Appends a command on behalf of a client.
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

    /// Asks for a linearizable read.
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
            let applied = self.machine.apply(entry.at, &command);
            if let Some(pending) = waiting {
                let response = if pending.term == entry.term {
                    response_of(applied)
                } else {
                    // Another leader's entry took the place.
                    self.not_leader()
                };
                answers.push((pending.token, response));
            }
        }
        Ok(answers)
    }

    /// Answers reads that consensus has decided.
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
        match (request, &self.machine) {
            (Request::View(program), Machine::Programs(store)) => {
                let view = store
                    .program(*program)
                    .map(|program| Box::new(program.view()));
                Response::View(view)
            }
            (Request::ReadConfiguration { known }, Machine::Configuration(state)) => {
                Response::Configuration(state.resources.catch_up(*known))
            }
            (Request::ReadDocument, Machine::Configuration(state)) => {
                Response::Document(state.document.held().cloned())
            }
            (Request::ReadRetirement(name), Machine::Configuration(state)) => {
                let state = state.stores.retirement(name);
                Response::Retirement(state.map_or(RetireResponse::Unknown, RetireResponse::State))
            }
            _ => Response::Unavailable {
                reason: "the request does not belong to this group".to_owned(),
            },
        }
    }

    /// Once this member no longer leads, its uncommitted entries may never commit: the clients
    /// are told to ask the new leader, which is safe because requests can be repeated.
    pub(crate) fn abandon_pending(&mut self) -> Vec<(RequestToken, Response)> {
        if self.raft.is_leader() || self.commands.is_empty() {
            return Vec::new();
        }
        let response = self.not_leader();
        let commands = std::mem::take(&mut self.commands);
        let tokens = commands.into_values().map(|pending| pending.token);
        tokens.map(|token| (token, response.clone())).collect()
    }

    /// Replaces the state by a received snapshot.
    pub(crate) fn install(&mut self, snapshot: &Snapshot) -> Result<(), ControlError> {
        if !snapshot.state.is_empty() {
            self.machine = decode("a snapshot's state", &snapshot.state)?;
        }
        Ok(())
    }

    pub(crate) fn releases(&self) -> Vec<Release> {
        self.machine
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
        Applied::Misplaced => Response::Unavailable {
            reason: "the command does not belong to this group".to_owned(),
        },
    }
}
