// libFuzzer target: decodes arbitrary bytes as a single payload and as a stream of frames. Encoding
// a decoded message, decoding it and encoding it again must give the same frame.
#include "wire/FrameReader.h"
#include "wire/Handshake.h"

#include <cstdlib>

// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer requires this name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  using namespace chervil;
  const std::string_view bytes(reinterpret_cast<const char *>(data), size);
  const Result<message::Message> m = wire::decode(bytes);
  if (m) {
    const std::string frame = wire::encode(*m);
    const Result<message::Message> again =
        wire::decode(std::string_view(frame).substr(wire::PrefixSize));
    if (!again || wire::encode(*again) != frame)
      std::abort();
  }
  (void)wire::decodeHello(bytes);
  (void)wire::decodeAuth(bytes);
  wire::FrameReader reader;
  for (std::size_t i = 0; i < size; i += 7) {
    wire::feed(reader, bytes.substr(i, 7));
    for (;;) {
      const auto payload = wire::takeFrame(reader);
      if (!payload || !*payload)
        break;
      (void)wire::decode(**payload);
    }
  }
  return 0;
}
