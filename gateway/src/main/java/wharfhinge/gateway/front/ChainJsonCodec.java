package wharfhinge.gateway.front;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import wharfhinge.config.ChainConfig;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainPlan.InvalidPlanException;
import wharfhinge.decisions.chain.ChainResult;
import wharfhinge.engine.ChainCall;
import wharfhinge.engine.ChainCall.StepAnswer;
import wharfhinge.policy.Effect;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;

/** Reads chains and writes their answers as JSON. The schema of a chain is chain.schema.json. Thread-safe. */
public final class ChainJsonCodec {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_NESTING = 16;
    private static final ObjectMapper MAPPER = JsonMapper.builder(com.fasterxml.jackson.core.JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MAX_NESTING)
                            .build())
                    .build())
            .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final JsonSchema SCHEMA = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(ChainJsonCodec.class.getResourceAsStream("chain.schema.json"));

    private static final String SAMPLE_CHAIN =
            """
            {"id": "x", "key": "k", "tenant": "t", "deadline_ms": 1, "input": "",
             "steps": [{"id": "a", "function": "f", "class": "c", "input": ["client"],
                        "cost_us": 1, "memory_mb": 0.5, "lanes": 1, "load_ms": 1, "write": true}]}
            """;

    private final Map<String, RequestClass> classes;
    private final RequestClass defaultClass;
    private final ChainConfig config;

    /**
     * Creates a codec for chains whose steps are of {@code classes}.
     *
     * @param defaultClass the class of steps that name none; if null, each step must name one
     */
    public ChainJsonCodec(Map<String, RequestClass> classes, RequestClass defaultClass, ChainConfig config) {
        this.classes = classes;
        this.defaultClass = defaultClass;
        this.config = config;
        loadCodecClasses();
    }

    /**
     * Loads the classes of the JSON library by reading and writing a sample chain. Loading them with the first chain would delay its
     * answer: a chain that times out is answered between its timer and its deadline, and class loading takes longer than that.
     */
    private static void loadCodecClasses() {
        ChainPlan.Step step = new ChainPlan.Step("a", "f", "c", Effect.IDEMPOTENT, List.of(), 0, 0);
        StepAnswer answer = new StepAnswer("w", 1, false, new byte[0], null);
        ChainResult result = new ChainResult(ChainResult.Kind.SERVED, "", List.of(ChainResult.StepState.SERVED));
        try {
            ChainPlan plan = ChainPlan.of(List.of(step));
            for (int i = 0; i < 2; i++) { // the second pass runs with the library's caches filled
                parse(SAMPLE_CHAIN.getBytes(StandardCharsets.UTF_8));
                write(plan, result, List.of(answer));
            }
        } catch (InvalidChainException | InvalidPlanException e) {
            throw new IllegalStateException("the sample chain is rejected", e);
        }
    }

    /** Thrown if a chain is invalid. The message has one line for each fault, with its JSON path. */
    public static final class InvalidChainException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidChainException(String message) {
            super(message);
        }
    }

    /** Parses and validates a chain. {@code gatewayId} is the id of a chain that has none. */
    public ChainCall read(byte[] body, String gatewayId, long receivedAt, ChainCall.Listener listener)
            throws InvalidChainException {
        JsonNode root = parse(body);
        String tenant = textOrDefault(root, "tenant", null);
        String id = textOrDefault(root, "id", gatewayId);
        long deadlineNanos = root.path("deadline_ms").asLong(0) * NANOS_PER_MILLI;
        StepReader steps = new StepReader(id, tenant);
        if (root.has("chain")) {
            ChainConfig.Named named = findNamedChain(root.get("chain").asText());
            deadlineNanos = deadlineNanos == 0 ? named.latencyObjectiveNanos() : deadlineNanos;
            named.steps().forEach(steps::add);
        } else {
            steps.addAll(root.get("steps"));
        }
        try {
            return new ChainCall(
                    ChainPlan.of(steps.plan),
                    steps.heads,
                    steps.inputs,
                    textOrDefault(root, "input", "").getBytes(StandardCharsets.UTF_8),
                    id,
                    tenant,
                    textOrDefault(root, "key", null),
                    digest(steps.heads, steps.inputs, root),
                    deadlineNanos == 0 ? config.maxDeadlineNanos() : Math.min(deadlineNanos, config.maxDeadlineNanos()),
                    receivedAt,
                    ChainJsonCodec::join,
                    listener);
        } catch (InvalidPlanException e) {
            throw new InvalidChainException("$." + e.getMessage());
        }
    }

    private static JsonNode parse(byte[] body) throws InvalidChainException {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new InvalidChainException("body, line "
                    + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new InvalidChainException("body: " + e.getMessage());
        }
        Set<ValidationMessage> faults = SCHEMA.validate(root);
        if (!faults.isEmpty()) {
            throw new InvalidChainException(faults.stream()
                    .map(fault -> fault.getInstanceLocation() + ": "
                            + fault.getMessage().replaceFirst("^[^:]*: ", ""))
                    .sorted()
                    .collect(Collectors.joining("\n")));
        }
        return root;
    }

    private ChainConfig.Named findNamedChain(String name) throws InvalidChainException {
        ChainConfig.Named named = config.named().get(name);
        if (named == null) {
            throw new InvalidChainException("$.chain: found '" + name + "', allowed: one of "
                    + config.named().keySet());
        }
        return named;
    }

    /** Collects the request heads, the inputs and the plan of a chain's steps. */
    private final class StepReader {
        private final String chainId;
        private final String tenant;
        private final List<CallHead> heads = new ArrayList<>();
        private final List<List<String>> inputs = new ArrayList<>();
        private final List<ChainPlan.Step> plan = new ArrayList<>();

        StepReader(String chainId, String tenant) {
            this.chainId = chainId;
            this.tenant = tenant;
        }

        /** Adds a step of a chain from the configuration. */
        void add(ChainConfig.NamedStep step) {
            CallHead head = new CallHead(
                    step.function(),
                    chainId + '.' + step.id(),
                    step.requestClass(),
                    tenant,
                    0,
                    step.costMicros(),
                    step.memoryMb(),
                    step.concurrencyPerCopy(),
                    step.loadMillis(),
                    false,
                    false);
            add(head, step.id(), step.input());
        }

        /** Adds the steps that a client specified in its request. */
        void addAll(JsonNode steps) throws InvalidChainException {
            int index = 0;
            for (JsonNode step : steps) {
                addFromJson(step, index++);
            }
        }

        private void addFromJson(JsonNode step, int index) throws InvalidChainException {
            String requestClass = textOrDefault(step, "class", defaultClass == null ? null : defaultClass.name());
            if (!classes.containsKey(requestClass) || classes.get(requestClass).streaming()) {
                throw new InvalidChainException("$.steps[" + index + "].class: found "
                        + (requestClass == null ? "nothing" : "'" + requestClass + "'") + ", allowed: one of "
                        + classes.keySet()
                        + " that does not stream");
            }
            List<String> input = new ArrayList<>();
            step.path("input").forEach(name -> input.add(name.asText()));
            CallHead head = new CallHead(
                    step.get("function").asText(),
                    chainId + '.' + step.get("id").asText(),
                    requestClass,
                    tenant,
                    0,
                    step.path("cost_us").asLong(0),
                    step.path("memory_mb").asDouble(0),
                    step.path("lanes").asInt(0),
                    step.path("load_ms").asDouble(0),
                    false,
                    step.path("write").asBoolean(false));
            add(head, step.get("id").asText(), input.isEmpty() ? List.of(ChainCall.CLIENT) : input);
        }

        private void add(CallHead head, String id, List<String> input) {
            heads.add(head);
            inputs.add(List.copyOf(input));
            plan.add(new ChainPlan.Step(
                    id,
                    head.function(),
                    head.requestClass(),
                    classes.get(head.requestClass()).effect(),
                    input.stream()
                            .filter(name -> !name.equals(ChainCall.CLIENT))
                            .toList(),
                    head.costUs() * 1000,
                    (long) (head.loadMillis() * NANOS_PER_MILLI)));
        }
    }

    private static String textOrDefault(JsonNode node, String name, String defaultText) {
        return node.has(name) ? node.get(name).asText() : defaultText;
    }

    /**
     * Hashes what identifies the request of an idempotency key: functions, classes, graph and input. The chain's id and its deadline are
     * left out, since a retry changes them.
     */
    private static String digest(List<CallHead> heads, List<List<String>> inputs, JsonNode root) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            for (int i = 0; i < heads.size(); i++) {
                CallHead head = heads.get(i);
                String step = head.id().substring(head.id().indexOf('.'))
                        + '\n'
                        + head.function()
                        + '\n'
                        + head.requestClass()
                        + '\n'
                        + inputs.get(i)
                        + '\n';
                sha256.update(step.getBytes(StandardCharsets.UTF_8));
            }
            sha256.update(textOrDefault(root, "input", "").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha256.digest(), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // cannot happen: every JDK has SHA-256
        }
    }

    /** Encodes {@code parts} as one JSON object with a field for each of {@code names}. */
    static byte[] join(List<String> names, List<byte[]> parts) {
        ObjectNode object = MAPPER.createObjectNode();
        for (int i = 0; i < names.size(); i++) {
            put(object, names.get(i), parts.get(i));
        }
        try {
            return MAPPER.writeValueAsBytes(object);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e); // cannot happen: a tree of strings is always writable
        }
    }

    /** Puts bytes as text if they are valid UTF-8, otherwise in Base64 under {@code name} with the suffix {@code _base64}. */
    private static void put(ObjectNode object, String name, byte[] bytes) {
        try {
            object.put(
                    name,
                    StandardCharsets.UTF_8
                            .newDecoder()
                            .decode(ByteBuffer.wrap(bytes))
                            .toString());
        } catch (CharacterCodingException e) {
            object.put(name + "_base64", Base64.getEncoder().encodeToString(bytes));
        }
    }

    /** Writes the answer of a chain. It has the outputs of the steps on which no other step depends. */
    public static byte[] write(ChainPlan plan, ChainResult result, List<StepAnswer> answers) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("answer", jsonName(result.kind()));
        root.put("reason", result.reason());
        ArrayNode steps = root.putArray("steps");
        for (int i = 0; i < result.steps().size(); i++) {
            ObjectNode step = steps.addObject();
            String id = plan.steps().get(i).id();
            step.put("id", id);
            step.put("state", jsonName(result.steps().get(i)));
            StepAnswer answer = answers.get(i);
            if (answer != null && answer.worker() != null) {
                step.put("worker", answer.worker());
                step.put("took_ms", Math.round(answer.tookNanos() / 1e4) / 100.0);
                step.put("loaded", answer.loaded());
            } else if (answer != null) {
                step.put("resumed", true);
            }
            boolean isFinalStep =
                    plan.steps().stream().noneMatch(other -> other.needs().contains(id));
            if (answer != null && isFinalStep) {
                put(step, "output", answer.body());
            }
        }
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String jsonName(ChainResult.Kind kind) {
        return switch (kind) {
            case SERVED -> "served";
            case REFUSED -> "refused";
            case FAILED -> "failed";
        };
    }

    private static String jsonName(ChainResult.StepState state) {
        return switch (state) {
            case NOT_STARTED -> "not-started";
            case RUNNING -> "running";
            case SERVED -> "served";
            case REFUSED -> "refused";
            case MAY_HAVE_RUN -> "may-have-run";
        };
    }
}
