#pragma once

#include <string>
#include <vector>

#include "cassiastile/base/error.hpp"

namespace cassiastile::platform {

// The platform's object store. This system never changes an object once Put has
// succeeded. Calls block; errors are those of Table.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  // Stores an object, and replaces one of the same name.
  virtual base::Result<void> Put(const std::string& name,
                                 const std::string& content) = 0;
  // Fails with kNotFound if there is no such object.
  virtual base::Result<std::string> Get(const std::string& name) = 0;
  // Returns the names that start with `prefix`, in ascending order.
  virtual base::Result<std::vector<std::string>> List(
      const std::string& prefix) = 0;
};

}  // namespace cassiastile::platform
