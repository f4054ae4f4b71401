#include "membership/Queries.h"
#include "node/Context.h"
#include "record/Shards.h"

namespace chervil::node::detail {

using message::MemberState;

namespace {

void onDead(Context &ctx, const NodeId &dead) {
  apply(ctx, record::onMemberDead(ctx.S.Records, dead, ctx.Time));
  for (auto &[key, execution] : ctx.S.Executions)
    if (execution.Holder == dead)
      followOwner(ctx, execution);
}

} // namespace

void apply(Context &ctx, membership::Effects effects) {
  for (auto &it : effects.Messages)
    emit(ctx, SendPeer{std::move(it.Address), std::move(it.Body)});
  for (const membership::MemberChange &it : effects.Changes)
    if (it.State == MemberState::Dead && it.Id != ctx.S.Self)
      onDead(ctx, it.Id);
}

void apply(Context &ctx, config::Effects effects) {
  for (auto &it : effects.Sends)
    sendTo(ctx, it.To, std::move(it.Body));
  for (const config::AppliedDocument &it : effects.Changes) {
    if (it.To <= it.From)
      violate(ctx, Invariant::VersionNeverFalls, it.Name);
    const config::Document *document = config::find(ctx.S.Documents, it.Name);
    if (document != nullptr)
      onDocument(ctx, {it.Name, it.To, document->Body});
  }
}

} // namespace chervil::node::detail
