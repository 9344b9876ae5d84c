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

/** Reads chains and writes their answers as JSON; chain.schema.json has the form. Thread-safe. */
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

    /** Reads chains of these classes, whose steps are of {@code only} where they name none; null where they must. */
    public ChainJsonCodec(Map<String, RequestClass> classes, RequestClass defaultClass, ChainConfig config) {
        this.classes = classes;
        this.defaultClass = defaultClass;
        this.config = config;
        loadCodecClasses();
    }

    /**
     * Reads and writes a sample, so that the JSON library's classes are loaded before a client waits for them: a chain that
     * times out is answered between its timer and its deadline, and loading takes longer than that.
     */
    private static void loadCodecClasses() {
        ChainPlan.Step step = new ChainPlan.Step("a", "f", "c", Effect.IDEMPOTENT, List.of(), 0, 0);
        StepAnswer answer = new StepAnswer("w", 1, false, new byte[0], null);
        ChainResult end = new ChainResult(ChainResult.Kind.SERVED, "", List.of(ChainResult.StepState.SERVED));
        try {
            ChainPlan plan = ChainPlan.of(List.of(step));
            for (int i = 0; i < 2; i++) { // the second time takes the way through the library's caches
                parse(SAMPLE_CHAIN.getBytes(StandardCharsets.UTF_8));
                write(plan, end, List.of(answer));
            }
        } catch (InvalidChainException | InvalidPlanException e) {
            throw new IllegalStateException("the sample chain is rejected", e);
        }
    }

    /** A chain is invalid; the message has a line for each fault, with its place. */
    public static final class InvalidChainException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidChainException(String message) {
            super(message);
        }
    }

    /** Reads a chain. */
    public ChainCall read(byte[] body, String gatewayId, long receivedAt, ChainCall.Listener listener)
            throws InvalidChainException {
        JsonNode root = parse(body);
        String tenant = text(root, "tenant", null);
        String id = text(root, "id", gatewayId);
        long deadlineNanos = root.path("deadline_ms").asLong(0) * NANOS_PER_MILLI;
        StepReader steps = new StepReader(id, tenant);
        if (root.has("chain")) {
            ChainConfig.Named named = named(root.get("chain").asText());
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
                    text(root, "input", "").getBytes(StandardCharsets.UTF_8),
                    id,
                    tenant,
                    text(root, "key", null),
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
                    .map(f -> f.getInstanceLocation() + ": " + f.getMessage().replaceFirst("^[^:]*: ", ""))
                    .sorted()
                    .collect(Collectors.joining("\n")));
        }
        return root;
    }

    private ChainConfig.Named named(String name) throws InvalidChainException {
        ChainConfig.Named named = config.named().get(name);
        if (named == null) {
            throw new InvalidChainException("$.chain: found '" + name + "', allowed: one of "
                    + config.named().keySet());
        }
        return named;
    }

    /** Collects the steps of one chain as they are read: request heads, inputs, and the plan. */
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

        /** A step of a chain that the settings name. */
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

        /** The steps that a client wrote out. */
        void addAll(JsonNode steps) throws InvalidChainException {
            int index = 0;
            for (JsonNode step : steps) {
                addWritten(step, index++);
            }
        }

        private void addWritten(JsonNode step, int index) throws InvalidChainException {
            String requestClass = text(step, "class", defaultClass == null ? null : defaultClass.name());
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

    private static String text(JsonNode node, String name, String defaultText) {
        return node.has(name) ? node.get(name).asText() : defaultText;
    }

    /** Identifies what an idempotency key stands for: functions, classes, graph and input, not ids or deadlines, which a retry changes. */
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
            sha256.update(text(root, "input", "").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha256.digest(), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
    }

    /** Joins several parts to one JSON object, by their names. */
    static byte[] join(List<String> names, List<byte[]> parts) {
        ObjectNode object = MAPPER.createObjectNode();
        for (int i = 0; i < names.size(); i++) {
            put(object, names.get(i), parts.get(i));
        }
        try {
            return MAPPER.writeValueAsBytes(object);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e); // a tree of texts can be written
        }
    }

    /** Text as it is; bytes that are not UTF-8 in Base64, under a name that says so. */
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

    /** Writes an answer; outputs are those of the steps that no other depends on. */
    public static byte[] write(ChainPlan plan, ChainResult end, List<StepAnswer> answers) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("answer", word(end.kind()));
        root.put("reason", end.reason());
        ArrayNode steps = root.putArray("steps");
        for (int i = 0; i < end.steps().size(); i++) {
            ObjectNode step = steps.addObject();
            String id = plan.steps().get(i).id();
            step.put("id", id);
            step.put("state", word(end.steps().get(i)));
            StepAnswer answer = answers.get(i);
            if (answer != null && answer.worker() != null) {
                step.put("worker", answer.worker());
                step.put("took_ms", Math.round(answer.tookNanos() / 1e4) / 100.0);
                step.put("loaded", answer.loaded());
            } else if (answer != null) {
                step.put("resumed", true);
            }
            boolean last = plan.steps().stream().noneMatch(s -> s.needs().contains(id));
            if (answer != null && last) {
                put(step, "output", answer.body());
            }
        }
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String word(ChainResult.Kind kind) {
        return switch (kind) {
            case SERVED -> "served";
            case REFUSED -> "refused";
            case FAILED -> "failed";
        };
    }

    private static String word(ChainResult.StepState state) {
        return switch (state) {
            case NOT_STARTED -> "not-started";
            case RUNNING -> "running";
            case SERVED -> "served";
            case REFUSED -> "refused";
            case MAY_HAVE_RUN -> "may-have-run";
        };
    }
}
