//! Counters, gauges and timers: kept for the state dump, served as text, and sent as statsd lines
//! over UDP where an address is given.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use metrics::{Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::error::{Error, Result};

macro_rules! figures {
    ($(#[doc = $about:literal])* $kind:ident: $($(#[doc = $doc:literal])* $variant:ident => $name:literal,)*) => {
        $(#[doc = $about])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $kind {
            $($(#[doc = $doc])* $variant,)*
        }

        impl $kind {
            /// All of them.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name under which it is sent.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// What it tells, in one line.
            pub fn help(self) -> &'static str {
                match self {
                    $(Self::$variant => concat!($($doc,)*).trim_ascii(),)*
                }
            }
        }
    };
}

figures! {
    /// What is counted.
    Counter:
    /// Requests that callers sent.
    RequestsReceived => "requests.received",
    /// Requests that got an endpoint's whole answer.
    RequestsAnswered => "requests.answered",
    /// Requests refused before any endpoint started them.
    RequestsRefused => "requests.refused",
    /// Requests that failed with an unknown outcome.
    RequestsUnknown => "requests.unknown",
    /// Requests whose input the caller has to correct.
    RequestsInvalid => "requests.invalid",
    /// Requests taken back from endpoints where they had not begun when their weights were due.
    RequestsTakenBack => "requests.taken_back",
    /// Requests refused since endpoints ended under others like them.
    RequestsHeld => "requests.held",
    /// Requests refused since the endpoints that could take them limit what they take.
    RequestsLimited => "requests.limited",
    /// Requests refused since the endpoints that could take them asked for backoff.
    RequestsBackingOff => "requests.backing_off",
    /// Requests refused since their keys let nobody in.
    RequestsUnauthorized => "requests.unauthorized",
    /// Requests refused since their workspaces asked for more than their quotas.
    RequestsOverQuota => "requests.over_quota",
    /// Requests refused since keys or quotas were not known for certain.
    RequestsNotAdmitted => "requests.not_admitted",
    /// Requests answered from the run ledger.
    RequestsReplayed => "requests.replayed",
    /// Requests tried again on another endpoint.
    RequestsRetried => "requests.retried",
    /// Retries that the retry budget did not allow.
    RetriesDenied => "requests.retries_denied",
    /// Requests refused since the configuration could not be confirmed.
    NotFresh => "requests.not_fresh",
    /// Callers that went away before their answer was whole.
    CallersGone => "requests.callers_gone",
    /// Answers from another adapter or version than named, which were not passed on.
    WrongAdapter => "endpoints.wrong_adapter",
    /// Answers that began on weights known to be older than the version that was due by then.
    OutdatedWeights => "endpoints.outdated_weights",
    /// Adapters loaded.
    LoadsDone => "endpoints.loads_done",
    /// Loads that failed.
    LoadsFailed => "endpoints.loads_failed",
    /// Adapters unloaded.
    Unloads => "endpoints.unloads",
    /// Endpoints taken over from a gateway that is gone.
    Takeovers => "endpoints.takeovers",
    /// Engines that came back with another boot id.
    EngineRestarts => "endpoints.engine_restarts",
    /// Endpoints that ended under requests.
    EndpointsEnded => "endpoints.ended",
    /// Connections of callers that were not HTTP.
    CallerConnectionFailed => "callers.connection_failed",
    /// Connections of peers that were not h2.
    PeerHandshakeFailed => "peers.handshake_failed",
    /// Streams of peers with another wire version or purpose.
    PeerRefused => "peers.refused",
    /// Sessions with control that ended.
    SessionsEnded => "control.sessions_ended",
    /// Entries applied from the log.
    EntriesApplied => "control.entries_applied",
    /// Syncs of the log.
    LogSyncs => "control.log_syncs",
    /// Rounds of storing, sending and applying.
    Flushes => "control.flushes",
    /// Elections won.
    ElectionsWon => "control.elections_won",
    /// Gateways whose lease ran out.
    GatewaysExpired => "control.gateways_expired",
    /// Snapshots written.
    SnapshotsWritten => "control.snapshots_written",
}

figures! {
    /// What is timed, in milliseconds.
    Timer:
    /// From a request's arrival to its first byte of answer.
    FirstByte => "requests.first_byte",
    /// The wait for an adapter's load.
    LoadWait => "requests.load_wait",
    /// A load itself.
    Load => "endpoints.load",
    /// A sync of the log.
    LogSync => "control.log_sync",
}

/// Upper bounds of the histograms' buckets in milliseconds: the latency objectives of the users lie
/// between 70 ms and a second.
const BUCKETS_MS: [f64; 14] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 70.0, 150.0, 300.0, 600.0, 920.0, 2_000.0, 5_000.0, 20_000.0];

figures! {
    /// What is shown as a level.
    Gauge:
    /// Requests in progress at this gateway.
    RequestsInProgress => "requests.in_progress",
    /// Endpoints owned.
    EndpointsOwned => "endpoints.owned",
    /// Services known.
    Services => "config.services",
}

/// The process's metrics; clones share the same counts.
#[derive(Clone)]
pub struct Metrics(Arc<Inner>);

struct Inner {
    client: StatsdClient,
    counts: Vec<AtomicU64>,
    gauges: Vec<AtomicU64>,
    histograms: Vec<Histogram>,
    text: PrometheusHandle,
}

impl Metrics {
    /// Metrics sent to `address`, or only counted when there is none.
    ///
    /// # Errors
    /// No UDP socket could be opened.
    pub fn new(prefix: &str, address: Option<SocketAddr>) -> Result<Self> {
        let client = match address {
            None => StatsdClient::from_sink(prefix, NopMetricSink),
            Some(address) => {
                let step = "open metrics socket";
                let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
                let socket = UdpSocket::bind(local)
                    .map_err(|error| Error::io(step, address.to_string(), error))?;
                socket
                    .set_nonblocking(true)
                    .map_err(|error| Error::io(step, address.to_string(), error))?;
                let sink = BufferedUdpMetricSink::from(address, socket)
                    .map_err(|error| Error::failed(step, address.to_string(), error))?;
                StatsdClient::from_sink(prefix, QueuingMetricSink::from(sink))
            }
        };
        let mut counts = Vec::with_capacity(Counter::ALL.len());
        counts.resize_with(Counter::ALL.len(), AtomicU64::default);
        let mut gauges = Vec::with_capacity(Gauge::ALL.len());
        gauges.resize_with(Gauge::ALL.len(), AtomicU64::default);
        let recorder = PrometheusBuilder::new()
            .set_buckets(&BUCKETS_MS)
            .map_err(|error| Error::invalid(format!("the buckets are not valid: {error}")))?
            .build_recorder();
        let histograms = Timer::ALL.iter().map(|timer| histogram(&recorder, *timer)).collect();
        let text = recorder.handle();
        Ok(Self(Arc::new(Inner { client, counts, gauges, histograms, text })))
    }

    /// Everything as text, one line a figure, in the format that Prometheus reads.
    pub fn text(&self) -> String {
        let mut text = self.0.text.render();
        for counter in Counter::ALL {
            let value = self.total(*counter);
            text.push_str(&text_lines(counter.name(), "counter", counter.help(), value));
        }
        for gauge in Gauge::ALL {
            let value = self.0.gauges[*gauge as usize].load(Ordering::Relaxed);
            text.push_str(&text_lines(gauge.name(), "gauge", gauge.help(), value));
        }
        let dropped = crate::logging::dropped_lines();
        let help = "Log lines that nobody read in time.";
        text.push_str(&text_lines("log_lines_dropped", "counter", help, dropped));
        text.push_str(&crate::traffic::text());
        text
    }

    /// Moves recent durations into their histograms; they pile up until then.
    pub fn tidy(&self) {
        self.0.text.run_upkeep();
    }

    /// Metrics that are only counted.
    pub fn local() -> Self {
        Self::new("winchvane", None).expect("no socket is needed")
    }

    /// Counts one.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Counts several.
    pub fn count_many(&self, counter: Counter, number: u64) {
        self.0.counts[counter as usize].fetch_add(number, Ordering::Relaxed);
        // A metric that cannot be sent must not disturb the work it tells about.
        let _ = self.0.client.count(counter.name(), i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Reports a duration.
    pub fn time(&self, timer: Timer, duration_ms: u64) {
        self.0.histograms[timer as usize].record(duration_ms as f64);
        let _ = self.0.client.time(timer.name(), duration_ms);
    }

    /// Reports a level.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.0.gauges[gauge as usize].store(value, Ordering::Relaxed);
        let _ = self.0.client.gauge(gauge.name(), value);
    }

    /// The count so far.
    pub fn total(&self, counter: Counter) -> u64 {
        self.0.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// All counts, for the state dump.
    pub fn totals(&self) -> serde_json::Map<String, serde_json::Value> {
        let mut totals = serde_json::Map::new();
        for counter in Counter::ALL {
            totals.insert(counter.name().to_owned(), self.total(*counter).into());
        }
        totals
    }
}

fn histogram(recorder: &PrometheusRecorder, timer: Timer) -> Histogram {
    let name = format!("{}_ms", text_name(timer.name()));
    recorder.describe_histogram(name.clone().into(), None, timer.help().into());
    let key = Key::from_parts(name, Vec::<Label>::new());
    recorder.register_histogram(&key, &Metadata::new(module_path!(), Level::INFO, None))
}

/// `requests.first_byte` as `winchvane_requests_first_byte`.
fn text_name(name: &str) -> String {
    format!("winchvane_{}", name.replace('.', "_"))
}

fn text_lines(name: &str, kind: &str, help: &str, value: u64) -> String {
    let name = text_name(name);
    format!("# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}\n")
}
