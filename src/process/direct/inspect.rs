//! Inspection endpoint of a direct entry: metrics, state dump, and the records that a
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

use super::{serve, shell::DirectDriver};

/// Path of the metrics.
pub(super) const METRICS_PATH: &str = "/metrics";
/// Path of the state dump, as JSON.
const STATE_PATH: &str = "/state";
/// Path of the records that a starting peer copies, as CBOR.
pub(super) const RECORDS_PATH: &str = "/records";

/// Serves the inspection endpoint until the process exits.
pub(super) async fn serve(listener: TcpListener, driver: Rc<DirectDriver>) {
    loop {
        let Some(stream) = serve::accept(&listener).await else { continue };
        let driver = driver.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(|request: Request<Incoming>| {
                std::future::ready(Ok::<_, Infallible>(respond(&driver, request.uri().path())))
            });
            let served =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            if let Err(error) = served {
                log::debug!(error:% = error; "inspection connection failed");
            }
        });
    }
}

fn respond(driver: &DirectDriver, path: &str) -> Response<Full<Bytes>> {
    match path {
        METRICS_PATH => body_response("text/plain; version=0.0.4", driver.metrics_text().into()),
        STATE_PATH => encoded_response("application/json", driver.state_json()),
        RECORDS_PATH => encoded_response(
            "application/cbor",
            driver.records.borrow().encode(driver.record_ages()),
        ),
        _ => status_response(StatusCode::NOT_FOUND),
    }
}

fn encoded_response<E: std::fmt::Display>(
    content_type: &'static str,
    body: Result<Vec<u8>, E>,
) -> Response<Full<Bytes>> {
    match body {
        Ok(bytes) => body_response(content_type, bytes.into()),
        Err(error) => {
            log::error!(error:% = error; "failed to encode state");
            status_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn body_response(content_type: &'static str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
