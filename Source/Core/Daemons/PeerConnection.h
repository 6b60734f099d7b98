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
/// One authenticated TCP connection between daemons. Frame: length (4 bytes, little-endian), seal,
/// payload. The seal covers a nonce that the accepting side drew for this connection, the
/// direction and the number of the frame, so that no frame can be replayed or reordered.
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

  /// Exchanges the nonce. False where the peer is gone.
  Common::Task<bool> Handshake();
  /// Queues a frame; frames go out in order.
  void Send(std::string payload);
  /// The next frame's payload. Fails with Protocol on a frame that is not ours, with
  /// OutcomeUnknown at the end of the connection.
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
