// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <functional>
#include <memory>
#include <string>

#include <gio/gio.h>

#include "Common/Failure.h"
#include "Common/Task.h"
#include "Daemons/Messages.h"
#include "Http/GioAwait.h"

namespace Daemons
{
/// An authenticated TCP connection between daemons. Frame: length (4 bytes, little-endian), message
/// authentication code (MAC), payload. The MAC covers the payload, a random nonce of the connection
/// that the accepting side generates, and the direction and number of the frame, so that frames
/// cannot be replayed or reordered.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
  enum class Side
  {
    Connecting,
    Accepting,
  };

  static constexpr std::size_t MAX_FRAME_BYTES = 8 * 1024 * 1024;

  PeerConnection(Http::GRef<GSocketConnection> connection, std::string key, Side side);
  ~PeerConnection();

  /// Sends or receives the nonce. Returns false if the connection was closed before.
  Common::Task<bool> Handshake();
  /// Queues a frame. Frames are sent in order.
  void Send(std::string payload);
  /// Returns the payload of the next frame. Fails with Protocol if the frame is too large or not
  /// authentic, and with OutcomeUnknown if the connection was closed.
  Common::Task<Common::Result<std::string>> Receive();
  void Close();
  bool IsOpen() const { return m_open; }

private:
  std::string Context(bool outgoing, std::int64_t number) const;
  Common::Task<bool> ReadExactly(std::string& buffer, std::size_t size);
  Common::Task<void> WriteQueued();

  Http::GRef<GSocketConnection> m_connection;
  Http::GRef<GCancellable> m_cancellable;
  std::string m_key;
  Side m_side;
  std::string m_nonce;
  std::string m_outgoing;
  std::int64_t m_sent = 0;
  std::int64_t m_received = 0;
  bool m_writing = false;
  bool m_open = true;
};
} // namespace Daemons
