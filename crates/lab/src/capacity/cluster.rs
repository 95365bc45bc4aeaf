//! Three control members in one thread without a network between them.

use luglink_control::{ControlConfig, ControlNode, Input, Output, Request, RequestToken, Response};
use luglink_program::{BeginCall, Claim, Command, CreateProgram, FinishCall, ProgramSpec};
use luglink_storage::MemoryDisk;
use luglink_types::{
    AttemptNumber, Budget, ChatMessage, DaemonId, EngineId, Epoch, GroupId, IdempotencyKey,
    MemberId, OutcomeClass, Priority, ProgramId, Role, Sequence, Timestamp, TokenUsage,
};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const MEMBERS: u32 = 3;

/// Bytes of a word and the space after it, as prompts and answers are made of.
const BYTES_PER_TOKEN: usize = 4;

/// Members and the time each has spent.
pub(crate) struct Cluster {
    nodes: Vec<ControlNode<MemoryDisk>>,
    pub(crate) spent: Vec<Duration>,
    now: Timestamp,
    leader: usize,
    requests: u64,
    pub(crate) replies: u64,
}

impl Cluster {
    pub(crate) fn start() -> Option<Self> {
        let members: Vec<MemberId> = (1..=MEMBERS).map(MemberId).collect();
        let now = Timestamp::from_millis(1_000_000);
        let mut nodes = Vec::new();
        for member in &members {
            let mut config = ControlConfig::new(*member, members.clone());
            config.program_groups = 1;
            config.bootstrap = true;
            // Snapshots are measured apart.
            config.snapshot_entries = usize::MAX;
            let seed = u64::from(member.0);
            nodes.push(ControlNode::start(config, MemoryDisk::new(), seed, now).ok()?);
        }
        let mut cluster = Self {
            nodes,
            spent: vec![Duration::ZERO; MEMBERS as usize],
            now,
            leader: 0,
            requests: 0,
            replies: 0,
        };
        cluster.elect()?;
        Some(cluster)
    }

    fn elect(&mut self) -> Option<()> {
        for _ in 0..200 {
            self.tick(20);
            let leads = |node: &ControlNode<MemoryDisk>| node.leads(GroupId(1));
            if let Some(leader) = self.nodes.iter().position(leads) {
                self.leader = leader;
                return Some(());
            }
        }
        None
    }

    /// Lets time pass for all members, and their messages arrive.
    pub(crate) fn tick(&mut self, millis: u64) {
        self.now = self.now.plus(Duration::from_millis(millis));
        for member in 0..self.nodes.len() {
            let begun = Instant::now();
            // A member in memory has no disk that could fail.
            let _ = self.nodes[member].tick(self.now);
            self.spent[member] += begun.elapsed();
        }
        self.settle();
    }

    /// Gives the leader a batch of commands and lets all of them commit.
    pub(crate) fn commit(&mut self, commands: Vec<Command>) {
        let now = self.now;
        let leader = self.leader;
        let begun = Instant::now();
        for command in commands {
            self.requests += 1;
            let token = RequestToken {
                client: 1,
                request: self.requests,
            };
            let request = Box::new(Request::Program(command));
            let _ = self.nodes[leader].handle(Input::Request { token, request }, now);
        }
        self.spent[leader] += begun.elapsed();
        self.settle();
    }

    fn settle(&mut self) {
        let mut waiting: VecDeque<(usize, Input)> = VecDeque::new();
        loop {
            for member in 0..self.nodes.len() {
                let begun = Instant::now();
                let outputs = self.nodes[member].flush().unwrap_or_default();
                self.spent[member] += begun.elapsed();
                for output in outputs {
                    self.route(output, &mut waiting);
                }
            }
            if waiting.is_empty() {
                return;
            }
            while let Some((member, input)) = waiting.pop_front() {
                let begun = Instant::now();
                let _ = self.nodes[member].handle(input, self.now);
                self.spent[member] += begun.elapsed();
            }
        }
    }

    fn route(&mut self, output: Output, waiting: &mut VecDeque<(usize, Input)>) {
        match output {
            Output::Peer { group, envelope } => {
                let to = envelope.to.member.0 as usize - 1;
                waiting.push_back((to, Input::Peer { group, envelope }));
            }
            Output::Reply { response, .. } => {
                self.replies += u64::from(matches!(*response, Response::Program(_)));
            }
            Output::Release(_) => {}
        }
    }

    /// Bytes on the leader's disk.
    pub(crate) fn leader_disk_bytes(&mut self) -> usize {
        let leader = self.leader;
        self.nodes[leader].disk_mut().bytes()
    }

    /// Time that the leader has spent, and the average follower.
    pub(crate) fn spent_by_role(&self) -> (Duration, Duration) {
        let leader = self.spent[self.leader];
        let all: Duration = self.spent.iter().sum();
        (leader, (all - leader) / (MEMBERS - 1))
    }

    pub(crate) fn forget_spent(&mut self) {
        self.spent.fill(Duration::ZERO);
    }

    /// Size of the group's state as a snapshot would hold it, and the time to write it.
    pub(crate) fn snapshot_cost(&self) -> (usize, Duration) {
        let begun = Instant::now();
        let store = self.nodes[self.leader].programs(GroupId(1));
        let bytes = store.and_then(|store| postcard::to_stdvec(store).ok());
        (bytes.map_or(0, |bytes| bytes.len()), begun.elapsed())
    }
}

pub(crate) fn program(number: u64) -> ProgramId {
    ProgramId {
        family: number,
        member: number,
    }
}

pub(crate) fn spec() -> ProgramSpec {
    ProgramSpec {
        tenant: "kopano".into(),
        class: "desk".into(),
        model: "agent-llm".into(),
        adapter: None,
        priority: Priority::Normal,
        zone: "midrand-a".into(),
        parent: None,
        budget: Budget::default(),
        idle_timeout_ms: 900_000,
    }
}

pub(crate) fn create(number: u64) -> Command {
    Command::Create(CreateProgram {
        program: program(number),
        spec: spec(),
        owner: DaemonId(1),
        claim: Claim(number),
    })
}

pub(crate) fn text_of_tokens(tokens: usize) -> String {
    "abc ".repeat(tokens * BYTES_PER_TOKEN / 4)
}

pub(crate) fn begin(number: u64, turn: u64, tokens: usize) -> Command {
    Command::Begin(BeginCall {
        program: program(number),
        epoch: Epoch(1),
        intent: turn + 1,
        sequence: None,
        key: Some(IdempotencyKey(format!("call-{number}-{turn}"))),
        messages: vec![ChatMessage {
            role: Role::User,
            content: text_of_tokens(tokens),
        }],
        input_tokens: tokens as u64,
        max_output_tokens: 1_000,
        requested_output_tokens: None,
        cost_per_token_micros: 2,
        repeatable: true,
        ceiling: Budget::default(),
        engine: EngineId(3),
    })
}

pub(crate) fn finish(number: u64, turn: u64, tokens: usize) -> Command {
    Command::Finish(FinishCall {
        program: program(number),
        epoch: Epoch(1),
        sequence: Sequence(turn),
        attempt: AttemptNumber(0),
        class: OutcomeClass::Completed,
        answer: text_of_tokens(tokens),
        usage: TokenUsage {
            prompt_tokens: tokens as u64,
            completion_tokens: tokens as u64,
            cached_tokens: 0,
        },
    })
}
