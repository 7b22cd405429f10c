#include "cassiastile/host/ports.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace cassiastile::host {

namespace {

struct Reading {
  RowStore& store;
  std::string table;
  std::string part;
  std::function<void(base::Result<RowPage>)> done;
  RowPage all;
};

void ReadNext(const std::shared_ptr<Reading>& reading,
              const std::string& from,
              bool first) {
  reading->store.Read(
      reading->table, reading->part, from, kReadTimeout,
      [reading, first](base::Result<RowPage> page) {
        if (!page) {
          reading->done(std::move(page));
          return;
        }
        if (first) {
          reading->all.version = page->version;
          reading->all.now = page->now;
        }
        std::ranges::move(page->rows, std::back_inserter(reading->all.rows));
        if (page->has_more && !reading->all.rows.empty()) {
          // The key after the last one.
          ReadNext(reading, reading->all.rows.back().key + '\0', false);
        } else {
          reading->done(std::move(reading->all));
        }
      });
}

}  // namespace

void ReadAllRows(RowStore& store,
                 const std::string& table,
                 const std::string& part,
                 std::function<void(base::Result<RowPage>)> done) {
  ReadNext(std::make_shared<Reading>(
               Reading{store, table, part, std::move(done), {}}),
           "", true);
}

}  // namespace cassiastile::host
