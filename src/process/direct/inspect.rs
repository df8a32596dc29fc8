//! What a direct entry shows of itself: metrics, state, and the records that a
//! starting peer copies.

use std::{convert::Infallible, rc::Rc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::{serve, shell::DirectShell};

/// Path of the metrics.
pub(super) const METRICS_PATH: &str = "/metrics";
/// Path of the dump of the whole state, as JSON.
const STATE_PATH: &str = "/state";
/// Path of the records that a starting peer copies.
pub(super) const RECORDS_PATH: &str = "/records";

/// Serves an address until the process ends.
pub(super) async fn serve(listener: TcpListener, shell: Rc<DirectShell>) {
    loop {
        let Some(stream) = serve::accept(&listener).await else { continue };
        let shell = shell.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                std::future::ready(Ok::<_, Infallible>(answer(&shell, request.uri().path())))
            });
            let served =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(error) = served {
                log::debug!(error:% = error; "inspecting connection ended");
            }
        });
    }
}

fn answer(shell: &DirectShell, path: &str) -> Response<Full<Bytes>> {
    match path {
        METRICS_PATH => text("text/plain; version=0.0.4", shell.metrics_text().into()),
        STATE_PATH => encoded("application/json", shell.state_json()),
        RECORDS_PATH => {
            encoded("application/cbor", shell.records.borrow().encode(shell.record_ages()))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn encoded<E: std::fmt::Display>(
    kind: &'static str,
    body: Result<Vec<u8>, E>,
) -> Response<Full<Bytes>> {
    match body {
        Ok(bytes) => text(kind, bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "state not encoded");
            status(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn text(kind: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
