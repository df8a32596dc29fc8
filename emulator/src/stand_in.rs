//! Test doubles for the deployment platform: its store, model runners, plain
//! services, operator and callers. The system under test runs as real processes.
//!
//! They speak the protocol that `src/platform/` implements. Tests inject
//! faults, and [`referee`] compares what callers received with what targets ran.

pub mod caller;
pub mod duty_platform;
pub mod endless;
pub mod fleet;
pub mod kept_connection;
pub mod orders;
pub mod peer_relay;
pub mod referee;
pub mod runner;
pub mod slots;
pub mod store;
pub mod throttle;

use std::{
    convert::Infallible,
    error::Error,
    net::SocketAddr,
    os::fd::{AsFd, OwnedFd},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::TcpListener,
    task::{JoinHandle, JoinSet},
};

use endless::EndlessResponse;

/// Response body of a stand-in; an error in it aborts the connection.
pub type StandInBody = BoxBody<Bytes, BrokenOff>;

/// Error with which a stand-in aborts a connection to inject a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
pub enum BrokenOff {
    /// The connection is closed, as when a process exits.
    #[snafu(display("connection closed on purpose"))]
    Closed,
    /// The connection is reset.
    #[snafu(display("connection reset on purpose"))]
    Reset,
}

/// Returns a complete body that holds `bytes`.
pub fn whole(bytes: impl Into<Bytes>) -> StandInBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Serves `handler` over HTTP/1 on a loopback port; port 0 selects a free one.
///
/// Returns the bound address and the task that accepts connections.
///
/// # Errors
/// Returns an error if the port cannot be bound.
pub async fn serve<H, F>(port: u16, handler: H) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<StandInBody>, BrokenOff>> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let address = listener.local_addr()?;
    Ok((address, serve_on(listener, handler)))
}

/// Serves `handler` on a listener, like [`serve`]. Aborting the returned task closes the
/// listener and all its connections, every second one with a reset.
pub fn serve_on<H, F>(listener: TcpListener, handler: H) -> JoinHandle<()>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<StandInBody>, BrokenOff>> + Send + 'static,
{
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        let mut connections = JoinSet::new();
        for number in 0_u64.. {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let handler = handler.clone();
            while connections.try_join_next().is_some() {}
            connections.spawn(async move {
                let endless: Arc<Mutex<Option<EndlessResponse>>> = Arc::default();
                let taken = endless.clone();
                let service = service_fn(move |request| {
                    let (answer, taken) = (handler(request), taken.clone());
                    async move {
                        let mut response = answer.await?;
                        let Some(endless) = response.extensions_mut().remove() else {
                            return Ok(response);
                        };
                        *taken.lock().unwrap_or_else(PoisonError::into_inner) = Some(endless);
                        // Ends the library's work on the connection, which stays open.
                        Err(BrokenOff::Closed)
                    }
                });
                let Ok(handle) = stream.as_fd().try_clone_to_owned() else { return };
                let mut closing = ConnectionClose { handle, resets: number.is_multiple_of(2) };
                let served =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                let endless = endless.lock().unwrap_or_else(PoisonError::into_inner).take();
                if let Some(endless) = endless {
                    let Ok(handle) = closing.handle.try_clone() else { return };
                    closing.resets = false;
                    return endless.send(handle).await;
                }
                // Other errors only mean that the caller disconnected or a fault closed the connection.
                closing.resets = served.is_err_and(|error| is_reset(&error));
            });
        }
    })
}

/// Handle of a connection that outlives its stream; dropping it closes the connection.
struct ConnectionClose {
    handle: OwnedFd,
    resets: bool,
}

impl Drop for ConnectionClose {
    fn drop(&mut self) {
        if self.resets {
            SockRef::from(&self.handle).set_linger(Some(Duration::ZERO)).ok();
        }
    }
}

fn is_reset(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|source| source.downcast_ref::<BrokenOff>());
    cause == Some(&BrokenOff::Reset)
}
