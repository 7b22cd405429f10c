#pragma once

#include <map>
#include <memory>
#include <string>

#include "cassiastile/base/random.hpp"
#include "cassiastile/wire/loop_client.hpp"
#include "fleet.hpp"

namespace cassiastile::soak {

// Callers that hand in jobs, ask again until they know, look at states and
// cancel, as the platform's do. Connections are kept open.
class Callers {
 public:
  Callers(asio::io_context& context,
          host::Loop& loop,
          Fleet& fleet,
          const SoakOptions& options);

  // Hands in jobs until told to stop.
  void Begin();
  void BeginStop() { m_handing_in = false; }
  // Whether every job's outcome is known and every accepted one is done.
  bool IsSettled() const;
  // Adds a violation for each job that is not.
  void Judge();
  void Count(SoakResult& result) const;

 private:
  enum class Fate : std::uint8_t {
    kUnknown,  // No answer that counts yet; asked for again.
    kAccepted,
    kRefused,
    kDone,
    kCancelling,
    kCancelled,
  };
  struct Job {
    std::string id;
    std::size_t queue = 0;
    std::string text;
    Fate fate = Fate::kUnknown;
    bool maybe_arrived = false;  // Some attempt may have been taken.
    bool lasts = false;
    bool will_cancel = false;
    int attempts = 0;
    int missing = 0;  // Answers in a row that there is no such job.
    base::TimePoint accepted_at{};
  };

  void HandIn();
  void Send(const std::string& id);
  void Answered(const std::string& id,
                std::size_t host,
                const wire::HttpOutcome& outcome);
  void Follow(const std::string& id);
  void Look(const std::string& id);
  void Cancel(const std::string& id);
  void CheckCut(std::size_t host,
                base::TimePoint sent_at,
                const wire::HttpOutcome& outcome);
  jobs::JobSpec MakeSpec(bool lasts);
  wire::HttpCall MakeCall(const std::string& method,
                          const Job& job,
                          std::size_t host) const;
  std::size_t PickHost();
  void After(std::chrono::milliseconds delay, std::function<void()> run);

  host::Loop& m_loop;
  Fleet& m_fleet;
  const SoakOptions& m_options;
  base::Random m_random;
  std::unique_ptr<wire::LoopClient> m_client;
  std::map<std::string, Job> m_jobs;
  bool m_handing_in = true;
  host::Lifetime m_lifetime;
};

}  // namespace cassiastile::soak
