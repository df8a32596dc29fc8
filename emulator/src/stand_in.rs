//! Stand-ins for the users' platform: its store, its model runners and plain
//! services, its operator and its callers, around the real program.
//!
//! They speak the protocol that `src/platform/` adapts. Faults are set from
//! the tests, and a referee compares what callers and targets saw.

pub mod caller;
pub mod fleet;
pub mod orders;
pub mod referee;
pub mod runner;
pub mod slots;
pub mod store;

use std::{convert::Infallible, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinHandle};

/// Body of a stand-in's answer; an error in it breaks the answer off.
pub type StandInBody = BoxBody<Bytes, BrokenOff>;

/// The stand-in breaks a connection off on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, snafu::Snafu)]
#[snafu(display("connection broken off on purpose"))]
pub struct BrokenOff;

/// Makes a whole body.
pub fn whole(bytes: impl Into<Bytes>) -> StandInBody {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed()
}

/// Serves a handler on a port of the loopback address; port 0 takes a free one.
///
/// # Errors
/// Returns the failure to bind.
pub async fn serve<H, F>(port: u16, handler: H) -> std::io::Result<(SocketAddr, JoinHandle<()>)>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Result<Response<StandInBody>, BrokenOff>> + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let handler = handler.clone();
            tokio::spawn(async move {
                let service = service_fn(move |request| handler(request));
                // Connections end when callers close them or a fault breaks them off.
                drop(http1::Builder::new().serve_connection(TokioIo::new(stream), service).await);
            });
        }
    });
    Ok((address, task))
}
