// Any message between two nodes. Use: send(peer, message::Message{message::Ping{...}}).
#ifndef CHERVIL_MESSAGE_MESSAGE_H
#define CHERVIL_MESSAGE_MESSAGE_H

#include "message/Ack.h"
#include "message/BackendListCopy.h"
#include "message/BackendListRequest.h"
#include "message/BackendLoads.h"
#include "message/BackendNews.h"
#include "message/Chunk.h"
#include "message/Close.h"
#include "message/CloseReply.h"
#include "message/CrashReport.h"
#include "message/DemandReport.h"
#include "message/DocDigest.h"
#include "message/DocRequest.h"
#include "message/DocUpdate.h"
#include "message/End.h"
#include "message/EpochConfirm.h"
#include "message/EpochProbe.h"
#include "message/Fetch.h"
#include "message/Finish.h"
#include "message/FinishReply.h"
#include "message/Handover.h"
#include "message/HandoverReply.h"
#include "message/HeldParts.h"
#include "message/HolderNews.h"
#include "message/ListNews.h"
#include "message/Mark.h"
#include "message/MarkReply.h"
#include "message/MemberExchange.h"
#include "message/Ping.h"
#include "message/PingRequest.h"
#include "message/Progress.h"
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

/// The index of an alternative is its type number on the wire; new types are appended.
using Message =
    std::variant<Ping, PingRequest, Ack, DocUpdate, DocDigest, DocRequest, Submit, SubmitReply,
                 Mark, MarkReply, Progress, Finish, FinishReply, Close, CloseReply, Fetch, Chunk,
                 End, Handover, HandoverReply, StandbyReady, TableChunk, TableAck, DemandReport,
                 ShareGrant, CrashReport, BackendNews, EpochProbe, EpochConfirm, MemberExchange,
                 TokenClaim, TokenGrant, UsageReport, BackendListRequest, BackendListCopy,
                 BackendLoads, HeldParts, ListNews, HolderNews>;

} // namespace chervil::message

#endif
