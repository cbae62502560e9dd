@0xd4f0a63be0c1a5e7;
# Between the processes beside the ranks of a group.

struct RankView {
  epoch @0 :UInt32;
  sequence @1 :UInt64;
  step @2 :UInt32;
  map @3 :UInt32;
  # One more than the version; 0 for none.
  prepared @4 :UInt32;
  # One more than the version; 0 for none.
  armedVersion @5 :UInt32;
  armedStep @6 :UInt32;
  # One more than the pass; 0 for none.
  held @7 :UInt32;
  busy @8 :Bool;
}

struct RankState {
  view @0 :RankView;
  group @1 :Text;
  rank @2 :UInt16;
  size @3 :UInt16;
  open @4 :Bool;
  # Running and waiting.
  requests @5 :UInt16;
  # How many times longer than usual its work takes, in thousandths; 0 from a process that does not tell.
  pace @6 :UInt16;
}

struct RankOrder {
  epoch @0 :UInt32;
  union {
    prepare :group {
      version @1 :UInt32;
      sequence @2 :UInt64;
      # The version of the map that the changes are to be made to; the receiver refuses if it does not know that map.
      base @8 :UInt32;
      # Each rank's list of each set that differs, in postcard's encoding: a map of 64 ranks must reach all of them
      # through the link of one small host.
      changes @3 :Data;
    }
    arm :group {
      version @4 :UInt32;
      step @5 :UInt32;
    }
    hold @6 :UInt32;
    go @7 :UInt32;
  }
}

interface RankProcess {
  # The engine's state, and what its requests chose since the last call with `counts`: a byte for each set and expert,
  # in units of `unit`. A group of 64 ranks with 2,000 experts would not fit through a side's link otherwise.
  observe @0 (counts :Bool) -> (state :RankState, counts :Data, unit :Float32);
  # The map in use and this rank's experts by set.
  lists @1 () -> (version :UInt32, experts :List(List(UInt16)));
  # Gives the engine an order; tells how it was taken and, if the engine answers, what it reports right after it.
  order @2 (order :RankOrder) -> (taken :Bool, unknownBase :Bool, view :RankView);
  # The loads of the group's ranks as soon as there is a report newer than `after`, from the process that plans for the
  # group. Any other answers at once with the host of the one that does, as an IPv4 address, 0 if it knows none.
  # `hosts` has the IPv4 address of each rank's engine, `requests` a byte for each: running and waiting, 255 at most.
  loads @3 (after :UInt64) -> (plans :Bool, planner :UInt32, revision :UInt64, hosts :List(UInt32), requests :Data);
}
