//! MIXED: a route of the operator covers the path at which the daemon answers look-ups.

use std::sync::Arc;
use std::time::Duration;

use crate::client;
use crate::deploy::{self, Deployment};
use crate::record;
use crate::worker::Work;

/// `config_apply_s` with a margin.
const APPLY: Duration = Duration::from_secs(4);

pub fn run(trouble: bool) -> Option<bool> {
    let work: Work = Arc::new(|_| Duration::from_millis(50));
    let deployment = Deployment::start(&deploy::config(7, &[]), &work)?;
    std::thread::sleep(Duration::from_secs(4));
    let mut paths = vec!["/stock/lookup", "/catalogue/7", "/orders/7"];
    if trouble {
        let route = format!(
            "{{\"name\":\"order-forms\",\"host\":\"{}\",\"prefix\":\"/\",\"kind\":\"unsafe\",\"timeout_s\":1.2,\
             \"target_latency_s\":0.3,\"priority\":1,\"service\":\"{}\",\"max_attempts\":2,\"affinity\":true,\
             \"allowed_regions\":[]}}",
            deploy::HOST,
            deploy::PORTAL
        );
        deployment.store.put("op/config", &deploy::config(9, &[route]));
        record::say("operator: adds the route with the prefix /");
        paths.extend(["/rolls", "/lookup", "/lookup?rolls=7"]);
    }
    std::thread::sleep(APPLY);
    let (mut broken, mut never_run) = (0, 0);
    for machine in &deployment.machines {
        for path in &paths {
            let id = client::new_id();
            let is_safe = path.starts_with("/stock/") || path.starts_with("/catalogue/");
            let (method, body): (_, &[u8]) = if is_safe { ("GET", b"") } else { ("POST", b"7 rolls of carpet pad") };
            let request = client::request(method, path, &id, 2_500, 3, body);
            let answer = client::once(&machine.front(), &request, Duration::from_secs(3))?;
            let signature = answer.header("response-signature").unwrap_or("-").to_owned();
            let runs = deployment.runs.lock().unwrap().get(&id).map_or(0, Vec::len);
            let body = String::from_utf8_lossy(&answer.body[..answer.body.len().min(120)]).into_owned();
            let mixed = (200..300).contains(&answer.status()) && signature == "-";
            record::line(&format!(
                "client {method} {path} id={id} at {}: status={} signature={signature} workers={runs} mixed={mixed} {body}",
                machine.name,
                answer.status()
            ));
            broken += usize::from(mixed);
            never_run += usize::from(mixed && runs == 0);
        }
    }
    record::say(&format!("successes without a worker's signature: {broken}; of them not run by any worker: {never_run}"));
    Some(broken == 0)
}
