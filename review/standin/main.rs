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

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, repository, file] = arguments.as_slice() else {
        println!("usage: review-standin CASE REPOSITORY RECORD");
        std::process::exit(2);
    };
    let record = Record::create(Path::new(file));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let repository = Path::new(repository);
    let code = match case.as_str() {
        "budget" => budget::run(repository, &record, has_trouble),
        "replaced" => replaced::run(repository, &record, has_trouble),
        "lost" => lost::run(repository, &record, has_trouble),
        _ => 2,
    };
    std::process::exit(code);
}
