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
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import wharfhinge.config.ChainConfig;
import wharfhinge.decisions.chain.ChainEnd;
import wharfhinge.decisions.chain.ChainPlan;
import wharfhinge.decisions.chain.ChainPlan.InvalidPlanException;
import wharfhinge.engine.ChainCall;
import wharfhinge.engine.ChainCall.StepAnswer;
import wharfhinge.policy.Effect;
import wharfhinge.policy.RequestClass;
import wharfhinge.protocol.CallHead;

/** Reads chains and writes their answers; chain.schema.json has the form. Used by any thread. */
public final class ChainJson {
    private static final long MS = 1_000_000L;
    private static final int MOST_NESTING = 16;
    private static final ObjectMapper MAPPER = JsonMapper.builder(com.fasterxml.jackson.core.JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(MOST_NESTING)
                            .build())
                    .build())
            .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .enable(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();
    private static final JsonSchema SCHEMA = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
            .getSchema(ChainJson.class.getResourceAsStream("chain.schema.json"));

    private static final String SAMPLE_CHAIN =
            """
            {"id": "x", "key": "k", "tenant": "t", "deadline_ms": 1, "input": "",
             "steps": [{"id": "a", "function": "f", "class": "c", "input": ["client"],
                        "cost_us": 1, "memory_mb": 0.5, "lanes": 1, "load_ms": 1, "write": true}]}
            """;

    private final Map<String, RequestClass> classes;
    private final RequestClass only;
    private final ChainConfig config;

    /** Reads chains of these classes, whose steps are of {@code only} where they name none; null where they must. */
    public ChainJson(Map<String, RequestClass> classes, RequestClass only, ChainConfig config) {
        this.classes = classes;
        this.only = only;
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
        ChainEnd end = new ChainEnd(ChainEnd.Kind.SERVED, "", List.of(ChainEnd.StepState.SERVED));
        try {
            ChainPlan plan = ChainPlan.of(List.of(step));
            for (int i = 0; i < 2; i++) { // the second time takes the way through the library's caches
                parse(SAMPLE_CHAIN.getBytes(StandardCharsets.UTF_8));
                write(plan, end, List.of(answer));
            }
        } catch (BadChainException | InvalidPlanException e) {
            throw new IllegalStateException("the sample chain is rejected", e);
        }
    }

    /** A chain that is not one; the message has a line for each thing that is wrong, with its place. */
    public static final class BadChainException extends Exception {
        private static final long serialVersionUID = 1L;

        BadChainException(String message) {
            super(message);
        }
    }

    /** Reads a chain. */
    public ChainCall read(byte[] body, String gatewayId, long receivedAt, ChainCall.Listener listener)
            throws BadChainException {
        JsonNode root = parse(body);
        String tenant = text(root, "tenant", null);
        String id = text(root, "id", gatewayId);
        long deadlineNanos = root.path("deadline_ms").asLong(0) * MS;
        Steps steps = new Steps(id, tenant);
        if (root.has("chain")) {
            ChainConfig.Named named = named(root.get("chain").asText());
            deadlineNanos = deadlineNanos == 0 ? named.aimNanos() : deadlineNanos;
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
                    deadlineNanos == 0 ? config.giveUpNanos() : Math.min(deadlineNanos, config.giveUpNanos()),
                    receivedAt,
                    ChainJson::join,
                    listener);
        } catch (InvalidPlanException e) {
            throw new BadChainException("$." + e.getMessage());
        }
    }

    private static JsonNode parse(byte[] body) throws BadChainException {
        JsonNode root;
        try {
            root = MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw new BadChainException("body, line "
                    + (e.getLocation() == null ? 0 : e.getLocation().getLineNr()) + ": " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new BadChainException("body: " + e.getMessage());
        }
        Set<ValidationMessage> faults = SCHEMA.validate(root);
        if (!faults.isEmpty()) {
            throw new BadChainException(faults.stream()
                    .map(f -> f.getInstanceLocation() + ": " + f.getMessage().replaceFirst("^[^:]*: ", ""))
                    .sorted()
                    .collect(Collectors.joining("\n")));
        }
        return root;
    }

    private ChainConfig.Named named(String name) throws BadChainException {
        ChainConfig.Named named = config.named().get(name);
        if (named == null) {
            throw new BadChainException("$.chain: found '" + name + "', allowed: one of "
                    + config.named().keySet());
        }
        return named;
    }

    /** The steps of one chain as they are read: what each sends, what it takes in, and its place in the plan. */
    private final class Steps {
        private final String chainId;
        private final String tenant;
        private final List<CallHead> heads = new ArrayList<>();
        private final List<List<String>> inputs = new ArrayList<>();
        private final List<ChainPlan.Step> plan = new ArrayList<>();

        Steps(String chainId, String tenant) {
            this.chainId = chainId;
            this.tenant = tenant;
        }

        /** A step of a chain that the settings name. */
        void add(ChainConfig.NamedStep s) {
            CallHead head = new CallHead(
                    s.function(),
                    chainId + '.' + s.id(),
                    s.requestClass(),
                    tenant,
                    0,
                    s.costUs(),
                    s.memoryMb(),
                    s.lanes(),
                    s.loadMillis(),
                    false,
                    false);
            add(head, s.id(), s.input());
        }

        /** The steps that a client wrote out. */
        void addAll(JsonNode steps) throws BadChainException {
            int index = 0;
            for (JsonNode s : steps) {
                addWritten(s, index++);
            }
        }

        private void addWritten(JsonNode s, int index) throws BadChainException {
            String type = text(s, "class", only == null ? null : only.name());
            if (!classes.containsKey(type) || classes.get(type).streaming()) {
                throw new BadChainException("$.steps[" + index + "].class: found "
                        + (type == null ? "nothing" : "'" + type + "'") + ", allowed: one of " + classes.keySet()
                        + " that does not stream");
            }
            List<String> input = new ArrayList<>();
            s.path("input").forEach(name -> input.add(name.asText()));
            CallHead head = new CallHead(
                    s.get("function").asText(),
                    chainId + '.' + s.get("id").asText(),
                    type,
                    tenant,
                    0,
                    s.path("cost_us").asLong(0),
                    s.path("memory_mb").asDouble(0),
                    s.path("lanes").asInt(0),
                    s.path("load_ms").asDouble(0),
                    false,
                    s.path("write").asBoolean(false));
            add(head, s.get("id").asText(), input.isEmpty() ? List.of(ChainCall.CLIENT) : input);
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
                    (long) (head.loadMillis() * MS)));
        }
    }

    private static String text(JsonNode node, String name, String otherwise) {
        return node.has(name) ? node.get(name).asText() : otherwise;
    }

    /** Names what a key stands for: functions, classes, graph and input, not ids or deadlines, which a retry changes. */
    private static String digest(List<CallHead> heads, List<List<String>> inputs, JsonNode root) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            for (int i = 0; i < heads.size(); i++) {
                CallHead h = heads.get(i);
                String step = h.id().substring(h.id().indexOf('.'))
                        + '\n'
                        + h.function()
                        + '\n'
                        + h.requestClass()
                        + '\n'
                        + inputs.get(i)
                        + '\n';
                sha.update(step.getBytes(StandardCharsets.UTF_8));
            }
            sha.update(text(root, "input", "").getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(sha.digest(), 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e); // every JDK has it
        }
    }

    /** Several parts become one JSON object, by their names. */
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

    /** Text as it is; bytes that are none in Base64, under a name that says so. */
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

    /** Writes an answer; outputs are those of the steps that no other waits for. */
    public static byte[] write(ChainPlan plan, ChainEnd end, List<StepAnswer> answers) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("answer", end.kind().name().toLowerCase(Locale.ROOT));
        root.put("reason", end.reason());
        ArrayNode steps = root.putArray("steps");
        for (int i = 0; i < end.steps().size(); i++) {
            ObjectNode step = steps.addObject();
            String id = plan.steps().get(i).id();
            step.put("id", id);
            step.put("state", end.steps().get(i).name().toLowerCase(Locale.ROOT).replace('_', '-'));
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
}
