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
enum class OnceState
{
  Started, ///< The call may have been sent.
  Done,    ///< It ran; its answer is kept.
  NotRun,  ///< It certainly did not run; the same key may try again.
  Unknown, ///< It may have run; it is never sent again.
};

/// The platform's record of a call that may not be repeated.
struct OnceRecord
{
  OnceState state = OnceState::Started;
  std::string body_hash;
  Common::VmId holder;
  Common::Incarnation holder_incarnation;
  int status = 0;
  std::string content_type;
  std::string body;
};

std::string SerializeRecord(const OnceRecord& record);
std::optional<OnceRecord> ParseRecord(const std::string& text);

/// /services/NAME/PATH: calls of plain services. What the table does not declare repeatable needs
/// an Idempotency-Key and runs at most once.
class PlainServices
{
public:
  explicit PlainServices(Gateway& gateway) : m_gateway(gateway) {}

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
  struct Answer
  {
    int status = 0;
    std::string content_type;
    std::string body;
    Common::VmId server;
  };
  using Outcome = std::variant<Answer, CallFailure>;
  struct Started
  {
    std::int64_t version = 0;
  };
  using Beginning = std::variant<Started, Answer, CallFailure>;

  Common::Result<Call> Parse(const Http::Exchange& exchange);
  Common::Task<Outcome> RunRepeatable(Call call);
  Common::Task<Outcome> RunOnce(Call call);
  Common::Task<Outcome> SendOnce(Call call);
  Common::Task<Outcome> Send(Call call, Table::BackendServer server);
  std::vector<Table::BackendServer> ServersFor(const Call& call) const;

  Common::Task<Beginning> Begin(Call call);
  Common::Task<Beginning> BeginAgain(Call call, OnceRecord record, std::int64_t version);
  Common::Task<Beginning> WriteStarted(Call call, std::int64_t seen);
  Common::Task<bool> Settle(Call call, std::int64_t version, Outcome outcome);
  Common::Task<void> SettleLater(std::string key, Platform::Transaction transaction);

  Gateway& m_gateway;
  /// Records that this process has begun and not settled.
  std::set<std::string> m_active;
};
} // namespace Callers
