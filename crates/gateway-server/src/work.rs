//! What a turn asks of a model engine, as far as its caller and the answers before tell.

use crate::gateway::Gateway;
use crate::inbound::InboundRequest;
use crate::program::PreparedTurn;
use luglink_scheduling::Work;

/// Of a program's first turn; `None` where replicas are not chosen by expected finish now, or the
/// service has no engines.
pub(crate) fn of_first_turn(gateway: &Gateway, inbound: &InboundRequest) -> Option<Work> {
    let prompt = inbound
        .prompt
        .filter(|_| gateway.pool.borrow().uses_expected_finish(gateway.now()))?;
    let tokens_per_event = gateway
        .with_service(&inbound.service, |service| {
            let engine = service.engine.as_ref();
            engine.map(|engine| engine.tokens_per_event)
        })
        .flatten()?;
    let most = inbound
        .program
        .as_ref()
        .map_or(0, |program| program.ceiling);
    let lengths = gateway.answer_lengths.borrow();
    let shared = prompt.shared.map_or(0, |part| part.tokens);
    Some(Work {
        prompt_tokens: prompt.tokens,
        new_tokens: prompt.tokens.saturating_sub(shared),
        shared: prompt.shared,
        events: lengths.expected(&inbound.route.name, most, tokens_per_event),
        tokens_per_event: u32::try_from(tokens_per_event).unwrap_or(u32::MAX),
    })
}

/// Of a turn that is about to be sent.
pub(crate) fn estimate_turn(
    gateway: &Gateway,
    inbound: &InboundRequest,
    start: &PreparedTurn,
) -> Option<Work> {
    let mut work = of_first_turn(gateway, inbound)?;
    let Some(whole) = &start.prompt else {
        // The part that is its program's is mostly what was read for the turn before.
        work.new_tokens = if start.goes_on { 0 } else { work.new_tokens };
        return Some(work);
    };
    // Callers name the tokens of the whole prompt; what is new is told by its bytes.
    let new_share = inbound.body.len() as f64 / whole.len().max(1) as f64;
    work.new_tokens = (f64::from(work.prompt_tokens) * new_share.min(1.0)).round() as u32;
    Some(work)
}
