//! Stand-ins and clients of the review's cases. `rig CASE FOLDER` plays a case, writes FOLDER/record.txt, and ends with 0 if
//! the rule held, 1 if it was broken and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod deploy;
mod drain;
mod http;
mod link;
mod lookup;
mod pipelined;
mod poison;
mod record;
mod store;
mod worker;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig CASE FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(folder);
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "pipelined" => pipelined::run(trouble),
        "drain" => drain::run(trouble),
        "lookup" => lookup::run(trouble),
        "poison" => poison::run(trouble),
        _ => None,
    });
    let (code, text) = match played {
        Ok(Some(true)) => (0, "the rule held"),
        Ok(Some(false)) => (1, "the rule was broken"),
        Ok(None) | Err(_) => (2, "the case could not run"),
    };
    record::say(text);
    std::process::exit(code);
}
