// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Gateway/Types.h"
#include "Http/ServerConnection.h"

/// What of a message goes on to the other side: everything as it came, but for the headers that
/// concern one connection only and those that the relay sets itself.
namespace Gateway
{
/// What the relay adds to a request for one backend server.
struct ForwardedParts
{
  Common::Milliseconds time_left{0};
  InstanceId instance;
  std::optional<int> urgency;
  Accounts::AccountName account; ///< Empty where the caller needs none.
  std::optional<std::int64_t>
      last_event_id; ///< Instead of the caller's own: the stream goes on there.
};

/// The bytes of the request as a backend server gets it.
std::string ForwardedRequest(const Http::ReceivedRequest& request, const HeaderNames& names,
                             const ForwardedParts& parts);

/// The headers of a backend server's answer that the caller gets.
std::vector<Http::HeaderField> ForwardedHeaders(const Http::MessageHead& head);
} // namespace Gateway
