//! Subcommands, one module each.

pub(crate) mod engine;
pub(crate) mod platform;
pub(crate) mod service;

use hyper::Request;
use hyper::body::Incoming;
use miette::{Context, IntoDiagnostic};
use porthoist_http::{HttpResponse, ServerSettings, serve_until};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Listens, prints the address as the first line of output, and serves requests until the process exits.
pub(crate) async fn serve<F, R>(listen: &str, handler: F) -> miette::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = HttpResponse> + Send + 'static,
{
    let listener = TcpListener::bind(listen)
        .await
        .into_diagnostic()
        .wrap_err_with(|| format!("can't listen on {listen:?}"))?;
    let address = listener.local_addr().into_diagnostic()?;
    println!("listening {address}");
    let (_stop_sender, stop) = watch::channel(false);
    serve_until(listener, ServerSettings::default(), stop, handler).await;
    Ok(())
}
