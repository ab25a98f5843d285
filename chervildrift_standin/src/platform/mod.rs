//! Platform stand-in: table service, object store and list of VMs over HTTP.
