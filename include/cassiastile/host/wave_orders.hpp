#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "cassiastile/host/ports.hpp"

namespace cassiastile::host {

// The machines of a maintenance wave for which an order may have been sent, as
// they are stored. A wave of a large fleet takes several rows; a machine stays
// in the row that it was added to.
class WaveOrders {
 public:
  // An order for the machine may be sent. Returns whether it is the first.
  bool Add(const std::string& machine);
  // An order for the machine was accepted.
  void SetBegun(const std::string& machine);
  bool HasBegun(const std::string& machine) const;
  // Whether an order may have been sent of which no acceptance is known.
  bool MayHaveBegun(const std::string& machine) const;

  // The row that holds the machine, or the first one without it.
  Row RowOf(std::uint64_t wave, const std::string& machine) const;
  Row FirstRow(std::uint64_t wave) const { return MakeRow(wave, 0); }
  // Adds what an earlier leader has stored in a row of the wave.
  void Recover(const Row& row);

 private:
  struct Order {
    std::size_t row = 0;
    bool has_begun = false;
  };

  Row MakeRow(std::uint64_t wave, std::size_t number) const;

  std::map<std::string, Order> m_orders;  // By machine.
  std::vector<std::size_t> m_row_bytes{0};
};

}  // namespace cassiastile::host
