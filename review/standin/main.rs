//! Stand-ins and cases of the review. Uses the standard library only; `review/build.sh` builds it.

mod budget;
mod fleet;
mod http;
mod lost;
mod program;
mod record;
mod replaced;
mod replica;

use record::Record;
use std::path::Path;

/// Exit code of a case that could not run. 1 says that the rule was broken, 0 that it held.
const COULD_NOT_RUN: i32 = 2;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, repository, file] = arguments.as_slice() else {
        println!("usage: review-standin CASE REPOSITORY RECORD");
        std::process::exit(COULD_NOT_RUN);
    };
    let record = Record::create(Path::new(file));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let repository = Path::new(repository);
    let run = || match case.as_str() {
        "replaced" => replaced::run(repository, &record, has_trouble),
        "lost" => lost::run(repository, &record, has_trouble),
        "budget" => budget::run(repository, &record, has_trouble),
        _ => COULD_NOT_RUN,
    };
    let code = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run));
    std::process::exit(code.unwrap_or(COULD_NOT_RUN));
}
