#include "cassiastile/wire/router.hpp"

#include <utility>

#include "cassiastile/wire/problem.hpp"

namespace cassiastile::wire {

namespace {

std::vector<std::string_view> SplitPath(std::string_view path) {
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    path.remove_prefix(path.front() == '/' ? 1 : 0);
    const std::size_t end = path.find('/');
    segments.push_back(path.substr(0, end));
    path =
        end == std::string_view::npos ? std::string_view() : path.substr(end);
  }
  return segments;
}

std::string JoinFrom(const std::vector<std::string_view>& segments,
                     std::size_t first) {
  std::string joined;
  for (std::size_t i = first; i < segments.size(); ++i) {
    joined += i == first ? "" : "/";
    joined += segments[i];
  }
  return joined;
}

HttpResponse MakeRouteProblem(bool path_known, const HttpRequest& request) {
  constexpr int kNotFound = 404;
  constexpr int kMethodNotAllowed = 405;
  Problem problem;
  problem.status = path_known ? kMethodNotAllowed : kNotFound;
  problem.type = path_known ? "method-not-allowed" : "no-such-path";
  problem.title = path_known ? "This path does not take " + request.method + "."
                             : "No such path: " + request.path;
  return MakeProblemResponse(problem);
}

}  // namespace

void Router::Add(std::string_view method,
                 std::string_view pattern,
                 HttpHandler handler) {
  Route route;
  route.method = method;
  for (const std::string_view segment : SplitPath(pattern)) {
    route.segments.emplace_back(segment);
  }
  route.handler = std::move(handler);
  m_routes.push_back(std::move(route));
}

void Router::RouteRequest(HttpRequest request, HttpResponder respond) const {
  const std::string path = request.path;
  const std::vector<std::string_view> segments = SplitPath(path);
  bool path_known = false;
  for (const Route& route : m_routes) {
    std::map<std::string, std::string> parameters;
    if (!Matches(route, segments, parameters)) {
      continue;
    }
    path_known = true;
    if (route.method != "*" && route.method != request.method) {
      continue;
    }
    request.path_parameters = std::move(parameters);
    route.handler(std::move(request), std::move(respond));
    return;
  }
  respond(MakeRouteProblem(path_known, request));
}

bool Router::Matches(const Route& route,
                     const std::vector<std::string_view>& segments,
                     std::map<std::string, std::string>& parameters) {
  std::size_t i = 0;
  for (const std::string& expected : route.segments) {
    if (!expected.empty() && expected.front() == '*') {
      parameters[expected.substr(1)] = JoinFrom(segments, i);
      return true;
    }
    if (i >= segments.size()) {
      return false;
    }
    if (!expected.empty() && expected.front() == ':') {
      parameters[expected.substr(1)] = DecodePercent(segments[i]);
    } else if (expected != segments[i]) {
      return false;
    }
    ++i;
  }
  return i == segments.size();
}

}  // namespace cassiastile::wire
