//! Listener of the platform and the faults around its requests.

use std::convert::Infallible;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};
use xitca_web::App;
use xitca_web::HttpServer;
use xitca_web::handler::handler_service;
use xitca_web::http::{Method, StatusCode, WebRequest, WebResponse};
use xitca_web::route::get;
use xitca_web::service::{Service, ServiceExt};

use super::error::{AnswerLost, Error};
use super::routes::{self, Context, TookEffect, empty};
use super::state::State;
use super::{Handle, Options};

/// Time that a graceful stop gives requests in progress.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// Pause between two looks at what is still in progress.
const STOP_POLL: Duration = Duration::from_millis(2);

/// Binds the listener and starts the threads of a platform.
pub(super) fn spawn(options: &Options) -> Result<Handle, Error> {
    let listener = TcpListener::bind(options.address)?;
    let address = listener.local_addr()?;
    let state = Arc::new(State::default());
    let app = App::new()
        .with_state(Arc::clone(&state))
        .at("/tables/{table}", get(handler_service(routes::scan)))
        .at(
            "/tables/{table}/{*key}",
            get(handler_service(routes::read))
                .put(handler_service(routes::write))
                .delete(handler_service(routes::remove)),
        )
        .at(
            "/objects/{hash}",
            get(handler_service(routes::read_object)).put(handler_service(routes::write_object)),
        )
        .at("/vms", get(handler_service(routes::list_vms)))
        .at(
            "/vms/{name}",
            xitca_web::route::put(handler_service(routes::write_vm))
                .delete(handler_service(routes::remove_vm)),
        )
        .at(
            "/faults",
            get(handler_service(routes::read_faults)).put(handler_service(routes::write_faults)),
        )
        .enclosed_fn(apply_faults)
        .finish()
        .enclosed_fn(lose_answer);
    let mut running = HttpServer::serve(app)
        .worker_threads(options.threads.max(1))
        .disable_signal()
        .listen(listener)?
        .run();
    let server = running.handle()?;
    let (ended, stopped) = oneshot::channel();
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || {
            // A server that fails to run looks to its callers like one that is down.
            drop(running.wait());
            let _ = ended.send(());
        })?;
    Ok(Handle {
        address,
        state,
        close: Box::new(move || server.stop(false)),
        stopped,
    })
}

/// Waits for the requests in progress, up to the grace time.
pub(super) async fn drain(state: &State) {
    let deadline = Instant::now() + STOP_GRACE;
    while state.busy.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        sleep(STOP_POLL).await;
    }
}

/// Delays or refuses a request, and marks the answers that are to be lost.
async fn apply_faults<S, E>(service: &S, ctx: Context<'_>) -> Result<WebResponse, E>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = E>,
{
    let state = Arc::clone(ctx.state());
    let path = ctx.req().uri().path();
    let exempt =
        path == "/faults" || (path.starts_with("/vms/") && ctx.req().method() != Method::GET);
    if exempt {
        return service.call(ctx).await;
    }
    state.busy.fetch_add(1, Ordering::SeqCst);
    let answer = apply_to(service, ctx, &state).await;
    state.busy.fetch_sub(1, Ordering::SeqCst);
    answer
}

async fn apply_to<S, E>(service: &S, ctx: Context<'_>, state: &State) -> Result<WebResponse, E>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = E>,
{
    let faults = state.store().faults;
    if faults.slow_ms > 0 {
        sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if state.store().faults.down {
        return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    let mut response = service.call(ctx).await?;
    let effective = response.extensions_mut().remove::<TookEffect>().is_some();
    if effective && state.store().faults.take_lost_answer() {
        response.extensions_mut().insert(AnswerLost::Fault);
    }
    Ok(response)
}

/// Turns a marked answer into an error, at which the server closes the connection.
async fn lose_answer<S, B>(service: &S, request: WebRequest) -> Result<WebResponse<B>, AnswerLost>
where
    S: Service<WebRequest, Response = WebResponse<B>, Error = Infallible>,
{
    let response = match service.call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    match response.extensions().get::<AnswerLost>() {
        Some(lost) => Err(*lost),
        None => Ok(response),
    }
}
