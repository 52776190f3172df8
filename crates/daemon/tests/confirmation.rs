//! Until when a daemon goes by the regions of its policy, while the next one comes into force.

use std::collections::BTreeSet;
use std::sync::{Arc, Barrier};
use std::time::Duration;

use config::configs::Settings;
use config::policy::Allowed;
use daemon::adapter::{Adapter, Catalog};
use daemon::context::{Context, lock};
use daemon::{confirmation, policies};
use fleet::Document;
use fleet::replica::{Origin, Version};

const POLICY: &str = "[regions.r]\ndomains = [\"d\"]\n\
[classes.lookup]\nservice = \"s\"\npaths = [\"/stock\"]\nidempotent = true\nrank = 1\ntarget_ms = 100\ntarget_share = 0.99\ndeadline_ms = 2000\n";
/// Long enough for the thread that applies a policy to reach the engine.
const WAIT: Duration = Duration::from_millis(300);

fn context(runtime: &tokio::runtime::Runtime) -> Arc<Context> {
    let settings =
        Settings { instance: "e".to_owned(), domain: "d".to_owned(), region: "r".to_owned(), ..Settings::default() };
    let catalog = Catalog {
        read_policy: |_, _, _| Ok(None),
        policy_folder: "op",
        order: |_, _| None,
        server_prefix: "servers/",
        parse_server: |_, _, _| Err("unused".to_owned()),
    };
    let adapter = Adapter { catalog: Some(catalog), ..Adapter::native() };
    Arc::new(Context::new(settings, adapter, runtime.handle().clone()))
}

/// Fault: a daemon that was cut off goes by the policy that it had, as one confirmed just now, while the newer one that its mirror got is
/// about to come into force.
#[test]
fn a_policy_that_is_being_replaced_is_not_confirmed_by_its_successor() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let context = context(&runtime);
    let regions = Allowed::Only(BTreeSet::from(["r".to_owned()]));
    assert!(
        policies::apply(&context, Document::new(1, POLICY.to_owned()), Origin::Peer, "peer"),
        "it is the first one"
    );
    assert!(!confirmation::may_rely_on(&context, &regions), "nothing tells how old it is");

    // The next policy arrives, with the time up to which the mirror is complete now that it has it.
    lock(&context.mirror).confirm(context.now());
    let (held, done) = (Barrier::new(2), Barrier::new(2));
    let (in_force, relied) = std::thread::scope(|scope| {
        scope.spawn(|| {
            context.driver.with_engine(|_| {
                held.wait();
                done.wait();
            });
        });
        held.wait();
        scope.spawn(|| policies::apply(&context, Document::new(2, POLICY.to_owned()), Origin::Store, "store"));
        std::thread::sleep(WAIT);
        let seen = (context.policy().version, confirmation::may_rely_on(&context, &regions));
        done.wait();
        seen
    });
    assert_eq!(in_force.stored.revision, 1, "the engine was not free to replace it");
    assert!(!relied, "the replaced policy is relied on");
}

/// Guards against waiting requests with regions that are refused whenever a policy comes into force: its age is known before it is.
#[test]
fn a_policy_that_comes_into_force_brings_its_own_age() {
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let context = context(&runtime);
    assert!(
        policies::apply(&context, Document::new(1, POLICY.to_owned()), Origin::Peer, "peer"),
        "it is the first one"
    );
    let (now, next) = (context.now(), Version::from(2));
    lock(&context.confirmation).confirm(next, now);
    assert!(confirmation::expiry(&context, next, now) > now);
    assert!(
        confirmation::expiry(&context, context.policy().version, now) < now,
        "nothing tells how old the first one is"
    );
}
