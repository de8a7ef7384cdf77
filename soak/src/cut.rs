//! Cuts between single gateways and all endpoints, while other gateways reach these endpoints, and slow
//! links between single gateways and control.
//!
//! All gateways connect from the same loopback address, so the gateway of a connection is found by
//! the socket that its process holds.

use std::collections::{BTreeMap, HashMap};
use std::fs;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Sleep, sleep};

/// The state of an open connection in the kernel's table of sockets.
const ESTABLISHED: &str = " 01 ";
const POLL: Duration = Duration::from_millis(15);
const SLOW_BYTES_PER_S: f64 = 1_250_000.0;
/// How long connections are collected whose gateways are then found together.
const COLLECT: Duration = Duration::from_millis(3);

/// What happens to the connections of a gateway that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes; new connections are accepted and silent.
    Silent,
    /// Open and new connections are reset.
    Reset,
    /// Open connections live on, new ones are reset.
    NewReset,
    /// What goes to the gateway passes at 10 Mbit/s.
    Slow,
}

/// The gateways that are cut off from endpoints.
#[derive(Debug)]
pub struct Cuts {
    /// The ids of the gateways' processes; 0 for one that does not run.
    processes: Mutex<BTreeMap<String, Arc<AtomicU32>>>,
    current: watch::Sender<BTreeMap<String, Cut>>,
    /// Connections whose gateways are not known yet; they are found while any gateway is cut off.
    unknown: Mutex<Vec<Unknown>>,
    finding: Mutex<()>,
}

/// The ends of a connection, the gateway's first, and where its gateway is noted.
type Unknown = ((SocketAddr, SocketAddr), Weak<OnceLock<String>>);

impl Default for Cuts {
    fn default() -> Self {
        let current = watch::Sender::new(BTreeMap::new());
        Self {
            processes: Mutex::default(),
            current,
            unknown: Mutex::default(),
            finding: Mutex::default(),
        }
    }
}

impl Cuts {
    /// Adds a gateway whose process has the id `process` while it runs.
    pub fn add_gateway(&self, name: &str, process: Arc<AtomicU32>) {
        self.processes().insert(name.to_owned(), process);
    }

    /// Cuts `gateway` off from all endpoints, or ends its cut.
    pub fn set(&self, gateway: &str, cut: Option<Cut>) {
        self.find_gateways();
        self.current.send_modify(|cuts| {
            match cut {
                Some(cut) => cuts.insert(gateway.to_owned(), cut),
                None => cuts.remove(gateway),
            };
        });
    }

    /// Ends all cuts.
    pub fn clear(&self) {
        self.current.send_modify(BTreeMap::clear);
    }

    /// Takes an accepted connection; `None` if it is reset because its gateway is cut off.
    pub async fn admit(self: &Arc<Self>, stream: TcpStream) -> Option<CutStream> {
        let gateway = Arc::new(OnceLock::new());
        if let (Ok(peer), Ok(own)) = (stream.peer_addr(), stream.local_addr()) {
            self.unknown().push(((peer, own), Arc::downgrade(&gateway)));
        }
        if !self.current.borrow().is_empty() {
            self.find_gateways_soon().await;
        }
        let stream =
            CutStream { inner: stream, gateway, cuts: self.clone(), timer: None, pace: None };
        if matches!(stream.cut(), Some(Cut::Reset | Cut::NewReset)) {
            stream.reset();
            return None;
        }
        Some(stream)
    }

    fn unknown(&self) -> MutexGuard<'_, Vec<Unknown>> {
        self.unknown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn processes(&self) -> MutexGuard<'_, BTreeMap<String, Arc<AtomicU32>>> {
        self.processes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Finds the gateways of all new connections, those that others wait for included: reading the
    /// tables takes milliseconds, and many connections are opened at once.
    async fn find_gateways_soon(self: &Arc<Self>) {
        tokio::time::sleep(COLLECT).await;
        let cuts = self.clone();
        // It fails only when the run ends.
        let _ = tokio::task::spawn_blocking(move || cuts.find_gateways()).await;
    }

    fn find_gateways(&self) {
        // A connection that was taken by another call is known when that call is done.
        let _finding = self.finding.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unknown = std::mem::take(&mut *self.unknown());
        unknown.retain(|(_, gateway)| gateway.strong_count() > 0);
        if unknown.is_empty() {
            return;
        }
        let sockets = sockets();
        let mut holders = HashMap::new();
        for (name, process) in self.processes().iter() {
            for socket in held_by(process.load(Ordering::SeqCst)) {
                holders.insert(socket, name.clone());
            }
        }
        for (ends, gateway) in unknown {
            let name = sockets.get(&ends).and_then(|socket| holders.get(socket));
            if let (Some(name), Some(gateway)) = (name, gateway.upgrade()) {
                // It is set only here, under the lock.
                let _ = gateway.set(name.clone());
            }
        }
    }
}

/// All sockets by their ends, the local one first, named as file descriptors show them.
fn sockets() -> HashMap<(SocketAddr, SocketAddr), String> {
    let mut sockets = HashMap::new();
    for line in fs::read_to_string("/proc/net/tcp").unwrap_or_default().lines() {
        // Thousands of closed sockets wait for late packets.
        if !line.contains(ESTABLISHED) {
            continue;
        }
        let fields: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, _, _, _, _, _, _, inode, ..] = fields[..] else { continue };
        let (Some(local), Some(remote)) = (address(local), address(remote)) else { continue };
        sockets.insert((local, remote), format!("socket:[{inode}]"));
    }
    sockets
}

/// Reads an address as the kernel's table of sockets has it.
fn address(text: &str) -> Option<SocketAddr> {
    let (ip, port) = text.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_le_bytes();
    Some(SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?)))
}

/// The files and sockets that a process holds; none if it does not run.
fn held_by(process: u32) -> Vec<String> {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else { return Vec::new() };
    let targets = descriptors.flatten().filter_map(|entry| fs::read_link(entry.path()).ok());
    targets.map(|target| target.to_string_lossy().into_owned()).collect()
}

/// A connection that is cut when its gateway is.
#[derive(Debug)]
pub struct CutStream {
    inner: TcpStream,
    gateway: Arc<OnceLock<String>>,
    cuts: Arc<Cuts>,
    timer: Option<Pin<Box<Sleep>>>,
    /// Runs until a slow link has passed on what was written last.
    pace: Option<Pin<Box<Sleep>>>,
}

impl CutStream {
    fn cut(&self) -> Option<Cut> {
        self.cuts.current.borrow().get(self.gateway.get()?).copied()
    }

    /// Makes the connection close with a reset instead of an end.
    pub fn reset(&self) {
        // A failure leaves an ordinary close, which is a fault as well.
        let _ = self.inner.set_zero_linger();
    }

    /// Returns once a cut resets the connection, which is then closed when it is dropped.
    pub fn until_reset(&self) -> impl Future<Output = ()> + use<> {
        let (gateway, mut cuts) = (self.gateway.clone(), self.cuts.current.subscribe());
        async move {
            let is_reset = |cuts: &BTreeMap<String, Cut>| {
                gateway.get().and_then(|gateway| cuts.get(gateway)) == Some(&Cut::Reset)
            };
            if cuts.wait_for(is_reset).await.is_err() {
                pending::<()>().await;
            }
        }
    }

    /// True while nothing passes; the task is woken to look again.
    fn is_silent(&mut self, context: &mut Context<'_>) -> bool {
        if self.cut() != Some(Cut::Silent) {
            self.timer = None;
            return false;
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(POLL)));
        if timer.as_mut().poll(context).is_ready() {
            self.timer = None;
            context.waker().wake_by_ref();
        }
        true
    }
}

impl Drop for CutStream {
    fn drop(&mut self) {
        if self.cut() == Some(Cut::Reset) {
            self.reset();
        }
    }
}

impl AsyncRead for CutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_silent(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_silent(context) {
            return Poll::Pending;
        }
        if let Some(pace) = &mut self.pace {
            ready!(pace.as_mut().poll(context));
            self.pace = None;
        }
        let written = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        if self.cut() == Some(Cut::Slow) {
            let takes = Duration::from_secs_f64(written as f64 / SLOW_BYTES_PER_S);
            self.pace = Some(Box::pin(sleep(takes)));
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_silent(context) {
            return Poll::Pending;
        }
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
