// Internal to the operators' interface: its endpoints and what they share.
#ifndef CHERVIL_DAEMON_ADMINDETAIL_H
#define CHERVIL_DAEMON_ADMINDETAIL_H

#include "base/Error.h"
#include "daemon/AdminApi.h"

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace chervil::daemon::detail {

using Json = nlohmann::json;

void answerJson(AdminApi &api, std::uint64_t id, const Json &body);

/// Refuses and counts. The members of `extra` are added to the error object.
void refuse(AdminApi &api, std::uint64_t id, const Error &error, const Json &extra = {});

/// The body as an object; refuses and returns a null value for anything else. An empty body is an
/// empty object.
Json bodyObject(AdminApi &api, const net::HttpRequest &request);

/// Milliseconds since the epoch.
std::int64_t millis(WallTime time);

// What this node knows (AdminState.cpp).
Json describeNodes(const node::State &state);
Json describeBackends(const node::State &state);
Json describeShards(const node::State &state);
Json describeShard(const node::State &state, std::uint32_t shard);

// Requests by key (AdminRequests.cpp).
void onRequestRecord(AdminApi &api, const net::HttpRequest &request, std::string_view rest);

// Contracts (AdminContracts.cpp).
void onContractList(AdminApi &api, const net::HttpRequest &request);
void onContractGet(AdminApi &api, const net::HttpRequest &request, const std::string &customer);
void onContractHistory(AdminApi &api, const net::HttpRequest &request, const std::string &customer);
void onContractDiff(AdminApi &api, const net::HttpRequest &request);
/// The refusal of a contract that is not valid, with one entry per fault.
void refuseContract(AdminApi &api, std::uint64_t id, const Error &error);

// Changes of contracts (AdminChange.cpp).
void onContractPut(AdminApi &api, const net::HttpRequest &request, const std::string &customer);

// Routing and draining (AdminActions.cpp).
void onDrain(AdminApi &api, const net::HttpRequest &request);
void onExplain(AdminApi &api, const net::HttpRequest &request);

} // namespace chervil::daemon::detail

#endif
