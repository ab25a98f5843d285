//! Listener for callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use chervildrift_core::config::Callers;
use chervildrift_core::types::{Caller, Service};
use tokio::sync::oneshot;
use xitca_web::App;
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::{WebResponse, header};

use super::answer::respond;
use super::gate::Gate;
use super::{Credentials, Error, Stopper, body, request};
use crate::listen;
use crate::work::{Call, CallResult, Problem, ProblemKind, RequestId};

/// Longest wait for an answer, above the longest deadline of any kind of work.
const ANSWER_LIMIT: Duration = Duration::from_secs(660);

/// Interval at which a stop looks for requests that are still in flight.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Hands a call to the event loop.
pub type Submit = Box<dyn Fn(Call, oneshot::Sender<CallResult>) + Send + Sync>;

/// A running listener for callers.
#[derive(Debug)]
pub struct CallersHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    stopper: Stopper,
}

#[derive(derive_more::Debug)]
struct Shared {
    #[debug("..")]
    submit: Submit,
    credentials: Credentials,
    receive: Duration,
    next_id: AtomicU64,
    in_flight: AtomicUsize,
    closing: AtomicBool,
}

/// Opens the listener; each call goes to `submit`.
///
/// Identifiers of requests count up from `first_id`, which differs between VMs.
pub fn bind(
    settings: &Callers,
    credentials: Credentials,
    first_id: u64,
    submit: Submit,
) -> Result<CallersHandle, Error> {
    let failed = |err| Error::Bind(settings.listen, err);
    let listener = listen::bind(settings.listen).map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let receive = Duration::from_millis(settings.receive_ms);
    let shared = Arc::new(Shared {
        submit,
        credentials,
        receive,
        next_id: AtomicU64::new(first_id),
        in_flight: AtomicUsize::new(0),
        closing: AtomicBool::new(false),
    });
    let mut server = App::new()
        .with_state(Arc::clone(&shared))
        .at("/{*path}", handler_service(handle))
        .enclosed(Gate::open(settings.connections))
        .serve()
        .worker_threads(settings.threads)
        .request_head_timeout(receive)
        .keep_alive_timeout(Duration::from_millis(settings.idle_ms))
        .disable_signal()
        .listen(listener)
        .map_err(failed)?
        .run();
    let control = server.handle().map_err(failed)?;
    thread::spawn(move || server.wait());
    let stopper = Stopper(Box::new(move |graceful| control.stop(graceful)));
    Ok(CallersHandle {
        address,
        shared,
        stopper,
    })
}

impl CallersHandle {
    /// Returns the address that the listener has.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests that wait for their answer.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Asks callers to open their next connection elsewhere.
    pub fn close_connections(&self) {
        self.shared.closing.store(true, Ordering::Release);
    }

    /// Waits until no request is in flight, at most for `limit`, and closes the listener.
    ///
    /// Returns whether all requests had their answer.
    pub async fn stop(&self, limit: Duration) -> bool {
        self.close_connections();
        let end = Instant::now() + limit;
        while self.in_flight() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        let drained = self.in_flight() == 0;
        (self.stopper.0)(false);
        drained
    }
}

async fn handle(ctx: &WebContext<'_, Arc<Shared>>, body: Body<RequestBody>) -> WebResponse {
    let shared = Arc::clone(ctx.state());
    let id = RequestId(shared.next_id.fetch_add(1, Ordering::Relaxed));
    shared.in_flight.fetch_add(1, Ordering::AcqRel);
    let guard = InFlight(Arc::clone(&shared));
    let answer = answer(ctx, &shared, id, body.0).await;
    let closing = shared.closing.load(Ordering::Acquire);
    let response = respond(id, answer, closing);
    drop(guard);
    response
}

/// Counts a request in flight until it is dropped, also when its caller goes away.
struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn answer(
    ctx: &WebContext<'_, Arc<Shared>>,
    shared: &Shared,
    id: RequestId,
    body: RequestBody,
) -> CallResult {
    let headers = ctx.req().headers();
    let authorization = headers
        .get(header::AUTHORIZATION)
        .and_then(|it| it.to_str().ok());
    let verified = shared.credentials.verify(authorization);
    let session_token = request::session(headers);
    let bytes = body::receive(body, shared.receive).await;
    // The body is received first, so that the caller is done sending when the error arrives.
    let (caller, service) = verified.ok_or_else(unauthorized)?;
    let bytes = bytes?;
    let uri = ctx.req().uri();
    let (addressed, operation) = request::step(ctx.req().method(), uri.path(), &bytes)?;
    check_service(service, addressed.as_ref())?;
    let (reply, answer) = oneshot::channel();
    let call = Call {
        id,
        caller: Caller::clone(caller),
        service: Service::clone(service),
        session_token,
        received_at: Instant::now(),
        operation,
    };
    (shared.submit)(call, reply);
    match tokio::time::timeout(ANSWER_LIMIT, answer).await {
        Ok(Ok(answer)) => answer,
        // The event loop ended with the request in its hands.
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

fn check_service(own: &Service, addressed: Option<&Service>) -> Result<(), Problem> {
    match addressed {
        Some(service) if service != own => {
            let detail = format!("the credential is for service {own}");
            Err(Problem::not_run(ProblemKind::Forbidden, detail))
        }
        _ => Ok(()),
    }
}
