// Tests of the message codec: a round trip loses nothing, and no input crashes the decoder.

#include "messagecodec.h"
#include "messagefields.h"
#include "recordcodec.h"

#include <gtest/gtest.h>
#include <json/json.h>
#include <rapidcheck/gtest.h>

#include <limits>

namespace cactuscove {
namespace {

template <typename T>
concept HasFieldList = requires
{
    fieldsOf(Tag<T>{});
};

// Converts to any type; used to count the members of an aggregate.
struct AnyValue
{
    template <typename T>
    operator T() const; // NOLINT(google-explicit-constructor)
};

template <typename T, typename... Values>
consteval std::size_t memberCount()
{
    if constexpr (requires { T{Values{}..., AnyValue{}}; })
        return memberCount<T, Values..., AnyValue>();
    else
        return sizeof...(Values);
}

template <typename T>
constexpr bool ListsEveryMember
    = memberCount<T>() == std::tuple_size_v<decltype(fieldsOf(Tag<T>{}))>;

// Guards against a member that is missing from the field list of its structure and is lost without
// an error when it is sent.
static_assert(
    ListsEveryMember<
        TraceContext> && ListsEveryMember<TaskResources> && ListsEveryMember<TaskSpec> && ListsEveryMember<JobSpec> && ListsEveryMember<TaskResult> && ListsEveryMember<TaskAnswer> && ListsEveryMember<LoadReport> && ListsEveryMember<TaskRef> && ListsEveryMember<ShardClaim>);
static_assert(ListsEveryMember<FeedAck> && ListsEveryMember<SubmitJob> && ListsEveryMember<JobAccepted> && ListsEveryMember<JobAnswer> && ListsEveryMember<SubmitRefused> && ListsEveryMember<CancelJob> && ListsEveryMember<QueryJob> && ListsEveryMember<JobNotFound> && ListsEveryMember<StartTask> && ListsEveryMember<TaskAccepted> && ListsEveryMember<TaskBusy> && ListsEveryMember<TaskRefused> && ListsEveryMember<TaskDone> && ListsEveryMember<TaskDoneAck> && ListsEveryMember<CancelTask> && ListsEveryMember<TaskNotStarted> && ListsEveryMember<SlotOffer> && ListsEveryMember<OfferDeclined> && ListsEveryMember<StartEpoch> && ListsEveryMember<WitnessedTask> && ListsEveryMember<WitnessedJob> && ListsEveryMember<Witness> && ListsEveryMember<TransferredJob> && ListsEveryMember<TransferShard> && ListsEveryMember<TransferAck> && ListsEveryMember<TransferCancel> && ListsEveryMember<TransferCancelled> && ListsEveryMember<AdoptedJob> && ListsEveryMember<AdoptWitness> && ListsEveryMember<AdoptAck>);
static_assert(ListsEveryMember<SnapshotRecord> && ListsEveryMember<Envelope>);

// Fills any structure with random values.
struct Generate
{
    static void fill(bool &it) { it = *rc::gen::arbitrary<bool>(); }
    static void fill(std::string &it) { it = *rc::gen::arbitrary<std::string>(); } // any bytes
    static void fill(Duration &it)
    {
        it = Duration(*rc::gen::inRange<std::int64_t>(-(1LL << 53), 1LL << 53));
    }
    static void fill(JobKey &it) { fill(it.value); }
    static void fill(KeyHash &it) { it = {*rc::gen::arbitrary<std::uint64_t>(), *edges()}; }
    static void fill(ShardId &it) { it.value = *rc::gen::inRange<std::uint16_t>(0, ShardCount); }

    template <std::integral T>
    static void fill(T &it)
    {
        it = static_cast<T>(*edges());
    }

    template <typename T>
    requires std::is_enum_v<T>
    static void fill(T &it)
    {
        it = static_cast<T>(*rc::gen::inRange(0, static_cast<int>(lastEnumerator(Tag<T>{})) + 1));
    }

    template <typename T>
    static void fill(StrongId<T, std::uint64_t> &it)
    {
        it.value = *edges();
    }

    template <typename T>
    static void fill(std::optional<T> &it)
    {
        if (*rc::gen::arbitrary<bool>())
            fill(it.emplace());
    }

    template <typename T>
    static void fill(std::vector<T> &it)
    {
        it.resize(*rc::gen::inRange<std::size_t>(0, 4));
        for (T &item : it)
            fill(item);
    }

    template <HasFieldList T>
    static void fill(T &it)
    {
        std::apply([&](const auto &...field) { (fill(it.*field.member), ...); },
                   fieldsOf(Tag<T>{}));
    }

    static void fill(LogRecord &it)
    {
        fill(it.offset);
        // The record codec has its own tests.
        it.record.appendId = "append-" + std::to_string(*rc::gen::inRange(0, 100));
        it.record.body = SuspectRecord{{*edges() | 1}, {*edges() | 1}}; // 0 is not an incarnation
    }

    template <typename Variant>
    static void alternative(Variant &it, std::size_t index)
    {
        [&]<std::size_t... I>(std::index_sequence<I...>)
        {
            (void)((I == index ? (fill(it.template emplace<I>()), true) : false) || ...);
        }
        (std::make_index_sequence<std::variant_size_v<Variant>>());
    }

    // Small values, and values that a double cannot hold.
    static rc::Gen<std::uint64_t> edges()
    {
        return rc::gen::oneOf(rc::gen::inRange<std::uint64_t>(0, 10),
                              rc::gen::arbitrary<std::uint64_t>(),
                              rc::gen::element(std::numeric_limits<std::uint64_t>::max(),
                                               (std::uint64_t{1} << 53) + 1));
    }
};

std::string write(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, json);
}

Json::Value parse(const std::string &text)
{
    Json::Value json;
    std::string error;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(text.data(), text.data() + text.size(), &json, &error);
    return json;
}

// Compares two values of any structure, member by member.
struct Equal
{
    template <typename T>
    static bool of(const T &a, const T &b)
    {
        if constexpr (HasFieldList<T>)
            return std::apply(
                [&](const auto &...field) { return (of(a.*field.member, b.*field.member) && ...); },
                fieldsOf(Tag<T>{}));
        else
            return a == b;
    }
    static bool of(const LogRecord &a, const LogRecord &b)
    {
        return a.offset == b.offset && recordToJson(a.record) == recordToJson(b.record);
    }
    template <typename T>
    static bool of(const std::vector<T> &a, const std::vector<T> &b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                          [](const T &x, const T &y) { return of(x, y); });
    }
    template <typename T>
    static bool of(const std::optional<T> &a, const std::optional<T> &b)
    {
        return a && b ? of(*a, *b) : a.has_value() == b.has_value();
    }
    template <typename... T>
    static bool of(const std::variant<T...> &a, const std::variant<T...> &b)
    {
        return a.index() == b.index()
               && std::visit(
                   [&](const auto &it) { return of(it, std::get<std::decay_t<decltype(it)>>(b)); },
                   a);
    }
};

Envelope anyEnvelope(std::size_t messageIndex)
{
    Envelope envelope;
    Generate::fill(envelope.from);
    Generate::fill(envelope.to);
    Generate::fill(envelope.loads);
    Generate::alternative(envelope.messages.emplace_back(), messageIndex);
    return envelope;
}

// Replaces one value somewhere in the tree by a value of another kind.
void damage(Json::Value &json)
{
    const bool goesDeeper = !json.empty() && *rc::gen::inRange(0, 4) != 0;
    if (goesDeeper && json.isObject())
        return damage(json[*rc::gen::elementOf(json.getMemberNames())]);
    if (goesDeeper && json.isArray())
        return damage(json[*rc::gen::inRange<Json::ArrayIndex>(0, json.size())]);
    const Json::Value values[]
        = {Json::Value(),
           Json::Value(true),
           Json::Value(-1),
           Json::Value(Json::UInt64{std::numeric_limits<std::uint64_t>::max()}),
           Json::Value(1e300),
           Json::Value("text"),
           Json::Value(Json::arrayValue),
           Json::Value(Json::objectValue)};
    json = *rc::gen::elementOf(std::vector<Json::Value>(std::begin(values), std::end(values)));
}

class MessageCodec : public testing::TestWithParam<std::size_t>
{};

// Guards against a field that loses digits or bytes, which would change a hash, an epoch or a
// payload.
TEST_P(MessageCodec, RoundTripThroughTextKeepsEveryField)
{
    EXPECT_TRUE(rc::check(MessageNames[GetParam()], [&] {
        const Envelope sent = anyEnvelope(GetParam());
        const auto received = decodeEnvelope(parse(write(encodeEnvelope(sent))));
        RC_ASSERT(isOk(received));
        RC_ASSERT(Equal::of(valueOf(received), sent));
    }));
}

// Guards against a crash or an exception when a peer of another version sends a different message,
// or when a body is damaged.
TEST_P(MessageCodec, DamagedMessageIsDecodedOrRefused)
{
    EXPECT_TRUE(rc::check(MessageNames[GetParam()], [&] {
        Json::Value json = encodeEnvelope(anyEnvelope(GetParam()));
        damage(json["messages"][0]);
        decodeEnvelope(json);
        std::string text = write(json);
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        decodeEnvelope(parse(text));
    }));
}

INSTANTIATE_TEST_SUITE_P(EveryMessage, MessageCodec,
                         testing::Range<std::size_t>(0, std::variant_size_v<Message>),
                         [](const auto &info) { return MessageNames[info.param]; });

// Guards against errors that do not say which field is wrong and why.
TEST(MessageCodecErrors, NamesTheFieldAndTheReason)
{
    const auto errorFor = [](const std::string &message) {
        const auto result
            = decodeEnvelope(parse(R"({"from":1,"to":2,"messages":[)" + message + "]}"));
        return isOk(result) ? "accepted" : errorOf(result).reason;
    };
    EXPECT_EQ(errorFor(R"({"type":"JobAccepted","key":"a/b","epoch":3})"), "accepted");
    EXPECT_EQ(errorFor(R"({"type":"JobAccepted","key":"a/b"})"),
              "messages[0].epoch: expected an integer");
    EXPECT_EQ(errorFor(R"({"type":"JobAccepted","key":7,"epoch":3})"),
              "messages[0].key: expected a string");
    EXPECT_EQ(errorFor(R"({"type":"JobAccepted","key":"a","epoch":-1})"),
              "messages[0].epoch: integer out of range");
    EXPECT_EQ(errorFor(R"({"type":"JobAccepted","key":"a","epoch":1e3})"),
              "messages[0].epoch: expected an integer");
    EXPECT_EQ(errorFor(R"({"type":"JobAccepted","key":{"hex":"0g"},"epoch":1})"),
              "messages[0].key: expected hex digits");
    EXPECT_EQ(errorFor(R"({"type":"Raise","claims":[{"shard":512,"epoch":1}]})"),
              "messages[0].claims[0].shard: shard out of range");
    EXPECT_EQ(errorFor(R"({"type":"Witness","subject":1,"claims":[],"jobs":[{"key":"12"}]})"),
              "messages[0].jobs[0].key: expected 32 hex digits");
    EXPECT_EQ(errorFor(R"({"type":"SubmitRefused","key":"a","reason":3,"home_epoch":1})"),
              "messages[0].reason: unknown enumerator");
    EXPECT_EQ(errorFor(R"({"type":"Pardon"})"), "messages[0]: unknown type");
    EXPECT_EQ(errorFor("[]"), "messages[0]: expected an object with a type");
}

// Guards against accepting JSON values that are not envelopes.
TEST(MessageCodecErrors, RefusesEveryOtherJsonValue)
{
    for (const char *text : {"null", "[]", "1", "\"x\"", "{}", "{\"from\":1,\"to\":2}", "true",
                             R"({"from":1,"to":2,"messages":{}})"})
        EXPECT_FALSE(isOk(decodeEnvelope(parse(text)))) << text;
}

} // namespace
} // namespace cactuscove
