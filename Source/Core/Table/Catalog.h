// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Random.h"
#include "Common/Units.h"
#include "Table/Row.h"

namespace Table
{
/// Something that a backend server loads, as the table decides it.
struct Artifact
{
  Common::ArtifactId id;
  Common::ArtifactId base; ///< For an adapter: the model version below it.
  std::string pool;
  Common::MegaBytes memory;
  std::int64_t replicas = 0;
  std::int64_t weight = 1;
  std::int64_t limit = 0; ///< Requests at once at one replica; 0: what the engine allows.
  Common::Milliseconds deadline{0};
  std::string row_key; ///< The table row that a claim is conditioned on.
};

struct BackendServer
{
  Common::VmId vm;
  std::string pool;
  Common::DataCentreId data_centre;
  std::string address; ///< IP:port
  Common::MegaBytes memory;
  bool checks_fencing = false;
};

struct Service
{
  Common::ServiceId id;
  std::int64_t weight = 1;
  std::int64_t limit = 0;
  Common::Milliseconds deadline{0};
  std::string key_hash;
};

struct PlainService
{
  std::string name;
  std::string pool;
  std::int64_t limit = 0;
  Common::Milliseconds deadline{0};
};

/// The table in the form that decisions read: everything looked up by id.
class Catalog
{
public:
  Catalog() = default;
  explicit Catalog(const std::vector<Row>& rows);

  const Artifact* FindArtifact(const Common::ArtifactId& id) const;
  const BackendServer* FindBackendServer(const Common::VmId& vm) const;
  const PlainService* FindPlainService(const std::string& name) const;
  const Service* FindServiceByKeyHash(const std::string& hash) const;
  const Service* FindService(const Common::ServiceId& id) const;
  /// Whether a call of a plain service may be repeated; calls not in the table may not.
  bool IsRepeatable(const std::string& service, const std::string& path) const;
  /// The artifact for a `model` of a caller: an adapter, MODEL.VERSION, or a model whose version
  /// is drawn by weight. Nothing where the table does not know it.
  const Artifact* Resolve(const std::string& name, Common::Random& random) const;
  std::int64_t SettingNumber(const std::string& name, std::int64_t fallback) const;

  const std::map<Common::ArtifactId, Artifact>& Artifacts() const { return m_artifacts; }
  const std::map<Common::VmId, BackendServer>& BackendServers() const { return m_backend_servers; }
  const std::map<Common::ServiceId, Service>& Services() const { return m_services; }
  bool HasServiceKeys() const { return !m_service_by_hash.empty(); }
  std::vector<std::string> ModelNames() const;

private:
  void AddModel(const Row& row);
  void AddVersion(const Row& row);
  void AddAdapter(const Row& row);
  void AddBackendServer(const Row& row);
  void AddService(const Row& row);

  std::map<std::string, Row> m_models;
  std::map<std::string, std::vector<Common::ArtifactId>> m_versions;
  std::map<Common::ArtifactId, Artifact> m_artifacts;
  std::map<Common::VmId, BackendServer> m_backend_servers;
  std::map<Common::ServiceId, Service> m_services;
  std::map<std::string, Common::ServiceId> m_service_by_hash;
  std::map<std::string, PlainService> m_plain_services;
  std::map<std::string, bool> m_repeatable;
  std::map<std::string, std::string> m_settings;
};
} // namespace Table
