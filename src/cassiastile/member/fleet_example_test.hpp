#pragma once

#include <fstream>
#include <sstream>
#include <string>

namespace cassiastile::member {

// The configuration document of an example fleet.
inline std::string ExampleText() {
  std::ifstream file(std::string(CASSIASTILE_SOURCE_DIR) +
                     "/examples/fleets/plechovy-hlas.jsonc");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace cassiastile::member
