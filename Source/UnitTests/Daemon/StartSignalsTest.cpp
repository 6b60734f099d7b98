// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Tests that signals that arrive while the daemon starts have their usual effect. A SIGHUP used to
// end a daemon whose libraries were still being loaded, without a log line, and a daemon whose
// parent had blocked SIGTERM could not be stopped.

#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

#include <cppunit/extensions/HelperMacros.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "Common/DeferredSignals.h"
#include "UnitTests/Support/Loopback.h"

namespace
{
using Common::Milliseconds;
using UnitTests::RunUntil;

constexpr const char* PROGRAM = DRUMPONDD_PROGRAM;
/// One of the libraries that are loaded early in the daemon's start.
constexpr const char* EARLY_LIBRARY = "libglib-2.0";
/// Longer than the daemon takes to start on a busy machine.
constexpr Milliseconds START_LIMIT{20000};
/// The daemon waits for half of its grace time before it stops.
constexpr Milliseconds STOP_LIMIT{20000};

std::string ReadAll(const std::string& path)
{
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

/// A daemon with the platform's interface on loopback addresses, without a platform.
class StartingDaemon
{
public:
  enum class SignalMask
  {
    Open,
    Blocked, ///< The parent blocks all signals that the daemon handles.
  };

  explicit StartingDaemon(SignalMask mask)
  {
    char directory[] = "/tmp/start-signals-XXXXXX";
    CPPUNIT_ASSERT(mkdtemp(directory) != nullptr);
    m_directory = directory;
    std::ofstream(m_directory + "/settings.json")
        << R"({"nodeName":"vm","zone":"z","portRange":[8074,8079],
               "listen":{"front":"127.39.1.1:8071","ready":"127.39.1.1:8072"},
               "bounds":{"graceS":1,"leaseMs":3000},"platform":{"address":"127.39.1.1:8070"}})";
    const pid_t parent = getpid();
    // The child inherits the mask, so that no signal reaches it before.
    if (mask == SignalMask::Blocked)
      Common::DeferSignals();
    m_pid = fork();
    if (m_pid == 0)
      Execute(parent);
    if (mask == SignalMask::Blocked)
      Common::DeliverDeferredSignals();
    CPPUNIT_ASSERT(m_pid > 0);
  }
  ~StartingDaemon()
  {
    if (!Ended())
    {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
    }
    std::filesystem::remove_all(m_directory);
  }
  StartingDaemon(const StartingDaemon&) = delete;
  StartingDaemon& operator=(const StartingDaemon&) = delete;

  void Signal(int number) const { CPPUNIT_ASSERT_EQUAL(0, kill(m_pid, number)); }
  bool Ended()
  {
    if (!m_ended)
      m_ended = waitpid(m_pid, &m_status, WNOHANG) == m_pid;
    return m_ended;
  }
  int Status() const { return m_status; }
  std::string Log() const { return ReadAll(m_directory + "/log"); }
  /// Waits in small steps until the process has begun to load its libraries.
  bool AwaitLoading()
  {
    const std::string process = "/proc/" + std::to_string(m_pid);
    const auto end = Common::Now() + START_LIMIT;
    std::error_code no_process;
    while (Common::Now() < end && !Ended())
      // Before it executes the program, the process has the libraries of this one.
      if (std::filesystem::read_symlink(process + "/exe", no_process) == PROGRAM &&
          ReadAll(process + "/maps").find(EARLY_LIBRARY) != std::string::npos)
        return true;
    return false;
  }

private:
  [[noreturn]] void Execute(pid_t parent) const
  {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent)
      _exit(1);
    setenv("DRUMPOND_BOOT", (m_directory + "/settings.json").c_str(), 1);
    setenv("DRUMPOND_METRICS_PORT", "8073", 1);
    const int log =
        open((m_directory + "/log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(PROGRAM, PROGRAM, nullptr);
    _exit(1);
  }

  std::string m_directory;
  pid_t m_pid = 0;
  bool m_ended = false;
  int m_status = 0;
};

class StartSignalsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StartSignalsTest);
  CPPUNIT_TEST(SignalsWhileLibrariesAreLoadedDoNotEndTheDaemon);
  CPPUNIT_TEST(StopSignalWhileLibrariesAreLoadedStopsInOrder);
  CPPUNIT_TEST(SignalsThatTheParentBlockedAreHandled);
  CPPUNIT_TEST_SUITE_END();

  static void AssertStarts(StartingDaemon& daemon)
  {
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return daemon.Ended() || daemon.Log().find("event=started") != std::string::npos;
        },
        START_LIMIT));
    CPPUNIT_ASSERT_MESSAGE("ended with wait status " + std::to_string(daemon.Status()),
                           !daemon.Ended());
  }
  static void AssertStopsInOrder(StartingDaemon& daemon)
  {
    CPPUNIT_ASSERT(RunUntil(
        [&] {
          return daemon.Ended();
        },
        STOP_LIMIT));
    CPPUNIT_ASSERT_EQUAL(0, daemon.Status());
    CPPUNIT_ASSERT(daemon.Log().find("event=stopped") != std::string::npos);
  }

  void SignalsWhileLibrariesAreLoadedDoNotEndTheDaemon()
  {
    for (const int number : {SIGHUP, SIGUSR1, SIGUSR2})
    {
      StartingDaemon daemon(StartingDaemon::SignalMask::Open);
      CPPUNIT_ASSERT(daemon.AwaitLoading());
      daemon.Signal(number);
      AssertStarts(daemon);
      // Nor does the same signal later.
      daemon.Signal(number);
      daemon.Signal(SIGTERM);
      AssertStopsInOrder(daemon);
    }
  }

  void StopSignalWhileLibrariesAreLoadedStopsInOrder()
  {
    for (const int number : {SIGTERM, SIGINT})
    {
      StartingDaemon daemon(StartingDaemon::SignalMask::Open);
      CPPUNIT_ASSERT(daemon.AwaitLoading());
      daemon.Signal(number);
      AssertStopsInOrder(daemon);
    }
  }

  /// A supervisor that blocks the signals leaves no moment in which one would end the daemon.
  void SignalsThatTheParentBlockedAreHandled()
  {
    StartingDaemon daemon(StartingDaemon::SignalMask::Blocked);
    daemon.Signal(SIGHUP);
    AssertStarts(daemon);
    daemon.Signal(SIGTERM);
    AssertStopsInOrder(daemon);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartSignalsTest);
} // namespace
