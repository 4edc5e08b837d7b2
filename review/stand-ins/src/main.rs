//! The review's scripts: `review-stand-ins CASE FOLDER RECORD CORE-COMMAND EDGE-COMMAND`. Exits with 1 if the rule was
//! broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.

mod cluster;
mod config;
mod contested;
mod http;
mod late_taken;
mod record;
mod reused_index;
mod world;

use cluster::Cluster;
use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use world::{World, WorkOf};

/// What a case works with.
pub struct Setup {
    pub record: Arc<Record>,
    pub folder: PathBuf,
    pub commands: (String, String),
    pub trouble: bool,
}

impl Setup {
    pub fn world(&self, work: WorkOf) -> Result<Arc<World>, String> {
        World::start(self.record.clone(), work).map_err(|e| format!("world: {e}"))
    }
    pub fn cluster(&self, world: &World, cores: usize, edges: usize) -> Result<Cluster, String> {
        Cluster::new(world, &self.folder, self.commands.clone(), cores, edges).map_err(|e| format!("cluster: {e}"))
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, record, core, edge] = &args[..] else {
        eprintln!("review-stand-ins CASE FOLDER RECORD CORE-COMMAND EDGE-COMMAND");
        exit(2);
    };
    let Ok(record) = Record::new(&PathBuf::from(record)) else { exit(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let setup =
        Setup { record: Arc::new(record), folder: folder.into(), commands: (core.clone(), edge.clone()), trouble };
    let outcome = match case.as_str() {
        "contested" => contested::run(&setup),
        "late-taken" => late_taken::run(&setup),
        "reused-index" => reused_index::run(&setup),
        _ => Err("no such case".into()),
    };
    match outcome {
        Ok(None) => {
            setup.record.line("HELD");
            exit(0)
        }
        Ok(Some(broken)) => {
            setup.record.line(format!("BROKEN {broken}"));
            exit(1)
        }
        Err(why) => {
            setup.record.line(format!("COULD NOT RUN {why}"));
            exit(2)
        }
    }
}
