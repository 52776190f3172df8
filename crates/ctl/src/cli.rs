//! Parses the command line.

use std::path::PathBuf;
use std::time::Duration;

use config::policy::Scope;
use lexopt::prelude::{Long, Short, Value, ValueExt as _};

use crate::error::{Error, Result};

/// Time in which every daemon learns of a new policy, in milliseconds, unless `--apply-ms` gives another one.
const DEFAULT_APPLY_MS: u64 = 3_000;

/// The text of `--help`.
pub const USAGE: &str = "\
hemlockctl [OPTIONS] VERB

Verbs that only read:
  show                        revision, readiness and drains of every daemon
  show accounts               client accounts: quota, requests, share served
  policy                      print the policy in the store
  report [--html FILE]        service-level burn by class and region
  explain REQUEST FILE...     trace one request through the logs of the daemons
  audit FILE...               judge each refusal in the daemons' logs that tells a caller that its request is
                              wrong: does a policy that may have been in force refuse it? Judge the region of
                              each request that was sent, the age of the policy that it went by, and look-ups
                              that name other regions; tell when instances went by an older policy
      --apply-ms N            time in which every daemon learns of a new policy  (default 3000)
      --any-callers           callers need not keep to HTTP and to the limits
  check FILE [--against FILE | --in-force]
                              check a policy file or a daemon's settings file; tell what differs
                              from another policy, or from the one in the store

Verbs that change the policy; each prints the revision that contains the change:
  apply FILE [--expect N]     replace the policy by FILE, if it is at revision N
  set-target CLASS KEY VALUE  KEY: target-ms, target-share, deadline-ms or rank
  drain SCOPE NAME            SCOPE: region, domain or instance
  undrain SCOPE NAME          end a drain
  settle ID                   tell whether a change whose outcome was unknown took effect

Options:
  --store IP:PORT    the platform's store   (default 127.0.0.1:7900)
  --list IP:PORT     the platform's list    (default 127.0.0.1:7901)
  --json             answer in JSON
  -h, --help         show this
  -V, --version      show the version

Exit codes: 0 done, 1 failed, warnings of `check` or faults that `audit` finds, 2 wrong input, 3 another operator was faster, 4 outcome unknown.
";

/// The policy that another one is compared with.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Against {
    /// Nothing: only the policy itself is checked.
    #[default]
    Nothing,
    /// The one in a file.
    File(PathBuf),
    /// The one in the store.
    InForce,
}

/// What an audit reads, and what it asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Audit {
    /// Files of log lines of one deployment; a dash for standard input.
    pub files: Vec<PathBuf>,
    /// Time in which every daemon learns of a new policy.
    pub apply: Duration,
    /// Whether callers need not keep to HTTP and to the limits.
    pub any_callers: bool,
}

/// What to do, with the arguments.
#[derive(Debug, Clone, PartialEq)]
pub enum Verb {
    /// Show the usage.
    Help,
    /// Show the version.
    Version,
    /// Show the state of every daemon.
    Show,
    /// Show the client accounts.
    ShowAccounts,
    /// Print the policy.
    Policy,
    /// Show the burn; also write it as a page if a file is given.
    Report(Option<PathBuf>),
    /// Trace a request through log files.
    Explain(String, Vec<PathBuf>),
    /// Judge the refusals in log files.
    Audit(Audit),
    /// Check a policy file or a settings file; compare a policy with another one.
    Check(PathBuf, Against),
    /// Replace the policy, if it is at the given revision.
    Apply(PathBuf, Option<u64>),
    /// Set a target of a class.
    SetTarget(String, String, String),
    /// Start a drain.
    Drain(Scope, String),
    /// End a drain.
    Undrain(Scope, String),
    /// Determine whether a change took effect.
    Settle(String),
}

/// A command with its options.
#[derive(Debug, Clone, PartialEq)]
pub struct Command {
    /// What to do.
    pub verb: Verb,
    /// The platform's store, `IP:PORT`.
    pub store: String,
    /// The platform's list, `IP:PORT`.
    pub list: String,
    /// Whether to answer in JSON.
    pub json: bool,
}

#[derive(Default)]
struct Arguments {
    positional: Vec<String>,
    html: Option<PathBuf>,
    expect: Option<u64>,
    against: Against,
    apply_ms: Option<u64>,
    any_callers: bool,
}

impl Command {
    /// Parses `arguments`, which do not include the program's name.
    pub fn parse<I>(arguments: I) -> Result<Self>
    where
        I: IntoIterator<Item = String>,
    {
        let mut parser = lexopt::Parser::from_args(arguments);
        let mut command = Self {
            verb: Verb::Help,
            store: "127.0.0.1:7900".to_owned(),
            list: "127.0.0.1:7901".to_owned(),
            json: false,
        };
        let mut given = Arguments::default();
        let usage = |error: lexopt::Error| Error::Usage(error.to_string());
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Long("help") | Short('h') => return Ok(command),
                Long("version") | Short('V') => {
                    return Ok(Self { verb: Verb::Version, ..command });
                }
                Long("json") => command.json = true,
                Long("store") => command.store = option_value(&mut parser)?,
                Long("list") => command.list = option_value(&mut parser)?,
                Long("html") => given.html = Some(PathBuf::from(option_value(&mut parser)?)),
                Long("against") => given.against = Against::File(PathBuf::from(option_value(&mut parser)?)),
                Long("in-force") => given.against = Against::InForce,
                Long("expect") => given.expect = Some(parse_number("--expect", &option_value(&mut parser)?)?),
                Long("apply-ms") => {
                    given.apply_ms = Some(parse_number("--apply-ms", &option_value(&mut parser)?)?);
                }
                Long("any-callers") => given.any_callers = true,
                Value(word) => given.positional.push(word.string().map_err(usage)?),
                other => return Err(usage(other.unexpected())),
            }
        }
        command.verb = parse_verb(given)?;
        Ok(command)
    }
}

fn option_value(parser: &mut lexopt::Parser) -> Result<String> {
    let value = parser.value().and_then(lexopt::ValueExt::string);
    value.map_err(|error| Error::Usage(error.to_string()))
}

fn parse_number(option: &str, text: &str) -> Result<u64> {
    text.parse().map_err(|_source| Error::Usage(format!("{option}: `{text}` is not a whole number")))
}

fn parse_verb(given: Arguments) -> Result<Verb> {
    let words: Vec<&str> = given.positional.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["show"] => Verb::Show,
        ["show", "accounts"] => Verb::ShowAccounts,
        ["policy"] => Verb::Policy,
        ["report"] => Verb::Report(given.html),
        ["explain", request, files @ ..] if !files.is_empty() => {
            Verb::Explain((*request).to_owned(), files.iter().map(PathBuf::from).collect())
        }
        ["audit", files @ ..] if !files.is_empty() => Verb::Audit(Audit {
            files: files.iter().map(PathBuf::from).collect(),
            apply: Duration::from_millis(given.apply_ms.unwrap_or(DEFAULT_APPLY_MS)),
            any_callers: given.any_callers,
        }),
        ["check", file] => Verb::Check(PathBuf::from(file), given.against),
        ["apply", file] => Verb::Apply(PathBuf::from(file), given.expect),
        ["set-target", class, key, value] => {
            Verb::SetTarget((*class).to_owned(), (*key).to_owned(), (*value).to_owned())
        }
        ["drain", scope, name] => Verb::Drain(parse_scope(scope)?, (*name).to_owned()),
        ["undrain", scope, name] => Verb::Undrain(parse_scope(scope)?, (*name).to_owned()),
        ["settle", id] => Verb::Settle((*id).to_owned()),
        [] => return Err(Error::Usage("the verb is missing".to_owned())),
        [first, ..] => return Err(Error::Usage(format!("`{first}` is not a verb, or its arguments are wrong"))),
    })
}

fn parse_scope(text: &str) -> Result<Scope> {
    match text {
        "region" => Ok(Scope::Region),
        "domain" => Ok(Scope::Domain),
        "instance" => Ok(Scope::Instance),
        other => Err(Error::Usage(format!("`{other}` is not a scope; use region, domain or instance"))),
    }
}
