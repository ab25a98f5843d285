//! What VMs exchange with each other and with the platform's store.

pub(super) mod link;
pub(super) mod outliers;
pub(super) mod peers;
pub(super) mod presence;
pub(super) mod store_feed;
pub(super) mod view;
