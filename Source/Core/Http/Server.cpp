// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Http/Server.h"

#include <deque>

#include <libsoup/soup.h>

#include "Common/Loop.h"
#include "Http/GioAwait.h"

namespace Http
{
namespace
{
using Common::FailureKind;
using Common::Task;

/// Maximum unsent bytes of one response; beyond it `Write` waits for the reader.
constexpr std::size_t MAX_UNSENT_BYTES = 64 * 1024;
constexpr int STATUS_TOO_LARGE = 413;
/// With GLib's default of 10, connections are reset in a burst of first requests.
constexpr int LISTEN_BACKLOG = 1024;
constexpr int STATUS_UNAVAILABLE = 503;

class SoupExchange : public Exchange, public std::enable_shared_from_this<SoupExchange>
{
public:
  SoupExchange(SoupServerMessage* message, const char* path)
      : m_message(GRef<SoupServerMessage>::Share(message)),
        m_method(soup_server_message_get_method(message)),
        m_path(path)
  {
    CopyRequest();
  }

  /// Keeps the exchange alive until libsoup has finished with the message.
  void Attach(std::size_t* open_exchanges)
  {
    m_open_exchanges = open_exchanges;
    ++*m_open_exchanges;
    m_self = shared_from_this();
    g_signal_connect(m_message.Get(), "finished",
                     G_CALLBACK(+[](SoupServerMessage*, gpointer data) {
                       static_cast<SoupExchange*>(data)->Finish();
                     }),
                     this);
    g_signal_connect(m_message.Get(), "wrote-body-data",
                     G_CALLBACK(+[](SoupServerMessage*, guint size, gpointer data) {
                       static_cast<SoupExchange*>(data)->Wrote(size);
                     }),
                     this);
    soup_server_message_pause(m_message.Get());
  }

  const std::string& Method() const override { return m_method; }
  const std::string& Path() const override { return m_path; }
  const Headers& RequestHeaders() const override { return m_headers; }
  const std::string& Body() const override { return m_body; }

  std::string Query(const std::string& name) const override
  {
    const char* query = g_uri_get_query(soup_server_message_get_uri(m_message.Get()));
    if (!query)
      return {};
    GHashTable* form = soup_form_decode(query);
    const auto* value = static_cast<const char*>(g_hash_table_lookup(form, name.c_str()));
    std::string copy = value ? value : "";
    g_hash_table_destroy(form);
    return copy;
  }

  void Respond(int status, const std::string& content_type, std::string body,
               const Headers& headers) override
  {
    if (m_closed || m_responded)
      return;
    m_responded = true;
    SetHead(status, headers);
    soup_server_message_set_response(m_message.Get(), content_type.c_str(), SOUP_MEMORY_COPY,
                                     body.data(), body.size());
    soup_server_message_unpause(m_message.Get());
  }

  void StartStream(int status, const std::string& content_type, const Headers& headers) override
  {
    if (m_closed || m_responded)
      return;
    m_responded = true;
    SetHead(status, headers);
    SoupMessageHeaders* response = soup_server_message_get_response_headers(m_message.Get());
    soup_message_headers_set_content_type(response, content_type.c_str(), nullptr);
    soup_message_headers_set_encoding(response, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(ResponseBody(), FALSE);
    soup_server_message_unpause(m_message.Get());
  }

  Task<bool> Write(std::string chunk) override
  {
    const auto self = shared_from_this();
    if (m_closed)
      co_return false;
    if (chunk.empty())
      co_return true;
    m_unsent += chunk.size();
    soup_message_body_append(ResponseBody(), SOUP_MEMORY_COPY, chunk.data(), chunk.size());
    soup_server_message_unpause(m_message.Get());
    while (m_unsent > MAX_UNSENT_BYTES && !m_closed)
    {
      m_writable = Common::Completion<bool>();
      co_await m_writable.WaitUntil(Common::Now() + std::chrono::hours(1));
    }
    co_return !m_closed;
  }

  void EndStream() override
  {
    if (m_closed)
      return;
    soup_message_body_complete(ResponseBody());
    soup_server_message_unpause(m_message.Get());
  }

  void Abort() override
  {
    if (m_closed)
      return;
    GSocket* socket = soup_server_message_get_socket(m_message.Get());
    if (socket)
      g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    soup_server_message_unpause(m_message.Get());
  }

  bool IsClosed() const override { return m_closed; }
  void OnClosed(std::function<void()> callback) override { m_on_closed = std::move(callback); }

private:
  void CopyRequest()
  {
    SoupMessageHeadersIter iter;
    soup_message_headers_iter_init(&iter, soup_server_message_get_request_headers(m_message.Get()));
    const char* name = nullptr;
    const char* value = nullptr;
    while (soup_message_headers_iter_next(&iter, &name, &value))
    {
      char* lower = g_ascii_strdown(name, -1);
      m_headers[lower] = value;
      g_free(lower);
    }
    SoupMessageBody* body = soup_server_message_get_request_body(m_message.Get());
    if (body && body->data)
      m_body.assign(body->data, static_cast<std::size_t>(body->length));
  }

  SoupMessageBody* ResponseBody() { return soup_server_message_get_response_body(m_message.Get()); }

  void SetHead(int status, const Headers& headers)
  {
    soup_server_message_set_status(m_message.Get(), static_cast<guint>(status), nullptr);
    for (const auto& [name, value] : headers)
      soup_message_headers_replace(soup_server_message_get_response_headers(m_message.Get()),
                                   name.c_str(), value.c_str());
  }

  void Wrote(std::size_t size)
  {
    m_unsent -= std::min(size, m_unsent);
    if (m_unsent <= MAX_UNSENT_BYTES / 2)
      m_writable.Set(true);
  }

  void Finish()
  {
    g_signal_handlers_disconnect_by_data(m_message.Get(), this);
    m_closed = true;
    --*m_open_exchanges;
    m_writable.Set(false);
    const auto self = std::move(m_self);
    if (auto callback = std::exchange(m_on_closed, nullptr))
      callback();
  }

  GRef<SoupServerMessage> m_message;
  std::string m_method;
  std::string m_path;
  Headers m_headers;
  std::string m_body;
  std::shared_ptr<SoupExchange> m_self;
  std::size_t* m_open_exchanges = nullptr;
  std::function<void()> m_on_closed;
  Common::Completion<bool> m_writable;
  std::size_t m_unsent = 0;
  bool m_responded = false;
  bool m_closed = false;
};
} // namespace

std::string Exchange::Header(const std::string& name) const
{
  const auto found = RequestHeaders().find(name);
  return found == RequestHeaders().end() ? std::string() : found->second;
}

void Exchange::RespondJson(int status, const Common::Json& body, const Headers& headers)
{
  Respond(status, "application/json", Common::DumpJson(body) + "\n", headers);
}

struct Server::Impl
{
  GRef<SoupServer> soup{SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr))};
  Limits limits;
  std::size_t open_exchanges = 0;
  /// A deque, since libsoup's callbacks hold pointers to the handlers.
  std::deque<Handler> handlers;

  void Refuse(SoupServerMessage* message, int status, const char* reason)
  {
    const std::string body = std::string(R"({"error":{"type":")") + reason +
                             R"(","ran":"not_run","message":"refused before it was read"}})";
    // A client may send its body without waiting for the response; the body is then not stored.
    soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    soup_server_message_set_status(message, static_cast<guint>(status), nullptr);
    soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, body.data(),
                                     body.size());
  }

  /// Runs before the body is read, so that a request that is too large or exceeds the number of
  /// open requests is refused without storing its body.
  void RefuseEarly(SoupServerMessage* message)
  {
    SoupMessageHeaders* headers = soup_server_message_get_request_headers(message);
    const auto length = static_cast<std::size_t>(soup_message_headers_get_content_length(headers));
    if (length > limits.max_body_bytes)
      Refuse(message, STATUS_TOO_LARGE, "body_too_large");
    else if (open_exchanges >= limits.max_exchanges)
      Refuse(message, STATUS_UNAVAILABLE, "too_many_requests_open");
    else
      LimitChunkedBody(message);
  }

  void LimitChunkedBody(SoupServerMessage* message)
  {
    auto* remaining = new std::size_t(limits.max_body_bytes);
    g_object_set_data_full(G_OBJECT(message), "drumpond-left", remaining, [](gpointer data) {
      delete static_cast<std::size_t*>(data);
    });
    g_signal_connect(message, "got-chunk",
                     G_CALLBACK(+[](SoupServerMessage* got, GBytes* chunk, gpointer data) {
                       auto* remaining_bytes = static_cast<std::size_t*>(data);
                       const std::size_t size = g_bytes_get_size(chunk);
                       if (size <= *remaining_bytes)
                         *remaining_bytes -= size;
                       else if (GSocket* socket = soup_server_message_get_socket(got))
                         g_socket_shutdown(socket, TRUE, TRUE, nullptr);
                     }),
                     remaining);
  }
};

Server::Server(Limits limits) : m_impl(std::make_unique<Impl>())
{
  m_impl->limits = limits;
}

Server::~Server() = default;

void Server::Handle(const std::string& prefix, Handler handler)
{
  struct Entry
  {
    Impl* impl;
    Handler* handler;
  };
  // libsoup calls an early handler only if it is registered at the path of the handler that serves
  // the request.
  soup_server_add_early_handler(
      m_impl->soup.Get(), prefix.c_str(),
      [](SoupServer*, SoupServerMessage* message, const char*, GHashTable*, gpointer data) {
        static_cast<Impl*>(data)->RefuseEarly(message);
      },
      m_impl.get(), nullptr);
  Handler& stored_handler = m_impl->handlers.emplace_back(std::move(handler));
  auto* entry = new Entry{m_impl.get(), &stored_handler};
  soup_server_add_handler(
      m_impl->soup.Get(), prefix.c_str(),
      [](SoupServer*, SoupServerMessage* message, const char* path, GHashTable*, gpointer data) {
        // Already refused by the early handler.
        if (soup_server_message_get_status(message) != 0)
          return;
        auto* found = static_cast<Entry*>(data);
        auto exchange = std::make_shared<SoupExchange>(message, path);
        exchange->Attach(&found->impl->open_exchanges);
        Common::Spawn((*found->handler)(exchange));
      },
      entry,
      [](gpointer data) {
        delete static_cast<Entry*>(data);
      });
}

Common::Result<Common::Done> Server::Listen(const std::string& address, int port)
{
  GRef<GSocketAddress> socket_address(
      g_inet_socket_address_new_from_string(address.c_str(), static_cast<guint>(port)));
  if (!socket_address)
    return {FailureKind::InvalidInput, "not an IP address: " + address};
  GError* error = nullptr;
  const GRef<GSocket> socket(g_socket_new(g_socket_address_get_family(socket_address.Get()),
                                          G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error));
  if (socket)
    g_socket_set_listen_backlog(socket.Get(), LISTEN_BACKLOG);
  if (socket && g_socket_bind(socket.Get(), socket_address.Get(), TRUE, &error) &&
      g_socket_listen(socket.Get(), &error) &&
      soup_server_listen_socket(m_impl->soup.Get(), socket.Get(), SoupServerListenOptions(0),
                                &error))
    return Common::Done{};
  const std::string detail = error ? error->message : "unknown";
  g_clear_error(&error);
  return {FailureKind::Unavailable, detail};
}

void Server::StopListening()
{
  GSList* listeners = soup_server_get_listeners(m_impl->soup.Get());
  for (GSList* item = listeners; item; item = item->next)
    g_socket_close(G_SOCKET(item->data), nullptr);
  g_slist_free(listeners);
}

std::size_t Server::OpenExchanges() const
{
  return m_impl->open_exchanges;
}
} // namespace Http
