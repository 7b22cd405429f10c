#include <cstdio>

#include "cassiastile/config/fleet_reader.hpp"
#include "cassiastile/config/text_file.hpp"

// Checks a fleet document and prints its findings, or what it declares.
// usage: example_config_check FILE
int main(int argc, char** argv) {
  using cassiastile::base::FormatFindings;
  if (argc != 2) {
    std::fputs("usage: example_config_check FILE\n", stderr);
    return 2;
  }
  const auto text = cassiastile::config::ReadTextFile(argv[1]);
  if (!text) {
    std::fprintf(stderr, "%s\n", text.error().message.c_str());
    return 1;
  }
  const auto fleet = cassiastile::config::ReadFleet(*text, argv[1]);
  if (!fleet) {
    std::fputs(FormatFindings(fleet.error()).c_str(), stdout);
    return 1;
  }
  std::printf("%s: %zu pools, %zu teams, %zu waves\n", fleet->name.c_str(),
              fleet->pools.size(), fleet->teams.size(), fleet->waves.size());
  return 0;
}
