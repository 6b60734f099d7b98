// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Common/Log.h"

#include <algorithm>
#include <map>
#include <memory>
#include <thread>
#include <utility>

#include <glib.h>
#include <poll.h>
#include <unistd.h>

#include "Common/Loop.h"

namespace Common
{
namespace
{
/// Maximum lines per second for one event: enough for every request of a busy entry VM, and a bound
/// on the cost of a burst of one event.
constexpr int INFO_LINES_PER_SECOND = 40;
constexpr int WARNING_LINES_PER_SECOND = 100;
/// Lines are buffered for this time, so that one write carries several.
constexpr Milliseconds BUFFER_TIME{25};
/// A pipe that polls as writable accepts this much without blocking (PIPE_BUF on Linux).
constexpr std::size_t WRITE_BYTES = 4096;
/// Size limit of the buffer. Lines that exceed it are dropped.
constexpr std::size_t MAX_BUFFERED_BYTES = 262144;

struct EventRate
{
  TimePoint second;
  int written = 0;
  int suppressed = 0;
};

/// Buffer of the log lines for standard output.
class Output
{
public:
  void Add(const std::string& line, bool urgent)
  {
    if (m_buffer.size() + line.size() > MAX_BUFFERED_BYTES)
    {
      ++counters.dropped;
      return;
    }
    ++counters.written;
    if (muted)
      return;
    m_buffer += line;
    if (urgent || m_buffer.size() >= WRITE_BYTES)
      Write();
    else
      ScheduleWrite();
  }

  void Write()
  {
    std::size_t begin = 0;
    while (begin < m_buffer.size() && IsWritable())
    {
      const auto size = std::min(m_buffer.size() - begin, WRITE_BYTES);
      const ssize_t count = write(STDOUT_FILENO, m_buffer.data() + begin, size);
      if (count <= 0)
        break;
      begin += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, begin);
    if (!m_buffer.empty())
      ScheduleWrite();
  }

  LogCounters counters;
  bool muted = false;

private:
  static bool IsWritable()
  {
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
  }

  void ScheduleWrite()
  {
    if (m_timer != 0)
      return;
    m_timer = CallAfter(BUFFER_TIME, [this] {
      m_timer = 0;
      Write();
    });
  }

  std::string m_buffer;
  CallId m_timer = 0;
};

Output& GetOutput()
{
  static Output s_output;
  return s_output;
}

/// The thread of the main loop, which is the one that initialised the log.
std::thread::id& MainThread()
{
  static std::thread::id s_thread = std::this_thread::get_id();
  return s_thread;
}

std::string& ProgramName()
{
  static std::string s_name = "drumpond";
  return s_name;
}

/// Applies the rate limit of the event. Returns true if the line may be written.
bool CheckRateLimit(LogLevel level, std::string_view event, int& suppressed)
{
  static std::map<std::string, EventRate, std::less<>> s_rates;
  auto found = s_rates.find(event);
  if (found == s_rates.end())
    found = s_rates.emplace(std::string(event), EventRate{}).first;
  EventRate& rate = found->second;
  const TimePoint now = Now();
  if (now - rate.second >= std::chrono::seconds(1))
  {
    suppressed = std::exchange(rate.suppressed, 0);
    rate.second = now;
    rate.written = 0;
  }
  if (rate.written >= (level == LogLevel::Info ? INFO_LINES_PER_SECOND : WARNING_LINES_PER_SECOND))
  {
    ++rate.suppressed;
    ++GetOutput().counters.suppressed;
    return false;
  }
  ++rate.written;
  return true;
}

void AppendQuoted(std::string& line, std::string_view value)
{
  if (value.find_first_of(" \"=\n\r\t") == std::string_view::npos && !value.empty())
  {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value)
  {
    if (c == '"' || c == '\\')
      line += '\\';
    line += (c == '\n' || c == '\r') ? ' ' : c;
  }
  line += '"';
}

const char* LevelName(LogLevel level)
{
  switch (level)
  {
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    break;
  }
  return "error";
}

/// Current time as "2026-12-02T14:23:20.123Z". The text up to the seconds is cached.
std::string FormatCurrentTime()
{
  static gint64 s_second = -1;
  static std::string s_text;
  const gint64 now = g_get_real_time();
  if (now / G_USEC_PER_SEC != s_second)
  {
    s_second = now / G_USEC_PER_SEC;
    const std::unique_ptr<GDateTime, void (*)(GDateTime*)> time(
        g_date_time_new_from_unix_utc(s_second), g_date_time_unref);
    const std::unique_ptr<char, void (*)(void*)> text(
        g_date_time_format(time.get(), "%Y-%m-%dT%H:%M:%S"), g_free);
    s_text = text.get();
  }
  const std::string millis = std::to_string(1000 + (now % G_USEC_PER_SEC) / 1000);
  return s_text + "." + millis.substr(1) + "Z";
}

void WriteLine(LogLevel level, std::string_view event, std::initializer_list<LogField> fields,
               int suppressed)
{
  std::string line = FormatCurrentTime() + " " + LevelName(level) + " " + ProgramName() + " event=";
  line += event;
  for (const LogField& field : fields)
  {
    line += ' ';
    line += field.key;
    line += '=';
    AppendQuoted(line, field.value);
  }
  if (suppressed > 0)
    line += " suppressed=" + std::to_string(suppressed);
  line += '\n';
  GetOutput().Add(line, level == LogLevel::Error);
}

/// Logs the warnings and errors of GLib and of libraries that use its log.
GLogWriterOutput WriteGlibMessage(GLogLevelFlags level, const GLogField* fields, gsize count,
                                  gpointer)
{
  if ((level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)) == 0)
    return G_LOG_WRITER_HANDLED;
  std::string message;
  for (gsize i = 0; i < count; ++i)
    if (std::string_view(fields[i].key) == "MESSAGE")
      message = static_cast<const char*>(fields[i].value);
  // Libraries may log from other threads, but log lines are only written on the main loop.
  const auto write = [message] {
    LogEvent(LogLevel::Warning, "library-message", {{"text", message}});
  };
  if (std::this_thread::get_id() == MainThread())
    write();
  else
    CallSoon(write);
  return G_LOG_WRITER_HANDLED;
}
} // namespace

void InitLog(const char* program)
{
  const std::string_view path = program;
  MainThread() = std::this_thread::get_id();
  ProgramName() = path.substr(path.rfind('/') + 1);
  g_log_set_writer_func(WriteGlibMessage, nullptr, nullptr);
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
  int suppressed = 0;
  if (CheckRateLimit(level, event, suppressed))
    WriteLine(level, event, fields, suppressed);
}

void MuteLog()
{
  GetOutput().muted = true;
}

void FlushLog()
{
  GetOutput().Write();
}

const LogCounters& GetLogCounters()
{
  return GetOutput().counters;
}
} // namespace Common
