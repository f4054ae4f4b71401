#include "record/Owner.h"
#include "record/Replication.h"

namespace chervil::record {

using detail::send;
using message::RecordState;

namespace {

/// Largest part of a stored answer in one message, well below the limit of a peer frame.
constexpr std::size_t MaxAnswerChunkBytes = 256U << 10;

/// Sends the stored answer from the requested offset on.
void sendAnswer(const Record &record, const NodeId &to, const message::Fetch &fetch,
                Effects &effects) {
  const std::string &answer = record.Data.Answer;
  for (std::size_t at = fetch.Offset; at < answer.size(); at += MaxAnswerChunkBytes)
    send(effects, to, message::Chunk{fetch.Reader, at, answer.substr(at, MaxAnswerChunkBytes)});
}

/// Returns the result for a reader of a record that ended without an answer to send. A fetch names
/// no attempt, and this copy may be older than the run of a later attempt: a closed attempt is
/// therefore never reported as "not_run".
ResultCode resultOfEndedState(RecordState state) {
  switch (state) {
  case RecordState::Finished:
    return ResultCode::AnswerExpired;
  case RecordState::Closed:
    return ResultCode::RequestNotFound;
  case RecordState::Running:
  case RecordState::Unknown:
    break;
  }
  return ResultCode::OutcomeUnknown;
}

} // namespace

Effects onFetch(State &state, const NodeId &from, const message::Fetch &fetch, const Now &) {
  Effects effects;
  message::End end;
  end.Reader = fetch.Reader;
  const auto it = state.Records.find(fetch.Key);
  if (it == state.Records.end()) {
    if (fetch.Cancel)
      return effects;
    const Mark *mark = findMark(state.Marks, fetch.Key);
    end.Code = mark != nullptr ? resultOfEndedState(mark->State) : ResultCode::RequestNotFound;
    send(effects, from, end);
    return effects;
  }
  Record &record = it->second;
  if (fetch.Cancel) {
    std::erase_if(record.Readers, [&](const Reader &reader) {
      return reader.Node == from && reader.Number == fetch.Reader;
    });
    return effects;
  }
  const auto &data = record.Data;
  if (data.State == RecordState::Running) {
    // An offset beyond the copy is served once the execution has reached it.
    sendAnswer(record, from, fetch, effects);
    record.Readers.push_back({from, fetch.Reader});
    return effects;
  }
  if (data.State != RecordState::Finished) {
    end.Code = resultOfEndedState(data.State);
  } else if (fetch.Offset > data.Answer.size()) {
    end.Code = ResultCode::BadOffset;
  } else {
    sendAnswer(record, from, fetch, effects);
    end.Code = ResultCode::Ok;
    end.Status = data.Status;
    end.ContentType = data.ContentType;
    end.TotalSize = data.Answer.size();
    end.Tokens = data.Tokens;
  }
  send(effects, from, end);
  return effects;
}

} // namespace chervil::record
