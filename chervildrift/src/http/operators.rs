//! HTTP listener for operators: metrics, liveness, readiness and burn rates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::ResponseBody;
use xitca_web::handler::handler_service;
use xitca_web::http::{StatusCode, WebResponse, header};
use xitca_web::route::get;

use super::{Error, Stopper};
use crate::listen;

/// Functions that produce the responses of the listener.
#[derive(derive_more::Debug)]
#[debug("OperatorEndpoints")]
pub struct OperatorEndpoints {
    /// Tells whether the event loop makes progress.
    pub alive: Box<dyn Fn() -> bool + Send + Sync>,
    /// Tells whether the VM accepts requests of callers.
    pub ready: Box<dyn Fn() -> bool + Send + Sync>,
    /// Renders the metrics.
    pub metrics: Box<dyn Fn() -> Vec<u8> + Send + Sync>,
    /// Renders the burn rate report, as JSON if the argument is true and as text otherwise.
    pub burn: Box<dyn Fn(bool) -> Vec<u8> + Send + Sync>,
}

/// Handle of a running listener for operators.
#[derive(Debug)]
pub struct OperatorsHandle {
    address: SocketAddr,
    stopper: Stopper,
}

impl OperatorsHandle {
    /// Returns the address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the listener.
    pub fn stop(&self) {
        (self.stopper.0)(false);
    }
}

/// Starts the listener.
pub fn bind(address: SocketAddr, endpoints: OperatorEndpoints) -> Result<OperatorsHandle, Error> {
    let bind_error = |err| Error::Bind(address, err);
    let listener = listen::bind(address).map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    let mut server = App::new()
        .with_state(Arc::new(endpoints))
        .at("/metrics", get(handler_service(metrics)))
        .at("/live", get(handler_service(live)))
        .at("/ready", get(handler_service(ready)))
        .at("/burn", get(handler_service(burn)))
        .at("/burn.txt", get(handler_service(burn_text)))
        .serve()
        .worker_threads(1)
        .disable_signal()
        .listen(listener)
        .map_err(bind_error)?
        .run();
    let control = server.handle().map_err(bind_error)?;
    thread::spawn(move || server.wait());
    let stopper = Stopper(Box::new(move |graceful| control.stop(graceful)));
    Ok(OperatorsHandle { address, stopper })
}

async fn metrics(ctx: &WebContext<'_, Arc<OperatorEndpoints>>) -> WebResponse {
    text_response((ctx.state().metrics)(), "text/plain; version=0.0.4")
}

async fn burn(ctx: &WebContext<'_, Arc<OperatorEndpoints>>) -> WebResponse {
    text_response((ctx.state().burn)(true), "application/json")
}

async fn burn_text(ctx: &WebContext<'_, Arc<OperatorEndpoints>>) -> WebResponse {
    text_response((ctx.state().burn)(false), "text/plain")
}

async fn live(ctx: &WebContext<'_, Arc<OperatorEndpoints>>) -> WebResponse {
    status_response((ctx.state().alive)(), "alive", "event loop stalled")
}

async fn ready(ctx: &WebContext<'_, Arc<OperatorEndpoints>>) -> WebResponse {
    status_response((ctx.state().ready)(), "ready", "not ready")
}

fn status_response(
    healthy: bool,
    healthy_text: &'static str,
    unhealthy_text: &'static str,
) -> WebResponse {
    let mut response = text_response(
        if healthy {
            healthy_text
        } else {
            unhealthy_text
        }
        .into(),
        "text/plain",
    );
    if !healthy {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn text_response(body: Vec<u8>, content_type: &'static str) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::from(body));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    response
}
