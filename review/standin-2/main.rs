//! Stand-ins and cases of the second review. `standin-2 CASE RECORD` plays a case and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
//! environment it leaves the disruption out.
mod accounts;
mod fleet;
mod http;
mod journal;
mod outages;
mod platform;
mod programs;
mod record;
mod resumed;
mod retired;
mod turns;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(path);
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        "account-forgotten" => accounts::play(&record, has_trouble),
        "turn-forgotten" => turns::play(&record, has_trouble),
        "journal-reload" => journal::play(&record, has_trouble),
        "turn-resumed" => resumed::play(&record, has_trouble),
        "turn-lost-by-retirements" => retired::play(&record, has_trouble),
        "account-lost-by-outages" => outages::play(&record, has_trouble, false),
        "turn-lost-by-outages" => outages::play(&record, has_trouble, true),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("RULE BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("rule held: {text}")),
        Verdict::NotRun(text) => (2, format!("could not run: {text}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
