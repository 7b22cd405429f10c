#include "cassiastile/host/ports.hpp"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace cassiastile::host {

namespace {

struct PagedRead {
  RowStore& store;
  std::string table;
  std::string part;
  std::function<void(base::Result<RowPage>)> done;
  RowPage all;
};

void ReadNextPage(const std::shared_ptr<PagedRead>& paged_read,
                  const std::string& from,
                  bool first) {
  paged_read->store.Read(
      paged_read->table, paged_read->part, from, kReadTimeout,
      [paged_read, first](base::Result<RowPage> page) {
        if (!page) {
          paged_read->done(std::move(page));
          return;
        }
        if (first) {
          paged_read->all.version = page->version;
          paged_read->all.now = page->now;
        }
        std::ranges::move(page->rows, std::back_inserter(paged_read->all.rows));
        if (page->has_more && !paged_read->all.rows.empty()) {
          // Continues at the smallest key after the last one.
          ReadNextPage(paged_read, paged_read->all.rows.back().key + '\0',
                       false);
        } else {
          paged_read->done(std::move(paged_read->all));
        }
      });
}

}  // namespace

void ReadAllRows(RowStore& store,
                 const std::string& table,
                 const std::string& part,
                 std::function<void(base::Result<RowPage>)> done) {
  ReadNextPage(std::make_shared<PagedRead>(
                   PagedRead{store, table, part, std::move(done), {}}),
               "", true);
}

}  // namespace cassiastile::host
