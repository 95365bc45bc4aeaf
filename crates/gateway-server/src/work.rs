//! Estimate of the work that a turn requires of an engine, from the caller's declarations and the
//! lengths of earlier answers.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::program::PreparedTurn;
use luglink_scheduling::Work;

/// Estimates the work of a program's first turn; `None` if the caller has not declared the prompt,
/// replicas are not chosen by expected finish at the moment, or the service has no engines.
pub(crate) fn estimate_first_turn(gateway: &Gateway, inbound: &InboundRequest) -> Option<Work> {
    let prompt = inbound
        .prompt
        .filter(|_| gateway.pool.borrow().uses_expected_finish(gateway.now()))?;
    let tokens_per_event = gateway
        .with_service(&inbound.service, |service| {
            let engine = service.engine.as_ref();
            engine.map(|engine| engine.tokens_per_event)
        })
        .flatten()?;
    let max_tokens = inbound
        .program
        .as_ref()
        .map_or(0, |program| program.ceiling);
    let lengths = gateway.answer_lengths.borrow();
    let shared = prompt.shared.map_or(0, |part| part.tokens);
    Some(Work {
        prompt_tokens: prompt.tokens,
        new_tokens: prompt.tokens.saturating_sub(shared),
        shared: prompt.shared,
        events: lengths.expected(&inbound.route.name, max_tokens, tokens_per_event),
        tokens_per_event: u32::try_from(tokens_per_event).unwrap_or(u32::MAX),
    })
}

/// Estimates the work of a turn that is about to be sent.
pub(crate) fn estimate_turn(
    gateway: &Gateway,
    inbound: &InboundRequest,
    turn: &PreparedTurn,
) -> Option<Work> {
    let mut work = estimate_first_turn(gateway, inbound)?;
    let Some(whole_prompt) = &turn.prompt else {
        // The program's own part of the prompt was mostly read already for the previous turn.
        work.new_tokens = if turn.is_continuation {
            0
        } else {
            work.new_tokens
        };
        return Some(work);
    };
    // Callers declare the tokens of the whole prompt; the new part is estimated from its share of
    // the bytes.
    let new_share = inbound.body.len() as f64 / whole_prompt.len().max(1) as f64;
    work.new_tokens = (f64::from(work.prompt_tokens) * new_share.min(1.0)).round() as u32;
    Some(work)
}
