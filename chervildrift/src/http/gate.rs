//! Limit on the connections that a listener holds open.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

/// Middleware that accepts a connection only while a permit is free.
///
/// Connections beyond the limit wait in the kernel's queue instead of taking memory here.
#[derive(Clone, Debug)]
pub(super) struct Gate {
    permits: Arc<Semaphore>,
}

impl Gate {
    /// Opens a gate for `limit` connections.
    pub(super) fn open(limit: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(limit)),
        }
    }
}

/// Service behind a [`Gate`].
#[derive(Debug)]
pub(super) struct GateService<S> {
    service: S,
    permits: Arc<Semaphore>,
}

impl<S, E> Service<Result<S, E>> for Gate {
    type Response = GateService<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Self::Response, Self::Error> {
        req.map(|service| GateService {
            service,
            permits: Arc::clone(&self.permits),
        })
    }
}

impl<S, Req> Service<Req> for GateService<S>
where
    S: Service<Req>,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, req: Req) -> Result<Self::Response, Self::Error> {
        self.service.call(req).await
    }
}

impl<S> ReadyService for GateService<S>
where
    S: ReadyService,
{
    type Ready = (S::Ready, Option<OwnedSemaphorePermit>);

    async fn ready(&self) -> Self::Ready {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
        (self.service.ready().await, permit)
    }
}
