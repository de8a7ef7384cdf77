//! A proxy that passes connections on, and whose open connections can go silent for good.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    /// Connections with a smaller number pass nothing on any more.
    silent_below: Arc<AtomicU64>,
    /// Connections with a smaller number are closed.
    closed_below: Arc<AtomicU64>,
    next_number: Arc<AtomicU64>,
}

impl Proxy {
    /// Passes connections to `from` on to `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(from)?;
        let proxy = Self {
            silent_below: Arc::default(),
            closed_below: Arc::default(),
            next_number: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(to) else { continue };
                let number = accepting.next_number.fetch_add(1, Ordering::SeqCst);
                accepting.pass(number, client, server);
            }
        });
        Ok(proxy)
    }

    /// Lets all open connections go silent: they stay open, and nothing passes either way. New
    /// connections work.
    pub fn silence_open(&self) -> u64 {
        let number = self.next_number.load(Ordering::SeqCst);
        self.silent_below.store(number, Ordering::SeqCst);
        number
    }

    /// Closes all open connections at the next data on them. New connections work.
    pub fn close_open(&self) -> u64 {
        let number = self.next_number.load(Ordering::SeqCst);
        self.closed_below.store(number, Ordering::SeqCst);
        number
    }

    fn pass(&self, number: u64, client: TcpStream, server: TcpStream) {
        let _ = client.set_nodelay(true);
        let _ = server.set_nodelay(true);
        for (from, to) in [(&client, &server), (&server, &client)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let proxy = self.clone();
            thread::spawn(move || proxy.copy(number, from, to));
        }
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = vec![0; 16 << 10];
        loop {
            let read = from.read(&mut buffer).unwrap_or(0);
            if number < self.silent_below.load(Ordering::SeqCst) {
                // What was read is lost. The end of the connection is not passed on either.
                if read == 0 {
                    return;
                }
                continue;
            }
            if read == 0 || number < self.closed_below.load(Ordering::SeqCst) {
                break;
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        // Fails if the other direction has closed them already.
        let _ = to.shutdown(Shutdown::Both);
        let _ = from.shutdown(Shutdown::Both);
    }
}
