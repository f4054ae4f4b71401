#include "config/Head.h"
#include "contract/VersionedContract.h"
#include "membership/Queries.h"
#include "node/Context.h"

namespace chervil::node::detail {

namespace {

// Name of the document with the shard map.
constexpr std::string_view ShardMapName = "shards/map";

} // namespace

void onDocument(Context &ctx, const Document &document) {
  if (document.Name == ShardMapName) {
    adoptShardMap(ctx, document.Body);
    return;
  }
  if (!document.Name.starts_with(config::ContractPrefix))
    return;
  const Result<VersionedContract> contract = parseVersionedContract(document.Body);
  if (!contract) {
    // Contracts are validated before they are stored, so this document has a newer format or is
    // damaged. The contract in force is kept.
    incrementCounter(ctx, "document_rejected", "contract");
    return;
  }
  ctx.S.Contracts[contract->Terms.Customer] = contract->Terms;
  ctx.S.Tokens.clear();
  updateHomes(ctx);
}

void tickDocuments(Context &ctx) {
  if (ctx.Time.Steady < ctx.S.NextGossip)
    return;
  ctx.S.NextGossip = ctx.Time.Steady + config::DisseminationInterval;
  std::vector<NodeId> members;
  for (const membership::Member *it : membership::live(ctx.S.Members))
    if (it->Info.Id != ctx.S.Self)
      members.push_back(it->Info.Id);
  gossipCrashReports(ctx, members);
  applyConfigEffects(ctx, config::disseminate(ctx.S.Documents, members, ctx.Rng, ctx.Time));
  ctx.S.Members.DocsHash = config::docsHash(ctx.S.Documents);
}

} // namespace chervil::node::detail
