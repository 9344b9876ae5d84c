package wharfhinge.worker.copy;

import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.util.Map;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import wharfhinge.worker.api.Function;

/**
 * Class loader of one copy. Its classes can access the JDK and, of the worker, only the API. Copies share no classes and
 * therefore no static fields. Calls of {@link System#exit}, {@link Runtime#exit} and {@link Runtime#halt} are rewritten to
 * throw {@link wharfhinge.worker.api.ExitRefused}, because a security manager, which could refuse them, is not available
 * after Java 17. Reflection bypasses this; docs/design/worker.md lists what cannot be prevented.
 */
final class PackageLoader extends ClassLoader {
    private static final String API_PACKAGE = "wharfhinge.worker.api.";
    private static final String EXIT_REFUSED = "wharfhinge/worker/api/ExitRefused";

    private final Map<String, byte[]> files;

    PackageLoader(Map<String, byte[]> files) {
        super(ClassLoader.getPlatformClassLoader());
        this.files = files;
    }

    @Override
    protected Class<?> findClass(String name) throws ClassNotFoundException {
        if (name.startsWith(API_PACKAGE)) {
            return Function.class.getClassLoader().loadClass(name);
        }
        byte[] bytes = files.get("classes/" + name.replace('.', '/') + ".class");
        if (bytes == null) {
            throw new ClassNotFoundException(name);
        }
        byte[] rewritten = replaceExits(bytes);
        return defineClass(name, rewritten, 0, rewritten.length);
    }

    @Override
    public InputStream getResourceAsStream(String name) {
        byte[] bytes = files.get("classes/" + name);
        return bytes == null ? super.getResourceAsStream(name) : new ByteArrayInputStream(bytes);
    }

    private static byte[] replaceExits(byte[] bytes) {
        ClassReader reader = new ClassReader(bytes);
        ClassWriter writer = new ClassWriter(reader, 0);
        reader.accept(
                new ClassVisitor(Opcodes.ASM9, writer) {
                    @Override
                    public MethodVisitor visitMethod(
                            int access, String name, String descriptor, String signature, String[] exceptions) {
                        return new MethodVisitor(
                                Opcodes.ASM9, super.visitMethod(access, name, descriptor, signature, exceptions)) {
                            @Override
                            public void visitMethodInsn(
                                    int opcode,
                                    String owner,
                                    String method,
                                    String methodDescriptor,
                                    boolean isInterface) {
                                boolean isExit = method.equals("exit") || method.equals("halt");
                                if (owner.equals("java/lang/System") && method.equals("exit")) {
                                    super.visitMethodInsn(Opcodes.INVOKESTATIC, EXIT_REFUSED, "exit", "(I)V", false);
                                } else if (owner.equals("java/lang/Runtime") && isExit) {
                                    super.visitMethodInsn(
                                            Opcodes.INVOKESTATIC,
                                            EXIT_REFUSED,
                                            "exit",
                                            "(Ljava/lang/Runtime;I)V",
                                            false);
                                } else {
                                    super.visitMethodInsn(opcode, owner, method, methodDescriptor, isInterface);
                                }
                            }
                        };
                    }
                },
                0);
        return writer.toByteArray();
    }
}
