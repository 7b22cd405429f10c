#include <iostream>
#include <string>
#include <vector>

#include "cassiastile/operator/cassiactl.hpp"

// cassiactl: the operators' command line tool.
int main(int argc, char** argv) {
  using namespace cassiastile::operators;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const Console console{std::cin, std::cout, std::cerr};
  return static_cast<int>(RunCassiactl(arguments, console));
}
