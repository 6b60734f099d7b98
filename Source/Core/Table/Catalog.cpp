// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Table/Catalog.h"

#include <algorithm>
#include <charconv>
#include <numeric>

namespace Table
{
namespace
{
using Common::ArtifactId;
using Common::Milliseconds;

template <typename Map, typename Key>
const typename Map::mapped_type* Find(const Map& map, const Key& key)
{
  const auto found = map.find(key);
  return found == map.end() ? nullptr : &found->second;
}

std::string CallKey(const std::string& service, const std::string& path)
{
  return service + " " + path;
}
} // namespace

Catalog::Catalog(const std::vector<Row>& rows)
{
  const auto each = [&rows](RowKind kind, auto&& add) {
    for (const Row& row : rows)
      if (row.kind == kind)
        add(row);
  };
  each(RowKind::Model, [this](const Row& row) {
    m_models.emplace(row.name, row);
  });
  each(RowKind::Version, [this](const Row& row) {
    AddVersion(row);
  });
  each(RowKind::Model, [this](const Row& row) {
    AddModel(row);
  });
  each(RowKind::Adapter, [this](const Row& row) {
    AddAdapter(row);
  });
  each(RowKind::BackendServer, [this](const Row& row) {
    AddBackendServer(row);
  });
  each(RowKind::Service, [this](const Row& row) {
    AddService(row);
  });
  each(RowKind::PlainService, [this](const Row& row) {
    m_plain_services[row.name] = {row.name, row.parent, row.limit.value_or(0),
                                  Milliseconds(row.deadline_ms.value_or(0))};
  });
  each(RowKind::Call, [this](const Row& row) {
    m_repeatable[CallKey(row.parent, row.value)] = row.repeatable.value_or(false);
  });
  each(RowKind::Setting, [this](const Row& row) {
    m_settings[row.name] = row.value;
  });
}

void Catalog::AddVersion(const Row& row)
{
  const auto model = m_models.find(row.parent);
  if (model == m_models.end())
    return;
  const Row& base = model->second;
  Artifact artifact;
  artifact.id = ArtifactId(row.name);
  artifact.pool = base.parent;
  artifact.memory = Common::MegaBytes(row.memory_mb.value_or(base.memory_mb.value_or(0)));
  artifact.replicas = row.replicas.value_or(0);
  artifact.weight = row.weight.value_or(1);
  artifact.limit = row.limit.value_or(base.limit.value_or(0));
  artifact.deadline = Milliseconds(row.deadline_ms.value_or(base.deadline_ms.value_or(0)));
  artifact.row_key = RowKey(row);
  m_versions[row.parent].push_back(artifact.id);
  m_artifacts.emplace(artifact.id, artifact);
}

void Catalog::AddModel(const Row& row)
{
  // A model that has versions is not an artifact itself; only its versions are.
  if (m_versions.contains(row.name))
    return;
  Artifact artifact;
  artifact.id = ArtifactId(row.name);
  artifact.pool = row.parent;
  artifact.memory = Common::MegaBytes(row.memory_mb.value_or(0));
  artifact.replicas = row.replicas.value_or(0);
  artifact.weight = row.weight.value_or(1);
  artifact.limit = row.limit.value_or(0);
  artifact.deadline = Milliseconds(row.deadline_ms.value_or(0));
  artifact.row_key = RowKey(row);
  m_versions[row.name].push_back(artifact.id);
  m_artifacts.emplace(artifact.id, artifact);
}

void Catalog::AddAdapter(const Row& row)
{
  const auto versions = m_versions.find(row.parent);
  const ArtifactId base_id =
      versions == m_versions.end() ? ArtifactId(row.parent) : versions->second.front();
  const Artifact* base = FindArtifact(base_id);
  if (!base)
    return;
  Artifact artifact = *base;
  artifact.id = ArtifactId(row.name);
  artifact.base = base_id;
  artifact.memory = Common::MegaBytes(row.memory_mb.value_or(0));
  artifact.replicas = row.replicas.value_or(0);
  artifact.weight = row.weight.value_or(1);
  if (row.deadline_ms)
    artifact.deadline = Milliseconds(*row.deadline_ms);
  artifact.row_key = RowKey(row);
  m_artifacts.emplace(artifact.id, artifact);
}

void Catalog::AddBackendServer(const Row& row)
{
  BackendServer server;
  server.vm = Common::VmId(row.name);
  server.pool = row.parent;
  server.data_centre = Common::DataCentreId(row.data_centre);
  server.address = row.address;
  server.memory = Common::MegaBytes(row.memory_mb.value_or(0));
  server.checks_fencing = row.fencing == "checks";
  m_backend_servers.emplace(server.vm, server);
}

void Catalog::AddService(const Row& row)
{
  Service service;
  service.id = Common::ServiceId(row.name);
  service.weight = row.weight.value_or(1);
  service.limit = row.limit.value_or(0);
  service.deadline = Milliseconds(row.deadline_ms.value_or(0));
  service.key_hash = row.value;
  if (!service.key_hash.empty())
    m_service_by_hash.emplace(service.key_hash, service.id);
  m_services.emplace(service.id, service);
}

const Artifact* Catalog::FindArtifact(const ArtifactId& id) const
{
  return Find(m_artifacts, id);
}

const BackendServer* Catalog::FindBackendServer(const Common::VmId& vm) const
{
  return Find(m_backend_servers, vm);
}

const PlainService* Catalog::FindPlainService(const std::string& name) const
{
  return Find(m_plain_services, name);
}

const Service* Catalog::FindService(const Common::ServiceId& id) const
{
  return Find(m_services, id);
}

const Service* Catalog::FindServiceByKeyHash(const std::string& hash) const
{
  const auto* id = Find(m_service_by_hash, hash);
  return id ? FindService(*id) : nullptr;
}

bool Catalog::IsRepeatable(const std::string& service, const std::string& path) const
{
  const bool* repeatable = Find(m_repeatable, CallKey(service, path));
  return repeatable && *repeatable;
}

const Artifact* Catalog::Resolve(const std::string& name, Common::Random& random) const
{
  const auto versions = m_versions.find(name);
  if (versions == m_versions.end())
    return FindArtifact(ArtifactId(name));
  const auto weight_of = [this](const ArtifactId& id) {
    return m_artifacts.at(id).weight;
  };
  std::int64_t total = 0;
  for (const ArtifactId& id : versions->second)
    total += weight_of(id);
  if (total <= 0)
    return FindArtifact(versions->second.front());
  auto draw = static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(total));
  for (const ArtifactId& id : versions->second)
  {
    draw -= weight_of(id);
    if (draw < 0)
      return FindArtifact(id);
  }
  return FindArtifact(versions->second.back());
}

std::int64_t Catalog::SettingNumber(const std::string& name, std::int64_t fallback) const
{
  const std::string* text = Find(m_settings, name);
  if (!text)
    return fallback;
  std::int64_t number = fallback;
  std::from_chars(text->data(), text->data() + text->size(), number);
  return number;
}

std::vector<std::string> Catalog::ModelNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, row] : m_models)
    names.push_back(name);
  for (const auto& [id, artifact] : m_artifacts)
    if (!artifact.base.Empty() || !m_models.contains(id.Get()))
      names.push_back(id.Get());
  return names;
}
} // namespace Table
