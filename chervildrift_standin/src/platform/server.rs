//! HTTP server of the platform and the middleware that injects faults.

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

use super::error::{Error, ResponseDropped};
use super::routes::{self, AppliedWrite, Context, empty};
use super::state::SharedState;
use super::{Handle, Options};

/// Longest wait of a graceful stop for active requests.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a graceful stop checks for active requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Binds the listener and starts the threads of a platform.
pub(super) fn spawn(options: &Options) -> Result<Handle, Error> {
    let listener = TcpListener::bind(options.address)?;
    let address = listener.local_addr()?;
    let state = Arc::new(SharedState::default());
    let app = App::new()
        .with_state(Arc::clone(&state))
        .at(
            "/tables/{table}",
            get(handler_service(routes::list_records)),
        )
        .at(
            "/tables/{table}/{*key}",
            get(handler_service(routes::read_record))
                .put(handler_service(routes::write_record))
                .delete(handler_service(routes::delete_record)),
        )
        .at(
            "/objects/{hash}",
            get(handler_service(routes::read_object)).put(handler_service(routes::write_object)),
        )
        .at("/vms", get(handler_service(routes::list_vms)))
        .at(
            "/vms/{name}",
            xitca_web::route::put(handler_service(routes::write_vm))
                .delete(handler_service(routes::delete_vm)),
        )
        .at(
            "/faults",
            get(handler_service(routes::read_faults)).put(handler_service(routes::write_faults)),
        )
        .enclosed_fn(apply_faults)
        .finish()
        .enclosed_fn(drop_response);
    let mut running = HttpServer::serve(app)
        .worker_threads(options.threads.max(1))
        .disable_signal()
        .listen(listener)?
        .run();
    let server = running.handle()?;
    let (stopped_sender, stopped) = oneshot::channel();
    thread::Builder::new()
        .name("platform".to_owned())
        .spawn(move || {
            // To clients, a server that failed to run looks like one that is down.
            drop(running.wait());
            let _ = stopped_sender.send(());
        })?;
    Ok(Handle {
        address,
        state,
        close: Box::new(move || server.stop(false)),
        stopped,
    })
}

/// Waits until no request is active, up to [`STOP_TIMEOUT`].
pub(super) async fn drain(state: &SharedState) {
    let deadline = Instant::now() + STOP_TIMEOUT;
    while state.active_requests.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Applies the faults to a request: delays or refuses it, or marks its response to be dropped.
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
    state.active_requests.fetch_add(1, Ordering::SeqCst);
    let answer = call_with_faults(service, ctx, &state).await;
    state.active_requests.fetch_sub(1, Ordering::SeqCst);
    answer
}

async fn call_with_faults<S, E>(
    service: &S,
    ctx: Context<'_>,
    state: &SharedState,
) -> Result<WebResponse, E>
where
    S: for<'r> Service<Context<'r>, Response = WebResponse, Error = E>,
{
    let faults = state.lock().faults;
    if faults.slow_ms > 0 {
        sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    if state.lock().faults.down {
        return Ok(empty(StatusCode::SERVICE_UNAVAILABLE));
    }
    let mut response = service.call(ctx).await?;
    let applied = response.extensions_mut().remove::<AppliedWrite>().is_some();
    if applied && state.lock().faults.consume_lost_answer() {
        response.extensions_mut().insert(ResponseDropped::Fault);
    }
    Ok(response)
}

/// Turns a marked response into an error, on which the server closes the connection.
async fn drop_response<S, B>(
    service: &S,
    request: WebRequest,
) -> Result<WebResponse<B>, ResponseDropped>
where
    S: Service<WebRequest, Response = WebResponse<B>, Error = Infallible>,
{
    let response = match service.call(request).await {
        Ok(response) => response,
        Err(never) => match never {},
    };
    match response.extensions().get::<ResponseDropped>() {
        Some(lost) => Err(*lost),
        None => Ok(response),
    }
}
