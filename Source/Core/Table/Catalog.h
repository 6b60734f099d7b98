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
/// A model version or an adapter that backend servers can load, with its settings from the table.
struct Artifact
{
  Common::ArtifactId id;
  Common::ArtifactId base; ///< For an adapter: the model version that it needs.
  std::string pool;
  Common::MegaBytes memory;
  std::int64_t replicas = 0;
  std::int64_t weight = 1;
  std::int64_t limit = 0; ///< Concurrent requests per replica; 0: the server's limit.
  Common::Milliseconds deadline{0};
  std::string row_key; ///< The table row that a claim requires to be unchanged.
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

/// Read-only view of the table, indexed by id.
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
  /// Whether a call of a plain service may be repeated; false for calls that are not in the table.
  bool IsRepeatable(const std::string& service, const std::string& path) const;
  /// Returns the artifact for the `model` of a request: an adapter, MODEL.VERSION, or a model, for
  /// which one of the versions is picked at random by weight. Null if there is no such artifact.
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
