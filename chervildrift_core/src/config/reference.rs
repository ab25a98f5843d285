//! Reference of the fields of settings files and operator files, with their defaults.

/// Returns the reference that `check --explain` prints.
#[must_use]
pub const fn settings_reference() -> &'static str {
    REFERENCE
}

const REFERENCE: &str = "\
Settings of a VM (YAML; `serve --config FILE`). Unknown fields are refused.

vm: NAME                      name of the VM, unique in the fleet (required)
zone: NAME                    availability zone of the VM (required)
callers:
  listen: IP:PORT             listener for callers (required)
  threads: 2                  worker threads
  connections: 10000          maximum number of open connections
  receive_ms: 5000            time within which a request must arrive, in ms
  idle_ms: 15000              time after which an idle connection is closed, in ms
  unread_ms: 30000            time without progress of an unread answer, in ms
  memory_mb: 512              memory of the VM, a quarter of it for requests, in MiB
operators:
  listen: IP:PORT             metrics, liveness and readiness (required)
peers:
  listen: IP:PORT             TCP and UDP, for the other VMs (required)
  seeds: []                   VMs to join through when the platform is unavailable
platform:
  address: IP:PORT            table service and object store (required)
keys:
  fleet_hex: HEX              key shared by all VMs, 32 bytes or more (required)
  session_hex: HEX            key of session tokens, 32 bytes or more (required)
credentials: []               list of {caller, service, sha256_hex}
upstreams:
  user: chervildrift          login at the upstreams
  password: none
  database: chervildrift
log:
  level: info                 critical, error, warning, info or debug
  format: json                json or terminal
stop:
  ready_ms: 2000              from the end of readiness to the close of the listener, in ms
  drain_ms: 10000             time for open transactions to finish, in ms

Operator file (YAML; one for each service). Unknown fields are refused.

service: NAME                 name of the service (required)
routing: hash                 hash of the key, or prefix (`instance:rest`)
floors_percent:               slot time guaranteed to each rank under overload, in percent
  urgent: 30
  routine: 20
  bulk: 10
instances:                    at least one (required)
  - name: NAME
    upstreams:                an odd number, usually three
      - name: NAME
        address: IP:PORT
        zone: NAME            availability zone of the upstream
        slots: N              statements that may run at once
        connections: N        connections from the whole fleet, more than slots
kinds:                        at least one (required)
  - name: NAME
    rank: urgent              urgent, routine or bulk
    access: write             read or write
    share: 1                  weight relative to kinds of the same rank
    deadline_ms: N            time within which an answer is useful
    max_age_ms: none          maximum age of data that a read returns; none means the primary
    repeatable: false         whether a write may be retried without an idempotency record
    concurrency: none         slots of one upstream that the kind may use at once
    objective:                none by default
      target_percent: 99.9    share of requests answered in time
      within_ms: 500          time within which an answer counts as good
";
