// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>

#include "Callers/CallContext.h"

namespace Callers
{
enum class IdempotencyState
{
  Started, ///< The call may have been sent.
  Done,    ///< The call was executed; its response is stored.
  NotRun,  ///< The call was certainly not executed; a retry with the same key may send it.
  Unknown, ///< The call may have been executed; it is never sent again.
};

/// The record of a non-repeatable call as stored in the platform.
struct IdempotencyRecord
{
  IdempotencyState state = IdempotencyState::Started;
  std::string body_hash;
  Common::VmId holder;
  Common::Incarnation holder_incarnation;
  int status = 0;
  std::string content_type;
  std::string body;
};

std::string SerializeRecord(const IdempotencyRecord& record);
std::optional<IdempotencyRecord> ParseRecord(const std::string& text);

/// Forwards calls of /services/NAME/PATH to plain services. GET, HEAD and calls that the table
/// declares repeatable are retried. Any other call requires an Idempotency-Key and is executed at
/// most once.
class PlainServices
{
public:
  explicit PlainServices(ApiContext& api_context) : m_api_context(api_context) {}

  Common::Task<void> Serve(Http::ExchangePtr exchange);

private:
  struct Call
  {
    CallContext context;
    Table::PlainService service;
    std::string method;
    std::string path;
    std::string body;
    std::string content_type;
    std::string key;
    bool repeatable = false;
  };
  struct Response
  {
    int status = 0;
    std::string content_type;
    std::string body;
    Common::VmId server;
  };
  using Outcome = std::variant<Response, CallFailure>;
  struct Started
  {
    std::int64_t version = 0;
  };
  using StartResult = std::variant<Started, Response, CallFailure>;

  Common::Result<Call> Parse(const Http::Exchange& exchange);
  Common::Task<Outcome> RunRepeatable(Call call);
  Common::Task<Outcome> RunAtMostOnce(Call call);
  Common::Task<Outcome> SendAtMostOnce(Call call);
  Common::Task<Outcome> Send(Call call, Table::BackendServer server);
  std::vector<Table::BackendServer> CandidateServers(const Call& call) const;

  Common::Task<StartResult> StartCall(Call call);
  Common::Task<StartResult> HandleExistingRecord(Call call, IdempotencyRecord record,
                                                 std::int64_t version);
  Common::Task<StartResult> WriteStartedRecord(Call call, std::int64_t seen);
  Common::Task<bool> StoreOutcome(Call call, std::int64_t version, Outcome outcome);
  Common::Task<void> StoreOutcomeLater(std::string key, Platform::Transaction transaction);

  ApiContext& m_api_context;
  /// Keys of the records that this process has started and whose outcome is not stored yet.
  std::set<std::string> m_pending_keys;
};
} // namespace Callers
