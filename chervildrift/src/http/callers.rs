//! HTTP listener for the requests of callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use chervildrift_core::config::Callers;
use chervildrift_core::types::{Caller, Service};
use socket2::SockRef;
use tokio::sync::oneshot;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::{WebResponse, header};

use super::accept_limit::ConnectionLimit;
use super::body::ReceivedBody;
use super::memory::{Memory, READ_AHEAD_BYTES, WRITE_AHEAD_BYTES};
use super::response::build_response;
use super::{Credentials, Error, Stopper, body, request};
use crate::listen;
use crate::work::{Call, CallResult, Problem, ProblemKind, RequestId};

/// Time limit for the result of a call, above the longest deadline of any kind of work.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(660);

/// Interval at which a stop checks for requests that are still in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Function that passes a call to the event loop, with the channel for its result.
pub type Submit = Box<dyn Fn(Call, oneshot::Sender<CallResult>) + Send + Sync>;

/// Handle of a running listener for callers.
#[derive(Debug)]
pub struct CallersHandle {
    address: SocketAddr,
    shared: Arc<ListenerState>,
    stopper: Stopper,
}

#[derive(derive_more::Debug)]
struct ListenerState {
    #[debug("..")]
    submit: Submit,
    credentials: Credentials,
    receive_timeout: Duration,
    memory: Memory,
    next_id: AtomicU64,
    in_flight: AtomicUsize,
    closing: AtomicBool,
}

/// Starts the listener, which passes each call to `submit`.
///
/// Request identifiers count up from `first_id`, which differs between VMs.
pub fn bind(
    settings: &Callers,
    credentials: Credentials,
    first_id: u64,
    submit: Submit,
) -> Result<CallersHandle, Error> {
    let bind_error = |err| Error::Bind(settings.listen, err);
    let listener = listen::bind(settings.listen).map_err(bind_error)?;
    let address = listener.local_addr().map_err(bind_error)?;
    // Accepted sockets inherit the limit, after which the kernel resets a connection whose caller
    // has taken nothing.
    SockRef::from(&listener)
        .set_tcp_user_timeout(Some(Duration::from_millis(settings.unread_ms)))
        .map_err(bind_error)?;
    let receive_timeout = Duration::from_millis(settings.receive_ms);
    let shared = Arc::new(ListenerState {
        submit,
        credentials,
        receive_timeout,
        memory: Memory::new(settings.memory_mb),
        next_id: AtomicU64::new(first_id),
        in_flight: AtomicUsize::new(0),
        closing: AtomicBool::new(false),
    });
    let mut server = App::new()
        .with_state(Arc::clone(&shared))
        .at("/{*path}", handler_service(handle))
        .enclosed(ConnectionLimit::new(settings.connections))
        .serve()
        .worker_threads(settings.threads)
        .request_head_timeout(receive_timeout)
        .max_read_buf_size::<READ_AHEAD_BYTES>()
        .max_write_buf_size::<WRITE_AHEAD_BYTES>()
        .keep_alive_timeout(Duration::from_millis(settings.idle_ms))
        .disable_signal()
        .listen(listener)
        .map_err(bind_error)?
        .run();
    let control = server.handle().map_err(bind_error)?;
    thread::spawn(move || server.wait());
    let stopper = Stopper(Box::new(move |graceful| control.stop(graceful)));
    Ok(CallersHandle {
        address,
        shared,
        stopper,
    })
}

impl CallersHandle {
    /// Returns the address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Adds `connection: close` to further responses, so that callers connect to another VM.
    pub fn close_connections(&self) {
        self.shared.closing.store(true, Ordering::Release);
    }

    /// Waits up to `limit` until no request is in flight, then closes the listener.
    ///
    /// Returns whether all requests were answered.
    pub async fn stop(&self, limit: Duration) -> bool {
        self.close_connections();
        let deadline = Instant::now() + limit;
        while self.in_flight() > 0 && Instant::now() < deadline {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        let drained = self.in_flight() == 0;
        (self.stopper.0)(false);
        drained
    }
}

async fn handle(ctx: &WebContext<'_, Arc<ListenerState>>, body: Body<RequestBody>) -> WebResponse {
    let shared = Arc::clone(ctx.state());
    let id = RequestId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    shared.in_flight.fetch_add(1, Ordering::AcqRel);
    let guard = InFlightGuard(Arc::clone(&shared));
    let result = run_request(ctx, &shared, id, body.0).await;
    let closing = shared.closing.load(Ordering::Acquire);
    let response = build_response(id, result, closing, &shared.memory);
    drop(guard);
    response
}

/// Guard that counts a request as in flight until it is dropped, also if its caller disconnects.
struct InFlightGuard(Arc<ListenerState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn run_request(
    ctx: &WebContext<'_, Arc<ListenerState>>,
    shared: &ListenerState,
    id: RequestId,
    body: RequestBody,
) -> CallResult {
    let headers = ctx.req().headers();
    let authorization = headers
        .get(header::AUTHORIZATION)
        .and_then(|it| it.to_str().ok());
    let identity = shared.credentials.verify(authorization);
    let session_token = request::session_token(headers);
    let received = body::receive(body, shared.receive_timeout, &shared.memory).await;
    // Errors are returned after the body was received, so that the caller has finished sending.
    let (caller, service) = identity.ok_or_else(unauthorized)?;
    let ReceivedBody { bytes, permit } = received?;
    let uri = ctx.req().uri();
    let (path_service, operation) =
        request::parse_operation(ctx.req().method(), uri.path(), &bytes)?;
    drop(bytes);
    check_service(service, path_service.as_ref())?;
    let (result_sender, result) = oneshot::channel();
    let call = Call {
        id,
        caller: Caller::clone(caller),
        service: Service::clone(service),
        session_token,
        received_at: Instant::now(),
        operation,
    };
    (shared.submit)(call, result_sender);
    let answer = tokio::time::timeout(RESPONSE_TIMEOUT, result).await;
    drop(permit);
    match answer {
        Ok(Ok(result)) => result,
        // The event loop dropped the request or gave no result in time.
        Ok(Err(_)) | Err(_) => Err(Problem::unknown(
            "the VM stopped before it could answer",
            None,
        )),
    }
}

fn unauthorized() -> Problem {
    let detail = "send the credential of your service as a bearer token";
    Problem::not_run(ProblemKind::Unauthorized, detail)
}

fn check_service(caller_service: &Service, path_service: Option<&Service>) -> Result<(), Problem> {
    match path_service {
        Some(service) if service != caller_service => {
            let detail = format!("the credential is for service {caller_service}");
            Err(Problem::not_run(ProblemKind::Forbidden, detail))
        }
        _ => Ok(()),
    }
}
