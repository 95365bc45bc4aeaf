//! The batching loop.

use crate::engine::cache::{BlockCache, CacheUse};
use crate::engine::config::EngineConfig;
use crate::engine::orders::Fences;
use crate::engine::published::Publisher;
use crate::engine::sequence::{EngineRequest, RunningSequence};
use luglink_engine_api::{EngineEvents, EngineLoad, EngineOrder, OrderKind, OrderResponse};
use luglink_routing::{BLOCK_TOKENS, BlockHash};
use luglink_types::{Epoch, ProgramId, Timestamp, TokenUsage};
use std::collections::BTreeMap;
use std::time::Duration;

/// Something that the engine says about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// One more token.
    Token {
        /// The request.
        request: u64,
        /// When.
        at: Timestamp,
        /// The token and the space after it.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// The request.
        request: u64,
        /// When.
        at: Timestamp,
        /// Tokens used.
        usage: TokenUsage,
    },
}

/// Why a request was refused before any work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Too many requests wait.
    Full,
    /// The engine takes no new work.
    Draining,
    /// The program is owned under a higher epoch.
    Fenced,
    /// The prompt can never fit into the cache.
    TooLong,
    /// It arrived after the latest time at which it may start.
    Expired,
}

/// An engine.
#[derive(Clone, Debug)]
pub struct EngineCore {
    config: EngineConfig,
    now: Timestamp,
    waiting: Vec<RunningSequence>,
    running: Vec<RunningSequence>,
    cache: BlockCache,
    publisher: Publisher,
    fences: Fences,
    epochs: BTreeMap<ProgramId, Epoch>,
    imports: Vec<(Timestamp, ProgramId, Vec<BlockHash>)>,
    step_ends_at: Option<Timestamp>,
    /// Prompt tokens that the current step computes, for each running sequence.
    step_prefill: BTreeMap<u64, u64>,
    stored: Vec<BlockHash>,
    draining: bool,
    role: String,
    model_version: String,
    adapters: BTreeMap<String, String>,
    slowdown: u32,
}

impl EngineCore {
    /// An idle engine with an empty cache.
    #[must_use]
    pub fn new(config: EngineConfig, seed: u64) -> Self {
        Self {
            cache: BlockCache::new(config.cache_blocks),
            publisher: Publisher::new(seed),
            config,
            now: Timestamp::ZERO,
            waiting: Vec::new(),
            running: Vec::new(),
            fences: Fences::default(),
            epochs: BTreeMap::new(),
            imports: Vec::new(),
            step_ends_at: None,
            step_prefill: BTreeMap::new(),
            stored: Vec::new(),
            draining: false,
            role: "mixed".to_owned(),
            model_version: String::new(),
            adapters: BTreeMap::new(),
            slowdown: 1,
        }
    }

    /// Takes a request.
    ///
    /// # Errors
    /// The request was refused before any work.
    pub fn submit(&mut self, request: &EngineRequest, now: Timestamp) -> Result<(), Rejection> {
        self.now = self.now.max(now);
        if self.draining {
            return Err(Rejection::Draining);
        }
        if self.waiting.len() >= self.config.max_waiting {
            return Err(Rejection::Full);
        }
        if let Some(program) = request.program {
            let epoch = self.epochs.entry(program).or_default();
            if request.epoch < *epoch {
                return Err(Rejection::Fenced);
            }
            *epoch = request.epoch;
        }
        let sequence = RunningSequence::new(request, now);
        let blocks = (sequence.prompt_tokens + sequence.output_tokens).div_ceil(BLOCK_TOKENS) + 1;
        if blocks > self.config.cache_blocks as u64 {
            return Err(Rejection::TooLong);
        }
        self.waiting.push(sequence);
        self.start_step();
        Ok(())
    }

    /// Stops a request; what it computed stays cached.
    pub fn cancel(&mut self, request: u64, now: Timestamp) {
        self.now = self.now.max(now);
        self.waiting.retain(|sequence| sequence.id != request);
        if let Some(position) = self.running.iter().position(|it| it.id == request) {
            let sequence = self.running.remove(position);
            self.release(sequence);
        }
    }

    /// When the engine next has something to say; `None` while it is idle.
    #[must_use]
    pub fn next_event_at(&self) -> Option<Timestamp> {
        let imports = self.imports.iter().map(|(at, _, _)| *at);
        imports.chain(self.step_ends_at).min()
    }

    /// Runs up to `now` and gives out what was said on the way.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        self.finish_imports(now);
        while let Some(end) = self.step_ends_at.filter(|end| *end <= now) {
            self.now = self.now.max(end);
            self.finish_step(end, &mut outputs);
            self.start_step();
        }
        self.now = self.now.max(now);
        outputs
    }

    /// Carries out a fenced order.
    pub fn order(&mut self, order: &EngineOrder, now: Timestamp) -> OrderResponse {
        self.now = self.now.max(now);
        if let Err(answer) = self.fences.admit(&order.source, order.fence) {
            return answer;
        }
        match &order.order {
            OrderKind::ReleaseProgram { program } => self.release_program(program),
            OrderKind::LoadModel { version } => {
                self.model_version.clone_from(version);
                OrderResponse::Done
            }
            OrderKind::LoadAdapter { adapter, version } => {
                self.adapters.insert(adapter.clone(), version.clone());
                OrderResponse::Done
            }
            OrderKind::ChangeRole { role } => self.change_role(role),
            OrderKind::Drain { draining } => {
                self.draining = *draining;
                OrderResponse::Done
            }
        }
    }

    /// Blocks of a program, for another engine.
    #[must_use]
    pub fn export(&self, program: ProgramId) -> Vec<BlockHash> {
        self.cache.blocks_of(program)
    }

    /// Takes blocks of another engine; they are there after the time of their transfer.
    pub fn import(&mut self, program: ProgramId, blocks: Vec<BlockHash>, now: Timestamp) {
        let count = u32::try_from(blocks.len()).unwrap_or(u32::MAX);
        let arrives = now.plus(self.config.transfer_per_block.saturating_mul(count));
        self.imports.push((arrives, program, blocks));
    }

    /// What a reader of events is told.
    #[must_use]
    pub fn events(&self, after: u64, now: Timestamp) -> EngineEvents {
        self.publisher.read(&self.config, after, self.draining, now)
    }

    /// Use made of the cache so far.
    #[must_use]
    pub fn cache_use(&self, now: Timestamp) -> CacheUse {
        self.cache.usage_at(now)
    }

    /// Blocks that only this program owns.
    #[must_use]
    pub fn blocks_held_by(&self, program: ProgramId) -> usize {
        self.cache.held_by(program)
    }

    /// The load now.
    #[must_use]
    pub fn load(&self) -> EngineLoad {
        let sequences = self.running.iter().chain(&self.waiting);
        EngineLoad {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            prefill_tokens: sequences.map(RunningSequence::prefill_left).sum(),
            free_blocks: self.cache.available() as u64,
            draining: self.draining,
        }
    }

    /// What the engine is used for: `prefill`, `decode` or `mixed`.
    #[must_use]
    pub fn role(&self) -> &str {
        &self.role
    }

    /// The version of the model that it serves.
    #[must_use]
    pub fn model_version(&self) -> &str {
        &self.model_version
    }

    /// Makes every step this many times longer, as a failing machine does.
    pub fn set_slowdown(&mut self, factor: u32) {
        self.slowdown = factor.max(1);
    }

    /// Takes no new work, or takes it again.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    fn release_program(&mut self, program: &str) -> OrderResponse {
        let Ok(program) = program.parse::<ProgramId>() else {
            return OrderResponse::Invalid {
                reason: "program is not an identifier".to_owned(),
            };
        };
        // Nothing of an ended program may start any more, however late it arrives.
        self.epochs.insert(program, Epoch(u64::MAX));
        self.waiting
            .retain(|sequence| sequence.program != Some(program));
        let running: Vec<u64> = self
            .running
            .iter()
            .filter(|sequence| sequence.program == Some(program))
            .map(|sequence| sequence.id)
            .collect();
        let now = self.now;
        for request in running {
            self.cancel(request, now);
        }
        let released = self.cache.release_program(program, now);
        self.publish();
        if released {
            OrderResponse::Done
        } else {
            OrderResponse::Pending
        }
    }

    fn change_role(&mut self, role: &str) -> OrderResponse {
        if !matches!(role, "prefill" | "decode" | "mixed") {
            return OrderResponse::Invalid {
                reason: "role must be prefill, decode or mixed".to_owned(),
            };
        }
        role.clone_into(&mut self.role);
        OrderResponse::Done
    }

    fn finish_imports(&mut self, now: Timestamp) {
        let (arrived, coming): (Vec<_>, Vec<_>) =
            self.imports.drain(..).partition(|(at, _, _)| *at <= now);
        self.imports = coming;
        for (at, program, blocks) in arrived {
            let taken = self.cache.import(&blocks, program, at);
            self.stored.extend(&blocks[..taken]);
        }
    }

    /// Admits waiting requests and plans the next step, unless one is under way.
    fn start_step(&mut self) {
        if self.step_ends_at.is_some() {
            return;
        }
        self.admit();
        if self.running.is_empty() {
            return;
        }
        let mut chunk = self.config.prefill_chunk_tokens;
        let mut decoding: u32 = 0;
        self.step_prefill.clear();
        for sequence in &self.running {
            if sequence.is_decoding() {
                decoding += 1;
                continue;
            }
            let share = sequence.prefill_left().min(chunk);
            chunk -= share;
            if share > 0 {
                self.step_prefill.insert(sequence.id, share);
            }
        }
        let prefill = self.config.prefill_chunk_tokens - chunk;
        let length = self.step_length(decoding, prefill);
        self.step_ends_at = Some(self.now.plus(length));
    }

    fn step_length(&self, decoding: u32, prefill_tokens: u64) -> Duration {
        let prefill = u32::try_from(prefill_tokens).unwrap_or(u32::MAX);
        let length = self.config.step
            + self.config.step_per_sequence * decoding
            + self.config.step_per_prefill_token * prefill;
        length * self.slowdown
    }

    /// Moves waiting requests into the batch: by priority, then by arrival, while memory lasts.
    fn admit(&mut self) {
        self.waiting.sort_by_key(|sequence| {
            let priority = std::cmp::Reverse(sequence.priority);
            (priority, sequence.arrived_at, sequence.id)
        });
        while self.running.len() < self.config.max_running && !self.waiting.is_empty() {
            let next = &self.waiting[0];
            let needed = next.prompt_tokens.div_ceil(BLOCK_TOKENS) + 1;
            let cached = self.cache.matched(next.prefix.blocks()) as u64;
            let fits = needed - cached.min(needed) <= self.cache.available() as u64;
            if !fits && !self.running.is_empty() {
                break;
            }
            let mut sequence = self.waiting.remove(0);
            self.take_cached_prefix(&mut sequence);
            self.running.push(sequence);
        }
    }

    fn take_cached_prefix(&mut self, sequence: &mut RunningSequence) {
        let blocks = sequence.prefix.blocks();
        let now = self.now;
        let matched = self.cache.acquire_prefix(blocks, sequence.program, now);
        sequence.held = blocks[..matched].to_vec();
        // The last prompt token is always computed: it gives the first token of the answer.
        let cached = BlockCache::tokens(matched).min(sequence.prompt_tokens.saturating_sub(1));
        sequence.prefilled = cached;
        if !sequence.counted {
            sequence.counted = true;
            sequence.cached_tokens = cached;
            self.cache.count_lookup(sequence.prompt_tokens, cached);
        }
    }

    fn finish_step(&mut self, end: Timestamp, outputs: &mut Vec<EngineOutput>) {
        self.step_ends_at = None;
        let prefilled = std::mem::take(&mut self.step_prefill);
        let mut still_running = Vec::with_capacity(self.running.len());
        let batch = std::mem::take(&mut self.running);
        for mut sequence in batch {
            let decoded = match prefilled.get(&sequence.id) {
                Some(tokens) => self.finish_prefill(&mut sequence, *tokens, end),
                // Waiting for its share of prefill.
                None if !sequence.is_decoding() => {
                    still_running.push(sequence);
                    continue;
                }
                None => true,
            };
            if !decoded {
                still_running.push(sequence);
                continue;
            }
            outputs.push(EngineOutput::Token {
                request: sequence.id,
                at: end,
                text: sequence.answer.token(sequence.generated),
            });
            sequence.generated += 1;
            if sequence.generated >= sequence.output_tokens {
                outputs.push(self.finish_sequence(sequence, end));
            } else if self.grow(&mut sequence, end) {
                still_running.push(sequence);
            } else {
                self.preempt(sequence);
            }
        }
        self.running = still_running;
        self.publish();
    }

    /// Notes computed prompt tokens. Returns whether the prompt is done, which gives a token.
    fn finish_prefill(
        &mut self,
        sequence: &mut RunningSequence,
        tokens: u64,
        end: Timestamp,
    ) -> bool {
        sequence.prefilled += tokens;
        let full = usize::try_from(sequence.prefilled / BLOCK_TOKENS).unwrap_or(usize::MAX);
        let blocks = sequence.prefix.blocks().to_vec();
        let full = full.min(blocks.len());
        self.cache_blocks(sequence, &blocks[..full], end);
        sequence.is_decoding()
    }

    /// Puts the leading blocks of a sequence into the cache, as far as memory goes.
    fn cache_blocks(
        &mut self,
        sequence: &mut RunningSequence,
        blocks: &[BlockHash],
        end: Timestamp,
    ) {
        let held = sequence.held.len();
        for (position, block) in blocks.iter().copied().enumerate().skip(held) {
            let position = position as u64;
            if !self.cache.add(block, position, sequence.program, end) {
                return;
            }
            sequence.held.push(block);
            self.stored.push(block);
        }
    }

    /// Takes memory for the next generated token. Returns false when there is none.
    fn grow(&mut self, sequence: &mut RunningSequence, end: Timestamp) -> bool {
        let tokens = sequence.prompt_tokens + sequence.generated;
        let needed = usize::try_from(tokens / BLOCK_TOKENS + 1).unwrap_or(usize::MAX);
        while sequence.held.len() + sequence.private < needed {
            if !self.cache.reserve_private(end) {
                return false;
            }
            sequence.private += 1;
        }
        true
    }

    fn finish_sequence(&mut self, mut sequence: RunningSequence, end: Timestamp) -> EngineOutput {
        self.cache.release_private(sequence.private);
        sequence.private = 0;
        // The answer's blocks stay, for the program's next call.
        let blocks = sequence.final_blocks();
        self.cache_blocks(&mut sequence, &blocks, end);
        let usage = TokenUsage {
            prompt_tokens: sequence.prompt_tokens,
            completion_tokens: sequence.generated,
            cached_tokens: sequence.cached_tokens,
        };
        let request = sequence.id;
        self.release(sequence);
        EngineOutput::Finished {
            request,
            at: end,
            usage,
        }
    }

    /// Out of memory: the sequence waits again and recomputes what it has; no token is said
    /// twice, because what it generated counts as prompt then.
    fn preempt(&mut self, mut sequence: RunningSequence) {
        let now = self.now;
        self.cache.release_private(sequence.private);
        sequence.private = 0;
        for block in sequence.held.drain(..).rev() {
            self.cache.release(block, now);
        }
        sequence.prefilled = 0;
        self.waiting.push(sequence);
    }

    fn release(&mut self, sequence: RunningSequence) {
        self.cache.release_private(sequence.private);
        for block in sequence.held.into_iter().rev() {
            self.cache.release(block, self.now);
        }
    }

    fn publish(&mut self) {
        let stored = std::mem::take(&mut self.stored);
        let removed = self.cache.take_removed();
        let now = self.now;
        self.publisher
            .note_cache(&self.config, stored, removed, now);
        let load = self.load();
        self.publisher.note_load(&self.config, load, now);
    }
}
