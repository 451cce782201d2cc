// Messages between banyanshelf daemons. Field numbers are never reused.

namespace py banyanshelf_peer

struct MemberUpdate {
  1: optional string id
  2: optional string address
  3: optional string zone
  4: optional i64 incarnation
  5: optional string status
}

struct SlotCount {
  1: optional string upstream
  2: optional i64 count
}

struct AnswerSample {
  1: optional string upstream
  2: optional i64 service_time_us
  3: optional string kind
}

struct StoredAnswer {
  1: optional i64 status
  2: optional list<string> headers
  3: optional binary body
  4: optional bool body_kept
}

struct Hello {
  1: optional string id
  2: optional string address
  3: optional string zone
  4: optional i64 incarnation
  5: optional i64 protocol_version
  6: optional string receiver
}

struct Ping {
  1: optional i64 sequence
  2: optional list<MemberUpdate> updates
  3: optional i64 config_version
  4: optional string config_digest
  5: optional bool needs_members
}

struct Ack {
  1: optional i64 sequence
  2: optional string subject
  3: optional list<MemberUpdate> updates
  4: optional i64 config_version
  5: optional string config_digest
}

struct PingRequest {
  1: optional i64 sequence
  2: optional string subject
  3: optional list<MemberUpdate> updates
}

struct ConfigNotice {
  1: optional i64 version
  2: optional string digest
}

struct ConfigFetch {
  1: optional i64 above_version
}

struct ConfigText {
  1: optional i64 version
  2: optional string digest
  3: optional string text
}

struct CoordinatorAnnounce {
  1: optional string service_name
  2: optional i64 epoch_number
  3: optional string epoch_member
}

struct Holdings {
  1: optional string service_name
  2: optional i64 epoch_number
  3: optional string epoch_member
  4: optional list<SlotCount> in_use
  5: optional list<SlotCount> idle
  6: optional i64 waiting
  7: optional i64 permits_received
}

struct Acquire {
  1: optional string service_name
  2: optional i64 epoch_number
  3: optional string epoch_member
  4: optional i64 waiting
  5: optional i64 oldest_wait_us
  6: optional i64 permits_received
  7: optional i64 spare
  8: optional list<string> excluded
  9: optional i64 urgent
}

struct Grant {
  1: optional string service_name
  2: optional i64 epoch_number
  3: optional string epoch_member
  4: optional list<SlotCount> permits
  5: optional i64 reuse_after_us
  6: optional bool contended
  7: optional string terms
}

struct Release {
  1: optional string service_name
  2: optional i64 epoch_number
  3: optional string epoch_member
  4: optional list<SlotCount> permits
  5: optional i64 waiting
  6: optional i64 oldest_wait_us
  7: optional list<AnswerSample> samples
  8: optional i64 permits_received
  9: optional i64 spare
  10: optional list<string> excluded
  11: optional i64 urgent
}

struct Recall {
  1: optional string service_name
  2: optional i64 epoch_number
  3: optional string epoch_member
  4: optional i64 count
  5: optional string upstream
}

struct UpstreamNotice {
  1: optional string upstream
  2: optional string state
  3: optional i64 sequence
  4: optional string origin
}

struct CrashMark {
  1: optional string fingerprint
  2: optional string crash_id
  3: optional string upstream
  4: optional i64 age_us
}

struct CrashClear {
  1: optional string fingerprint
  2: optional list<string> crash_ids
}

struct ClaimRequest {
  1: optional i64 shard
  2: optional string service_name
  3: optional string key_digest
  4: optional string body_digest
  5: optional string attempt_id
  6: optional i64 wait_ms
}

struct ClaimReply {
  1: optional string attempt_id
  2: optional string status
  3: optional StoredAnswer answer
}

struct ClaimComplete {
  1: optional i64 shard
  2: optional string key_digest
  3: optional string body_digest
  4: optional string attempt_id
  5: optional string outcome
  6: optional StoredAnswer answer
}

struct ClaimCompleteAck {
  1: optional string attempt_id
}

struct Leaving {
  1: optional i64 incarnation
  2: optional list<string> roles
}

struct RequestLimitNotice {
  1: optional string upstream
  2: optional i64 micro_per_s
  3: optional i64 age_us
}

// Exactly one field is set.
struct Envelope {
  1: optional Hello hello
  2: optional Ping ping
  3: optional Ack ack
  4: optional PingRequest ping_request
  5: optional ConfigNotice config_notice
  6: optional ConfigFetch config_fetch
  7: optional ConfigText config_text
  8: optional CoordinatorAnnounce coordinator_announce
  9: optional Holdings holdings
  10: optional Acquire acquire
  11: optional Grant grant
  12: optional Release release
  13: optional Recall recall
  14: optional UpstreamNotice upstream_notice
  15: optional CrashMark crash_mark
  16: optional CrashClear crash_clear
  17: optional ClaimRequest claim_request
  18: optional ClaimReply claim_reply
  19: optional ClaimComplete claim_complete
  20: optional ClaimCompleteAck claim_complete_ack
  21: optional Leaving leaving
  22: optional RequestLimitNotice request_limit_notice
}
