// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Common/Units.h"
#include "Crashes/CrashLedger.h"
#include "Crashes/Fingerprint.h"
#include "Crashes/RecentSuccesses.h"

namespace Crashes
{
/// The parts of a request's prompt that other requests may have too: all but the last one.
struct SharedParts
{
  std::string account; ///< Empty if callers have no accounts.
  std::vector<std::string> ids;
};

/// Reads the caller's list of prompt parts, ID:TOKENS separated by commas. At most `MAX_PARTS` are
/// used, since callers choose the length of the list.
SharedParts ReadSharedParts(std::string_view list, std::string_view account);

/// Decides whether requests may be sent in view of the crashes that parts of their prompts caused.
/// Evidence against a part is a server that crashed before it had begun to write on a request with
/// the part; evidence for it is any server that wrote on one. The ledger keeps both and exchanges
/// them with the other daemons.
///
/// Parts that occurred together when servers crashed are blocked together, and so may parts be that
/// were only there. At the lease holder, one request at a time with a single blocked part is sent
/// while no other servers crash, until servers have crashed under these as well.
class PartEvidence
{
public:
  explicit PartEvidence(CrashLedger& ledger) : m_ledger(ledger) {}

  /// The parts that may have crashed a server with this software: no server is known to have
  /// written on them.
  std::vector<Fingerprint> Suspects(const SharedParts& parts, std::string_view software,
                                    Common::TimePoint now) const;
  /// Those of them under which a server has crashed.
  std::vector<Fingerprint> Suspected(const SharedParts& parts, std::string_view software,
                                     Common::TimePoint now) const;
  /// Records that a server with this software wrote on a request with these parts.
  void NoteWritten(const SharedParts& parts, std::string_view software, Common::TimePoint now);
  /// When a server was last known to write on a request with the part.
  std::optional<Common::TimePoint> LastWritten(QuickKey part, Common::TimePoint now) const
  {
    return m_written.LastOf(part, now);
  }
  /// Whether a request with these parts may be sent to servers with this software.
  BlockStatus StatusOf(const SharedParts& parts, std::string_view software,
                       Common::TimePoint now) const;
  /// Records that a request with these parts is sent. Returns true if it is sent to find out
  /// whether its blocked part crashes servers.
  bool NoteSent(const SharedParts& parts, std::string_view software, Common::TimePoint now);
  /// Only one daemon, the lease holder, sends requests with blocked parts.
  void SetMayProbe(bool may_probe) { m_may_probe = may_probe; }

private:
  /// The fingerprint of a part if the ledger has a case for it.
  std::optional<Fingerprint> FindCase(const SharedParts& parts, const std::string& id,
                                      std::string_view software) const;
  std::vector<Fingerprint> BlockedParts(const SharedParts& parts, std::string_view software,
                                        Common::TimePoint now) const;
  /// True if servers may crash under one more request with the part.
  bool IsUnproven(const Fingerprint& part) const;
  bool MayProbe(const std::vector<Fingerprint>& blocked, Common::TimePoint now) const;

  CrashLedger& m_ledger;
  RecentSuccesses m_written;
  std::map<Fingerprint, Common::TimePoint> m_probed_at; ///< When a blocked part was last sent.
  bool m_may_probe = false;
};
} // namespace Crashes
