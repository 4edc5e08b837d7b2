//! The record of a run: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub server: String,
    pub service: String,
    pub attempt: String,
    pub key: String,
    pub tenant: String,
    pub target: String,
}

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    runs: Mutex<Vec<Run>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Mutex::new(File::create(path)?), runs: Mutex::default() })
    }
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
    pub fn ran(&self, run: Run) {
        self.line(format!(
            "RUN server={} service={} attempt={} key={} tenant={} target={}",
            run.server, run.service, run.attempt, run.key, run.tenant, run.target
        ));
        self.runs.lock().unwrap().push(run);
    }
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }
}
