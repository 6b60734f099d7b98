// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

// Servers that stop after any byte of a response and end the connection. A caller must not take
// what it gets for a complete response.

#include "Gateway/Dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include "Http/MessageParser.h"
#include "Tunnels/TunnelServer.h"
#include "UnitTests/Support/CutResponses.h"
#include "UnitTests/Support/RelayWorld.h"

namespace
{
using Common::Milliseconds;
using UnitTests::Ending;
using UnitTests::EndSoon;
using UnitTests::Event;
using UnitTests::FramedResponse;
using UnitTests::Framing;
using UnitTests::HeaderOf;
using UnitTests::ONCE_PATH;
using UnitTests::ONE_STREAM_PATH;
using UnitTests::PLAIN_PATH;
using UnitTests::RunUntil;
using UnitTests::STREAM_PATH;
using UnitTests::TestPeer;
using UnitTests::TestServer;
using UnitTests::WithBareLineFeeds;

constexpr std::size_t WORLDS_AT_ONCE = 24;
constexpr const char* INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";

/// Parses what a caller has received.
struct ReceivedResponse : public Http::MessageSink
{
  explicit ReceivedResponse(const TestPeer& caller)
  {
    Http::MessageParser parser(Http::MessageParser::Kind::Response, this);
    std::size_t consumed = 0;
    auto result = parser.Feed(caller.received, &consumed);
    if (result == Http::MessageParser::Status::NeedsMore && caller.ended &&
        caller.end == Http::StreamEnd::Closed)
      result = parser.FeedEnd();
    is_complete = result == Http::MessageParser::Status::MessageEnded;
  }

  void OnHead(Http::MessageHead& head) override { status = head.status; }
  void OnBody(std::string_view bytes) override { body += bytes; }
  void OnMessageEnd() override {}

  bool is_complete = false;
  int status = 0;
  std::string body;
};

/// What the server under test sends.
struct Script
{
  std::string path;
  std::string before;   ///< Sent before the response: interim or surplus responses.
  std::string response; ///< With the text "ID" where the request's id is.
  std::string body;
  Ending ending = Ending::Close;
  bool states_end = true;
};

std::string WithId(std::string text, const std::string& id)
{
  const auto at = text.rfind("Req-Id: ID");
  return at == std::string::npos ? text : text.replace(at, 10, "Req-Id: " + id);
}

/// A caller and a server that sends the first `size` bytes of its response.
class CutWorld : public UnitTests::RelayWorld
{
public:
  CutWorld(const Script& script, std::size_t size)
      : m_server([this, script, size](TestPeer& peer, const std::string& head) {
          const std::string response = WithId(script.response, HeaderOf(head, "Req-Id"));
          peer.stream->Write(script.before + response.substr(0, size));
          EndSoon(peer, script.ending);
        })
  {
    AddServer("i-1", m_server.Address());
    Ask(script.path, "id", "Left-Ms: 1000\r\n");
  }

  bool HasEnded() const { return caller.ended || ReceivedResponse(caller).is_complete; }

private:
  TestServer m_server;
};

class CutHeadsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CutHeadsTest);
  CPPUNIT_TEST(CutResponseIsParsedAsComplete);
  CPPUNIT_TEST(CutPlainResponseLooksComplete);
  CPPUNIT_TEST(CutResponseOfARequestThatMayNotBeRepeatedLooksComplete);
  CPPUNIT_TEST(CutStreamLooksComplete);
  CPPUNIT_TEST(CutResponseThatIsResetLooksComplete);
  CPPUNIT_TEST(CutResponseAfterAnInterimOneLooksComplete);
  CPPUNIT_TEST(CutResponseAfterASurplusOneLooksComplete);
  CPPUNIT_TEST(CutResponseWithBareLineFeedsLooksComplete);
  CPPUNIT_TEST(CutResponseThroughAHelperLooksComplete);
  CPPUNIT_TEST_SUITE_END();

  static Script MakeScript(const std::string& path, Framing framing, Ending ending)
  {
    const bool is_stream = path == STREAM_PATH || path == ONE_STREAM_PATH;
    Script script;
    script.path = path;
    script.body = is_stream ? Event(1) + Event(2) : "body";
    const std::string type = is_stream ? "text/event-stream" : "text/plain";
    script.response = FramedResponse(
        framing, "Req-Id: ID\r\nSigned: yes\r\nContent-Type: " + type + "\r\n", script.body);
    script.ending = ending;
    script.states_end = framing != Framing::None;
    return script;
  }

  /// True if a close after `size` bytes of the response is its end.
  static bool IsWhole(const Script& script, std::size_t size)
  {
    const auto crlf = script.response.find("\r\n\r\n");
    const std::size_t head =
        crlf == std::string::npos ? script.response.find("\n\n") + 2 : crlf + 4;
    if (!script.states_end && script.ending == Ending::Close)
      return size >= head;
    return size == script.response.size();
  }

  static void Check(const Script& script, std::size_t size, const CutWorld& world)
  {
    const std::string name = script.path + ", " + std::to_string(size) + " bytes of " +
                             script.response + " gave " + world.caller.received;
    CPPUNIT_ASSERT_MESSAGE(name, world.HasEnded());
    const ReceivedResponse received(world.caller);
    const bool is_success = received.is_complete && received.status == 200;
    const bool is_whole = IsWhole(script, size);
    if (!is_whole)
      CPPUNIT_ASSERT_MESSAGE(name, !is_success);
    else if (script.states_end)
      CPPUNIT_ASSERT_MESSAGE(name, is_success && received.body == script.body);
  }

  static void CheckAllCuts(const Script& script, std::size_t step = 1)
  {
    std::vector<std::size_t> sizes;
    // The id on the wire is as long as its mark in the script.
    for (std::size_t size = 0; size <= script.response.size(); size += step)
      sizes.push_back(size);
    for (std::size_t begin = 0; begin < sizes.size(); begin += WORLDS_AT_ONCE)
    {
      const std::size_t end = std::min(sizes.size(), begin + WORLDS_AT_ONCE);
      std::vector<std::unique_ptr<CutWorld>> worlds;
      for (std::size_t i = begin; i < end; ++i)
        worlds.push_back(std::make_unique<CutWorld>(script, sizes[i]));
      RunUntil([&] {
        return std::ranges::all_of(worlds, &CutWorld::HasEnded);
      });
      for (std::size_t i = begin; i < end; ++i)
        Check(script, sizes[i], *worlds[i - begin]);
    }
  }

  static void CheckPath(const std::string& path, Ending ending)
  {
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::None})
      CheckAllCuts(MakeScript(path, framing, ending));
  }

  /// Each cut in one piece and byte by byte.
  static void ParseCuts(const std::string& before, const std::string& response, bool states_end,
                        std::size_t head_size)
  {
    for (std::size_t size = 0; size < response.size(); ++size)
    {
      if (!states_end && size >= head_size)
        return;
      const std::string bytes = before + response.substr(0, size);
      TestPeer peer;
      peer.ended = true;
      peer.received = bytes;
      CPPUNIT_ASSERT_MESSAGE(bytes, !ReceivedResponse(peer).is_complete);
      ReceivedResponse sink{TestPeer()};
      Http::MessageParser parser(Http::MessageParser::Kind::Response, &sink);
      for (const char& byte : bytes)
      {
        std::size_t consumed = 0;
        CPPUNIT_ASSERT(parser.Feed({&byte, 1}, &consumed) ==
                       Http::MessageParser::Status::NeedsMore);
      }
      CPPUNIT_ASSERT_MESSAGE(bytes, parser.FeedEnd() != Http::MessageParser::Status::MessageEnded);
    }
  }

  void CutResponseIsParsedAsComplete()
  {
    for (const std::string before :
         {"", INTERIM, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\n\n"})
      for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::None})
      {
        const Script script = MakeScript(PLAIN_PATH, framing, Ending::Close);
        const std::string bare = WithBareLineFeeds(script.response);
        ParseCuts(before, script.response, script.states_end, script.response.find("\r\n\r\n") + 4);
        ParseCuts(before, bare, script.states_end, bare.find("\n\n") + 2);
      }
  }

  void CutPlainResponseLooksComplete() { CheckPath(PLAIN_PATH, Ending::Close); }

  void CutResponseOfARequestThatMayNotBeRepeatedLooksComplete()
  {
    CheckPath(ONCE_PATH, Ending::Close);
  }

  void CutStreamLooksComplete() { CheckPath(ONE_STREAM_PATH, Ending::Close); }

  void CutResponseThatIsResetLooksComplete()
  {
    CheckPath(PLAIN_PATH, Ending::Reset);
    CheckPath(ONCE_PATH, Ending::Reset);
    CheckPath(ONE_STREAM_PATH, Ending::Reset);
  }

  void CheckAfter(const std::string& before)
  {
    for (const char* path : {ONCE_PATH, ONE_STREAM_PATH})
      for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::None})
      {
        Script script = MakeScript(path, framing, Ending::Close);
        script.before = before;
        CheckAllCuts(script, 3);
      }
  }

  void CutResponseAfterAnInterimOneLooksComplete()
  {
    CheckAfter(INTERIM);
    CheckAfter("HTTP/1.1 100 Continue\r\n\r\n");
  }

  /// A response to an earlier request, with another id.
  void CutResponseAfterASurplusOneLooksComplete()
  {
    CheckAfter(FramedResponse(Framing::Length, "Req-Id: other\r\nSigned: yes\r\n", "other"));
    CheckAfter(FramedResponse(Framing::Chunks, "Req-Id: other\r\nSigned: yes\r\n", "other"));
  }

  void CutResponseWithBareLineFeedsLooksComplete()
  {
    for (const char* path : {ONCE_PATH, ONE_STREAM_PATH})
      for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::None})
      {
        Script script = MakeScript(path, framing, Ending::Close);
        if (path == ONCE_PATH || framing == Framing::None)
          script.response = WithBareLineFeeds(script.response);
        CheckAllCuts(script, 2);
      }
  }

  /// The helper connects for a VM that reaches no server itself.
  void CutResponseThroughAHelperLooksComplete()
  {
    for (const Framing framing : {Framing::Length, Framing::Chunks, Framing::None})
      for (const Ending ending : {Ending::Close, Ending::Reset})
      {
        const Script script = MakeScript(ONCE_PATH, framing, ending);
        for (std::size_t size = 0; size <= script.response.size(); size += 5)
          CheckThroughHelper(script, size);
      }
  }

  static void CheckThroughHelper(const Script& script, std::size_t size)
  {
    TestServer server([&](TestPeer& peer, const std::string& head) {
      const std::string id = HeaderOf(head, "Req-Id");
      const std::string response = WithId(script.response, id);
      peer.stream->Write(id == "first" ? UnitTests::Answer(head, "x") : response.substr(0, size));
      if (id != "first")
        EndSoon(peer, script.ending);
    });
    Tunnels::TunnelServer helper([&](const Tunnels::TunnelTarget&) {
      return std::optional(server.Address());
    });
    CPPUNIT_ASSERT(static_cast<bool>(helper.Listen(Http::Endpoint{htonl(INADDR_LOOPBACK), 0})));
    UnitTests::RelayWorld world;
    world.dispatcher.Paths().SetHelpers({helper.Local()});
    world.AddServer("i-1", UnitTests::FreeEndpoint());
    world.AddServer("i-2", UnitTests::FreeEndpoint());
    world.Ask(PLAIN_PATH, "first");
    CPPUNIT_ASSERT(world.CallerGot("HTTP/1.1 200 "));
    world.caller.received.clear();
    world.Ask(script.path, "id", "Left-Ms: 1000\r\n");
    CPPUNIT_ASSERT(RunUntil([&] {
      return world.caller.ended || ReceivedResponse(world.caller).is_complete;
    }));
    const ReceivedResponse received(world.caller);
    const bool is_success = received.is_complete && received.status == 200;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(size) + " bytes gave " + world.caller.received,
                           IsWhole(script, size) || !is_success);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CutHeadsTest);
} // namespace
