@0xe2a7c0914d5f83b6;
# Membership messages between the VMs of one fleet, over UDP.
#
# Generate the committed Rust file from this folder with:
#   capnp compile -o rust:../src gossip.capnp
#
# Rules of change: fields, union members and enumerants are only added, at the end. A reader takes
# a body that it does not know as bare gossip and leaves out a change whose state it does not know.
# The sizes that chervildrift_core estimates for its messages follow this layout.

annotation parentModule @0xabee386cd1450364 (file) :Text;
# Module that declares the generated file; the identifier is the code generator's own.

$parentModule("gossip");

enum State {
  alive @0;
  leaving @1;
  suspect @2;
  failed @3;
  left @4;
}

struct Address {
  ip @0 :Data;
  # 4 or 16 bytes in network order.
  port @1 :UInt16;
}

struct Place {
  zone @0 :Text;
  address @1 :Address;
}

struct Change {
  boot @0 :UInt64;
  count @1 :UInt32;
  state @2 :State;
  vm @3 :Text;
  place @4 :Place;
  # Null for a VM that is suspected, failed or left.
}

struct Relay {
  sequence @0 :UInt32;
  vm @1 :Text;
  address @2 :Address;
}

struct Relayed {
  sequence @0 :UInt32;
  vm @1 :Text;
}

struct Sync {
  digests @0 :List(UInt32);
  budget @1 :UInt8;
}

struct Page {
  bucket @0 :UInt8;
  answer @1 :Bool;
  after @2 :Text;
  until @3 :Text;
  # Null for the start and the end of the bucket.
  entries @4 :List(Change);
}

struct Message {
  from @0 :Text;
  boot @1 :UInt64;
  count @2 :UInt32;
  generation @3 :UInt64;
  hash @4 :Data;
  body :union {
    gossip @5 :Void;
    ping @6 :UInt32;
    ack @7 :UInt32;
    relay @8 :Relay;
    relayed @9 :Relayed;
    sync @10 :Sync;
    synced @11 :UInt8;
    page @12 :Page;
  }
  changes @13 :List(Change);
}
