#include "net/messageparser.h"

#include <algorithm>
#include <http_parser.h>

#include <absl/strings/ascii.h>

#include "model/abslview.h"
#include "net/internal/responselines.h"

namespace citronpick::net
{

namespace
{

constexpr size_t defaultMaxHeadBytes = 64U << 10U;

// http_parser accepts a space in a header name, which other parsers take for the end of the name.
bool hasOnlyTokenCharacters(std::string_view name)
{
    constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
    return std::all_of(name.begin(), name.end(), [symbols](char character) {
        return absl::ascii_isalnum(static_cast<unsigned char>(character))
               || symbols.find(character) != std::string_view::npos;
    });
}

} // namespace

class MessageParser::Impl
{
public:
    Impl(Kind kind, IMessageSink &sink)
        : m_sink(sink)
        , m_kind(kind)
    {
        http_parser_settings_init(&m_settings);
        m_settings.on_message_begin = &Impl::onBegin;
        m_settings.on_url = &Impl::onUrl;
        m_settings.on_header_field = &Impl::onField;
        m_settings.on_header_value = &Impl::onValue;
        m_settings.on_headers_complete = &Impl::onHeadersComplete;
        m_settings.on_body = &Impl::onBody;
        m_settings.on_chunk_header = &Impl::onChunkHeader;
        m_settings.on_message_complete = &Impl::onMessageComplete;
        reset();
    }

    void reset()
    {
        http_parser_init(&m_parser, m_kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
        m_parser.data = this;
        m_head = {};
        m_wasHeaderValueLast = true;
        m_headBytes = 0;
        m_isStarted = false;
        m_isHeadComplete = false;
        m_isComplete = false;
        m_error = ParseError::None;
        m_lines.beginHead();
    }

    size_t feed(std::string_view bytes)
    {
        size_t consumed = 0;
        while (consumed < bytes.size() && !m_isComplete && m_error == ParseError::None) {
            const std::string_view rest = bytes.substr(consumed);
            consumed += parse(m_kind == Kind::Response ? m_lines.nextPiece(rest) : rest);
        }
        return consumed;
    }

    size_t parse(std::string_view bytes)
    {
        if (m_kind == Kind::Response && !m_lines.accept(bytes)) {
            m_error = ParseError::Malformed;
            return 0;
        }
        const bool wasHeadComplete = m_isHeadComplete;
        const size_t consumed
            = http_parser_execute(&m_parser, &m_settings, bytes.data(), bytes.size());
        auto code = HTTP_PARSER_ERRNO(&m_parser);
        if (m_isComplete) {
            return consumed;
        }
        if (code == HPE_PAUSED) {
            http_parser_pause(&m_parser, 0);
            code = HPE_OK;
        }
        if (!wasHeadComplete && !m_isHeadComplete) {
            m_headBytes += consumed;
        }
        const bool isOverflow = code == HPE_HEADER_OVERFLOW && m_kind == Kind::Response;
        if (m_error == ParseError::None && isOverflow && !m_isHeadComplete) {
            m_error = ParseError::HeadTooLarge;
        }
        if (m_error == ParseError::None && (code != HPE_OK || m_parser.upgrade)) {
            m_error = ParseError::Malformed;
        }
        if (m_error == ParseError::None && !m_isHeadComplete && limitedBytes() > m_maxHeadBytes) {
            m_error = ParseError::HeadTooLarge;
        }
        return consumed;
    }

    // Fields of a few bytes take a multiple of these in memory.
    size_t headMemory() const
    {
        return m_headBytes + m_head.headers.size() * sizeof(Header);
    }

    // The limit on the heads of callers is the operator's, in bytes of the head itself.
    size_t limitedBytes() const
    {
        return m_kind == Kind::Response ? headMemory() : m_headBytes;
    }

    // The whole head may have arrived at once, so that its bytes were not counted.
    bool isCompleteHeadTooLarge() const
    {
        if (m_kind == Kind::Response) {
            return memoryOf(m_head.headers) > m_maxHeadBytes;
        }
        constexpr size_t separatorBytes = 3; // A colon and the end of the line.
        size_t bytes = m_head.target.size();
        for (const Header &header : m_head.headers) {
            bytes += header.name.size() + header.value.size() + separatorBytes;
        }
        return bytes > m_maxHeadBytes;
    }

    bool finish()
    {
        if (!m_isStarted || m_isComplete) {
            return true;
        }
        http_parser_execute(&m_parser, &m_settings, nullptr, 0);
        return m_isComplete;
    }

    IMessageSink &m_sink;
    Kind m_kind;
    http_parser m_parser {};
    http_parser_settings m_settings {};
    MessageHead m_head;
    bool m_wasHeaderValueLast = true;
    bool m_expectsNoBody = false;
    size_t m_headBytes = 0;
    size_t m_maxHeadBytes = defaultMaxHeadBytes;
    bool m_isStarted = false;
    bool m_isHeadComplete = false;
    bool m_isComplete = false;
    ParseError m_error = ParseError::None;
    internal::ResponseLines m_lines;

private:
    static Impl &self(http_parser *parser)
    {
        return *static_cast<Impl *>(parser->data);
    }

    static int onBegin(http_parser *parser)
    {
        self(parser).m_isStarted = true;
        return 0;
    }

    static int onUrl(http_parser *parser, const char *at, size_t length)
    {
        self(parser).m_head.target.append(at, length);
        return 0;
    }

    static int onField(http_parser *parser, const char *at, size_t length)
    {
        constexpr int failed = -1;
        Impl &impl = self(parser);
        const bool isChecked = impl.m_kind == Kind::Response || !impl.m_isHeadComplete;
        if (isChecked && !hasOnlyTokenCharacters({at, length})) {
            impl.m_error = ParseError::Malformed;
            return failed;
        }
        if (impl.m_isHeadComplete) {
            return 0; // Trailers of a chunked body apply to this connection only.
        }
        if (impl.m_wasHeaderValueLast) {
            impl.m_head.headers.emplace_back();
            impl.m_wasHeaderValueLast = false;
        }
        impl.m_head.headers.back().name.append(at, length);
        return 0;
    }

    static int onValue(http_parser *parser, const char *at, size_t length)
    {
        Impl &impl = self(parser);
        if (impl.m_isHeadComplete) {
            return 0;
        }
        impl.m_head.headers.back().value.append(at, length);
        impl.m_wasHeaderValueLast = true;
        return 0;
    }

    static int onHeadersComplete(http_parser *parser)
    {
        constexpr int hasNoBody = 1;
        constexpr int failed = -1;
        Impl &impl = self(parser);
        if (impl.isCompleteHeadTooLarge()) {
            impl.m_error = ParseError::HeadTooLarge;
            return failed;
        }
        for (Header &header : impl.m_head.headers) {
            absl::AsciiStrToLower(&header.name);
            absl::StripTrailingAsciiWhitespace(&header.value);
        }
        if (impl.m_kind == Kind::Request) {
            impl.m_head.method = http_method_str(static_cast<http_method>(parser->method));
        } else {
            impl.m_head.status = static_cast<uint16_t>(parser->status_code);
        }
        impl.m_head.isChunked = (parser->flags & F_CHUNKED) != 0;
        if ((parser->flags & F_CONTENTLENGTH) != 0 && !impl.m_head.isChunked) {
            impl.m_head.contentLength = parser->content_length;
        }
        impl.m_head.isKeepAlive = http_should_keep_alive(parser) != 0;
        impl.m_head.endsWithConnection = impl.endsWithConnection();
        const bool endsWithHead = impl.endsWithHead();
        if (!impl.isInterim()) {
            impl.m_isHeadComplete = true;
            impl.m_lines.beginBody();
            impl.m_sink.onHead(std::move(impl.m_head));
        }
        impl.m_head = {};
        impl.m_wasHeaderValueLast = true;
        return endsWithHead ? hasNoBody : 0;
    }

    bool isInterim() const
    {
        constexpr uint16_t firstFinalStatus = 200;
        return m_kind == Kind::Response && m_parser.status_code < firstFinalStatus;
    }

    // Whatever its fields say. http_parser would read the body that they announce, and wait for it.
    bool endsWithHead() const
    {
        constexpr uint16_t noContent = 204;
        constexpr uint16_t notModified = 304;
        return m_expectsNoBody || isInterim()
               || (m_kind == Kind::Response
                   && (m_parser.status_code == noContent || m_parser.status_code == notModified));
    }

    bool endsWithConnection() const
    {
        return m_kind == Kind::Response && !endsWithHead() && !m_head.isChunked
               && !m_head.contentLength;
    }

    static int onBody(http_parser *parser, const char *at, size_t length)
    {
        self(parser).m_sink.onBody({at, length});
        return 0;
    }

    // The last chunk has no bytes; the trailer follows. Pausing ends the call of http_parser, so
    // that the trailer is passed to it line by line.
    static int onChunkHeader(http_parser *parser)
    {
        if (parser->content_length == 0) {
            self(parser).m_lines.beginTrailer();
            http_parser_pause(parser, 1);
        }
        return 0;
    }

    static int onMessageComplete(http_parser *parser)
    {
        Impl &impl = self(parser);
        if (!impl.m_isHeadComplete) {
            impl.m_lines.beginHead();
            return 0; // End of an interim response; the final response follows.
        }
        impl.m_isComplete = true;
        http_parser_pause(parser, 1);
        impl.m_sink.onComplete();
        return 0;
    }
};

MessageParser::MessageParser(Kind kind, IMessageSink &sink)
    : m_impl(std::make_unique<Impl>(kind, sink))
{
}

MessageParser::~MessageParser() = default;

size_t MessageParser::feed(std::string_view bytes)
{
    return m_impl->feed(bytes);
}

bool MessageParser::finish()
{
    return m_impl->finish();
}

void MessageParser::reset()
{
    m_impl->reset();
}

void MessageParser::setMaxHeadBytes(size_t bytes)
{
    m_impl->m_maxHeadBytes = bytes;
}

void MessageParser::setExpectsNoBody(bool isExpected)
{
    m_impl->m_expectsNoBody = isExpected;
}

ParseError MessageParser::error() const
{
    return m_impl->m_error;
}

bool MessageParser::isComplete() const
{
    return m_impl->m_isComplete;
}

bool MessageParser::isHeadComplete() const
{
    return m_impl->m_isHeadComplete;
}

size_t MessageParser::headBytes() const
{
    return m_impl->m_isHeadComplete ? 0 : m_impl->headMemory();
}

bool MessageParser::isAtStart() const
{
    return !m_impl->m_isStarted;
}

void appendHeader(std::string &out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

} // namespace citronpick::net
