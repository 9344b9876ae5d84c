package wharfhinge.worker;

import java.nio.charset.StandardCharsets;
import wharfhinge.worker.api.CopyContext;
import wharfhinge.worker.api.Function;
import wharfhinge.worker.api.Invocation;

/** Functions that behave well or badly; each is packed into a package of its own. */
final class TestFunctions {

    private TestFunctions() {}

    /** Does what the input of the call says. */
    public static final class Scripted implements Function {
        private static int calls; // calls of this copy only, since copies share no classes
        private CopyContext context;

        @Override
        public void start(CopyContext initialContext) {
            context = initialContext;
            context.memory().put(0, (byte) 1);
        }

        @Override
        public byte[] call(Invocation call) throws Exception {
            String input = new String(call.input(), StandardCharsets.UTF_8);
            int number;
            synchronized (Scripted.class) {
                number = ++calls;
            }
            switch (input) {
                case "throw" -> throw new IllegalStateException("requested by the test");
                case "exit" -> System.exit(3);
                case "halt" -> Runtime.getRuntime().halt(3);
                case "memory" -> {
                    long[][] arrays = new long[1 << 20][];
                    for (int i = 0; i < arrays.length; i++) {
                        arrays[i] = new long[Integer.MAX_VALUE - 8];
                    }
                    return new byte[arrays.length];
                }
                case "spin" -> {
                    while (!Boolean.getBoolean("test.spin.end")) {
                        Thread.onSpinWait();
                    }
                }
                case "cooperate" -> {
                    while (!call.cancelled()) {
                        Thread.onSpinWait();
                    }
                    System.setProperty("test.cooperated", call.id());
                }
                case "sleep" -> Thread.sleep(200);
                default -> {}
            }
            return (input + " " + number + " " + context.memory().capacity()).getBytes(StandardCharsets.UTF_8);
        }
    }

    /** Its start does not return until the test sets {@code test.start.end}. */
    public static final class HangsAtStart implements Function {
        @Override
        public void start(CopyContext context) {
            while (!Boolean.getBoolean("test.start.end")) {
                Thread.onSpinWait();
            }
        }

        @Override
        public byte[] call(Invocation call) {
            return call.input();
        }
    }

    /** Its start fails; if {@code test.leave.thread} is set, it leaves a thread that writes to the memory. */
    public static final class FailsAtStart implements Function {
        @Override
        public void start(CopyContext context) {
            if (Boolean.getBoolean("test.leave.thread")) {
                new Thread(() -> {
                            while (!Boolean.getBoolean("test.thread.end")) {
                                context.memory().put(0, (byte) 1);
                            }
                        })
                        .start();
            }
            throw new IllegalStateException("no model");
        }

        @Override
        public byte[] call(Invocation call) {
            return call.input();
        }
    }
}
