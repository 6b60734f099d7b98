// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A client that reads one answer strictly, and the configuration of a small deployment.

#include "Servers.h"

namespace Review
{
/// How the answer to one request ended.
enum class AnswerEnd
{
  Whole,      ///< Complete, as its head states.
  BrokenOff,  ///< The connection ended before the stated end.
  NoProtocol, ///< Bytes that HTTP/1.1 does not allow at their place.
  TimedOut,
};

inline const char* ToString(AnswerEnd end)
{
  switch (end)
  {
  case AnswerEnd::Whole:
    return "whole";
  case AnswerEnd::BrokenOff:
    return "broken off";
  case AnswerEnd::NoProtocol:
    return "BYTES THAT ARE NO ANSWER";
  case AnswerEnd::TimedOut:
    return "timed out";
  }
  return "";
}

struct Answer
{
  AnswerEnd end = AnswerEnd::TimedOut;
  int status = 0;
  Message head;
  std::string body;
  std::string offending; ///< The bytes that HTTP/1.1 does not allow.
};

/// Reads one answer on a connection.
class StrictReader
{
public:
  StrictReader(int fd, std::int64_t until) : m_fd(fd), m_until(until) {}

  Answer Read()
  {
    Answer answer;
    std::size_t head_end = 0;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos)
      if (!Fill())
      {
        answer.end = m_end;
        return answer;
      }
    ParseHead(m_buffer.substr(0, head_end), answer);
    m_buffer.erase(0, head_end + 4);
    const std::string length = answer.head.Header("Content-Length");
    if (!length.empty())
      ReadLength(std::strtoull(length.c_str(), nullptr, 10), answer);
    else if (strcasecmp(answer.head.Header("Transfer-Encoding").c_str(), "chunked") == 0)
      ReadChunks(answer);
    else
      ReadUntilClose(answer);
    return answer;
  }

private:
  static void ParseHead(const std::string& text, Answer& answer)
  {
    std::size_t begin = 0;
    while (begin < text.size())
    {
      const auto end = std::min(text.find("\r\n", begin), text.size());
      const std::string line = text.substr(begin, end - begin);
      begin = end + 2;
      const auto colon = line.find(": ");
      if (answer.head.first_line.empty())
        answer.head.first_line = line;
      else if (colon != std::string::npos)
        answer.head.headers.emplace_back(line.substr(0, colon), line.substr(colon + 2));
    }
    answer.status = answer.head.Status();
  }

  bool Fill()
  {
    const std::int64_t left = m_until - NowMs();
    pollfd poll_fd{m_fd, POLLIN, 0};
    if (left <= 0 || poll(&poll_fd, 1, static_cast<int>(left)) == 0)
    {
      m_end = AnswerEnd::TimedOut;
      return false;
    }
    char bytes[16384];
    const ssize_t count = recv(m_fd, bytes, sizeof(bytes), 0);
    m_was_closed = count == 0;
    if (count <= 0)
    {
      m_end = AnswerEnd::BrokenOff;
      return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
  }

  void ReadLength(std::size_t size, Answer& answer)
  {
    answer.end = AnswerEnd::Whole;
    while (m_buffer.size() < size)
      if (!Fill())
      {
        answer.end = m_end;
        break;
      }
    answer.body = m_buffer.substr(0, size);
    m_buffer.erase(0, answer.body.size());
  }

  void ReadUntilClose(Answer& answer)
  {
    while (Fill())
    {
    }
    answer.body = m_buffer;
    answer.end = m_was_closed ? AnswerEnd::Whole : m_end;
  }

  void ReadChunks(Answer& answer)
  {
    while (true)
    {
      std::size_t line_end = 0;
      while ((line_end = m_buffer.find("\r\n")) == std::string::npos)
        if (!Fill())
        {
          answer.end = m_end;
          return;
        }
      const std::string line = m_buffer.substr(0, line_end);
      if (line.empty() || line.find_first_not_of("0123456789abcdefABCDEF") != std::string::npos)
      {
        // What follows is read too, for the record.
        while (m_buffer.size() < 2000 && Fill())
        {
        }
        answer.offending = m_buffer;
        answer.end = AnswerEnd::NoProtocol;
        return;
      }
      m_buffer.erase(0, line_end + 2);
      const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
      while (m_buffer.size() < size + 2)
        if (!Fill())
        {
          answer.end = m_end;
          return;
        }
      answer.body += m_buffer.substr(0, size);
      m_buffer.erase(0, size + 2);
      if (size == 0)
      {
        answer.end = AnswerEnd::Whole;
        return;
      }
    }
  }

  int m_fd;
  std::int64_t m_until;
  std::string m_buffer;
  bool m_was_closed = false;
  AnswerEnd m_end = AnswerEnd::TimedOut;
};

/// Sends one request on a connection of its own and reads the answer until a deadline.
inline Answer Request(const Address& to, const std::string& bytes, std::int64_t timeout_ms)
{
  const int fd = Connect(to);
  if (fd < 0)
    return {AnswerEnd::BrokenOff, 0, {}, "", ""};
  Answer answer{AnswerEnd::BrokenOff, 0, {}, "", ""};
  if (SendAll(fd, bytes))
    answer = StrictReader(fd, NowMs() + timeout_ms).Read();
  close(fd);
  return answer;
}

/// A request as the pages show it.
inline std::string RequestBytes(const std::string& method, const std::string& path,
                                const std::string& id, std::int64_t time_left_ms,
                                const std::string& more_headers = "", const std::string& body = "")
{
  std::string bytes = method + " " + path + " HTTP/1.1\r\nHost: app.example\r\nAttempt-Id: " + id +
                      "\r\nTime-Left-Ms: " + std::to_string(time_left_ms) + "\r\n" + more_headers;
  if (method != "GET")
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return bytes + "\r\n" + body;
}

/// A service whose runners hold the models `names`.
inline Json EngineServiceJson(const std::string& name, int slots,
                              const std::vector<std::string>& names)
{
  Json models = Json::array();
  for (const std::string& model : names)
    models.push_back({{"name", model},
                      {"weightsMb", 72700.0},
                      {"loadS", 6.0},
                      {"adapters", 0},
                      {"adapterMb", 66.0},
                      {"warmS", 0.47},
                      {"diskS", 0.84}});
  Json service = ServiceJson(name, 360);
  service["engine"] = {{"slots", slots},      {"kvTokens", 135497}, {"models", models},
                       {"weightsMb", 230000}, {"adapterSlots", 8},  {"loadsPerS", 3.1}};
  return service;
}
} // namespace Review
