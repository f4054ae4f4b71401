// Variant of all messages between nodes. Use: send(peer, message::Message{message::Ping{...}}).
#ifndef CHERVIL_MESSAGE_MESSAGE_H
#define CHERVIL_MESSAGE_MESSAGE_H

#include "message/Ack.h"
#include "message/BackendDeparture.h"
#include "message/BackendLimits.h"
#include "message/BackendListCopy.h"
#include "message/BackendListDelta.h"
#include "message/BackendListRequest.h"
#include "message/BackendLoads.h"
#include "message/BackendStatus.h"
#include "message/CachedPromptParts.h"
#include "message/Chunk.h"
#include "message/Close.h"
#include "message/CloseReply.h"
#include "message/ConfigurationStatus.h"
#include "message/CrashReport.h"
#include "message/DemandReport.h"
#include "message/DocDigest.h"
#include "message/DocRequest.h"
#include "message/DocUpdate.h"
#include "message/DutyHolderAnnouncement.h"
#include "message/End.h"
#include "message/EpochConfirm.h"
#include "message/EpochProbe.h"
#include "message/Fetch.h"
#include "message/Finish.h"
#include "message/FinishReply.h"
#include "message/Handover.h"
#include "message/HandoverReply.h"
#include "message/MemberExchange.h"
#include "message/PartEvidence.h"
#include "message/Ping.h"
#include "message/PingRequest.h"
#include "message/Progress.h"
#include "message/ReplicateRecord.h"
#include "message/ReplicateRecordReply.h"
#include "message/RolloutGrant.h"
#include "message/RolloutReport.h"
#include "message/SendClaim.h"
#include "message/SendGrant.h"
#include "message/ShareGrant.h"
#include "message/StandbyReady.h"
#include "message/Submit.h"
#include "message/SubmitReply.h"
#include "message/TableAck.h"
#include "message/TableChunk.h"
#include "message/TokenClaim.h"
#include "message/TokenGrant.h"
#include "message/UsageReport.h"

#include <variant>

namespace chervil::message {

/// The index of an alternative is its type number on the wire. New types must be appended.
using Message = std::variant<
    Ping, PingRequest, Ack, DocUpdate, DocDigest, DocRequest, Submit, SubmitReply, ReplicateRecord,
    ReplicateRecordReply, Progress, Finish, FinishReply, Close, CloseReply, Fetch, Chunk, End,
    Handover, HandoverReply, StandbyReady, TableChunk, TableAck, DemandReport, ShareGrant,
    CrashReport, BackendStatus, EpochProbe, EpochConfirm, MemberExchange, TokenClaim, TokenGrant,
    UsageReport, BackendListRequest, BackendListCopy, BackendLoads, CachedPromptParts,
    BackendListDelta, DutyHolderAnnouncement, ConfigurationStatus, PartEvidence, BackendLimits,
    SendClaim, SendGrant, BackendDeparture, RolloutReport, RolloutGrant>;

} // namespace chervil::message

#endif
