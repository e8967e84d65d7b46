// Stand-in for a model runner or an application server. Registers itself at
// the control port of the project's store stand-in, as the platform's runners
// write their entries, and appends what it runs to a record.
//
// runner --listen IP:PORT --store IP:PORT --id ID --service S --zone Z
//        [--model M] [--record FILE] [--deadly PART] [--unframed 1]
//        [--first_ms N] [--events N] [--gap_ms N] [--load_ms N]
//        [--prefill 1]
#include <fcntl.h>

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

#include "http.hxx"

namespace {

std::map<std::string, std::string> flags;
std::mutex record_mutex;
std::int64_t born = 0;
std::atomic<int> orders{0};
std::atomic<int> version{1};
std::atomic<bool> is_loading{false};
std::mutex order_mutex;
long long highest_fence = 0;
// Parts that are kept, by salt and id, with the version that they were made
// under. A load drops them.
std::mutex kept_mutex;
std::map<std::string, int> kept;

std::string Flag(const std::string& name, const std::string& otherwise = "") {
  const auto it = flags.find(name);
  return it == flags.end() ? otherwise : it->second;
}

// Written through at once, so that a kill loses no line.
void Record(const std::string& line) {
  const std::string path = Flag("record");
  if (path.empty()) return;
  const std::lock_guard<std::mutex> lock(record_mutex);
  const int fd =
      open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  const std::string text = std::to_string(lab::NowMs()) +
                           " runner=" + Flag("id") + " " + line + "\n";
  if (write(fd, text.data(), text.size()) < 0) std::perror("record");
  close(fd);
}

std::string Models() {
  if (Flag("model").empty()) return "[]";
  return "[{\"name\":\"" + Flag("model") +
         "\",\"version\":" + std::to_string(version) + ",\"adapters\":[]}]";
}

void KeepEntry() {
  constexpr std::int64_t kBeatMs = 600;
  for (int beat = 1;; ++beat) {
    const std::string entry =
        "{\"service\":\"" + Flag("service") + "\",\"address\":\"" +
        Flag("listen") + "\",\"zone\":\"" + Flag("zone") +
        "\",\"version\":\"v1\",\"slots\":" +
        (Flag("model").empty() ? "6" : "64") +
        ",\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"unified\","
        "\"models\":" +
        Models() + ",\"sequence\":" + std::to_string(beat) +
        ",\"born\":" + std::to_string(born) + "}";
    const std::string body =
        "{\"put\":{\"topic\":\"keyed.servers\",\"key\":\"" + Flag("id") +
        "\",\"value\":" + entry + "}}";
    const int fd = lab::Connect(Flag("store"), 1000);
    if (fd >= 0) {
      lab::Send(fd,
                "POST / HTTP/1.1\r\nHost: store\r\nConnection: close\r\n"
                "Content-Type: application/json\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
      lab::Reader reader(fd);
      lab::Message answer;
      lab::Read(reader, answer, true);
      close(fd);
    }
    lab::SleepMs(kBeatMs);
  }
}

std::string Head(int status, const std::string& id, const std::string& more) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " Any\r\n";
  if (!id.empty()) head += "Attempt-Id: " + id + "\r\n";
  return head + more;
}

bool SendJson(int fd, int status, const std::string& body) {
  return lab::Send(fd, Head(status, "",
                            "Content-Type: application/json\r\n"
                            "Content-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n") +
                           body);
}

// The version under which the runner at `source` keeps a part; 0 if it keeps
// none.
int AskFor(const std::string& source, const std::string& key) {
  const int fd = lab::Connect(source, 500);
  if (fd < 0) return 0;
  lab::Send(fd, "GET /lab/kept/" + key +
                    " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  lab::Reader reader(fd);
  lab::Message answer;
  lab::Read(reader, answer, true);
  close(fd);
  return std::atoi(answer.body.c_str());
}

// Reads the prompt: kept parts are used, then those that the source of
// `Kv-Fetch` keeps, and the rest is prefilled. Returns whether a part was used
// that was made under another version.
bool ReadPrompt(const lab::Message& request) {
  constexpr double kTokensPerMs = 42.6;
  const std::string salt = request.Header("Cache-Salt");
  const std::string source = request.Header("Kv-Fetch");
  const std::string parts = request.Header("Prompt-Prefix");
  const int now = version;
  bool is_stale = false;
  bool is_known = true;
  long long prefill = 0;
  for (std::size_t at = 0; at < parts.size();) {
    std::size_t end = parts.find(',', at);
    const bool is_last = end == std::string::npos;
    if (is_last) end = parts.size();
    const std::size_t colon = parts.find(':', at);
    const std::string key = salt + "/" + parts.substr(at, colon - at);
    const long long tokens = std::atoll(parts.c_str() + colon + 1);
    at = end + 1;
    int made = 0;
    if (is_known && !is_last) {
      {
        const std::lock_guard<std::mutex> lock(kept_mutex);
        const auto it = kept.find(key);
        if (it != kept.end()) made = it->second;
      }
      if (made == 0 && !source.empty()) {
        made = AskFor(source, key);
        if (made != 0)
          Record("fetched key=" + key + " made=" + std::to_string(made) +
                 " from=" + source);
      }
    }
    if (made == 0) {
      is_known = false;
      made = now;
      prefill += tokens;
    }
    if (made != now) is_stale = true;
    if (!is_last) {
      const std::lock_guard<std::mutex> lock(kept_mutex);
      kept[key] = made;
    }
  }
  lab::SleepMs(static_cast<std::int64_t>(prefill / kTokensPerMs));
  return is_stale;
}

// Runs a generation; false if the channel ends with its answer.
bool Generate(int fd, const lab::Message& request, const std::string& id) {
  if (Flag("prefill") == "1" && ReadPrompt(request)) {
    Record("stale request=" + id + " version=" + std::to_string(version));
  }
  const bool is_unframed = Flag("unframed") == "1";
  const int events = std::stoi(Flag("events", "20"));
  std::string more = "Response-Seal: seal." + id +
                     "\r\nInstance-Load: 1,0,64\r\nWeight-Versions: " +
                     std::to_string(version) +
                     "\r\nContent-Type: text/event-stream\r\n";
  if (!is_unframed) more += "Transfer-Encoding: chunked\r\n";
  if (!lab::Send(fd, Head(200, id, more + "\r\n"))) return false;
  const std::string deadly = Flag("deadly");
  if (!deadly.empty() &&
      request.Header("Prompt-Prefix").find(deadly + ":") != std::string::npos) {
    lab::SleepMs(30);
    Record("crash request=" + id);
    _exit(7);
  }
  lab::SleepMs(std::stoi(Flag("first_ms", "20")));
  const std::string resumed = request.Header("Last-Event-Id");
  const int last = resumed.empty() ? 0 : std::stoi(resumed);
  for (int i = 1; i <= events; ++i) {
    if (i <= last) continue;
    const std::string event = "id: " + std::to_string(i) + "\ndata: word" +
                              std::to_string(i) + "\n\n";
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!lab::Send(fd, is_unframed ? event : size + event + "\r\n")) {
      return false;
    }
    lab::SleepMs(std::stoi(Flag("gap_ms", "10")));
  }
  Record("made request=" + id + " events=" + std::to_string(events));
  return !is_unframed && lab::Send(fd, "0\r\n\r\n");
}

// The number of a field in a flat JSON object; -1 if it has none.
long long NumberOf(const std::string& body, const std::string& name) {
  const std::size_t at = body.find("\"" + name + "\":");
  if (at == std::string::npos) return -1;
  return std::atoll(body.c_str() + at + name.size() + 3);
}

// Takes an order to load weights and carries it out.
bool Order(int fd, const std::string& body) {
  const std::lock_guard<std::mutex> lock(order_mutex);
  const long long fence = NumberOf(body, "fencingToken");
  const long long expected = NumberOf(body, "expect");
  const int wanted = static_cast<int>(NumberOf(body, "version"));
  int status = 202;
  if (fence < highest_fence) {
    status = 412;
  } else if (is_loading || (expected >= 0 && expected != orders)) {
    status = 409;
  } else if (wanted == version) {
    status = 200;
  }
  if (fence > highest_fence) highest_fence = fence;
  Record("order version=" + std::to_string(wanted) + " fence=" +
         std::to_string(fence) + " status=" + std::to_string(status));
  if (status == 202) {
    ++orders;
    is_loading = true;
    std::thread([wanted] {
      lab::SleepMs(std::stoi(Flag("load_ms", "430")));
      {
        const std::lock_guard<std::mutex> lock(kept_mutex);
        kept.clear();
      }
      version = wanted;
      is_loading = false;
      Record("loaded model=" + Flag("model") +
             " version=" + std::to_string(wanted));
    }).detach();
  }
  return SendJson(fd, status, "{}");
}

bool Answer(int fd, const lab::Message& request) {
  const std::string id = request.Header("Attempt-Id");
  const std::string expected = request.Header("Expect-Instance");
  const std::size_t space = request.start.find(' ');
  const std::string path =
      request.start.substr(space + 1, request.start.rfind(' ') - space - 1);
  if (!expected.empty() && expected != Flag("id")) {
    return lab::Send(fd, Head(421, id,
                              "Not-Executed: 1\r\nInstance-Id: " + Flag("id") +
                                  "\r\nContent-Length: 0\r\n\r\n"));
  }
  if (path.starts_with("/api/kv-events")) {
    lab::SleepMs(std::atoi(request.Header("Wait-Ms").c_str()));
    return SendJson(fd, 200,
                    "{\"bootEpoch\":" + std::to_string(born) +
                        ",\"next\":0,\"lost\":false,\"events\":[]}");
  }
  if (path.starts_with("/lab/kept/")) {
    const std::lock_guard<std::mutex> lock(kept_mutex);
    const auto it = kept.find(path.substr(10));
    return SendJson(fd, 200, std::to_string(it == kept.end() ? 0 : it->second));
  }
  if (path == "/api/report") {
    return SendJson(fd, 200,
                    "{\"stage\":\"unified\",\"models\":" + Models() +
                        ",\"busy\":" + (is_loading ? "true" : "false") +
                        ",\"sequence\":" + std::to_string(orders) +
                        ",\"queued\":0,\"active\":0,\"born\":" +
                        std::to_string(born) + "}");
  }
  if (path == "/api/order") return Order(fd, request.body);
  if (id.empty()) return SendJson(fd, 400, "{}");
  const std::string wanted = request.Header("Expect-Version");
  const bool is_other = !wanted.empty() && std::stoi(wanted) != version;
  if (is_other || (is_loading && !Flag("model").empty())) {
    return lab::Send(fd, Head(is_other ? 421 : 503, id,
                              "Not-Executed: 1\r\nWeight-Versions: " +
                                  std::to_string(version) +
                                  "\r\nInstance-Id: " + Flag("id") +
                                  "\r\nContent-Length: 0\r\n\r\n"));
  }
  Record("run request=" + id + " parts=" + request.Header("Prompt-Prefix") +
         " version=" + std::to_string(version));
  if (!request.Header("Token-Usage").empty()) {
    return Generate(fd, request, id);
  }
  const std::string body = "ran " + id;
  return lab::Send(fd, Head(200, id,
                            "Response-Seal: seal." + id +
                                "\r\nInstance-Load: 1,0,6\r\nContent-Length: " +
                                std::to_string(body.size()) + "\r\n\r\n") +
                           body);
}

void Serve(int fd) {
  lab::Reader reader(fd);
  lab::Message request;
  while (lab::Read(reader, request, false) && request.is_whole &&
         Answer(fd, request)) {
  }
  close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i + 1 < argc; i += 2) flags[argv[i] + 2] = argv[i + 1];
  born = lab::NowMs(CLOCK_REALTIME);
  const int listener = lab::Listen(Flag("listen"));
  std::thread(KeepEntry).detach();
  for (;;) {
    const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    std::thread(Serve, fd).detach();
  }
}
