// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/Types.h"
#include "Http/ServerConnection.h"

/// Builds the messages that the relay forwards. They are passed on unchanged except for hop-by-hop
/// headers and the headers that the relay sets itself.
namespace Gateway
{
/// Values of the headers that the relay adds to a request for one backend server.
struct AddedHeaders
{
  Common::Milliseconds time_left{0};
  InstanceId instance;
  std::optional<int> urgency;
  Accounts::AccountName account; ///< Empty if the caller needs no account.
  /// Replaces the caller's own value when a stream is resumed.
  std::optional<std::int64_t> last_event_id;
};

/// The request as it is sent to a backend server: head and body.
std::string ForwardedRequest(const Http::ReceivedRequest& request, const HeaderNames& names,
                             const AddedHeaders& parts);

/// The headers of a backend server's response that are forwarded to the caller.
std::vector<Http::HeaderField> ForwardedHeaders(const Http::MessageHead& head);
} // namespace Gateway
