//! The block-level prefix cache of one engine, and what of it was of use.

use luglink_routing::{BLOCK_TOKENS, BlockHash};
use luglink_types::{ProgramId, Timestamp};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Use made of an engine's cache, the raw material of the wasted-cache measure.
///
/// Held for nothing: time for which a block lay in the cache unused between its last use and
/// its eviction (or the end of the run). Recomputed: blocks that had been computed before,
/// here or at another engine of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CacheUse {
    /// Block-seconds for which blocks lay idle and were then used again.
    pub useful_idle_block_seconds: f64,
    /// Block-seconds for which blocks lay idle and were never used again.
    pub wasted_idle_block_seconds: f64,
    /// How often each block was computed here.
    pub computed: HashMap<BlockHash, u32>,
    /// Prompt tokens looked up.
    pub prompt_tokens: u64,
    /// Prompt tokens found.
    pub hit_tokens: u64,
}

#[derive(Clone, Debug)]
struct Block {
    users: u32,
    idle_since: Timestamp,
    owners: BTreeSet<ProgramId>,
}

/// Blocks of cache memory.
#[derive(Clone, Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockHash, Block>,
    /// Idle blocks, the longest idle first. Within one moment the later part of a prompt goes
    /// first, because a block is of no use without those before it.
    idle: BTreeSet<(Timestamp, std::cmp::Reverse<u64>, BlockHash)>,
    positions: HashMap<BlockHash, u64>,
    /// Blocks of running sequences that are not yet full and so have no hash.
    private: usize,
    usage: CacheUse,
    removed: Vec<BlockHash>,
}

impl BlockCache {
    /// An empty cache of `capacity` blocks.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            idle: BTreeSet::new(),
            positions: HashMap::new(),
            private: 0,
            usage: CacheUse::default(),
            removed: Vec::new(),
        }
    }

    /// Blocks that are free or idle.
    #[must_use]
    pub fn available(&self) -> usize {
        self.capacity
            .saturating_sub(self.blocks.len() + self.private)
            + self.idle.len()
    }

    /// Leading blocks of a prompt that are held.
    #[must_use]
    pub fn matched(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count()
    }

    /// Takes the held leading blocks of a prompt into use and returns their number.
    pub fn acquire_prefix(
        &mut self,
        blocks: &[BlockHash],
        owner: Option<ProgramId>,
        now: Timestamp,
    ) -> usize {
        let matched = self.matched(blocks);
        for block in &blocks[..matched] {
            self.use_block(*block, owner, now);
        }
        matched
    }

    /// Adds a block that was just computed, in use. Returns false when there is no memory.
    pub fn add(
        &mut self,
        block: BlockHash,
        position: u64,
        owner: Option<ProgramId>,
        now: Timestamp,
    ) -> bool {
        *self.usage.computed.entry(block).or_default() += 1;
        if self.blocks.contains_key(&block) {
            self.use_block(block, owner, now);
            return true;
        }
        if !self.make_room(now) {
            return false;
        }
        self.positions.insert(block, position);
        self.blocks.insert(
            block,
            Block {
                users: 1,
                idle_since: now,
                owners: owner.into_iter().collect(),
            },
        );
        true
    }

    /// Reserves memory for a block that is not full yet. Returns false when there is none.
    pub fn reserve_private(&mut self, now: Timestamp) -> bool {
        if !self.make_room(now) {
            return false;
        }
        self.private += 1;
        true
    }

    /// Gives private memory back.
    pub fn release_private(&mut self, count: usize) {
        self.private = self.private.saturating_sub(count);
    }

    /// A sequence no longer uses a block; it stays cached until it is evicted.
    pub fn release(&mut self, block: BlockHash, now: Timestamp) {
        let Some(held) = self.blocks.get_mut(&block) else {
            return;
        };
        held.users = held.users.saturating_sub(1);
        if held.users == 0 {
            held.idle_since = now;
            let position = self.positions.get(&block).copied().unwrap_or_default();
            self.idle.insert((now, std::cmp::Reverse(position), block));
        }
    }

    /// Counts a lookup.
    pub fn count_lookup(&mut self, prompt_tokens: u64, hit_tokens: u64) {
        self.usage.prompt_tokens += prompt_tokens;
        self.usage.hit_tokens += hit_tokens;
    }

    /// Gives up every idle block that only this program owns. Returns whether none is left.
    pub fn release_program(&mut self, program: ProgramId, now: Timestamp) -> bool {
        let mut busy = false;
        let mut gone = Vec::new();
        for (hash, block) in &mut self.blocks {
            if !block.owners.remove(&program) || !block.owners.is_empty() {
                continue;
            }
            if block.users == 0 {
                gone.push(*hash);
            } else {
                block.owners.insert(program);
                busy = true;
            }
        }
        gone.sort_unstable();
        for hash in gone {
            self.evict(hash, now);
        }
        !busy
    }

    /// Blocks that only this program owns.
    #[must_use]
    pub fn held_by(&self, program: ProgramId) -> usize {
        let own = |block: &&Block| block.owners.len() == 1 && block.owners.contains(&program);
        self.blocks.values().filter(own).count()
    }

    /// Blocks of a program in the order of the prompt, for export to another engine.
    #[must_use]
    pub fn blocks_of(&self, program: ProgramId) -> Vec<BlockHash> {
        let own = self
            .blocks
            .iter()
            .filter(|(_, block)| block.owners.contains(&program));
        let mut blocks: Vec<BlockHash> = own.map(|(hash, _)| *hash).collect();
        blocks.sort_by_key(|hash| self.positions.get(hash));
        blocks
    }

    /// Takes blocks that another engine computed. Returns how many fitted.
    pub fn import(&mut self, blocks: &[BlockHash], owner: ProgramId, now: Timestamp) -> usize {
        let mut taken = 0;
        for (position, block) in blocks.iter().enumerate() {
            if self.blocks.contains_key(block) {
                taken += 1;
                continue;
            }
            if !self.make_room(now) {
                break;
            }
            let position = position as u64;
            self.positions.insert(*block, position);
            self.blocks.insert(
                *block,
                Block {
                    users: 0,
                    idle_since: now,
                    owners: BTreeSet::from([owner]),
                },
            );
            self.idle.insert((now, std::cmp::Reverse(position), *block));
            taken += 1;
        }
        taken
    }

    /// Blocks that were evicted since the last call.
    pub fn take_removed(&mut self) -> Vec<BlockHash> {
        std::mem::take(&mut self.removed)
    }

    /// Use made so far, with every idle block counted as wasted from its last use on.
    #[must_use]
    pub fn usage_at(&self, now: Timestamp) -> CacheUse {
        let mut usage = self.usage.clone();
        let idle = self.idle.iter().map(|(since, _, _)| now.since(*since));
        usage.wasted_idle_block_seconds += idle.map(|time| time.as_secs_f64()).sum::<f64>();
        usage
    }

    /// Tokens that a number of blocks holds.
    #[must_use]
    pub const fn tokens(blocks: usize) -> u64 {
        blocks as u64 * BLOCK_TOKENS
    }

    fn use_block(&mut self, hash: BlockHash, owner: Option<ProgramId>, now: Timestamp) {
        let Some(block) = self.blocks.get_mut(&hash) else {
            return;
        };
        if block.users == 0 {
            let position = self.positions.get(&hash).copied().unwrap_or_default();
            let idle = now.since(block.idle_since);
            self.usage.useful_idle_block_seconds += idle.as_secs_f64();
            self.idle
                .remove(&(block.idle_since, std::cmp::Reverse(position), hash));
        }
        block.users += 1;
        block.owners.extend(owner);
    }

    fn make_room(&mut self, now: Timestamp) -> bool {
        if self.blocks.len() + self.private < self.capacity {
            return true;
        }
        let Some((_, _, hash)) = self.idle.first().copied() else {
            return false;
        };
        self.evict(hash, now);
        true
    }

    fn evict(&mut self, hash: BlockHash, now: Timestamp) {
        let Some(block) = self.blocks.remove(&hash) else {
            return;
        };
        let position = self.positions.remove(&hash).unwrap_or_default();
        self.idle
            .remove(&(block.idle_since, std::cmp::Reverse(position), hash));
        let idle: Duration = now.since(block.idle_since);
        self.usage.wasted_idle_block_seconds += idle.as_secs_f64();
        self.removed.push(hash);
    }
}
