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
      # Digest of the whole map; the receiver refuses if the changes lead to another one.
      digest @9 :UInt64;
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
  # `demand` is the sum of what entries have told this process with `loads` in the last second, as there.
  observe @0 (counts :Bool) -> (state :RankState, counts :Data, unit :Float32, demand :Data);
  # The map in use and this rank's experts by set.
  lists @1 () -> (version :UInt32, experts :List(List(UInt16)));
  # Gives the engine an order; tells how it was taken and, if the engine answers, what it reports right after it.
  order @2 (order :RankOrder) -> (taken :Bool, unknownBase :Bool, view :RankView);
  # The loads of the group's ranks as soon as there is a report newer than `after`, from any process that has heard of
  # them in the last second. Any other answers at once with the host of the one that asked for its rank's state, as an
  # IPv4 address, 0 if it knows none. `hosts` has the IPv4 address of each rank's engine, unless the caller says with
  # `layout` that it knows them; `requests` a byte for each: running and waiting, 127 at most,
  # with the highest bit set where the process beside it is not heard. `pass` is how long a pass
  # takes in milliseconds, at most 65,534; 0 if that is unknown, 65,535 while the group is not formed. `ageMillis` is the
  # time since the oldest reading of an engine in it, at most 65,535, and 0 from a process that does not tell.
  # `heldMillis` is one more than the time for which the question was held, and 0 from a process that does not tell.
  # `entry` names the entry that asks, as in `NewsAsk`; 0 for one that has no demand to tell. `demand` is what is asked of
  # the service: the number of entries that it is summed over, and by priority the requests asked per 1,000 seconds and
  # those that run, in postcard's encoding; none if it is empty. In the answer it is the sum over all entries. An entry
  # that follows two processes of a group tells its demand to one of them, and names itself to the other without any.
  loads @3 (after :UInt64, layout :UInt64, entry :UInt64, demand :Data)
    -> (knows :Bool, planner :UInt32, revision :UInt64, hosts :List(UInt32), requests :Data, layout :UInt64, pass :UInt16,
        ageMillis :UInt16, heldMillis :UInt16, demand :Data);

  # The calls below are about a branch of the group: this process's rank and those of the processes on the hosts `others`,
  # IPv4 addresses, which it asks for the caller, each for `millis` at most. Members are numbered from 0, this process
  # first. Nothing is kept from one call to the next, so that any member may stand for the branch.

  # What `observe` says of each member that answered, in postcard's encoding, and the sum of their counts.
  # `demand` is the sum over the members, of which one that did not answer counts for a second as it last did.
  sweep @4 (others :List(UInt32), counts :Bool, millis :UInt16) -> (states :Data, counts :Data, unit :Float32,
    demand :Data);
  # What `lists` says of each member that answered, in postcard's encoding.
  gather @5 (others :List(UInt32), millis :UInt16) -> (lists :Data);
  # Orders by member in postcard's encoding, as they are to reach the engines. Prepares are about the map that the changes
  # to `base` lead to. The answers by order, in the same encoding.
  pass @6 (others :List(UInt32), millis :UInt16, orders :Data, map :BranchMap) -> (answers :Data, unknownBase :Bool);
  # The newest loads, for all members to tell those who ask. With `unknownLayout` nothing was taken: the receiver does
  # not know the hosts.
  tell @7 (others :List(UInt32), revision :UInt64, layout :UInt64, hosts :List(UInt32), requests :Data, pass :UInt16,
           ageMillis :UInt16, demand :Data)
    -> (unknownLayout :Bool);

  # What this process knows of one of the platform's tables that is newer than the revision `after` or the table service's
  # clock `stamp`, held back for `holdMillis` at most. The process follows the table while it is asked; `waitMillis` is how
  # long the caller would wait at the table service.
  news @8 (ask :NewsAsk) -> (news :TableNews);
}

struct NewsAsk {
  # 0 for the routes, 1 for the targets.
  table @0 :UInt8;
  after @1 :UInt64;
  stamp @2 :UInt64;
  holdMillis @3 :UInt32;
  waitMillis @4 :UInt32;
  # Names the entry that asks, over its restarts; 0 for a process that is none.
  entry @5 :UInt64;
  # What the entry has heard of targets in need, in postcard's encoding; none if it is empty.
  notes @6 :Data;
  # Bytes of the rows that the asker has already, and the digest of all of them.
  offset @7 :UInt32;
  digest @8 :UInt64;
  # Era of `after`.
  afterEra @9 :UInt64;
}

struct TableNews {
  union {
    newer :group {
      # A piece of the rows in postcard's encoding, compressed as zlib does.
      rows @0 :Data;
      revision @1 :UInt64;
      stamp @2 :UInt64;
      # All keys, if the receiver is to drop the rows of others.
      keys @3 :List(Text);
      hasKeys @4 :Bool;
      # Milliseconds since the last question without an answer, and since the first answer after it.
      hasGap @5 :Bool;
      gapAsked @6 :UInt64;
      gapReturned @7 :UInt64;
      # Where the piece begins, how many bytes there are in all, and their digest.
      offset @13 :UInt32;
      total @14 :UInt32;
      digest @15 :UInt64;
      # Era of the revision and of the row versions.
      era @16 :UInt64;
    }
    # Whether the last question to the table service failed.
    nothing @8 :Bool;
    tooMuch @9 :Void;
  }
  # Entries that ask this process, and how many of them come before the one that asks; 0 entries while they are not known.
  entries @10 :UInt32;
  entriesBefore @11 :UInt32;
  # What entries that ask this process have heard of targets in need, as above.
  notes @12 :Data;
}

struct BranchMap {
  version @0 :UInt32;
  base @1 :UInt32;
  changes @2 :Data;
  digest @3 :UInt64;
}
