#include "membership/Queries.h"
#include "node/Context.h"
#include "record/Shards.h"

namespace chervil::node::detail {

using message::MemberState;

namespace {

/// Handles the death of a member: updates the records and the executions that it kept.
void onDead(Context &ctx, const NodeId &dead) {
  applyRecordEffects(ctx, record::onMemberDead(ctx.S.Records, dead, ctx.Time));
  for (auto &[key, execution] : ctx.S.Executions)
    if (execution.Holder == dead)
      updateHolder(ctx, execution);
}

} // namespace

void applyMembershipEffects(Context &ctx, membership::Effects effects) {
  for (auto &it : effects.Messages)
    emit(ctx, SendPeer{std::move(it.Address), std::move(it.Body)});
  for (const membership::MemberChange &it : effects.Changes)
    if (it.State == MemberState::Dead && it.Id != ctx.S.Self)
      onDead(ctx, it.Id);
}

void applyConfigEffects(Context &ctx, config::Effects effects) {
  for (auto &it : effects.Sends)
    sendTo(ctx, it.To, std::move(it.Body));
  for (const config::AppliedDocument &it : effects.Changes) {
    if (it.To <= it.From)
      reportViolation(ctx, Invariant::VersionNeverFalls, it.Name);
    const config::Document *document = config::find(ctx.S.Documents, it.Name);
    if (document != nullptr)
      onDocument(ctx, {it.Name, it.To, document->Body});
  }
}

} // namespace chervil::node::detail
