//! The command line.

use std::path::PathBuf;

use config::policy::Scope;
use lexopt::prelude::{Long, Short, Value, ValueExt as _};

use crate::error::{Error, Result};

/// What `--help` shows.
pub const USAGE: &str = "\
hemlockctl [OPTIONS] VERB

Verbs that look:
  show                        revision, readiness and drains of every daemon
  policy                      print the policy in the store
  report [--html FILE]        service-level burn by class and region
  explain REQUEST FILE...     the way of one request, from the logs of the daemons
  check FILE                  check a policy file or a daemon's settings file

Verbs that change the policy; each says the revision it became:
  apply FILE [--expect N]     replace the policy by FILE, if it is at revision N
  set-target CLASS KEY VALUE  KEY: target-ms, target-share, deadline-ms or rank
  drain SCOPE NAME            SCOPE: region, domain or instance
  undrain SCOPE NAME          end a drain
  settle ID                   find out what became of a change whose outcome was unknown

Options:
  --store IP:PORT    the platform's store   (default 127.0.0.1:7900)
  --list IP:PORT     the platform's list    (default 127.0.0.1:7901)
  --json             answer in JSON
  -h, --help         show this
  -V, --version      show the version

Exit codes: 0 done, 1 failed, 2 wrong input, 3 another operator was faster, 4 outcome unknown.
";

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Verb {
    /// Show the usage.
    Help,
    /// Show the version.
    Version,
    /// Show the state of every daemon.
    Show,
    /// Print the policy.
    Policy,
    /// Show the burn; as a page if a file is named.
    Report(Option<PathBuf>),
    /// Show the way of a request, from log files.
    Explain(String, Vec<PathBuf>),
    /// Check a file.
    Check(PathBuf),
    /// Replace the policy.
    Apply(PathBuf, Option<u64>),
    /// Set a target of a class.
    SetTarget(String, String, String),
    /// Announce a drain.
    Drain(Scope, String),
    /// End a drain.
    Undrain(Scope, String),
    /// Find out what became of a change.
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
struct Words {
    plain: Vec<String>,
    html: Option<PathBuf>,
    expect: Option<u64>,
}

impl Command {
    /// Parses `arguments`, without the program's name.
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
        let mut given = Words::default();
        let usage = |error: lexopt::Error| Error::Usage(error.to_string());
        while let Some(argument) = parser.next().map_err(usage)? {
            match argument {
                Long("help") | Short('h') => return Ok(command),
                Long("version") | Short('V') => {
                    return Ok(Self { verb: Verb::Version, ..command });
                }
                Long("json") => command.json = true,
                Long("store") => command.store = text(&mut parser)?,
                Long("list") => command.list = text(&mut parser)?,
                Long("html") => given.html = Some(PathBuf::from(text(&mut parser)?)),
                Long("expect") => given.expect = Some(number("--expect", &text(&mut parser)?)?),
                Value(word) => given.plain.push(word.string().map_err(usage)?),
                other => return Err(usage(other.unexpected())),
            }
        }
        command.verb = verb(given)?;
        Ok(command)
    }
}

fn text(parser: &mut lexopt::Parser) -> Result<String> {
    let value = parser.value().and_then(lexopt::ValueExt::string);
    value.map_err(|error| Error::Usage(error.to_string()))
}

fn number(name: &str, text: &str) -> Result<u64> {
    text.parse().map_err(|_source| Error::Usage(format!("{name}: `{text}` is no whole number")))
}

fn verb(given: Words) -> Result<Verb> {
    let words: Vec<&str> = given.plain.iter().map(String::as_str).collect();
    Ok(match words.as_slice() {
        ["show"] => Verb::Show,
        ["policy"] => Verb::Policy,
        ["report"] => Verb::Report(given.html),
        ["explain", request, files @ ..] if !files.is_empty() => {
            Verb::Explain((*request).to_owned(), files.iter().map(PathBuf::from).collect())
        }
        ["check", file] => Verb::Check(PathBuf::from(file)),
        ["apply", file] => Verb::Apply(PathBuf::from(file), given.expect),
        ["set-target", class, key, value] => {
            Verb::SetTarget((*class).to_owned(), (*key).to_owned(), (*value).to_owned())
        }
        ["drain", scope, name] => Verb::Drain(self::scope(scope)?, (*name).to_owned()),
        ["undrain", scope, name] => Verb::Undrain(self::scope(scope)?, (*name).to_owned()),
        ["settle", id] => Verb::Settle((*id).to_owned()),
        [] => return Err(Error::Usage("name a verb".to_owned())),
        [first, ..] => return Err(Error::Usage(format!("`{first}` with these words is no verb"))),
    })
}

fn scope(text: &str) -> Result<Scope> {
    match text {
        "region" => Ok(Scope::Region),
        "domain" => Ok(Scope::Domain),
        "instance" => Ok(Scope::Instance),
        other => Err(Error::Usage(format!("`{other}` is no scope; use region, domain or instance"))),
    }
}
