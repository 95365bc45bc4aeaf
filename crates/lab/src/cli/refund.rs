//! `luglink-lab refund`.

use crate::cli::sim::Seeds;
use crate::refund::compare_refunds;
use bpaf::Bpaf;

/// Options of `refund`.
#[derive(Clone, Debug, Bpaf)]
pub struct RefundOptions {
    /// Seeds, the first and the one after the last
    #[bpaf(argument("A..B"), fallback(Seeds(0..10)))]
    seeds: Seeds,
    /// Print one line of JSON for each rule and ceiling
    json: bool,
}

pub(super) fn run(options: &RefundOptions) -> Result<bool, String> {
    for result in compare_refunds(&options.seeds.0) {
        if options.json {
            let line = serde_json::to_string(&result).map_err(|error| error.to_string())?;
            println!("{line}");
            continue;
        }
        println!(
            "{:?} at {} times the answer: {} of {} calls answered, {} over budget, {} whole programs",
            result.rule,
            result.ceiling,
            result.answered,
            result.calls,
            result.over_budget,
            result.programs
        );
    }
    Ok(true)
}
