//! A proxy that can cut a way: what is on its way is held up, and new channels get nothing through.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::record::Record;

#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicBool>);

impl Cut {
    pub fn set(&self, cut: bool) {
        self.0.store(cut, Ordering::SeqCst);
    }

    fn is_cut(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// Passes connections at `at` on to `to` unless they are cut.
pub fn start(at: SocketAddr, to: SocketAddr, cut: Cut, record: Record) -> io::Result<()> {
    let listener = TcpListener::bind(at)?;
    spawn(move || {
        for client in listener.incoming().flatten() {
            let (cut, record) = (cut.clone(), record.clone());
            spawn(move || {
                if cut.is_cut() {
                    // It does not come about: its client gives up before the next try of its system.
                    discard(client);
                    return;
                }
                let Ok(server) = TcpStream::connect(to) else { return };
                let _ = (client.set_nodelay(true), server.set_nodelay(true));
                let (Ok(back), Ok(forth)) = (server.try_clone(), client.try_clone()) else {
                    return;
                };
                let (other_cut, other_record) = (cut.clone(), record.clone());
                spawn(move || pass(back, client, &other_cut, &other_record, "an answer"));
                pass(forth, server, &cut, &record, "a check-in");
            });
        }
    });
    Ok(())
}

fn discard(mut client: TcpStream) {
    let mut buffer = vec![0; 16 << 10];
    while client.read(&mut buffer).is_ok_and(|length| length > 0) {}
}

fn pass(mut from: TcpStream, mut to: TcpStream, cut: &Cut, record: &Record, what: &str) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(length) = from.read(&mut buffer) {
        let mut is_held = false;
        while cut.is_cut() {
            is_held = true;
            sleep(Duration::from_millis(2));
        }
        if length == 0 {
            break;
        }
        if is_held {
            record.note(format!("the cut has held up {what} of {length} bytes, which now arrives"));
        }
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}
