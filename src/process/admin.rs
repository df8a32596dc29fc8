//! HTTP endpoints that every process serves: health, metrics, state and peer exchange.

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

/// Questions to the control thread that don't depend on the role.
#[derive(Clone)]
pub struct StateQueries {
    dump: Query0<serde_json::Value>,
    fold: Query0<FleetState>,
    recent: Arc<dyn Fn(LogOffset, oneshot::Sender<RecentRecords>) + Send + Sync>,
    /// Metrics.
    pub metrics: Arc<ProcessMetrics>,
    /// Tells whether the process takes new requests.
    pub ready: Arc<dyn Fn() -> bool + Send + Sync>,
}

type Query0<T> = Arc<dyn Fn(oneshot::Sender<T>) + Send + Sync>;

#[derive(Debug, Deserialize)]
struct FromQuery {
    from: LogOffset,
}

impl StateQueries {
    /// Makes the queries of one process.
    pub fn new<E: Send + 'static>(
        control: &ControlHandle<E>,
        metrics: Arc<ProcessMetrics>,
        ready: impl Fn() -> bool + Send + Sync + 'static,
    ) -> StateQueries {
        let (dump, fold, recent) = (control.clone(), control.clone(), control.clone());
        StateQueries {
            dump: Arc::new(move |answer| dump.send(ControlMessage::Dump(answer))),
            fold: Arc::new(move |answer| fold.send(ControlMessage::Fold(answer))),
            recent: Arc::new(move |from, answer| recent.send(ControlMessage::Recent(from, answer))),
            metrics,
            ready: Arc::new(ready),
        }
    }
}

/// Returns the routes that every process serves.
pub fn routes(queries: StateQueries) -> Route {
    let with = move |endpoint: poem::RouteMethod| endpoint.data(queries.clone());
    Route::new()
        .at("/live", with(get(serve_live)))
        .at("/ready", with(get(serve_ready)))
        .at("/metrics", with(get(serve_metrics)))
        .at("/state", with(get(serve_state)))
        .at("/peer/fold", with(get(peer_fold)))
        .at("/peer/records", with(get(peer_records)))
}

/// Serves an application at an address until the process ends.
///
/// # Errors
/// Returns [`ErrorCode::Network`] where the address cannot be bound.
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
async fn peer_fold(queries: Data<&StateQueries>) -> Response {
    let (sender, receiver) = oneshot::channel();
    (queries.fold)(sender);
    encoded(receiver.await.ok())
}

#[handler]
async fn peer_records(queries: Data<&StateQueries>, from: Query<FromQuery>) -> Response {
    let (sender, receiver) = oneshot::channel();
    (queries.recent)(from.from, sender);
    encoded(receiver.await.ok())
}

fn encoded<T: serde::Serialize>(value: Option<T>) -> Response {
    match value.map(|value| peer::encode(&value)) {
        Some(Ok(bytes)) => bytes.into_response(),
        Some(Err(_)) | None => StatusCode::SERVICE_UNAVAILABLE.into_response(),
    }
}
