//! Metrics of a process: counters, gauges and timers. They are included in the state dump, served
//! in the Prometheus text format and, if an address is configured, sent over UDP in the statsd
//! format.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};
use metrics::{Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle, PrometheusRecorder};

use crate::error::{Error, Result};

/// Defines an enum of metrics with their names. The doc comment of a variant is its help text.
macro_rules! define_metrics {
    ($(#[doc = $enum_doc:literal])* $kind:ident: $($(#[doc = $doc:literal])* $variant:ident => $name:literal,)*) => {
        $(#[doc = $enum_doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum $kind {
            $($(#[doc = $doc])* $variant,)*
        }

        impl $kind {
            /// All variants.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name of the metric.
            pub fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// The help text of the metric.
            pub fn help(self) -> &'static str {
                match self {
                    $(Self::$variant => concat!($($doc,)*).trim_ascii(),)*
                }
            }
        }
    };
}

define_metrics! {
    /// A counter.
    Counter:
    /// Requests received from callers.
    RequestsReceived => "requests.received",
    /// Requests that received the complete answer of an endpoint.
    RequestsAnswered => "requests.answered",
    /// Requests refused before an endpoint started them.
    RequestsRefused => "requests.refused",
    /// Requests that failed and may have run.
    RequestsUnknown => "requests.unknown",
    /// Requests whose input the caller has to correct.
    RequestsInvalid => "requests.invalid",
    /// Requests withdrawn from endpoints that had not started them when newer weights were due.
    RequestsTakenBack => "requests.taken_back",
    /// Requests refused because requests with the same content are suspected of crashing endpoints.
    RequestsHeld => "requests.held",
    /// Requests refused because the endpoints that could run them limit the requests they accept.
    RequestsLimited => "requests.limited",
    /// Requests refused because the endpoints that could run them asked for backoff.
    RequestsBackingOff => "requests.backing_off",
    /// Requests refused because the queues of waiting requests were full.
    RequestsRefusedQueueFull => "requests.refused_queue_full",
    /// Requests refused because they were expected to wait for too long.
    RequestsRefusedDeadline => "requests.refused_deadline",
    /// Waiting requests refused because more urgent ones took their places.
    RequestsReplacedInQueue => "requests.replaced_in_queue",
    /// Requests refused because they carried no valid API key.
    RequestsUnauthorized => "requests.unauthorized",
    /// Requests refused because their workspaces exceeded their quotas.
    RequestsOverQuota => "requests.over_quota",
    /// Requests beyond the shares of their workspaces, which other requests go before.
    RequestsOverShare => "requests.over_share",
    /// Requests refused because the current API keys or quotas were not known.
    RequestsNotAdmitted => "requests.not_admitted",
    /// Requests answered from the run ledger.
    RequestsReplayed => "requests.replayed",
    /// Requests tried again on another endpoint.
    RequestsRetried => "requests.retried",
    /// Retries that the retry budget did not permit.
    RetriesDenied => "requests.retries_denied",
    /// Failed requests that were not resent because second sends seldom succeed.
    RetriesNotWorthwhile => "retries.not_worthwhile",
    /// Requests refused because the configuration could not be confirmed as current.
    NotFresh => "requests.not_fresh",
    /// Callers that disconnected before their answer was complete.
    CallersGone => "requests.callers_gone",
    /// Answers discarded because they came from another adapter or version than requested.
    WrongAdapter => "endpoints.wrong_adapter",
    /// Answers that were started on weights older than the version known to be due by then.
    OutdatedWeights => "endpoints.outdated_weights",
    /// Adapters loaded.
    LoadsDone => "endpoints.loads_done",
    /// Adapter loads that failed.
    LoadsFailed => "endpoints.loads_failed",
    /// Adapters unloaded.
    Unloads => "endpoints.unloads",
    /// Endpoints that this gateway became the owner of.
    Takeovers => "endpoints.takeovers",
    /// Engine restarts, detected by a changed boot id.
    EngineRestarts => "endpoints.engine_restarts",
    /// Open answers that brought nothing for long, and were read on.
    AnswersDoubted => "answers.doubted",
    /// Open answers given up because a continuation elsewhere brought something first.
    AnswersTakenOver => "answers.taken_over",
    /// Streams that were resumed at another endpoint within an answer.
    StreamsResumed => "streams.resumed",
    /// Streams that broke off and were not resumed.
    StreamsBroken => "streams.broken",
    /// Streams that clients resumed and of which nobody knew where they began.
    StreamsOfUnknownOrigin => "streams.of_unknown_origin",
    /// Requests sent through another gateway.
    DetoursSent => "detours.sent",
    /// Requests that another gateway refused to send.
    DetoursRefused => "detours.refused",
    /// Requests of other gateways served.
    DetoursServed => "detours.served",
    /// Times at which no endpoint of a service could be reached any more from here.
    ServicesOutOfReach => "endpoints.services_out_of_reach",
    /// Connections to endpoints on which nothing came while newer ones worked.
    EndpointConnectionsSilent => "endpoints.connections_silent",
    /// Endpoints that ended while they ran requests.
    EndpointsEnded => "endpoints.ended",
    /// Connections of callers that failed or were refused at the connection limit.
    CallerConnectionFailed => "callers.connection_failed",
    /// Connections refused because there were too many and all others were in use.
    ConnectionsRefused => "connections.refused",
    /// Connections that could not be accepted because no descriptor was left.
    AcceptsFailed => "connections.accepts_failed",
    /// Open connections closed for others while they waited for a request.
    ConnectionsClosedIdle => "connections.closed_idle",
    /// Open connections closed for others because their requests stopped before their end.
    ConnectionsClosedUnfinished => "connections.closed_unfinished",
    /// Open connections closed for others because their clients did not read their answers.
    ConnectionsClosedUnread => "connections.closed_unread",
    /// Requests whose head was given up for want of memory.
    HeadsWithoutRoom => "requests.head_without_room",
    /// Requests refused because there was no memory for their body.
    BodiesWithoutRoom => "requests.body_without_room",
    /// Requests refused because their body was too large.
    BodiesTooLarge => "requests.body_too_large",
    /// Connections of peers whose h2 handshake failed.
    PeerHandshakeFailed => "peers.handshake_failed",
    /// Streams of peers refused for an unsupported wire version or an unknown channel.
    PeerRefused => "peers.refused",
    /// Connections with peers closed because the other side had not answered.
    PeerConnectionsSilent => "peers.connections_silent",
    /// Streams of peers refused because there was no memory for them.
    StreamsWithoutRoom => "peers.stream_without_room",
    /// Streams of peers ended because there was no memory for a message.
    MessagesWithoutRoom => "peers.message_without_room",
    /// Connections of peers closed for others because their messages did not arrive.
    PeersClosedStalled => "peers.closed_stalled",
    /// Sessions with control that ended.
    SessionsEnded => "control.sessions_ended",
    /// Log entries applied to the state.
    EntriesApplied => "control.entries_applied",
    /// Syncs of the log to disk.
    LogSyncs => "control.log_syncs",
    /// Rounds in which a replica stores, sends and applies log entries.
    Flushes => "control.flushes",
    /// Elections won.
    ElectionsWon => "control.elections_won",
    /// Gateways whose lease expired.
    GatewaysExpired => "control.gateways_expired",
    /// Changes that were refused since control could not hold them or answer them in time.
    ChangesRefused => "control.changes_refused",
    /// Snapshots of the state written.
    SnapshotsWritten => "control.snapshots_written",
}

define_metrics! {
    /// A timer, in milliseconds.
    Timer:
    /// Time from a request's arrival to the first byte of its answer.
    FirstByte => "requests.first_byte",
    /// Time that a request waited for its adapter to be loaded.
    LoadWait => "requests.load_wait",
    /// Time that a request waited for capacity before it was sent.
    QueueWait => "requests.queue_wait",
    /// Time that a request waited until control confirmed that what the gateway knows is recent.
    ConfirmationWait => "requests.confirmation_wait",
    /// Age of what a gateway knew of endpoints and routes when it sent a request.
    KnownAge => "requests.known_age",
    /// Duration of an adapter load.
    Load => "endpoints.load",
    /// Duration of a sync of the log to disk.
    LogSync => "control.log_sync",
    /// Placement passes of the leader.
    PlacementPass => "control.placement_pass",
}

/// Upper bounds of the histogram buckets in milliseconds. The users' latency objectives are between
/// 70 ms and 1 s.
const BUCKETS_MS: [f64; 14] =
    [1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 70.0, 150.0, 300.0, 600.0, 920.0, 2_000.0, 5_000.0, 20_000.0];

define_metrics! {
    /// A gauge.
    Gauge:
    /// Requests in progress at this gateway.
    RequestsInProgress => "requests.in_progress",
    /// Requests that wait for capacity at this gateway.
    RequestsWaiting => "requests.waiting",
    /// Messages that wait at this replica of control.
    MessagesWaiting => "replica.messages_waiting",
    /// Bytes of changes from their arrival until they are applied.
    ChangeBytesHeld => "control.changes_held_bytes",
    /// Memory of changes that are kept for followers a little behind, in bytes.
    HistoryBytesHeld => "control.history_held_bytes",
    /// Bytes of the recorded answers of calls that run once.
    AnswerBytesRecorded => "control.answers_recorded_bytes",
    /// Memory of log entries since the last snapshot, in bytes.
    LogBytesHeld => "control.log_held_bytes",
    /// Memory of messages that wait for gateways and distributors or are being sent to them, in bytes.
    SessionBytesWaiting => "control.session_waiting_bytes",
    /// Memory of messages that wait for other replicas or are being sent to them, in bytes.
    LinkBytesWaiting => "control.link_waiting_bytes",
    /// Size of the last snapshot of the state, in bytes.
    SnapshotBytes => "control.snapshot_bytes",
    /// Open connections that others have opened to this process.
    ConnectionsOpen => "connections.open",
    /// Memory of the heads and bodies of requests, in bytes.
    RequestBytesHeld => "requests.held_bytes",
    /// Memory of whole answers until their clients have read them, in bytes.
    AnswerBytesHeld => "answers.held_bytes",
    /// Memory of streams of peers, in bytes.
    StreamBytesHeld => "peers.streams_held_bytes",
    /// Memory of messages of peers that have not arrived completely, in bytes.
    MessageBytesHeld => "peers.messages_held_bytes",
    /// Endpoints owned by this gateway.
    EndpointsOwned => "endpoints.owned",
    /// Services in the known configuration.
    Services => "config.services",
}

/// The metrics of a process. Clones share the same values.
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
    /// Creates metrics that are sent to `address`, if there is one. `prefix` precedes the names
    /// sent there.
    ///
    /// # Errors
    /// The UDP socket cannot be opened.
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
        let histograms =
            Timer::ALL.iter().map(|timer| register_histogram(&recorder, *timer)).collect();
        let text = recorder.handle();
        Ok(Self(Arc::new(Inner { client, counts, gauges, histograms, text })))
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = self.0.text.render();
        for counter in Counter::ALL {
            let value = self.total(*counter);
            text.push_str(&prometheus_lines(counter.name(), "counter", counter.help(), value));
        }
        for gauge in Gauge::ALL {
            let value = self.0.gauges[*gauge as usize].load(Ordering::Relaxed);
            text.push_str(&prometheus_lines(gauge.name(), "gauge", gauge.help(), value));
        }
        let dropped = crate::logging::dropped_lines();
        let help = "Log lines dropped because the buffer was full.";
        text.push_str(&prometheus_lines("log_lines_dropped", "counter", help, dropped));
        text.push_str(&crate::traffic::text());
        text
    }

    /// Merges recent durations into their histograms. Without this call they accumulate in memory.
    pub fn run_upkeep(&self) {
        self.0.text.run_upkeep();
    }

    /// Creates metrics that are not sent anywhere.
    pub fn local() -> Self {
        Self::new("winchvane", None).expect("metrics without an address need no socket")
    }

    /// Adds one to a counter.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Adds `number` to a counter.
    pub fn count_many(&self, counter: Counter, number: u64) {
        self.0.counts[counter as usize].fetch_add(number, Ordering::Relaxed);
        // A failure to send a metric must not affect the work that is measured.
        let _ = self.0.client.count(counter.name(), i64::try_from(number).unwrap_or(i64::MAX));
    }

    /// Records a duration.
    pub fn time(&self, timer: Timer, duration_ms: u64) {
        self.0.histograms[timer as usize].record(duration_ms as f64);
        let _ = self.0.client.time(timer.name(), duration_ms);
    }

    /// Sets a gauge.
    pub fn gauge(&self, gauge: Gauge, value: u64) {
        self.0.gauges[gauge as usize].store(value, Ordering::Relaxed);
        let _ = self.0.client.gauge(gauge.name(), value);
    }

    /// Returns the value of a counter.
    pub fn total(&self, counter: Counter) -> u64 {
        self.0.counts[counter as usize].load(Ordering::Relaxed)
    }

    /// Returns the values of all counters by name, for the state dump.
    pub fn totals(&self) -> serde_json::Map<String, serde_json::Value> {
        let mut totals = serde_json::Map::new();
        for counter in Counter::ALL {
            totals.insert(counter.name().to_owned(), self.total(*counter).into());
        }
        totals
    }
}

fn register_histogram(recorder: &PrometheusRecorder, timer: Timer) -> Histogram {
    let name = format!("{}_ms", prometheus_name(timer.name()));
    recorder.describe_histogram(name.clone().into(), None, timer.help().into());
    let key = Key::from_parts(name, Vec::<Label>::new());
    recorder.register_histogram(&key, &Metadata::new(module_path!(), Level::INFO, None))
}

/// Converts a name to Prometheus: `requests.first_byte` becomes `winchvane_requests_first_byte`.
fn prometheus_name(name: &str) -> String {
    format!("winchvane_{}", name.replace('.', "_"))
}

fn prometheus_lines(name: &str, kind: &str, help: &str, value: u64) -> String {
    let name = prometheus_name(name);
    format!("# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}\n")
}
