// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>

#include "Common/Failure.h"
#include "Daemon/Settings.h"

namespace Daemon
{
/// One daemon: builds its parts, connects them, and stops them in order.
class Application
{
public:
  explicit Application(Settings settings);
  ~Application();
  Application(const Application&) = delete;
  Application& operator=(const Application&) = delete;

  /// Opens the sockets and begins to serve. Fails where an address is taken or a file unreadable.
  Common::Result<Common::Done> Start();
  /// Runs until a planned stop has ended; gives the exit status.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};
} // namespace Daemon
