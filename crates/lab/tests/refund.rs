//! The figures behind the choice of the refund rule.

use luglink_lab::refund::{CEILINGS, compare_refunds};
use luglink_program::RefundRule;

/// Callers that ask for more than they get pay for what they got, and get more done.
#[test]
fn refunds_pay_for_more_calls_under_the_same_budgets() {
    let results = compare_refunds(&(0..1));
    assert_eq!(results.len(), 2 * CEILINGS.len());
    for pair in results.chunks(2) {
        let [refunded, kept] = pair else {
            panic!("results come in pairs");
        };
        assert_eq!(refunded.rule, RefundRule::UnusedPart);
        assert_eq!(kept.rule, RefundRule::Never);
        assert_eq!(refunded.ceiling, kept.ceiling);
        if refunded.ceiling == 1 {
            assert_eq!(refunded.answered, kept.answered);
        } else {
            assert!(refunded.answered > kept.answered, "{refunded:?} {kept:?}");
        }
    }
}
