//! Clients that send one request after the other until they are told to stop.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::client::{Answer, Call, send};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an id that no other request has.
pub fn new_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Returns a request for an engine, with a prompt of its own.
pub fn prompt(path: &str, tokens: u64, output: u64, deadline: Duration) -> Call {
    let id = new_id();
    let headers = vec![
        ("Model".to_owned(), "m".to_owned()),
        ("Token-Count".to_owned(), format!("{tokens},{output}")),
        ("Prompt-Prefix".to_owned(), format!("{}:{tokens}", &id[8..])),
    ];
    Call {
        method: "POST",
        path: format!("{path}{id}"),
        host: "front.example".to_owned(),
        id,
        headers,
        body: b"{}".to_vec(),
        deadline,
    }
}

/// Clients that run until dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
}

impl Load {
    pub fn start(
        clients: usize,
        entries: &[SocketAddr],
        pause: Duration,
        make: impl Fn() -> Call + Send + Sync + 'static,
        done: impl Fn(&Call, &Answer) + Send + Sync + 'static,
    ) -> Load {
        let stop: Arc<AtomicBool> = Arc::default();
        let (make, done) = (Arc::new(make), Arc::new(done));
        for number in 0..clients {
            let entry = entries[number % entries.len()];
            let (stop, make, done) = (stop.clone(), make.clone(), done.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let call = make();
                    let answer = send(entry, &call);
                    done(&call, &answer);
                    // A refused client comes back a little later.
                    let refused = answer.status != 200;
                    thread::sleep(if refused { Duration::from_millis(300) } else { pause });
                }
            });
        }
        Load { stop }
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}
