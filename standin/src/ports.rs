//! Free loopback ports below the range from which the system takes ports for connections, so that a
//! port that was found free is still free when a process listens on it.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};

const FIRST: u16 = 10_000;
const COUNT: u16 = 20_000;

static OFFSET: AtomicU16 = AtomicU16::new(0);

/// `count` free ports; no port is given out twice by one process.
///
/// # Panics
/// When hardly any port is free.
pub fn free_ports(count: usize) -> Vec<u16> {
    // Processes start their search at different places.
    let start = u16::try_from(std::process::id() * 131 % u32::from(COUNT)).unwrap_or(0);
    let mut ports = Vec::with_capacity(count);
    for _ in 0..COUNT {
        if ports.len() == count {
            return ports;
        }
        let offset = OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = FIRST + (start.wrapping_add(offset)) % COUNT;
        if is_free(port) {
            ports.push(port);
        }
    }
    panic!("no {count} free ports")
}

/// Whether nobody listens at `port`.
///
/// It is called, not bound: a listener that is opened to try a port is shared by every process that another
/// thread is starting just then, and keeps the port until that one has begun its own program.
fn is_free(port: u16) -> bool {
    TcpStream::connect(SocketAddr::from((Ipv4Addr::LOCALHOST, port))).is_err()
}
