// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <map>
#include <string>

#include "Callers/CallContext.h"
#include "Http/Server.h"
#include "Serving/LoadPermitAllocator.h"
#include "Serving/ServerManager.h"

namespace Operators
{
enum class Role
{
  None,
  Viewer, ///< Read-only access.
  Editor, ///< Read access and changes of the table.
};

/// Access tokens of operators and their roles. If there are none, every client is an editor.
class OperatorTokens
{
public:
  /// Reads a file with one ROLE:TOKEN per line; an empty path gives no tokens. Fails with
  /// InvalidInput if the file cannot be read or a line is malformed.
  static Common::Result<OperatorTokens> Load(const std::string& path);

  Role RoleOf(const Http::Exchange& exchange) const;

private:
  std::map<std::string, Role> m_roles;
};

/// Components of the daemon whose state the operators' interface exposes.
struct DaemonComponents
{
  Callers::ApiContext& api_context;
  Serving::ServerManager& server_manager;
  Serving::LoadPermitAllocator& load_permits;
  std::function<std::size_t()> running_jobs;
  std::function<std::size_t()> open_exchanges;
  std::function<bool()> ready;
};

/// The HTTP interface for operators: table, status dump, decision log, health probes and metrics.
class OperatorsApi
{
public:
  OperatorsApi(DaemonComponents components, OperatorTokens tokens)
      : m_components(std::move(components)), m_tokens(std::move(tokens))
  {
  }

  void Register(Http::Server& server);

  /// Returns the state of this daemon as JSON.
  Common::Json Dump();

private:
  using Action = std::function<Common::Task<void>(Http::ExchangePtr)>;

  void Route(Http::Server& server, const std::string& path, Role needed, Action action);
  Common::Task<void> ShowTable(Http::ExchangePtr exchange);
  Common::Task<void> ApplyTable(Http::ExchangePtr exchange);
  Common::Task<void> ShowHistory(Http::ExchangePtr exchange);
  Common::Json DaemonsAsJson() const;
  Common::Json ServersAsJson() const;

  DaemonComponents m_components;
  OperatorTokens m_tokens;
};
} // namespace Operators
