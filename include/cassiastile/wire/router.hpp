#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "cassiastile/wire/http_types.hpp"

namespace cassiastile::wire {

// Finds the handler for a request. The segments of a pattern are literal,
// `:name` for one segment (percent-decoded) or, at the end, `*name` for the
// rest of the path (not decoded). All routes must be added before the server
// starts; after that several threads read them.
class Router {
 public:
  // The method "*" matches all methods.
  void Add(std::string_view method,
           std::string_view pattern,
           HttpHandler handler);

  // Calls the first matching route, or responds with 404 (no such path) or 405
  // (method not allowed).
  void RouteRequest(HttpRequest request, HttpResponder respond) const;

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
