#include "cassiastile/platform/table.hpp"

#include <iterator>

namespace cassiastile::platform {

base::Result<std::vector<Row>> ScanAll(Table& table,
                                       const std::string& prefix) {
  constexpr std::size_t kPageRows = 1000;
  std::vector<Row> rows;
  std::string after;
  while (true) {
    base::Result<std::vector<Row>> page = table.Scan(prefix, after, kPageRows);
    if (!page) {
      return page;
    }
    const bool last = page->size() < kPageRows;
    std::move(page->begin(), page->end(), std::back_inserter(rows));
    if (last) {
      return rows;
    }
    after = rows.back().key;
  }
}

}  // namespace cassiastile::platform
