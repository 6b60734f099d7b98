// SPDX-FileCopyrightText: 2026 The drumpond developers
// SPDX-License-Identifier: Apache-2.0

#include "Table/CsvFile.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>

#include <csv.h>

namespace Table
{
namespace
{
enum class Column
{
  Kind,
  Name,
  Parent,
  DataCentre,
  Address,
  MemoryMb,
  Replicas,
  Weight,
  Limit,
  DeadlineMs,
  Repeatable,
  Fencing,
  Value,
};

constexpr std::array<std::string_view, 13> COLUMN_NAMES{
    "kind",   "name",  "parent",      "data_centre", "address", "memory_mb", "replicas",
    "weight", "limit", "deadline_ms", "repeatable",  "fencing", "value"};
constexpr std::int64_t MAX_NUMBER = 1'000'000'000;
constexpr std::size_t MAX_NAME = 128;

struct Parsing
{
  std::vector<std::string> cells;
  std::vector<std::vector<std::string>> lines;
};

void OnCell(void* data, std::size_t size, void* context)
{
  static_cast<Parsing*>(context)->cells.emplace_back(static_cast<const char*>(data), size);
}

void OnLine(int, void* context)
{
  auto* parsing = static_cast<Parsing*>(context);
  parsing->lines.push_back(std::exchange(parsing->cells, {}));
}

/// Converts the cells of one line into a row and collects the errors in them.
class LineReader
{
public:
  LineReader(const std::vector<std::string>& cells, int line, std::vector<CellError>& errors)
      : m_cells(cells), m_line(line), m_errors(errors)
  {
  }

  Row Read()
  {
    Row row;
    const auto kind = ParseRowKind(Cell(Column::Kind));
    if (!kind)
      Fail(Column::Kind, "expected a kind (data_centre, service, pool, backend_server, model, "
                         "version, adapter, plain_service, call or setting)");
    row.kind = kind.value_or(RowKind::Setting);
    row.name = Name(Column::Name);
    row.parent = Cell(Column::Parent);
    row.data_centre = Cell(Column::DataCentre);
    row.address = Cell(Column::Address);
    row.memory_mb = Number(Column::MemoryMb);
    row.replicas = Number(Column::Replicas);
    row.weight = Number(Column::Weight);
    row.limit = Number(Column::Limit);
    row.deadline_ms = Number(Column::DeadlineMs);
    row.repeatable = YesOrNo(Column::Repeatable);
    row.fencing = Fencing(Column::Fencing);
    row.value = Cell(Column::Value);
    return row;
  }

private:
  std::string Cell(Column column) const
  {
    const auto index = static_cast<std::size_t>(column);
    return index < m_cells.size() ? m_cells[index] : std::string();
  }

  void Fail(Column column, std::string message)
  {
    m_errors.push_back({m_line, static_cast<int>(column) + 1, std::move(message)});
  }

  std::string Name(Column column)
  {
    std::string text = Cell(column);
    const bool plain = std::ranges::all_of(text, [](char c) {
      return std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.';
    });
    if (text.empty() || text.size() > MAX_NAME || !plain)
      Fail(column, "expected a name of letters, digits, '-', '_' and '.', not \"" + text + "\"");
    return text;
  }

  std::optional<std::int64_t> Number(Column column)
  {
    const std::string text = Cell(column);
    if (text.empty())
      return std::nullopt;
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size() && number >= 0 &&
        number <= MAX_NUMBER)
      return number;
    Fail(column, "expected a whole number from 0 to 1000000000, not \"" + text + "\"");
    return std::nullopt;
  }

  std::optional<bool> YesOrNo(Column column)
  {
    const std::string text = Cell(column);
    if (text.empty())
      return std::nullopt;
    if (text != "yes" && text != "no")
      Fail(column, "expected yes or no, not \"" + text + "\"");
    return text == "yes";
  }

  std::string Fencing(Column column)
  {
    std::string text = Cell(column);
    if (!text.empty() && text != "checks" && text != "ignores")
      Fail(column, "expected checks or ignores, not \"" + text + "\"");
    return text;
  }

  const std::vector<std::string>& m_cells;
  int m_line;
  std::vector<CellError>& m_errors;
};

void CheckHeading(const std::vector<std::string>& cells, std::vector<CellError>& errors)
{
  if (!std::ranges::equal(cells, COLUMN_NAMES))
    errors.push_back({1, 0, "expected the heading " + CsvHeading()});
}

bool IsNote(const std::vector<std::string>& cells)
{
  return cells.empty() || cells.front().starts_with('#') ||
         std::ranges::all_of(cells, &std::string::empty);
}

/// Checks each row against the others.
class RowChecker
{
public:
  explicit RowChecker(const std::vector<Row>& rows)
  {
    for (const Row& row : rows)
      m_rows.emplace(RowKey(row), &row);
  }

  std::vector<CellError> Check(const Row& row, int line)
  {
    m_errors.clear();
    m_line = line;
    if (!m_seen.insert(RowKey(row)).second)
      Fail(Column::Name, "this " + std::string(ToString(row.kind)) + " is defined twice");
    CheckKind(row);
    return m_errors;
  }

private:
  void CheckKind(const Row& row)
  {
    switch (row.kind)
    {
    case RowKind::BackendServer:
      NeedParent(row, RowKind::Pool);
      NeedDataCentre(row);
      Need(!row.address.empty(), Column::Address, "expected IP:port");
      Need(!row.fencing.empty(), Column::Fencing, "expected checks or ignores");
      break;
    case RowKind::Model:
      NeedParent(row, RowKind::Pool);
      Need(row.memory_mb.value_or(0) > 0, Column::MemoryMb, "expected the model's memory in MB");
      Need(row.replicas.has_value(), Column::Replicas, "expected the number of replicas");
      break;
    case RowKind::Version:
      CheckVersion(row);
      break;
    case RowKind::Adapter:
      CheckAdapter(row);
      break;
    case RowKind::PlainService:
      NeedParent(row, RowKind::Pool);
      break;
    case RowKind::Call:
      NeedParent(row, RowKind::PlainService);
      Need(row.value.starts_with('/'), Column::Value, "expected the path of the call");
      Need(row.repeatable.has_value(), Column::Repeatable, "expected yes or no");
      break;
    case RowKind::Setting:
      Need(!row.value.empty(), Column::Value, "expected the value of the setting");
      break;
    case RowKind::DataCentre:
    case RowKind::Service:
    case RowKind::Pool:
      break;
    }
  }

  void CheckVersion(const Row& row)
  {
    NeedParent(row, RowKind::Model);
    const auto split = row.name.rfind('.');
    Need(split != std::string::npos && row.name.substr(0, split) == row.parent, Column::Name,
         "expected MODEL.VERSION with the model of the parent column");
    const auto model = m_rows.find(RowKey(RowKind::Model, row.parent));
    if (model == m_rows.end())
      return;
    std::int64_t& sum = m_version_replicas[row.parent];
    sum += row.replicas.value_or(0);
    Need(sum <= model->second->replicas.value_or(0), Column::Replicas,
         "the versions together have more replicas than the model");
  }

  void CheckAdapter(const Row& row)
  {
    const bool known = m_rows.contains(RowKey(RowKind::Model, row.parent)) ||
                       m_rows.contains(RowKey(RowKind::Version, row.parent));
    Need(known, Column::Parent, "expected a model or a version of this table");
    Need(!m_rows.contains(RowKey(RowKind::Model, row.name)), Column::Name,
         "a model already has this name");
    Need(row.memory_mb.value_or(0) > 0, Column::MemoryMb, "expected the adapter's memory in MB");
    Need(row.replicas.has_value(), Column::Replicas, "expected the number of replicas");
  }

  void NeedParent(const Row& row, RowKind kind)
  {
    Need(m_rows.contains(RowKey(kind, row.parent)), Column::Parent,
         "expected a " + std::string(ToString(kind)) + " of this table, not \"" + row.parent +
             "\"");
  }

  void NeedDataCentre(const Row& row)
  {
    Need(m_rows.contains(RowKey(RowKind::DataCentre, row.data_centre)), Column::DataCentre,
         "expected a data_centre of this table, not \"" + row.data_centre + "\"");
  }

  void Need(bool condition, Column column, const std::string& message)
  {
    if (!condition)
      Fail(column, message);
  }

  void Fail(Column column, const std::string& message)
  {
    m_errors.push_back({m_line, static_cast<int>(column) + 1, message});
  }

  std::map<std::string, const Row*> m_rows;
  std::set<std::string> m_seen;
  std::map<std::string, std::int64_t> m_version_replicas;
  std::vector<CellError> m_errors;
  int m_line = 0;
};

std::string Quoted(const std::string& cell)
{
  if (cell.find_first_of(",\"\r\n") == std::string::npos)
    return cell;
  std::string quoted(csv_write(nullptr, 0, cell.data(), cell.size()), '\0');
  csv_write(quoted.data(), quoted.size(), cell.data(), cell.size());
  return quoted;
}

std::string NumberCell(const std::optional<std::int64_t>& number)
{
  return number ? std::to_string(*number) : std::string();
}

std::string YesOrNoCell(const std::optional<bool>& value)
{
  if (!value)
    return {};
  return *value ? "yes" : "no";
}
} // namespace

std::string CsvHeading()
{
  std::string heading;
  for (const std::string_view name : COLUMN_NAMES)
    heading += (heading.empty() ? "" : ",") + std::string(name);
  return heading;
}

CsvContent ReadCsv(std::string_view text)
{
  CsvContent content;
  Parsing parsing;
  csv_parser parser;
  csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_REPALL_NL);
  const std::size_t read = csv_parse(&parser, text.data(), text.size(), OnCell, OnLine, &parsing);
  const bool whole = read == text.size() && csv_fini(&parser, OnCell, OnLine, &parsing) == 0;
  csv_free(&parser);
  if (!whole)
    content.errors.push_back({static_cast<int>(parsing.lines.size()) + 1, 0,
                              "expected CSV: misplaced or unclosed quote"});
  if (parsing.lines.empty())
    parsing.lines.emplace_back();
  CheckHeading(parsing.lines.front(), content.errors);
  for (std::size_t index = 1; index < parsing.lines.size(); ++index)
  {
    const auto& cells = parsing.lines[index];
    const int line = static_cast<int>(index) + 1;
    if (IsNote(cells))
      continue;
    if (cells.size() > COLUMN_NAMES.size())
      content.errors.push_back(
          {line, static_cast<int>(COLUMN_NAMES.size()) + 1, "expected at most 13 columns"});
    content.rows.push_back(LineReader(cells, line, content.errors).Read());
    content.lines.push_back(line);
  }
  const auto cross = CheckRows(content.rows, content.lines);
  content.errors.insert(content.errors.end(), cross.begin(), cross.end());
  std::ranges::stable_sort(content.errors, {}, &CellError::line);
  return content;
}

std::string WriteCsv(const std::vector<Row>& rows)
{
  std::string text = CsvHeading() + "\n";
  for (const Row& row : rows)
  {
    const std::array<std::string, 13> cells{std::string(ToString(row.kind)),
                                            row.name,
                                            row.parent,
                                            row.data_centre,
                                            row.address,
                                            NumberCell(row.memory_mb),
                                            NumberCell(row.replicas),
                                            NumberCell(row.weight),
                                            NumberCell(row.limit),
                                            NumberCell(row.deadline_ms),
                                            YesOrNoCell(row.repeatable),
                                            row.fencing,
                                            row.value};
    std::string line;
    for (const std::string& cell : cells)
      line += Quoted(cell) + ",";
    line.back() = '\n';
    text += line;
  }
  return text;
}

std::vector<CellError> CheckRows(const std::vector<Row>& rows, const std::vector<int>& lines)
{
  RowChecker checker(rows);
  std::vector<CellError> errors;
  for (std::size_t index = 0; index < rows.size(); ++index)
  {
    const auto found = checker.Check(rows[index], lines[index]);
    errors.insert(errors.end(), found.begin(), found.end());
  }
  return errors;
}
} // namespace Table
