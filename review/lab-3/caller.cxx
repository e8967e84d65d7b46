// Stand-in for a client: sends requests one after the other on one kept
// channel and appends what it sent and received to a record.
//
// caller --to IP:PORT --record FILE --host H --key K --path P --id PREFIX
//        [--count N] [--pause_ms N] [--parts P] [--own 1] [--model M]
//        [--deadline_ms N]
// With --model the request is a generation. "@" in --parts becomes the number
// of the request.
#include <fcntl.h>

#include "http.hxx"

namespace {

std::map<std::string, std::string> flags;

std::string Flag(const std::string& name, const std::string& otherwise = "") {
  const auto it = flags.find(name);
  return it == flags.end() ? otherwise : it->second;
}

void Record(const std::string& line) {
  const int fd = open(Flag("record").c_str(),
                      O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
  const std::string text =
      std::to_string(lab::NowMs()) + " client " + line + "\n";
  if (write(fd, text.data(), text.size()) < 0) std::perror("record");
  close(fd);
}

int CountEvents(const std::string& body) {
  int events = 0;
  for (std::size_t at = body.find("\n\n"); at != std::string::npos;
       at = body.find("\n\n", at + 2)) {
    ++events;
  }
  return events;
}

}  // namespace

int main(int argc, char** argv) {
  for (int i = 1; i + 1 < argc; i += 2) flags[argv[i] + 2] = argv[i + 1];
  const std::int64_t deadline = std::stoll(Flag("deadline_ms", "6000"));
  int fd = -1;
  for (int n = 1; n <= std::stoi(Flag("count", "1")); ++n) {
    if (n > 1) lab::SleepMs(std::stoll(Flag("pause_ms", "0")));
    const std::string id = Flag("id") + "-" + std::to_string(n);
    std::string parts = Flag("parts");
    if (const auto at = parts.find('@'); at != std::string::npos) {
      parts.replace(at, 1, std::to_string(n));
    }
    std::string request = "POST " + Flag("path") +
                          " HTTP/1.1\r\nHost: " + Flag("host") +
                          "\r\nAttempt-Id: " + id +
                          "\r\nDeadline-Ms: " + std::to_string(deadline) +
                          "\r\nCredential: " + Flag("key") + "\r\n";
    if (!Flag("model").empty()) {
      request += "Model: " + Flag("model") +
                 "\r\nToken-Usage: 1000,20\r\nPrompt-Prefix: " + parts + "\r\n";
    }
    request += "Content-Length: 2\r\n\r\n{}";
    if (fd < 0) fd = lab::Connect(Flag("to"), deadline + 2000);
    if (fd < 0) {
      Record("unconnected request=" + id);
      continue;
    }
    Record("sent request=" + id + " to=" + Flag("to") + " parts=" + parts);
    lab::Send(fd, request);
    lab::Reader reader(fd);
    lab::Message answer;
    const bool has_head = lab::Read(reader, answer, true);
    const std::string status =
        has_head && answer.start.size() > 12 ? answer.start.substr(9, 3) : "0";
    Record("answered request=" + id + " status=" + status +
           " whole=" + (answer.is_whole ? "1" : "0") +
           " events=" + std::to_string(CountEvents(answer.body)) +
           " bytes=" + std::to_string(answer.body.size()) +
           " sealed=" + (answer.Header("Response-Seal").empty() ? "0" : "1") +
           " owner=" + answer.Header("Attempt-Id"));
    const bool is_kept =
        has_head && answer.is_whole &&
        strcasecmp(answer.Header("Connection").c_str(), "close") != 0;
    if (!is_kept) {
      close(fd);
      fd = -1;
    }
  }
}
