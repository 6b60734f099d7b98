// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <memory>

#include "Common/Failure.h"
#include "Daemon/Settings.h"

namespace Daemon
{
/// The daemon process: creates and connects its components and shuts them down in order.
class Application
{
public:
  explicit Application(Settings settings);
  ~Application();
  Application(const Application&) = delete;
  Application& operator=(const Application&) = delete;

  /// Opens the sockets and starts serving. Fails if an address is in use or a file is unreadable.
  Common::Result<Common::Done> Start();
  /// Runs the main loop until a graceful shutdown has finished. Returns the exit status.
  int Run();

private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};
} // namespace Daemon
