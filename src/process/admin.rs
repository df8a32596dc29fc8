//! HTTP endpoints common to entries and sides: health, metrics, state dump and peer exchange.

use std::sync::Arc;

use poem::{
    Endpoint, EndpointExt, IntoResponse, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::{Acceptor, Listener, TcpListener},
    web::{Data, Json, Query},
};
use serde::Deserialize;
use tokio::sync::oneshot;

use super::{
    control::{ControlHandle, ControlMessage, RecentRecords},
    metrics::ProcessMetrics,
    peer,
};
use crate::{
    error::{Error, ErrorCode, Result},
    fold::FleetState,
    ids::LogOffset,
};

/// Queries to the control thread that don't depend on the role, and what else the endpoints
/// need.
#[derive(Clone)]
pub struct StateQueries {
    dump: ControlQuery<serde_json::Value>,
    fleet: ControlQuery<FleetState>,
    recent: Arc<dyn Fn(LogOffset, oneshot::Sender<RecentRecords>) + Send + Sync>,
    /// Metrics of this process, served at `/metrics`.
    pub metrics: Arc<ProcessMetrics>,
    /// Returns whether the process accepts new requests, served at `/ready`.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
}

type ControlQuery<T> = Arc<dyn Fn(oneshot::Sender<T>) + Send + Sync>;

#[derive(Debug, Deserialize)]
struct RecordsQuery {
    from: LogOffset,
}

impl StateQueries {
    /// Creates the queries to one control thread.
    pub fn new<E: Send + 'static>(
        control: &ControlHandle<E>,
        metrics: Arc<ProcessMetrics>,
        ready: impl Fn() -> bool + Send + Sync + 'static,
    ) -> StateQueries {
        let (dump, fleet, recent) = (control.clone(), control.clone(), control.clone());
        StateQueries {
            dump: Arc::new(move |reply| dump.send(ControlMessage::Dump(reply))),
            fleet: Arc::new(move |reply| fleet.send(ControlMessage::Fleet(reply))),
            recent: Arc::new(move |from, reply| recent.send(ControlMessage::Recent(from, reply))),
            metrics,
            ready: Arc::new(ready),
        }
    }
}

/// Returns the routes of the common endpoints.
pub fn routes(queries: StateQueries) -> Route {
    let with_queries = move |endpoint: poem::RouteMethod| endpoint.data(queries.clone());
    Route::new()
        .at("/live", with_queries(get(serve_live)))
        .at("/ready", with_queries(get(serve_ready)))
        .at("/metrics", with_queries(get(serve_metrics)))
        .at("/state", with_queries(get(serve_state)))
        .at("/peer/fold", with_queries(get(serve_peer_fold)))
        .at("/peer/records", with_queries(get(serve_peer_records)))
}

/// Binds an address and starts a task that serves `app` there until the process ends.
///
/// # Errors
/// Returns [`ErrorCode::Network`] if the address cannot be bound.
pub async fn bind<E>(address: std::net::SocketAddr, app: E) -> Result<tokio::task::JoinHandle<()>>
where
    E: Endpoint + 'static,
{
    let acceptor = TcpListener::bind(address)
        .into_acceptor()
        .await
        .map_err(|e| Error::new(ErrorCode::Network, format!("{address} ({e})")))?;
    let local = acceptor.local_addr();
    log::info!(address:? = local; "serving HTTP");
    Ok(tokio::spawn(async move {
        if let Err(error) = Server::new_with_acceptor(acceptor).run(app).await {
            log::error!(error:% = error; "HTTP server ended");
        }
    }))
}

#[handler]
fn serve_live() -> &'static str {
    "live\n"
}

#[handler]
fn serve_ready(queries: Data<&StateQueries>) -> Response {
    if (queries.ready)() {
        "ready\n".into_response()
    } else {
        StatusCode::SERVICE_UNAVAILABLE.into_response()
    }
}

#[handler]
fn serve_metrics(queries: Data<&StateQueries>) -> String {
    queries.metrics.encode()
}

#[handler]
async fn serve_state(queries: Data<&StateQueries>) -> Response {
    let (sender, receiver) = oneshot::channel();
    (queries.dump)(sender);
    match receiver.await {
        Ok(state) => Json(state).into_response(),
        Err(_) => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}

#[handler]
async fn serve_peer_fold(queries: Data<&StateQueries>) -> Response {
    let (sender, receiver) = oneshot::channel();
    (queries.fleet)(sender);
    encode_response(receiver.await.ok())
}

#[handler]
async fn serve_peer_records(queries: Data<&StateQueries>, query: Query<RecordsQuery>) -> Response {
    let (sender, receiver) = oneshot::channel();
    (queries.recent)(query.from, sender);
    encode_response(receiver.await.ok())
}

fn encode_response<T: serde::Serialize>(value: Option<T>) -> Response {
    match value.map(|value| peer::encode(&value)) {
        Some(Ok(bytes)) => bytes.into_response(),
        Some(Err(_)) | None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
