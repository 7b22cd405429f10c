#include "cassiastile/host/wave_orders.hpp"

#include <algorithm>
#include <charconv>
#include <sstream>
#include <string_view>

#include "cassiastile/host/leader_transactions.hpp"

namespace cassiastile::host {

namespace {

constexpr char kBegun[] = "begun";
constexpr char kOrderedOnly[] = "ordered";
// The store takes rows of 64 KB.
constexpr std::size_t kMaxRowBytes = 48U << 10U;

// At most what a machine takes in a row: its name, its state and two
// separators.
std::size_t LineBytes(const std::string& machine) {
  return machine.size() + sizeof(kOrderedOnly) + 1;
}

// Rows after the first have their number after the wave's. Programs that know
// only one row read the wave's number and add the machines of all rows.
std::string KeyOf(std::uint64_t wave, std::size_t number) {
  const std::string key = std::to_string(wave);
  return number == 0 ? key : key + "." + std::to_string(number);
}

std::size_t NumberOf(std::string_view key) {
  const auto dot = key.find('.');
  std::size_t number = 0;
  if (dot != std::string_view::npos) {
    std::from_chars(key.data() + dot + 1, key.data() + key.size(), number);
  }
  return number;
}

}  // namespace

bool WaveOrders::Add(const std::string& machine) {
  const auto [order, is_new] = m_orders.try_emplace(machine);
  if (!is_new) {
    return false;
  }
  const std::size_t bytes = LineBytes(machine);
  const auto with_room = std::ranges::find_if(
      m_row_bytes,
      [bytes](std::size_t used) { return used + bytes <= kMaxRowBytes; });
  order->second.row = static_cast<std::size_t>(with_room - m_row_bytes.begin());
  if (with_room == m_row_bytes.end()) {
    m_row_bytes.push_back(0);
  }
  m_row_bytes[order->second.row] += bytes;
  return true;
}

void WaveOrders::SetBegun(const std::string& machine) {
  Add(machine);
  m_orders[machine].has_begun = true;
}

bool WaveOrders::HasBegun(const std::string& machine) const {
  const auto found = m_orders.find(machine);
  return found != m_orders.end() && found->second.has_begun;
}

bool WaveOrders::MayHaveBegun(const std::string& machine) const {
  const auto found = m_orders.find(machine);
  return found != m_orders.end() && !found->second.has_begun;
}

Row WaveOrders::RowOf(std::uint64_t wave, const std::string& machine) const {
  const auto found = m_orders.find(machine);
  return MakeRow(wave, found == m_orders.end() ? 0 : found->second.row);
}

Row WaveOrders::MakeRow(std::uint64_t wave, std::size_t number) const {
  std::string lines;
  for (const auto& [machine, order] : m_orders) {
    if (order.row == number) {
      lines += machine + " " + (order.has_begun ? kBegun : kOrderedOnly) + "\n";
    }
  }
  return {kMachineTable,    kLeaderPart, KeyOf(wave, number),
          std::move(lines), 0,           false};
}

void WaveOrders::Recover(const Row& row) {
  constexpr std::size_t kMaxRows = 1000;
  const std::size_t number = std::min(NumberOf(row.key), kMaxRows);
  m_row_bytes.resize(std::max(m_row_bytes.size(), number + 1));
  std::istringstream lines(row.value);
  for (std::string machine, state; lines >> machine >> state;) {
    // A program that knows only one row may have written it again there.
    const auto [order, is_new] = m_orders.try_emplace(machine);
    if (is_new) {
      order->second.row = number;
      m_row_bytes[number] += LineBytes(machine);
    }
    order->second.has_begun = order->second.has_begun || state == kBegun;
  }
}

}  // namespace cassiastile::host
