// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Stand-ins for the scripts of the review: the platform's store, backend servers and callers, in
// threads of one process. The daemons are separate processes, started as the deploy file says.

#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace Lab
{
using Json = nlohmann::json;

/// Seconds since the script began, by the steady clock.
inline double Now()
{
  static const auto s_begin = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - s_begin).count();
}

inline void SleepFor(double seconds)
{
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline void SleepUntil(double moment)
{
  SleepFor(moment - Now());
}

inline bool HasTrouble()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string(text) != "0";
}

/// The record of what was sent, answered and run.
inline void Note(const char* format, ...)
{
  static std::mutex s_mutex;
  static FILE* s_file = [] {
    const char* path = std::getenv("RECORD");
    return std::fopen(path == nullptr ? "/dev/null" : path, "w");
  }();
  const std::lock_guard guard(s_mutex);
  std::fprintf(s_file, "%8.3f ", Now());
  va_list arguments;
  va_start(arguments, format);
  std::vfprintf(s_file, format, arguments);
  va_end(arguments);
  std::fputc('\n', s_file);
  std::fflush(s_file);
}

/// A loopback address of this run.
inline std::string Address(int host)
{
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(100 + pid % 100) + "." + std::to_string(pid / 100 % 250 + 1) +
         "." + std::to_string(host);
}

inline sockaddr_in SocketAddress(const std::string& ip, int port)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// The first of `FREE_PORTS` ports that no program of this machine uses.
inline int FirstPort()
{
  constexpr int FREE_PORTS = 32;
  constexpr int LOWEST = 20000;
  constexpr int RANGE = 10000;
  static const int s_first = [] {
    const auto is_free = [](int port) {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = SocketAddress("0.0.0.0", port);
      const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
      close(fd);
      return free;
    };
    for (int attempt = 0;; ++attempt)
    {
      const int first = LOWEST + (static_cast<int>(getpid()) * FREE_PORTS + attempt * 97) % RANGE;
      int free = 0;
      while (free < FREE_PORTS && is_free(first + free))
        ++free;
      if (free == FREE_PORTS || attempt == 100)
        return first;
    }
  }();
  return s_first;
}

struct Header
{
  std::string name;
  std::string value;
};

struct Message
{
  std::string first_line;
  std::vector<Header> headers;
  std::string body;
  std::string peer; ///< IP of the sender.

  std::string Find(const std::string& name) const
  {
    for (const Header& header : headers)
      if (strcasecmp(header.name.c_str(), name.c_str()) == 0)
        return header.value;
    return "";
  }
  std::string Method() const { return first_line.substr(0, first_line.find(' ')); }
  std::string Target() const
  {
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
  }
  std::string Path() const { return Target().substr(0, Target().find('?')); }
  int Status() const { return first_line.size() < 12 ? 0 : std::atoi(first_line.c_str() + 9); }
};

/// A TCP connection with blocking calls.
class Connection
{
public:
  explicit Connection(int fd) : m_fd(fd)
  {
    const int on = 1;
    setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Write(const std::string& bytes)
  {
    std::size_t sent = 0;
    while (m_fd >= 0 && sent < bytes.size())
    {
      const ssize_t count = send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return false;
      sent += static_cast<std::size_t>(count);
    }
    return m_fd >= 0;
  }

  /// Waits for more bytes. Returns false at the end of the connection; `reset` tells how it ended.
  bool Fill()
  {
    char buffer[16384];
    const ssize_t count = recv(m_fd, buffer, sizeof(buffer), 0);
    if (count <= 0)
    {
      reset = count < 0;
      return false;
    }
    m_in.append(buffer, static_cast<std::size_t>(count));
    return true;
  }

  bool ReadLine(std::string& line)
  {
    for (;;)
    {
      const auto end = m_in.find("\r\n");
      if (end != std::string::npos)
      {
        line = m_in.substr(0, end);
        m_in.erase(0, end + 2);
        return true;
      }
      if (!Fill())
        return false;
    }
  }

  bool ReadBytes(std::size_t size, std::string& bytes)
  {
    while (m_in.size() < size)
      if (!Fill())
        return false;
    bytes += m_in.substr(0, size);
    m_in.erase(0, size);
    return true;
  }

  /// Reads a head; the body is left.
  bool ReadHead(Message& message)
  {
    if (!ReadLine(message.first_line))
      return false;
    std::string line;
    while (ReadLine(line))
    {
      if (line.empty())
        return true;
      const auto colon = line.find(':');
      auto begin = colon == std::string::npos ? line.size() : colon + 1;
      while (begin < line.size() && line[begin] == ' ')
        ++begin;
      message.headers.push_back({line.substr(0, colon), line.substr(begin)});
    }
    return false;
  }

  /// Reads the body that the head announces; returns false if it is cut short.
  bool ReadBody(Message& message, bool is_response)
  {
    if (strcasecmp(message.Find("Transfer-Encoding").c_str(), "chunked") == 0)
    {
      std::string line;
      while (ReadLine(line))
      {
        const auto size = static_cast<std::size_t>(std::strtoul(line.c_str(), nullptr, 16));
        if (!ReadBytes(size, message.body) || !ReadLine(line))
          return false;
        if (size == 0)
          return true;
      }
      return false;
    }
    const std::string length = message.Find("Content-Length");
    if (!length.empty())
      return ReadBytes(static_cast<std::size_t>(std::atoll(length.c_str())), message.body);
    if (!is_response)
      return true;
    while (Fill())
      ;
    message.body += std::exchange(m_in, {});
    return !reset;
  }

  void Close()
  {
    if (m_fd >= 0)
      close(m_fd);
    m_fd = -1;
  }
  void Reset()
  {
    const linger option{1, 0};
    if (m_fd >= 0)
      setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  int Descriptor() const { return m_fd; }

  bool reset = false;

private:
  int m_fd;
  std::string m_in;
};

inline std::string Response(int status, const std::vector<Header>& headers, const std::string& body)
{
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const Header& header : headers)
    text += header.name + ": " + header.value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and handles the requests of each in a thread of its own.
class HttpServer
{
public:
  using Handler = std::function<bool(const Message&, Connection&)>; ///< False ends the connection.

  bool Listen(const std::string& ip, int port, Handler handler)
  {
    m_handler = std::move(handler);
    m_fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = SocketAddress(ip, port);
    if (bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(m_fd, 1024) != 0)
      return false;
    std::thread([this] {
      for (;;)
      {
        sockaddr_in peer{};
        socklen_t size = sizeof(peer);
        const int fd = accept4(m_fd, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
        if (fd < 0)
          return;
        char text[INET_ADDRSTRLEN];
        inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text));
        std::thread([this, fd, from = std::string(text)] {
          Serve(fd, from);
        }).detach();
      }
    }).detach();
    return true;
  }

  /// Accepts no more connections; a new one is refused.
  void Stop()
  {
    shutdown(m_fd, SHUT_RDWR);
    close(m_fd);
  }

private:
  void Serve(int fd, const std::string& from)
  {
    Connection connection(fd);
    for (;;)
    {
      Message request;
      request.peer = from;
      if (!connection.ReadHead(request) || !connection.ReadBody(request, false) ||
          !m_handler(request, connection))
        return;
    }
  }

  int m_fd = -1;
  Handler m_handler;
};

inline std::string Base64(const std::string& bytes)
{
  static const char* const s_digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3)
  {
    unsigned group = 0;
    for (std::size_t k = 0; k < 3; ++k)
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k)
      text += i + k > bytes.size() ? '=' : s_digits[group >> (18 - 6 * k) & 63];
  }
  return text;
}

inline std::string FromBase64(const std::string& text)
{
  std::string bytes;
  unsigned group = 0;
  int bits = 0;
  for (const char c : text)
  {
    const int digit = c >= 'A' && c <= 'Z'   ? c - 'A'
                      : c >= 'a' && c <= 'z' ? c - 'a' + 26
                      : c >= '0' && c <= '9' ? c - '0' + 52
                      : c == '+'             ? 62
                      : c == '/'             ? 63
                                             : -1;
    if (digit < 0)
      continue;
    group = group << 6 | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8)
    {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255);
    }
  }
  return bytes;
}

inline std::string QueryValue(const std::string& target, const std::string& name)
{
  auto at = target.find("?" + name + "=");
  if (at == std::string::npos)
    at = target.find("&" + name + "=");
  if (at == std::string::npos)
    return "";
  const auto begin = at + name.size() + 2;
  const std::string raw = target.substr(begin, target.find('&', begin) - begin);
  std::string value;
  for (std::size_t i = 0; i < raw.size(); ++i)
    if (raw[i] == '%' && i + 2 < raw.size())
    {
      value += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
      i += 2;
    }
    else
      value += raw[i];
  return value;
}

/// The platform's store: tables of rows, with one counter of versions.
class Store
{
public:
  std::string ip = Address(250);
  int port = 0;

  bool Listen(int on_port)
  {
    port = on_port;
    return m_server.Listen(ip, port, [this](const Message& request, Connection& connection) {
      return Handle(request, connection);
    });
  }

  void Put(const std::string& table, const std::string& key, const std::string& value)
  {
    const std::lock_guard guard(m_mutex);
    m_tables[table][key] = {Base64(value), ++m_version, false};
    m_changed.notify_all();
  }
  void Remove(const std::string& table, const std::string& key)
  {
    const std::lock_guard guard(m_mutex);
    m_tables[table][key] = {"", ++m_version, true};
    m_changed.notify_all();
  }
  std::string Get(const std::string& table, const std::string& key)
  {
    const std::lock_guard guard(m_mutex);
    const auto& rows = m_tables[table];
    const auto row = rows.find(key);
    return row == rows.end() || row->second.deleted ? "" : FromBase64(row->second.value);
  }

private:
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };

  static Json RowJson(const std::string& table, const std::string& key, const Row& row)
  {
    Json json = {
        {"table", table}, {"part", ""}, {"key", key}, {"value", row.value}, {"ver", row.version}};
    if (row.deleted)
      json["deleted"] = true;
    return json;
  }

  bool Answer(Connection& connection, int status, Json body)
  {
    body["ver"] = m_version;
    body["nowMs"] = static_cast<std::int64_t>(Now() * 1000);
    return connection.Write(Response(status, {{"Content-Type", "application/json"}}, body.dump()));
  }

  bool Handle(const Message& request, Connection& connection)
  {
    const std::string path = request.Path();
    const std::string target = request.Target();
    SleepFor(0.004);
    std::unique_lock lock(m_mutex);
    if (path == "/rows-get")
    {
      const std::string table = QueryValue(target, "table");
      const std::string first = QueryValue(target, "startRev");
      const std::string end = QueryValue(target, "targetVersion");
      Json rows = Json::array();
      for (const auto& [key, row] : m_tables[table])
        if (key >= first && (end.empty() || key < end) && !row.deleted)
          rows.push_back(RowJson(table, key, row));
      return Answer(connection, 200, {{"rows", rows}, {"hasMore", false}});
    }
    if (path == "/rows-feed")
    {
      const std::string table = QueryValue(target, "table");
      const auto after = std::atoll(QueryValue(target, "after").c_str());
      const double until = Now() + std::atof(QueryValue(target, "waitMs").c_str()) / 1000;
      std::map<std::int64_t, Json> changed;
      for (;;)
      {
        for (const auto& [key, row] : m_tables[table])
          if (row.version > after)
            changed[row.version] = RowJson(table, key, row);
        const double left = until - Now();
        if (!changed.empty() || left <= 0)
          break;
        m_changed.wait_for(lock, std::chrono::duration<double>(left));
      }
      Json rows = Json::array();
      for (const auto& [version, row] : changed)
        rows.push_back(row);
      return Answer(connection, 200, {{"rows", rows}});
    }
    if (path == "/rows-tx")
      return Transact(request, connection);
    return connection.Write(Response(404, {}, ""));
  }

  bool Transact(const Message& request, Connection& connection)
  {
    const Json json = Json::parse(request.body, nullptr, false);
    if (!json.is_object())
      return connection.Write(Response(400, {}, ""));
    Json conflicts = Json::array();
    for (const Json& condition : json.value("expectedRev", Json::array()))
    {
      const std::string table = condition.value("table", "");
      const std::string key = condition.value("key", "");
      const Row& row = m_tables[table][key];
      if ((row.deleted ? 0 : row.version) != condition.value("ver", std::int64_t{0}))
        conflicts.push_back(RowJson(table, key, row));
    }
    if (!conflicts.empty())
      return Answer(connection, 412, {{"rows", conflicts}});
    ++m_version;
    for (const Json& row : json.value("setKeys", Json::array()))
      m_tables[row.value("table", "")][row.value("key", "")] = {row.value("value", ""), m_version,
                                                                false};
    for (const Json& row : json.value("remove", Json::array()))
      m_tables[row.value("table", "")][row.value("key", "")] = {"", m_version, true};
    m_changed.notify_all();
    return Answer(connection, 200, Json::object());
  }

  HttpServer m_server;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  std::int64_t m_version = 0;
};

/// A daemon, as a process of its own.
class Daemon
{
public:
  std::string name;
  std::string ip;
  std::string zone = "hall-a";
  int front = 0;
  int ready = 0;
  Json settings;
  pid_t pid = -1;

  /// Starts the program of the deploy file with its settings.
  void Start(const std::string& folder)
  {
    const std::string path = folder + "/" + name + "-" + ip + ".json";
    FILE* file = std::fopen(path.c_str(), "w");
    std::fputs(settings.dump().c_str(), file);
    std::fclose(file);
    const std::string log = folder + "/" + name + "-" + ip + ".log";
    const std::string boot = "DRUMPOND_BOOT=" + path;
    const std::string source = "DRUMPOND_SOURCE_ADDRESS=" + ip;
    const std::string metrics = "DRUMPOND_METRICS_PORT=" + std::to_string(FirstPort() + 4);
    const std::string search = std::string("PATH=") + std::getenv("PATH");
    pid = fork();
    if (pid != 0)
    {
      Note("started %s at %s, process %d", name.c_str(), ip.c_str(), static_cast<int>(pid));
      return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    FILE* out = std::freopen(log.c_str(), "a", stdout);
    dup2(fileno(out), 2);
    const char* environment[] = {boot.c_str(),    source.c_str(),
                                 metrics.c_str(), "GSETTINGS_BACKEND=memory",
                                 search.c_str(),  nullptr};
    execle("target/bin/drumpondd", "target/bin/drumpondd", static_cast<char*>(nullptr),
           environment);
    _exit(127);
  }

  void Signal(int number, const char* what)
  {
    Note("%s %s", what, name.c_str());
    kill(pid, number);
  }
  bool HasEnded()
  {
    int status = 0;
    if (pid <= 0 || waitpid(pid, &status, WNOHANG) != pid)
      return pid <= 0;
    Note("%s ended: signal %d, status %d", name.c_str(), WIFSIGNALED(status) ? WTERMSIG(status) : 0,
         WIFEXITED(status) ? WEXITSTATUS(status) : -1);
    pid = -1;
    return true;
  }
  void Kill(const char* what)
  {
    if (pid <= 0)
      return;
    Signal(SIGKILL, what);
    int status = 0;
    waitpid(pid, &status, 0);
    pid = -1;
  }
};

/// Connects within a second; returns nullptr if that fails.
inline std::unique_ptr<Connection> Connect(const std::string& ip, int port, double read_timeout_s)
{
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const timeval read_limit{
      static_cast<time_t>(read_timeout_s),
      static_cast<suseconds_t>((read_timeout_s - static_cast<time_t>(read_timeout_s)) * 1e6)};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &read_limit, sizeof(read_limit));
  const sockaddr_in address = SocketAddress(ip, port);
  auto connection = std::make_unique<Connection>(fd);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
    return nullptr;
  return connection;
}

/// What a caller got.
struct Result
{
  int status = 0; ///< 0: no answer.
  bool whole = false;
  Message message;
};

inline Result Exchange(Connection& connection, const std::string& request)
{
  Result result;
  if (!connection.Write(request) || !connection.ReadHead(result.message))
    return result;
  result.status = result.message.Status();
  result.whole = connection.ReadBody(result.message, true);
  return result;
}

inline Result Call(const std::string& ip, int port, const std::string& request,
                   double read_timeout_s = 5)
{
  const auto connection = Connect(ip, port, read_timeout_s);
  return connection ? Exchange(*connection, request) : Result{};
}

inline std::string NewId()
{
  static std::atomic<unsigned> s_next{1};
  char text[32];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(getpid()), s_next++);
  return text;
}

/// The settings of a small deployment, as the platform writes them.
inline Json SmallSettings(const Daemon& daemon, const Store& store, int peer_port)
{
  return {{"nodeName", daemon.name},
          {"role", "entry"},
          {"machineClass", "front"},
          {"serves", {"front"}},
          {"ip", daemon.ip},
          {"zone", daemon.zone},
          {"region", "region-1"},
          {"portRange", {peer_port, peer_port + 15}},
          {"bootstrap", true},
          {"heartbeatMs", 1200},
          {"zones", {{"hall-a", "region-1"}, {"hall-b", "region-1"}, {"hall-c", "region-1"}}},
          {"listen",
           {{"front", daemon.ip + ":" + std::to_string(daemon.front)},
            {"ready", daemon.ip + ":" + std::to_string(daemon.ready)}}},
          {"limits",
           {{"cpuShare", 0.25},
            {"cores", 1},
            {"memoryMb", 260},
            {"maxFds", 4100},
            {"linkMbps", 1000.0},
            {"diskMb", 0}}},
          {"bounds", {{"seedLagS", 3},       {"reuseAfterS", 2},
                      {"contactMs", 3000},   {"ackMs", 4000},
                      {"catchUpS", 4},       {"drainMs", 2000},
                      {"graceS", 8},         {"lostMs", 200},
                      {"configMs", 2000},    {"rollbackSlackMs", 250},
                      {"outerMs", 5000},     {"retryBudgetRatio", 0.2},
                      {"budgetWindowS", 10}, {"budgetSlack", 52},
                      {"recoverS", 12},      {"passMs", 120},
                      {"retryAfterS", 0},    {"requireFence", false},
                      {"leaseMs", 3000},     {"thawMs", 300},
                      {"ceilingWindowS", 5}, {"ceilingOver", 1.1}}},
          {"platform",
           {{"address", store.ip + ":" + std::to_string(store.port)},
            {"form", "table"},
            {"writesPerS", 400},
            {"readsPerS", 2000},
            {"txMs", 8.0},
            {"partWritesPerS", 150},
            {"rowBytes", 65536},
            {"across", false},
            {"historyS", 20}}}};
}

/// Daemons, store and a temporary folder of one script.
class Deployment
{
public:
  Store store;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::string folder;
  const int store_port = FirstPort();
  const int front_port = FirstPort() + 1;
  const int ready_port = FirstPort() + 2;
  const int peer_port = FirstPort() + 5;

  Deployment()
  {
    char path[] = "/tmp/review-XXXXXX";
    folder = mkdtemp(path);
    if (!store.Listen(store_port))
      End(2, "the store cannot listen");
  }

  Daemon& Add(const std::string& name, int host, const std::string& zone = "hall-a")
  {
    daemons.push_back(std::make_unique<Daemon>());
    Daemon& daemon = *daemons.back();
    daemon.name = name;
    daemon.ip = Address(host);
    daemon.zone = zone;
    daemon.front = front_port;
    daemon.ready = ready_port;
    daemon.settings = SmallSettings(daemon, store, peer_port);
    return daemon;
  }

  bool IsReady(const Daemon& daemon) const
  {
    return Call(daemon.ip, daemon.ready,
                "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 1)
               .status == 200;
  }

  /// Ends with status 2 if a daemon isn't ready in time.
  void AwaitReady(double seconds)
  {
    const double until = Now() + seconds;
    for (const auto& daemon : daemons)
      while (!IsReady(*daemon))
      {
        if (Now() > until)
          End(2, "a daemon does not become ready");
        SleepFor(0.1);
      }
    Note("all daemons are ready");
  }

  /// Address of the daemon that holds the order lease, as the store's row has it; empty if none.
  std::string LeaseRow() { return store.Get("drumpond", "order-lease"); }

  /// Ends all daemons and this process. 0: the rule held, 1: it was broken, 2: no result.
  [[noreturn]] void End(int status, const std::string& why)
  {
    Note("%s: %s", status == 0 ? "HELD" : status == 1 ? "BROKEN" : "NO RESULT", why.c_str());
    std::printf("%s: %s\n",
                status == 0   ? "held"
                : status == 1 ? "broken"
                              : "no result",
                why.c_str());
    std::fflush(stdout);
    for (const auto& daemon : daemons)
      daemon->Kill("end");
    if (std::getenv("KEEP") == nullptr)
    {
      for (const auto& daemon : daemons)
      {
        unlink((folder + "/" + daemon->name + "-" + daemon->ip + ".json").c_str());
        unlink((folder + "/" + daemon->name + "-" + daemon->ip + ".log").c_str());
      }
      rmdir(folder.c_str());
    }
    else
      std::printf("logs: %s\n", folder.c_str());
    std::fflush(stdout);
    _exit(status);
  }
};

/// A backend server.
class Server
{
public:
  struct Run
  {
    std::string id;
    std::string from;
    std::string tenant;
    double at = 0;
  };
  struct Order
  {
    std::string from;
    Json body;
    double at = 0;
    int status = 0;
  };

  std::string id;
  std::string ip;
  int port = FirstPort() + 3;
  std::string service;
  std::string zone = "hall-a";
  std::string version = "v1";
  int slots = 64;
  double work_s = 0.02;
  double load_s = 1.0;
  bool runs_models = false;
  /// Takes over a request that would run, if set; returns whether the connection goes on.
  std::function<bool(const Message&, Connection&)> on_run;
  /// Called for an order before it is handled.
  std::function<void(const Order&)> on_order;

  bool Start(Store& store, const std::set<std::string>& models = {})
  {
    m_store = &store;
    m_models = models;
    if (!m_http.Listen(ip, port, [this](const Message& request, Connection& connection) {
          return Handle(request, connection);
        }))
      return false;
    WriteEntry();
    std::thread([this] {
      while (!m_stopped)
      {
        SleepFor(1.2);
        if (!m_stopped)
          WriteEntry();
      }
    }).detach();
    return true;
  }

  std::vector<Run> Runs()
  {
    const std::lock_guard guard(m_mutex);
    return m_runs;
  }
  std::vector<Order> Orders()
  {
    const std::lock_guard guard(m_mutex);
    return m_orders;
  }
  void SetDraining()
  {
    {
      const std::lock_guard guard(m_mutex);
      m_state = "draining";
    }
    WriteEntry();
  }
  /// Leaves as planned without saying so first: its entry goes, and it serves on.
  void LeaveList()
  {
    m_stopped = true;
    Note("the entry of %s goes; it serves on", id.c_str());
    m_store->Remove("servers", id);
  }
  /// Ends: connections are refused, and the entry lapses later.
  void Crash()
  {
    m_stopped = true;
    m_http.Stop();
  }

  void WriteEntry()
  {
    Json entry;
    {
      const std::lock_guard guard(m_mutex);
      entry = {{"service", service}, {"address", ip + ":" + std::to_string(port)},
               {"zone", zone},       {"version", version},
               {"slots", slots},     {"state", m_state},
               {"coldLeftMs", 0},    {"seq", ++m_beats}};
      if (runs_models)
      {
        entry["stage"] = "combined";
        entry["models"] = ModelsJson();
      }
    }
    m_store->Put("servers", id, entry.dump());
  }

  /// What another writer leaves under the id of this server: its entry, without `stage` and
  /// `models`. The server's next heartbeat replaces it.
  void WriteEntryWithoutModels()
  {
    Json entry = Json::parse(m_store->Get("servers", id));
    entry.erase("stage");
    entry.erase("models");
    Note("another writer leaves servers/%s = %s", id.c_str(), entry.dump().c_str());
    m_store->Put("servers", id, entry.dump());
  }

private:
  Json ModelsJson() const
  {
    Json models = Json::array();
    for (const std::string& model : m_models)
      models.push_back({{"name", model}, {"version", 1}, {"adapters", Json::array()}});
    return models;
  }

  bool Handle(const Message& request, Connection& connection)
  {
    const std::string path = request.Path();
    const std::string attempt = request.Find("Attempt-Id");
    const std::string expected = request.Find("Expect-Instance");
    std::vector<Header> headers;
    if (!attempt.empty())
      headers.push_back({"Attempt-Id", attempt});
    if (!expected.empty() && expected != id)
    {
      headers.push_back({"Instance", id});
      return connection.Write(Response(421, headers, ""));
    }
    if (path == "/health")
      return connection.Write(Response(200, {{"Instance", id}}, ""));
    if (path == "/report")
      return connection.Write(Response(200, {{"Content-Type", "application/json"}}, Report()));
    if (path == "/order")
      return connection.Write(Response(TakeOrder(request), {}, ""));
    if (runs_models && !Holds(request.Find("Model")))
      return connection.Write(Response(421, headers, ""));
    if (++m_running > slots)
    {
      --m_running;
      headers.push_back({"Not-Run", "1"});
      return connection.Write(Response(503, headers, ""));
    }
    {
      const std::lock_guard guard(m_mutex);
      m_runs.push_back({attempt, request.peer, request.Find("Tenant"), Now()});
    }
    Note("%s runs %s from %s", id.c_str(), attempt.c_str(), request.peer.c_str());
    bool goes_on = false;
    if (on_run)
      goes_on = on_run(request, connection);
    else
    {
      SleepFor(work_s);
      headers.push_back({"Server-Stamp", "stamp-" + id + "-" + attempt});
      goes_on = connection.Write(Response(200, headers, "answer of " + id + " to " + attempt));
    }
    --m_running;
    return goes_on;
  }

  bool Holds(const std::string& artifact)
  {
    const std::lock_guard guard(m_mutex);
    return m_models.contains(artifact.substr(0, artifact.find('/')));
  }

  std::string Report()
  {
    const std::lock_guard guard(m_mutex);
    return Json({{"stage", "combined"},
                 {"models", ModelsJson()},
                 {"busy", m_busy},
                 {"seq", m_sequence},
                 {"queued", 0},
                 {"running", m_running.load()},
                 {"kvUsed", 0},
                 {"kvTotal", 100000},
                 {"handles", 0}})
        .dump();
  }

  int TakeOrder(const Message& request)
  {
    Order order{request.peer, Json::parse(request.body, nullptr, false), Now(), 0};
    {
      const std::lock_guard guard(m_mutex);
      order.status = StatusOf(order.body);
      m_orders.push_back(order);
    }
    Note("%s gets order %s from %s: %d", id.c_str(), request.body.c_str(), request.peer.c_str(),
         order.status);
    if (on_order)
      on_order(order);
    if (order.status == 202)
      std::thread([this, order] {
        SleepFor(load_s);
        {
          const std::lock_guard guard(m_mutex);
          const std::string model = order.body.value("model", "");
          if (order.body.value("operation", "") == "load")
            m_models.insert(model);
          else
            m_models.erase(model);
          m_busy = false;
        }
        WriteEntry();
      }).detach();
    return order.status;
  }

  int StatusOf(const Json& order)
  {
    if (!order.is_object() || !order.contains("holder") || !order.contains("fence"))
      return 400;
    const bool is_load = order.value("operation", "") == "load";
    if (m_models.contains(order.value("model", "")) == is_load)
      return 200;
    if (m_busy || order.value("expectedRev", m_sequence) != m_sequence)
      return 409;
    ++m_sequence;
    m_busy = true;
    return 202;
  }

  Store* m_store = nullptr;
  HttpServer m_http;
  std::mutex m_mutex;
  std::set<std::string> m_models;
  std::vector<Run> m_runs;
  std::vector<Order> m_orders;
  std::string m_state = "ready";
  bool m_busy = false;
  std::int64_t m_sequence = 0;
  int m_beats = 0;
  std::atomic<int> m_running{0};
  std::atomic<bool> m_stopped{false};
};
} // namespace Lab
