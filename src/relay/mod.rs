//! The relay gateway: forwards HTTP requests unchanged, by host and path, to endpoints that enforce
//! their own limits.
//!
//! A relay follows the control leader for routes, registered endpoints and the weights loaded on
//! each endpoint. Only the gateway that read a request may send it, so a request that must run at
//! most once needs no cluster-wide claim: once its bytes may have reached an endpoint, the gateway
//! never resends it. [`PlatformHeaders`] maps requests and responses to a platform's HTTP headers.

mod access;
mod admission;
mod advertised;
mod answer_buffer;
mod attempt;
mod border;
mod budget;
mod buffered;
mod choice;
mod confirmation;
mod connection_records;
mod crashes;
mod detour;
mod doubt;
mod end_guard;
mod exchange;
mod failures;
mod fleet;
mod found;
mod gateway_count;
mod give_up;
mod handler;
mod held;
mod idle;
mod in_progress;
mod known;
mod leases;
mod limits;
mod liveness;
mod orders;
mod origins;
mod out_of_reach;
mod outcome;
mod pick;
mod places;
mod pool;
mod process;
mod prompt;
mod queue;
mod quota;
mod reach;
mod refusal;
mod replaced;
mod report;
mod resends;
mod respond;
mod run_count;
mod second_send;
mod selection;
mod sender;
mod served;
mod session;
mod shared;
mod shares;
mod slots;
mod source;
mod speed;
mod standings;
mod stopping;
mod stream;
mod stream_deadline;
mod trial;
mod uses;
mod waiting;

pub use border::{AnswerMeta, Backoff, PlatformHeaders, RateLimit, RequestMeta, SendMeta};
pub use budget::{RetryBudget, WindowUse};
pub use fleet::Fleet;
pub use gateway_count::{GatewayCount, NO_SHARE};
pub use idle::IdleConnections;
pub use known::Wanted;
pub use leases::LeasedEndpoints;
pub use limits::LimitChange;
pub use orders::{EngineClient, ORDER_WRITE_MS, SEND_LEASE_MS, SendLease};
pub use pick::{PickRequest, Picked};
pub use process::run;
pub use prompt::{PrefixCache, PromptChain, PromptPart};
pub use queue::{QueuePlace, RequestQueue};
pub use session::reconnect_max_ms;
pub use speed::EventTimes;
pub use standings::{Permission, Standings};
pub use waiting::{Prompt, ReadingPace, UnansweredRequests, UnreadMs};
