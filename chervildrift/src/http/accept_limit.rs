//! Limit on the open connections of a listener.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use xitca_web::service::Service;
use xitca_web::service::ready::ReadyService;

/// Middleware that accepts a connection only while a permit is free.
///
/// Further connections wait in the kernel's accept queue, where they take no memory of the process.
#[derive(Clone, Debug)]
pub(super) struct ConnectionLimit {
    permits: Arc<Semaphore>,
}

impl ConnectionLimit {
    /// Allows `limit` open connections.
    pub(super) fn new(limit: usize) -> Self {
        Self {
            permits: Arc::new(Semaphore::new(limit)),
        }
    }
}

/// Service that a [`ConnectionLimit`] wraps.
#[derive(Debug)]
pub(super) struct LimitedService<S> {
    service: S,
    permits: Arc<Semaphore>,
}

impl<S, E> Service<Result<S, E>> for ConnectionLimit {
    type Response = LimitedService<S>;
    type Error = E;

    async fn call(&self, req: Result<S, E>) -> Result<Self::Response, Self::Error> {
        req.map(|service| LimitedService {
            service,
            permits: Arc::clone(&self.permits),
        })
    }
}

impl<S, Req> Service<Req> for LimitedService<S>
where
    S: Service<Req>,
{
    type Response = S::Response;
    type Error = S::Error;

    async fn call(&self, req: Req) -> Result<Self::Response, Self::Error> {
        self.service.call(req).await
    }
}

impl<S> ReadyService for LimitedService<S>
where
    S: ReadyService,
{
    type Ready = (S::Ready, Option<OwnedSemaphorePermit>);

    async fn ready(&self) -> Self::Ready {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
        (self.service.ready().await, permit)
    }
}
