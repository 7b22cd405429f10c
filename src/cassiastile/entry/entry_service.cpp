#include "cassiastile/entry/entry_service.hpp"

#include <utility>

#include "cassiastile/entry/refusal_decision.hpp"
#include "cassiastile/work/request_try.hpp"

namespace cassiastile::entry {

namespace {

// Upper bounds in seconds.
const std::vector<double> kLatencyBuckets{0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                          0.5,   1,    2.5,   5,    10,  30};

double SecondsOf(base::Duration duration) {
  return std::chrono::duration_cast<std::chrono::duration<double>>(duration)
      .count();
}

std::string OutcomeLabel(const work::Outcome& outcome) {
  return std::string(wire::NameOf(work::ExecutionOf(outcome)));
}

}  // namespace

base::Result<std::unique_ptr<EntryService>> EntryService::Create(
    EntryOptions options,
    const EntryDependencies& dependencies) {
  if (options.name.empty() || options.name.find('#') != std::string::npos) {
    return base::Fail(
        base::ErrorCode::kInvalid,
        "The host's name must not be empty and must not contain '#'.");
  }
  if (options.zone.empty()) {
    return base::Fail(base::ErrorCode::kInvalid,
                      "The host's availability zone must not be empty.");
  }
  std::unique_ptr<EntryService> service(
      new EntryService(std::move(options), dependencies));
  service->Start();
  return service;
}

EntryService::EntryService(EntryOptions options,
                           const EntryDependencies& dependencies)
    : m_options(std::move(options)),
      m_dependencies(dependencies),
      m_holder(MakeHolderName(m_options.name, m_options.incarnation)),
      m_random(m_options.seed),
      m_watch(m_options.name, m_options.watch),
      m_team_credits(dependencies.fleet, [this] { return AllShards(); }),
      m_team_account(dependencies.table,
                     work::RequestsLedgerKey(),
                     m_holder,
                     m_random()) {
  wire::HttpClientOptions client;
  client.max_connections_per_host = m_options.connections_per_runner;
  m_client = wire::HttpClient::Create(client);
  m_claims = std::make_unique<ClaimStore>(dependencies.table, m_holder,
                                          m_options.claims, m_random());
}

EntryService::~EntryService() {
  {
    const std::lock_guard lock(m_stop_mutex);
    m_stopping = true;
  }
  m_stop_wake.notify_all();
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_claims->Stop();
  m_client.reset();
  m_claims.reset();
}

void EntryService::Start() {
  ApplyConfiguration();
  m_threads.emplace_back([this] { RunTicks(); });
  m_threads.emplace_back([this] { RunListing(); });
  m_threads.emplace_back([this] { RunCredits(); });
}

void EntryService::AddRoutes(wire::Router& router) {
  router.Add("*", "/v1/services/:service/*path",
             [this](wire::HttpRequest request, wire::HttpResponder respond) {
               HandleRequest(std::move(request), std::move(respond));
             });
}

bool EntryService::IsReady() const {
  return !m_draining.load() && m_applied_version.load() > 0;
}

void EntryService::BeginDrain() {
  m_draining.store(true);
}

void EntryService::UpdateMetrics() {
  for (const auto& [service, shard] : AllShards()) {
    const ServiceShard::Stats stats = shard->ReadStats();
    const wire::Metrics::Labels labels{{"service", service}};
    wire::Metrics& metrics = m_dependencies.metrics;
    metrics
        .Gauge("cassiastile_requests_waiting", "Requests waiting for a slot",
               labels)
        .Set(static_cast<double>(stats.waiting));
    metrics
        .Gauge("cassiastile_slots_granted", "Slots granted to this host",
               labels)
        .Set(stats.slots);
    metrics
        .Gauge("cassiastile_slots_in_use", "Slots taken by this host", labels)
        .Set(stats.in_use);
    metrics
        .Gauge("cassiastile_runners_ejected", "Runners without trust", labels)
        .Set(stats.ejected);
  }
}

void EntryService::HandleRequest(wire::HttpRequest request,
                                 wire::HttpResponder respond) {
  const base::TimePoint now = m_dependencies.clock.Now();
  const auto accepted = m_dependencies.fleet.Current();
  const ValidationContext context{accepted.get(),
                                  m_dependencies.fleet.IsFresh(now), now};
  auto validated = ValidateRequest(request, context, m_options.limits);
  auto shared = std::make_shared<const wire::HttpRequest>(std::move(request));
  if (!validated) {
    work::RequestTicket ticket;
    ticket.arrived = now;
    Answer(shared->path_parameters.at("service"), ticket, *shared,
           work::Outcome(validated.error()), respond);
    return;
  }
  HandleValidRequest(std::move(*validated), shared, std::move(respond));
}

void EntryService::HandleValidRequest(
    ValidatedRequest validated,
    const std::shared_ptr<const wire::HttpRequest>& request,
    wire::HttpResponder respond) {
  validated.ticket.id = m_next_id.fetch_add(1);
  GatewayRequest accepted;
  accepted.ticket = validated.ticket;
  accepted.http = request;
  accepted.done = [this, service = validated.service, ticket = validated.ticket,
                   request,
                   respond = std::move(respond)](const work::Outcome& outcome) {
    Answer(service, ticket, *request, outcome, respond);
  };
  const auto gateway = FindGateway(validated.service);
  if (!gateway) {
    accepted.done(work::NotRun{work::RefusalReason::kStaleConfiguration,
                               std::chrono::seconds(1),
                               "This host does not know the service yet."});
    return;
  }
  if (validated.idempotency_key) {
    ClaimAndAccept(validated, *validated.idempotency_key, gateway,
                   std::move(accepted));
    return;
  }
  gateway->Accept(std::move(accepted));
}

// Claims the caller's idempotency key; the request is sent only if that
// succeeds.
void EntryService::ClaimAndAccept(
    const ValidatedRequest& validated,
    const std::string& key,
    const std::shared_ptr<ServiceGateway>& gateway,
    GatewayRequest request) {
  auto refusal =
      gateway->Shard().Preview(request.ticket, m_dependencies.clock.Now());
  if (refusal) {
    request.done(std::move(*refusal));
    return;
  }
  work::Claim claim;
  claim.fingerprint = work::FingerprintOf(validated.service, *request.http);
  claim.holder = m_holder;
  claim.nonce = m_holder + "/" + NewId();
  claim.claimed_at = m_dependencies.clock.WallNow();
  const std::string row = work::ClaimRowKey(validated.ticket.team, key);
  auto on_claim_result = [this, row, claim, gateway,
                          request = std::move(request)](
                             const ClaimResult& result) mutable {
    if (const auto* existing = std::get_if<ClaimExists>(&result)) {
      request.done(work::OutcomeOfRetry(existing->claim, claim.fingerprint));
      return;
    }
    if (std::holds_alternative<ClaimFailed>(result)) {
      request.done(work::NotRun{work::RefusalReason::kClaimFailed,
                                std::chrono::seconds(2),
                                "The idempotency key can't be claimed now."});
      return;
    }
    request.done = [this, row, claim,
                    done = std::move(request.done)](work::Outcome outcome) {
      m_claims->RecordOutcome(row, claim, outcome);
      done(std::move(outcome));
    };
    gateway->Accept(std::move(request));
  };
  m_claims->AcquireClaim(row, claim, std::move(on_claim_result));
}

void EntryService::Answer(const std::string& service,
                          const work::RequestTicket& ticket,
                          const wire::HttpRequest& request,
                          const work::Outcome& outcome,
                          const wire::HttpResponder& respond) {
  std::string decision_id;
  if (!std::holds_alternative<work::Answered>(outcome)) {
    decision_id = RecordRefusal(service, ticket, outcome);
  }
  wire::HttpResponse response = work::MakeResponse(outcome, decision_id);
  if (const auto* answered = std::get_if<work::Answered>(&outcome)) {
    response.headers.emplace_back("Cassiastile-Runner", answered->runner);
  }
  const auto id = wire::FindHeader(request.headers, work::kRequestIdHeader);
  if (id) {
    response.headers.emplace_back(work::kRequestIdHeader, *id);
  }
  // A service name that the caller made up must not become a label, or callers
  // could create any number of time series.
  const std::string label = FindGateway(service) ? service : "unknown";
  m_dependencies.metrics
      .Counter("cassiastile_requests_total", "Requests by how they ended",
               {{"service", label}, {"execution", OutcomeLabel(outcome)}})
      .Increment();
  m_dependencies.metrics
      .Histogram("cassiastile_request_seconds", "Time from request to answer",
                 kLatencyBuckets, {{"service", label}})
      .Observe(SecondsOf(m_dependencies.clock.Now() - ticket.arrived));
  respond(std::move(response));
}

std::string EntryService::RecordRefusal(const std::string& service,
                                        const work::RequestTicket& ticket,
                                        const work::Outcome& outcome) {
  RefusalContext context;
  context.id = NewId();
  context.service = service;
  context.ticket = ticket;
  context.version = m_applied_version.load();
  context.at = m_dependencies.clock.WallNow();
  context.now = m_dependencies.clock.Now();
  const auto gateway = FindGateway(service);
  if (gateway) {
    context.stats = gateway->Shard().ReadStats();
  }
  m_dependencies.decisions.Record(MakeRefusalDecision(context, outcome));
  return context.id;
}

std::string EntryService::NewId() {
  const std::lock_guard lock(m_random_mutex);
  return base::MakeId(m_random);
}

std::shared_ptr<ServiceGateway> EntryService::FindGateway(
    const std::string& service) const {
  const std::lock_guard lock(m_services_mutex);
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : found->second.gateway;
}

std::vector<NamedShard> EntryService::AllShards() const {
  const std::lock_guard lock(m_services_mutex);
  std::vector<NamedShard> shards;
  shards.reserve(m_services.size());
  for (const auto& [name, service] : m_services) {
    shards.emplace_back(name, service.shard);
  }
  return shards;
}

}  // namespace cassiastile::entry
