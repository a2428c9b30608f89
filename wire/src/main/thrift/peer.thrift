/*
 * Messages between routers. Times are durations in milliseconds; no field carries a wall-clock time that another node
 * compares with its own.
 */
namespace java org.baobabcart.wire

/** Liveness of a member as its reporter sees it. */
enum MemberState {
  ALIVE = 1,
  SUSPECT = 2,
  LEAVING = 3,
  DEAD = 4
}

/** One statement about a member; the higher incarnation wins, then the higher state. */
struct MemberUpdate {
  1: required string nodeId,
  2: required i64 incarnation,
  3: required MemberState state,
  4: optional string dataCentre,
  5: optional string peerAddress,
  6: optional string adminAddress
}

/** The generation of a replicated document that a node holds. */
struct DocumentVersion {
  1: required string document,
  2: required i64 generation,
  /** Digest of the content, for documents that several nodes write without a common order. */
  3: optional i64 digest,
  /** How long ago some node read the source of this content; absent where none is known to have. */
  4: optional i64 ageMillis
}

/** A request that an upstream had received and not begun to answer. */
struct UnansweredRequest {
  1: required string request,
  2: required list<string> parts
}

/** One crash of an upstream as one node observed it. */
struct CrashObservation {
  1: required string crash,
  /** Whether the upstream accepted no new connection afterwards. */
  2: required bool lost,
  3: required list<UnansweredRequest> unanswered
}

/** Keys of requests that together crash upstreams, and how often they have been quarantined. */
struct QuarantineTerm {
  1: required set<string> keys,
  2: required i32 term
}

/** What one node has to say about recent crashes of upstreams; the higher sequence wins. */
struct CrashReport {
  1: required string nodeId,
  2: required i64 sequence,
  3: required list<CrashObservation> crashes,
  4: required map<string, i32> begun,
  5: required list<QuarantineTerm> quarantines,
  /** The last term that has ended, by name. */
  6: required map<string, i32> ended
}

/** Outcomes of one version counted by one node since the roll-out stage began. */
struct EvidenceReport {
  1: required string model,
  2: required string version,
  3: required string nodeId,
  4: required i64 stageEpoch,
  5: required i64 successes,
  6: required i64 failures,
  7: required i64 ratings,
  8: required double ratingSum,
  9: required double ratingSquareSum,
  10: optional i64 timed,
  11: optional double latencyLossSum,
  12: optional double latencyLossSquareSum
}

/** Periodic exchange between two routers. */
struct Exchange {
  1: required MemberUpdate sender,
  2: required list<MemberUpdate> updates,
  3: required list<DocumentVersion> documents,
  4: required list<CrashReport> crashes,
  5: required list<EvidenceReport> evidence,
  6: required i64 clock,
  /** Digest of the sender's members, set only while it has no news to pass on. */
  7: optional i64 membersDigest
}

/** Asks a peer to probe a third member. */
struct ProbeRequest {
  1: required string nodeId,
  2: required string peerAddress,
  3: required i64 timeoutMillis
}

struct ProbeReply {
  1: required bool reached
}

/** Asks for what is newer than a generation; zero asks for the whole. */
struct DocumentRequest {
  1: required string document,
  2: required i64 haveGeneration
}

/** A document, whole (base generation zero) or as a change against the base generation; empty when not newer. */
struct DocumentReply {
  1: required string document,
  2: required i64 generation,
  3: required i64 baseGeneration,
  4: required binary content
}

enum ClaimVerdict {
  GRANTED = 1,
  REPLAY = 2,
  IN_PROGRESS = 3,
  OUTCOME_UNKNOWN = 4,
  KEY_REUSED = 5,
  UNAVAILABLE = 6,
  NOT_OWNER = 7
}

/** Asks the owner of a key's partition to claim the key for one attempt. */
struct ClaimRequest {
  1: required string workspace,
  2: required string serviceName,
  3: required string idempotencyKey,
  4: required string callDigest,
  5: required string attemptId,
  6: required string claimantNodeId,
  7: required i64 claimantIncarnation,
  8: required i64 retentionSeconds,
  9: required i64 timeoutMillis
}

/** A stored answer of a finished call. */
struct StoredAnswer {
  1: required i32 status,
  2: required map<string, string> headers,
  3: required binary body
}

struct ClaimReply {
  1: required ClaimVerdict verdict,
  2: optional StoredAnswer answer,
  3: optional string ownerNodeId,
  4: optional string detail
}

enum SettleOutcome {
  FINISHED = 1,
  NOT_RUN = 2,
  UNKNOWN = 3
}

/** Tells the owner how a claimed attempt ended. */
struct SettleRequest {
  1: required string workspace,
  2: required string serviceName,
  3: required string idempotencyKey,
  4: required string attemptId,
  5: required SettleOutcome outcome,
  6: optional StoredAnswer answer
}

struct SettleReply {
  1: required bool stored
}

enum AttemptState {
  UNSEEN = 1,
  WAITING = 2,
  DISPATCHED = 3,
  ABANDONED = 4
}

struct AttemptRequest {
  1: required string attemptId
}

struct AttemptReply {
  1: required AttemptState state
}

struct BillRecord {
  1: required string requestId,
  2: required string workspace,
  3: required string model,
  4: required string version,
  5: required i64 units
}

struct HoldRequest {
  1: required string holderFor,
  2: required list<BillRecord> bills
}

struct HoldReply {
  1: required i32 held
}

struct ReleaseRequest {
  1: required list<string> requestIds
}

struct ReleaseReply {
  1: required i32 released
}

service PeerProtocol {
  Exchange exchange(1: Exchange request),
  ProbeReply probe(1: ProbeRequest request),
  DocumentReply fetchDocument(1: DocumentRequest request),
  ClaimReply claim(1: ClaimRequest request),
  SettleReply settle(1: SettleRequest request),
  AttemptReply attemptState(1: AttemptRequest request),
  HoldReply holdBills(1: HoldRequest request),
  ReleaseReply releaseBills(1: ReleaseRequest request)
}
