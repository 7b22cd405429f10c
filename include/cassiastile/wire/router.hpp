#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::wire {

// Finds the handler for a request. A pattern is a path whose segments are
// literal, `:name` for one segment (decoded) or, at the end, `*name` for the
// rest (as it was sent).
// Routes are added before the server starts and read by several threads after.
class Router {
 public:
  // A method of "*" takes all methods.
  void Add(std::string_view method,
           std::string_view pattern,
           HttpHandler handler);

  // Calls the first route that fits, or answers 404 or 405 itself.
  void Handle(HttpRequest request, HttpResponder respond) const;

 private:
  struct Route {
    std::string method;
    std::vector<std::string> segments;
    HttpHandler handler;
  };

  static bool Matches(const Route& route,
                      const std::vector<std::string_view>& segments,
                      std::map<std::string, std::string>& parameters);

  std::vector<Route> m_routes;
};

}  // namespace cassiastile::wire
