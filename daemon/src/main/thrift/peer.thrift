/* The protocol between daemons. Fields are only ever added, as optional ones. */
namespace java org.catkinproxy.peer.gen

/* What identifies an accepted sheet. */
struct HeadMark {
  1: required i64 revision,
  2: required string change,
  3: required string digest,
  4: required string operatorName,
  5: required i64 acceptedMillis,
}

/* The news that one start of an instance leaves. */
struct Leave {
  1: required string instance,
  2: required string incarnation,
}

/* What a daemon has sent to one engine and not yet seen answered. */
struct EngineLoad {
  1: required string engine,
  2: required i32 requests,
  3: required i64 uncachedTokens,
}

/* What one daemon tells another, in a question as in an answer. */
struct Exchange {
  1: required string instance,
  2: required string incarnation,
  3: optional HeadMark head,
  4: required bool fresh,
  5: required list<Leave> leaves,
  6: required list<EngineLoad> loads,
  7: required i32 loadPermille,
  /* IP number and port of the sender's interface for operators. */
  8: optional string operatorAddress,
}

struct SheetRequest {
  1: required HeadMark wanted,
  /* The revision on which an answer may be based, 0 for none. */
  2: required i64 have,
}

/* Lines of a sheet that replace others. */
struct SheetHunk {
  1: required i32 start,
  2: required i32 removed,
  3: required list<string> inserted,
}

/* Either the whole sheet, or its difference from the one that the asker has, or neither. */
struct SheetAnswer {
  1: optional binary gzip,
  2: optional list<SheetHunk> hunks,
}

/* The blocks that one engine is known to have cached, 16 bytes each. */
struct EngineBlocks {
  1: required string engine,
  2: required string incarnation,
  3: required i64 sequence,
  4: required binary blocks,
}

struct WarmRequest {
  /* The engines of interest. */
  1: required list<string> engines,
  /* The most blocks to send of each. */
  2: required i32 limit,
}

struct WarmAnswer {
  1: required list<EngineBlocks> engines,
}

service Peer {
  Exchange exchange(1: Exchange mine),
  SheetAnswer sheet(1: SheetRequest request),
  WarmAnswer warm(1: WarmRequest request),
}
