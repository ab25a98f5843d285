//! Fields of the files with their defaults, for people.

/// Returns the fields of the settings file and of an operator file with their defaults.
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
  connections: 10000          connections open at a time
  receive_ms: 5000            time within which a request must arrive, in ms
  idle_ms: 15000              time after which an idle connection is closed, in ms
operators:
  listen: IP:PORT             metrics, liveness and readiness (required)
peers:
  listen: IP:PORT             TCP and UDP, for the other VMs (required)
  seeds: []                   addresses to join by when the platform is away
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
  drain_ms: 10000             time that open transactions get, in ms

Operator file (YAML; one for each service). Unknown fields are refused.

service: NAME                 name of the service (required)
routing: hash                 hash of the key, or prefix (`instance:rest`)
floors_percent:               slot time that each rank keeps in a flood, in percent
  urgent: 30
  routine: 20
  bulk: 10
instances:                    at least one (required)
  - name: NAME
    upstreams:                an odd number, three as a rule
      - name: NAME
        address: IP:PORT
        zone: NAME            availability zone of the upstream
        slots: N              statements that run at a time
        connections: N        connections from the whole fleet, more than slots
kinds:                        at least one (required)
  - name: NAME
    rank: urgent              urgent, routine or bulk
    access: write             read or write
    share: 1                  weight against kinds of the same rank
    deadline_ms: N            time within which an answer is of use
    max_age_ms: none          greatest age of data of a read; none means the primary
    repeatable: false         whether a write may run again without a record
    concurrency: none         slots of one upstream that the kind may take at a time
    objective:                none by default
      target_percent: 99.9    share of requests answered in time
      within_ms: 500          time within which an answer counts as good
";
