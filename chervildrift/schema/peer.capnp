@0xd3c1f5a86b0e9472;
# Messages between the VMs of one fleet, over TCP.
#
# Generate the committed Rust file from this folder with:
#   capnp compile -o rust:../src peer.capnp
#
# Rules of change: fields, methods and enumerants are only added, at the end. A reader ignores
# fields that it does not know. The zero value of every union is the one that claims least.

annotation parentModule @0xabee386cd1450364 (file) :Text;
# Module that declares the generated file; the identifier is the code generator's own.

$parentModule("peer");

const version :UInt32 = 1;
# Version of this schema. A peer accepts every version and uses it for its logs only.

struct Hello {
  # First message of the side that connects. The four messages up to Verdict are sent as plain
  # Cap'n Proto messages; the RPC system starts after an accepting Verdict.
  version @0 :UInt32;
  name @1 :Text;
  nonce @2 :Data;
}

struct Welcome {
  # Answer of the side that listens; the proof covers both names, versions and nonces.
  version @0 :UInt32;
  name @1 :Text;
  nonce @2 :Data;
  proof @3 :Data;
}

struct Proof {
  # Proof of the side that connects.
  proof @0 :Data;
}

struct Verdict {
  # Whether the listening side starts the RPC system.
  accepted @0 :Bool;
}

interface Peer {
  # Every result tells whether the call was refused unread. An exception never means that, since
  # the RPC system also raises one for a lost connection.
  forward @0 (request :Request) -> (refused :Bool, reply :Reply);
  groupState @1 (group :GroupId) -> (refused :Bool, state :GroupState);
  bundle @2 (hash :Text, base :Text) -> (refused :Bool, answer :Bundle);
  # The base is null when the asking VM holds no bundle that could be patched.
  transaction @3 (step :Step, request :Request) -> (refused :Bool, reply :Reply);
  burnDelta @4 (delta :Data) -> (refused :Bool);
  handover @5 (handover :Handover) -> (refused :Bool, accepted :Bool);
  ping @6 () -> (refused :Bool, pong :Pong);
}

interface Caller {
  # Offered by the side that connects.
  leaving @0 () -> ();
  # The listening side is about to stop: it refuses further calls, and it waits for the connection
  # to be closed once the calls in flight are answered.
}

enum Rank {
  urgent @0;
  routine @1;
  bulk @2;
}

enum Access {
  write @0;
  read @1;
}

enum Step {
  execute @0;
  open @1;
  commit @2;
  rollback @3;
}

struct Mark {
  term @0 :UInt64;
  position @1 :UInt64;
}

struct GroupId {
  service @0 :Text;
  instance @1 :Text;
}

struct Statement {
  sql @0 :Text;
  params @1 :Text;
  # JSON array.
}

struct Idempotency {
  key @0 :Text;
  digest @1 :Text;
}

struct Request {
  id @0 :UInt64;
  service @1 :Text;
  kind @2 :Text;
  key @3 :Text;
  caller @4 :Text;
  rank @5 :Rank;
  upstream @6 :Text;
  statements @7 :List(Statement);
  token @8 :Mark;
  # Null when the caller holds no token.
  ageBound :union {
    none @9 :Void;
    ms @10 :UInt64;
  }
  remainingMs @11 :UInt64;
  # Time left until the deadline when the request was sent.
  idempotency @12 :Idempotency;
  # Null for a request without a key.
  access @13 :Access;
  transaction @14 :Text;
  # Null outside transactions.
  generation @15 :UInt64;
}

struct Failure {
  code @0 :Text;
  message @1 :Text;
}

struct Load {
  urgent @0 :UInt32;
  routine @1 :UInt32;
  bulk @2 :UInt32;
}

struct UpstreamState {
  received @0 :Mark;
  applied @1 :Mark;
  age :union {
    unknown @2 :Void;
    ms @3 :UInt64;
  }
  load @4 :Load;
}

struct GroupState {
  primary :union {
    none @0 :Void;
    index @1 :UInt32;
  }
  term @2 :UInt64;
  upstreams @3 :List(UpstreamState);
}

struct Reply {
  state :union {
    unknown @0 :Void;
    done @1 :Void;
    notRun @2 :Text;
    failed @3 :Failure;
  }
  answer @4 :Data;
  mark @5 :Mark;
  # Mark of the write; null for reads.
  group @6 :GroupState;
  # Null when the replying VM holds no state of the group.
  load @7 :Load;
  generation @8 :UInt64;
}

struct Handover {
  group @0 :GroupId;
  upstream @1 :Text;
  generation @2 :UInt64;
  state @3 :Data;
  # JSON object.
}

struct Patch {
  # Change from one bundle to the next.
  base @0 :Text;
  hash @1 :Text;
  prefix @2 :UInt64;
  suffix @3 :UInt64;
  middle @4 :Data;
}

struct Bundle {
  union {
    unknown @0 :Void;
    busy @1 :Void;
    whole @2 :Data;
    patches @3 :List(Patch);
  }
}

struct Pong {
  generation @0 :UInt64;
  load @1 :Load;
}
