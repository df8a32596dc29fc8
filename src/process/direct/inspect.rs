//! Inspection endpoint of a direct entry: metrics, state dump, and the records that a
//! starting peer copies.

use std::{convert::Infallible, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, sync::Notify};

use super::{copy::CopyBody, serve, shell::DirectDriver};

/// Path of the metrics.
pub(super) const METRICS_PATH: &str = "/metrics";
/// Path of the state dump, as JSON.
const STATE_PATH: &str = "/state";
/// Path of the records that a starting peer copies, as CBOR.
pub(super) const RECORDS_PATH: &str = "/records";
/// Longest time for which a copy of the records is sent. A process that starts has got them from
/// elsewhere by then.
const MAX_COPY_TIME: Duration = Duration::from_secs(20);

type InspectionBody = Either<Full<Bytes>, CopyBody>;

/// Serves the inspection endpoint until the process exits.
pub(super) async fn serve(listener: TcpListener, driver: Rc<DirectDriver>) {
    loop {
        let Some(stream) = serve::accept(&listener).await else { continue };
        let driver = driver.clone();
        tokio::task::spawn_local(async move {
            let copying = Notify::new();
            let service = service_fn(|request: Request<Incoming>| {
                let response = respond(&driver, request.uri().path());
                if matches!(response.body(), Either::Right(_)) {
                    copying.notify_one();
                }
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            let served = tokio::select! {
                served = connection => served,
                () = copy_time_over(&copying) => return log::info!("copy of records given up"),
            };
            if let Err(error) = served {
                log::debug!(error:% = error; "inspection connection failed");
            }
        });
    }
}

async fn copy_time_over(copying: &Notify) {
    copying.notified().await;
    tokio::time::sleep(MAX_COPY_TIME).await;
}

fn respond(driver: &DirectDriver, path: &str) -> Response<InspectionBody> {
    let response = match path {
        METRICS_PATH => body_response("text/plain; version=0.0.4", driver.metrics_text().into()),
        STATE_PATH => encoded_response("application/json", driver.state_json()),
        RECORDS_PATH => return records_response(driver),
        _ => status_response(StatusCode::NOT_FOUND),
    };
    response.map(Either::Left)
}

/// Returns a copy of the records, unless too much of others waits to be sent.
fn records_response(driver: &DirectDriver) -> Response<InspectionBody> {
    if !driver.copies.admits() {
        return status_response(StatusCode::SERVICE_UNAVAILABLE).map(Either::Left);
    }
    match driver.records.borrow().encode(driver.record_ages()) {
        Ok(copy) => {
            driver.metrics.record_copy(copy.len());
            let mut response = Response::new(Either::Right(driver.copies.body(copy.into())));
            let headers = response.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/cbor"));
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
            response
        }
        Err(error) => encoding_failed(&error).map(Either::Left),
    }
}

fn encoded_response<E: std::fmt::Display>(
    content_type: &'static str,
    body: Result<Vec<u8>, E>,
) -> Response<Full<Bytes>> {
    match body {
        Ok(bytes) => body_response(content_type, bytes.into()),
        Err(error) => encoding_failed(&error),
    }
}

fn encoding_failed(error: &dyn std::fmt::Display) -> Response<Full<Bytes>> {
    log::error!(error:% = error; "failed to encode state");
    status_response(StatusCode::INTERNAL_SERVER_ERROR)
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
