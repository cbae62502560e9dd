@0xc3a1f0d2b47e9815;
# Messages between porthoist's own processes.
# Numbers of milliseconds are since the Unix epoch; reasons and verdicts are their text forms.

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Attempt {
  entry @0 :UInt64;
  request @1 :UInt64;
  number @2 :UInt32;
}

struct Offer {
  attempt @0 :Attempt;
  team @1 :Text;
  service @2 :Text;
  plain @3 :Bool;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  deadline @8 :UInt64;
  priority @9 :UInt8;
  never @10 :Bool;
  ticket @11 :Text;
  stream @12 :Bool;
  resumeAfter @13 :UInt64;
  promptTokens @14 :UInt32;
  prefixBlocks @15 :List(UInt64);
}

struct Load {
  queued @0 :UInt32;
  running @1 :UInt32;
  slots @2 :UInt32;
  queuedTokens @3 :UInt64;
  stepMicros @4 :UInt32;
  slotMicros @5 :UInt32;
  prefillRate @6 :UInt32;
  at @7 :UInt64;
  draining @8 :Bool;
}

struct Frame {
  attempt @0 :Attempt;
  sequence @1 :UInt64;
  event @2 :UInt64;
  data @3 :Data;
}

struct Outcome {
  load @0 :Load;
  union {
    refused :group {
      reason @1 :Text;
      verdict @2 :Text;
      retryAt @3 :UInt64;
    }
    whole :group {
      status @4 :UInt16;
      headers @5 :List(Header);
      body @6 :Data;
      digest @7 :UInt64;
    }
    streamEnd :group {
      frames @8 :UInt64;
      digest @9 :UInt64;
    }
  }
}

struct SettleAsk {
  # Hash of the team's name.
  team @0 :UInt64;
  # Requests admitted on credit.
  debt @1 :UInt32;
  # Tokens wanted ahead.
  wanted @2 :UInt32;
}

struct SettleTold {
  team @0 :UInt64;
  granted @1 :UInt32;
  waitMillis @2 :UInt32;
}

struct Digest {
  node @0 :Text;
  zone @1 :Text;
  # Configuration revision in force at the sender.
  revision @2 :UInt64;
  # A configuration change in JSON that leads to a higher revision than the peer named; empty where there is none.
  change @3 :Data;
  # Whether the sender lacks a host list, for example because it started while the platform is down.
  wantsHosts @4 :Bool;
  # The host list in JSON, for a peer that lacks it; empty otherwise.
  hosts @5 :Data;
}

interface FrameSink {
  frames @0 (frames :List(Frame)) -> ();
}

interface Node {
  offer @0 (offer :Offer, sink :FrameSink) -> (outcome :Outcome);
  mint @1 (team :Text, count :UInt32, deadline :UInt64) -> (tickets :List(Text));
  # The target's hello in JSON.
  hello @2 () -> (hello :Data);
  gossip @3 (digest :Digest) -> (digest :Digest);
  # Settles teams' limits with their keeper.
  settle @4 (asks :List(SettleAsk)) -> (told :List(SettleTold));
  # A leader's message to a rank in JSON, and the rank's reply; empty where there is none.
  rank @5 (message :Data) -> (reply :Data);
}

interface Login {
  # The shared key is checked before any other call is possible.
  login @0 (key :Data) -> (node :Node);
}
