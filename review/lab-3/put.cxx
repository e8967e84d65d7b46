// put IP:PORT BODY [PATH]: one call; exits with 0 if the answer is 200.
// A BODY of "-" makes it a GET.
#include "http.hxx"

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const std::string body = argv[2];
  const std::string path = argc > 3 ? argv[3] : "/";
  const int fd = lab::Connect(argv[1], 2000);
  if (fd < 0) return 1;
  const std::string head =
      body == "-"
          ? "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
          : "POST " + path +
                " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Type: "
                "application/json\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body;
  lab::Send(fd, head);
  lab::Reader reader(fd);
  lab::Message answer;
  if (!lab::Read(reader, answer, true)) return 1;
  std::puts(answer.body.c_str());
  return answer.start.find(" 200") == std::string::npos ? 1 : 0;
}
