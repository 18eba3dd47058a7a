// Uses msgpack-cxx. fields() lists the fields of each message once, for encoding and decoding.

#include "dispatchcodec.h"

#include <msgpack.hpp>

#include <array>
#include <type_traits>
#include <utility>

namespace cactuscove {

namespace {

// The library allocates memory for the number of elements that an array announces before it reads
// them, so the number must be limited.
constexpr std::size_t MaxElements = 1 << 16; // of one array
constexpr std::size_t MaxDepth = 8;          // of nested arrays

// Calls `a`, which is a FieldCounter, Writer or Reader, with all fields of `it` in their order on
// the wire. Fields that older senders do not send are passed to optional(), after all others.
template <typename A>
void fields(A &a, Resources &it)
{
    a(it.cpuMillis, it.memoryMb, it.accelerators);
}

template <typename A>
void fields(A &a, TaskId &it)
{
    a(it.jobId, it.index);
}

template <typename A>
void fields(A &a, WorkerInfo &it)
{
    a(it.id, it.upstream, it.address, it.dataCentre, it.capacity, it.labels, it.isDraining,
      it.startedAtUnixMs, it.sequence);
}

template <typename A>
void fields(A &a, PeerHello &it)
{
    a(it.name, it.instance.value, it.role, it.dataCentre, it.address);
    a.optional(it.protocol);
}

template <typename A>
void fields(A &a, DemandReport &it)
{
    a(it.upstream, it.priority, it.utilisation);
}

template <typename A>
void fields(A &a, PeerHeartbeat &it)
{
    a(it.sentAt, it.connectedEntries);
    a.optional(it.demand);
}

template <typename A>
void fields(A &a, KnownEntries &it)
{
    a(it.addresses);
}

template <typename A>
void fields(A &a, EntryStart &it)
{
    a(it.address, it.instance.value);
}

template <typename A>
void fields(A &a, EntriesStarted &it)
{
    a(it.starts);
}

template <typename A>
void fields(A &a, AssignTask &it)
{
    a(it.task, it.attempt, it.workerId, it.queue, it.payload, it.needs, it.priority, it.expectedRun,
      it.startDeadline, it.endDeadline, it.objectiveTime, it.schedulingKey, it.assignmentNumber);
    a.optional(it.runsAlone, it.isDistrusted);
}

template <typename A>
void fields(A &a, WithdrawTask &it)
{
    a(it.task, it.attempt);
}

template <typename A>
void fields(A &a, WorkerUpdate &it)
{
    a(it.worker, it.isGone);
}

template <typename A>
void fields(A &a, QueuedDemand &it)
{
    a(it.priority, it.needs);
}

template <typename A>
void fields(A &a, ExpectedRelease &it)
{
    a(it.after, it.resources);
}

template <typename A>
void fields(A &a, WorkerLoad &it)
{
    a(it.workerId, it.free, it.queued, it.coreReleaseRate, it.isUsable, it.slowness, it.failureRate,
      it.lastAssignmentNumber);
    a.optional(it.releases, it.isReserved, it.hasTrustedTasks);
}

template <typename A>
void fields(A &a, TaskStarted &it)
{
    a(it.task, it.attempt);
    a.optional(it.hasOpenStart);
}

template <typename A>
void fields(A &a, TaskLate &it)
{
    a(it.task, it.attempt, it.remaining);
}

template <typename A>
void fields(A &a, TaskEnded &it)
{
    a(it.task, it.attempt, it.end, it.runTime);
}

template <typename A>
void fields(A &a, StartRefused &it)
{
    a(it.task, it.attempt, it.reason);
}

template <typename A>
void fields(A &a, TaskInventory &it)
{
    a(it.started, it.waiting, it.ended, it.orphanFreeWorkers);
}

template <typename A>
void fields(A &a, EvacuationRecord &it)
{
    a(it.dataCentre, it.isEvacuated, it.offset.value);
}

template <typename A>
void fields(A &a, OperatorSnapshot &it)
{
    a(it.configVersion, it.configText, it.evacuations, it.readUpTo.value);
}

template <typename A>
void fields(A &a, OperatorOffer &it)
{
    a(it.configVersion, it.readUpTo.value);
    a.optional(it.copiedHash);
}

template <typename A>
void fields(A &a, OperatorRequest &it)
{
    a(it.configVersion);
}

template <typename A>
void fields(A &a, OperatorState &it)
{
    a(it.snapshot);
}

template <typename A>
void fields(A &a, EvacuationUpdate &it)
{
    a(it.evacuations, it.readUpTo.value);
}

template <typename A>
void fields(A &a, InterruptedRun &it)
{
    a(it.task, it.queue, it.isRecent);
}

template <typename A>
void fields(A &a, CrashReport &it)
{
    a(it.agent.value, it.number, it.state, it.age, it.runs);
}

template <typename A>
void fields(A &a, OpenStart &it)
{
    a(it.task, it.attempt, it.workerId, it.agent.value, it.state, it.remaining);
}

template <typename A>
void fields(A &a, OpenStartReport &it)
{
    a(it.starts);
}

// A type that has an overload of fields().
template <typename T>
concept HasFields
    = std::is_class_v<T> && !std::is_same_v<
          T, std::string> && !std::is_same_v<T, TimePoint> && !std::is_same_v<T, Duration>;

// Counts the fields that fields() lists.
class FieldCounter
{
public:
    template <typename... T>
    void operator()(T &...)
    {
        count += sizeof...(T);
    }
    template <typename... T>
    void optional(T &...values)
    {
        (*this)(values...);
    }
    std::uint32_t count = 0;
};

// Appends fields to a buffer as MessagePack.
class Writer
{
public:
    explicit Writer(msgpack::sbuffer &buf)
        : m_packer(buf)
    {}

    template <typename... T>
    void operator()(T &...values)
    {
        (write(values), ...);
    }

    template <typename... T>
    void optional(T &...values)
    {
        (*this)(values...);
    }

    void array(std::uint32_t n) { m_packer.pack_array(n); }
    void index(std::uint64_t n) { m_packer.pack(n); }

private:
    void write(TimePoint value) { m_packer.pack(value.time_since_epoch().count()); }
    void write(Duration value) { m_packer.pack(value.count()); }

    template <typename T>
    void write(std::vector<T> &values)
    {
        m_packer.pack_array(static_cast<std::uint32_t>(values.size()));
        for (T &it : values)
            write(it);
    }

    template <typename T>
    void write(T &value)
    {
        if constexpr (HasFields<T>) {
            FieldCounter counter;
            fields(counter, value);
            m_packer.pack_array(counter.count);
            fields(*this, value);
        } else if constexpr (std::is_enum_v<T>) {
            m_packer.pack(static_cast<std::uint32_t>(value));
        } else {
            m_packer.pack(value);
        }
    }

    msgpack::packer<msgpack::sbuffer> m_packer;
};

// Highest valid value of each enumeration that is read from the wire.
template <typename T>
constexpr std::uint32_t MaxEnumValue = 0;
template <>
constexpr std::uint32_t MaxEnumValue<Role> = static_cast<std::uint32_t>(Role::Agent);
template <>
constexpr std::uint32_t MaxEnumValue<TaskEnd> = static_cast<std::uint32_t>(TaskEnd::Lost);
template <>
constexpr std::uint32_t
    MaxEnumValue<CrashState> = static_cast<std::uint32_t>(CrashState::Withdrawn);
template <>
constexpr std::uint32_t
    MaxEnumValue<OpenStartState> = static_cast<std::uint32_t>(OpenStartState::Answered);
template <>
constexpr std::uint32_t
    MaxEnumValue<StartRefusal> = static_cast<std::uint32_t>(StartRefusal::Duplicate);

// Reads the elements of one MessagePack array into fields. Throws msgpack::type_error, which
// decodeFrame() catches, if an element is missing or has the wrong type.
class Reader
{
public:
    explicit Reader(const msgpack::object_array &array)
        : m_array(array)
    {}

    template <typename... T>
    void operator()(T &...values)
    {
        (read(values, next()), ...);
    }

    // Leaves the fields that the array does not have as they are.
    template <typename... T>
    void optional(T &...values)
    {
        (readIfPresent(values), ...);
    }

    const msgpack::object &next()
    {
        if (m_next >= m_array.size)
            throw msgpack::type_error();
        return m_array.ptr[m_next++];
    }

private:
    static const msgpack::object_array &arrayOf(const msgpack::object &object)
    {
        if (object.type != msgpack::type::ARRAY)
            throw msgpack::type_error();
        return object.via.array;
    }

    template <typename T>
    void readIfPresent(T &value)
    {
        if (m_next < m_array.size)
            read(value, next());
    }

    static void read(TimePoint &value, const msgpack::object &object)
    {
        value = TimePoint(Duration(object.as<std::int64_t>()));
    }

    static void read(Duration &value, const msgpack::object &object)
    {
        value = Duration(object.as<std::int64_t>());
    }

    template <typename T>
    static void read(std::vector<T> &values, const msgpack::object &object)
    {
        const msgpack::object_array &array = arrayOf(object);
        values.resize(array.size);
        for (std::uint32_t i = 0; i < array.size; ++i)
            read(values[i], array.ptr[i]);
    }

    template <typename T>
    static void read(T &value, const msgpack::object &object)
    {
        if constexpr (HasFields<T>) {
            Reader reader(arrayOf(object));
            fields(reader, value);
        } else if constexpr (std::is_enum_v<T>) {
            const auto number = object.as<std::uint32_t>();
            if (number > MaxEnumValue<T>)
                throw msgpack::type_error();
            value = static_cast<T>(number);
        } else {
            value = object.as<T>();
        }
    }

    const msgpack::object_array &m_array;
    std::uint32_t m_next = 0;
};

// Reads the fields of the message type with this index in PeerMessage. Throws msgpack::type_error
// if there is no such type.
template <std::size_t... I>
PeerMessage readMessage(std::size_t index, Reader &reader, std::index_sequence<I...>)
{
    PeerMessage message;
    const auto readAs = [&]<std::size_t N>() {
        auto &it = message.emplace<N>();
        fields(reader, it);
        return true;
    };
    if (!((index == I && readAs.template operator()<I>()) || ...))
        throw msgpack::type_error();
    return message;
}

} // namespace

std::string encodeFrame(std::span<const PeerMessage> messages)
{
    msgpack::sbuffer buf;
    Writer writer(buf);
    writer.array(static_cast<std::uint32_t>(messages.size()));
    for (const PeerMessage &message : messages) {
        std::visit(
            [&](const auto &it) {
                // fields() takes a mutable reference for the Reader; a Writer changes nothing.
                auto &value = const_cast<std::remove_cvref_t<decltype(it)> &>(it);
                FieldCounter counter;
                fields(counter, value);
                writer.array(counter.count + 1);
                writer.index(message.index());
                fields(writer, value);
            },
            message);
    }
    const auto size = static_cast<std::uint32_t>(buf.size());
    const std::array<char, FrameHeaderBytes> header{
        static_cast<char>(size >> 24), static_cast<char>(size >> 16), static_cast<char>(size >> 8),
        static_cast<char>(size)};
    std::string frame;
    frame.reserve(header.size() + buf.size());
    frame.append(header.data(), header.size());
    frame.append(buf.data(), buf.size());
    return frame;
}

Result<std::size_t, FrameError> frameSize(std::string_view bytes)
{
    if (bytes.size() < FrameHeaderBytes)
        return std::size_t(0);
    std::size_t size = 0;
    for (std::size_t i = 0; i < FrameHeaderBytes; ++i)
        size = size << 8 | static_cast<unsigned char>(bytes[i]);
    if (size > MaxFrameBytes)
        return FrameError{"frame of " + std::to_string(size) + " bytes is too long"};
    return FrameHeaderBytes + size;
}

Result<std::vector<PeerMessage>, FrameError> decodeFrame(std::string_view frame)
{
    if (frame.size() < FrameHeaderBytes)
        return FrameError{"frame shorter than its header"};
    const std::string_view body = frame.substr(FrameHeaderBytes);
    try {
        const msgpack::object_handle handle = msgpack::unpack(
            body.data(), body.size(), nullptr, nullptr,
            msgpack::unpack_limit(MaxElements, 0, body.size(), body.size(), 0, MaxDepth));
        if (handle.get().type != msgpack::type::ARRAY)
            return FrameError{"frame body is not an array of messages"};
        const msgpack::object_array &array = handle.get().via.array;
        std::vector<PeerMessage> messages;
        messages.reserve(array.size);
        for (std::uint32_t i = 0; i < array.size; ++i) {
            if (array.ptr[i].type != msgpack::type::ARRAY)
                return FrameError{"message " + std::to_string(i) + " is not an array"};
            Reader reader(array.ptr[i].via.array);
            const auto index = reader.next().as<std::size_t>();
            messages.push_back(readMessage(
                index, reader, std::make_index_sequence<std::variant_size_v<PeerMessage>>()));
        }
        return messages;
    } catch (const msgpack::type_error &) {
        return FrameError{"message type unknown, or field missing or of wrong type"};
    } catch (const msgpack::unpack_error &ex) {
        return FrameError{ex.what()};
    }
}

} // namespace cactuscove
