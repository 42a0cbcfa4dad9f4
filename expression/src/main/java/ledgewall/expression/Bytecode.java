package ledgewall.expression;

import static org.objectweb.asm.Opcodes.AALOAD;
import static org.objectweb.asm.Opcodes.ACC_FINAL;
import static org.objectweb.asm.Opcodes.ACC_STATIC;
import static org.objectweb.asm.Opcodes.ACC_SUPER;
import static org.objectweb.asm.Opcodes.ACONST_NULL;
import static org.objectweb.asm.Opcodes.ALOAD;
import static org.objectweb.asm.Opcodes.ASTORE;
import static org.objectweb.asm.Opcodes.CHECKCAST;
import static org.objectweb.asm.Opcodes.GETSTATIC;
import static org.objectweb.asm.Opcodes.GOTO;
import static org.objectweb.asm.Opcodes.ICONST_1;
import static org.objectweb.asm.Opcodes.IFEQ;
import static org.objectweb.asm.Opcodes.IFGE;
import static org.objectweb.asm.Opcodes.IFNONNULL;
import static org.objectweb.asm.Opcodes.IFNULL;
import static org.objectweb.asm.Opcodes.IF_ICMPNE;
import static org.objectweb.asm.Opcodes.ILOAD;
import static org.objectweb.asm.Opcodes.INSTANCEOF;
import static org.objectweb.asm.Opcodes.INVOKEINTERFACE;
import static org.objectweb.asm.Opcodes.INVOKESPECIAL;
import static org.objectweb.asm.Opcodes.INVOKESTATIC;
import static org.objectweb.asm.Opcodes.INVOKEVIRTUAL;
import static org.objectweb.asm.Opcodes.IRETURN;
import static org.objectweb.asm.Opcodes.ISTORE;
import static org.objectweb.asm.Opcodes.ISUB;
import static org.objectweb.asm.Opcodes.IXOR;
import static org.objectweb.asm.Opcodes.PUTSTATIC;
import static org.objectweb.asm.Opcodes.RETURN;
import static org.objectweb.asm.Opcodes.SWAP;
import static org.objectweb.asm.Opcodes.V17;

import java.lang.invoke.MethodHandles;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Label;
import org.objectweb.asm.MethodVisitor;

/**
 * Makes a class of its own of a conjunction or disjunction, so that its plain parts (a string attribute or map entry
 * against a constant) are read and compared in one method without calls; other parts stay parts and are called.
 */
final class Bytecode {
    /** Of one expression: methods beyond 8,000 bytes of code are never compiled by the machine. */
    private static final int MOST_PARTS = 64;
    private static final String NAME = "ledgewall/expression/Condition";
    private static final String FRAME = "ledgewall/expression/Frame";
    private static final String ERROR_KIND = "ledgewall/expression/ErrorKind";
    private static final String CODE = "ledgewall/expression/Code";
    private static final String OBJECT = "java/lang/Object";
    private static final String STRING = "java/lang/String";

    private final Compiler compiler;
    private final List<Object> constants = new ArrayList<>();
    private final List<String> types = new ArrayList<>();
    private int locals = 2;
    private MethodVisitor out;

    private Bytecode(Compiler compiler) {
        this.compiler = compiler;
    }

    /** The compiled form, or null where too little of it is plain. */
    static Code of(Node.Logical logic, Compiler compiler) {
        if (size(logic) > MOST_PARTS || logic.operands().stream().noneMatch(Bytecode::isPlain)) {
            return null;
        }
        return new Bytecode(compiler).make(logic);
    }

    private static int size(Node node) {
        return node instanceof Node.Logical logic ? logic.operands().stream().mapToInt(Bytecode::size).sum() : 1;
    }

    private static boolean isPlain(Node node) {
        if (node instanceof Node.Logical logic) {
            return logic.operands().stream().anyMatch(Bytecode::isPlain);
        }
        if (!(node instanceof Node.Call call)) {
            return false;
        }
        Node first = call.arguments().get(0);
        return call.function().name().equals("!") ? isPlain(first) : call.arguments().size() == 2
            && List.of("==", "!=", "in", "startsWith", "endsWith", "contains").contains(call.function().name())
            && first.type() == Type.STRING && isRead(first) && call.arguments().get(1) instanceof Node.Constant;
    }

    private static boolean isRead(Node node) {
        return node instanceof Node.Attribute || node instanceof Node.Call call && call.function().name().equals("[]")
            && call.arguments().get(0) instanceof Node.Attribute map && map.type().kind() == Type.Kind.MAP
            && call.arguments().get(1) instanceof Node.Constant;
    }

    private Code make(Node.Logical logic) {
        ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_FRAMES | ClassWriter.COMPUTE_MAXS) {
            @Override
            protected String getCommonSuperClass(String a, String b) {
                return a.equals(b) ? a : OBJECT;
            }
        };
        writer.visit(V17, ACC_FINAL | ACC_SUPER, NAME, null, CODE + "$Bool", null);
        MethodVisitor constructor = writer.visitMethod(0, "<init>", "()V", null, null);
        constructor.visitCode();
        constructor.visitVarInsn(ALOAD, 0);
        constructor.visitMethodInsn(INVOKESPECIAL, CODE + "$Bool", "<init>", "()V", false);
        constructor.visitInsn(RETURN);
        constructor.visitMaxs(0, 0);
        constructor.visitEnd();
        out = writer.visitMethod(0, "bool", "(L" + FRAME + ";)I", null, null);
        out.visitCode();
        emit(logic, true);
        out.visitInsn(IRETURN);
        out.visitMaxs(0, 0);
        out.visitEnd();
        holdConstants(writer);
        writer.visitEnd();
        try {
            return (Code) MethodHandles.lookup()
                .defineHiddenClassWithClassData(writer.toByteArray(), constants.toArray(), true)
                .lookupClass().getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("a condition's class", e);
        }
    }

    /** Static and final, so that the machine takes them for what they are. */
    private void holdConstants(ClassWriter writer) {
        MethodVisitor init = writer.visitMethod(ACC_STATIC, "<clinit>", "()V", null, null);
        init.visitCode();
        init.visitMethodInsn(INVOKESTATIC, "java/lang/invoke/MethodHandles", "lookup",
            "()Ljava/lang/invoke/MethodHandles$Lookup;", false);
        init.visitLdcInsn("_");
        init.visitLdcInsn(org.objectweb.asm.Type.getType(Object[].class));
        init.visitMethodInsn(INVOKESTATIC, "java/lang/invoke/MethodHandles", "classData",
            "(Ljava/lang/invoke/MethodHandles$Lookup;Ljava/lang/String;Ljava/lang/Class;)Ljava/lang/Object;", false);
        init.visitTypeInsn(CHECKCAST, "[Ljava/lang/Object;");
        init.visitVarInsn(ASTORE, 0);
        for (int i = 0; i < constants.size(); i++) {
            writer.visitField(ACC_STATIC | ACC_FINAL, "c" + i, "L" + types.get(i) + ";", null, null).visitEnd();
            init.visitVarInsn(ALOAD, 0);
            init.visitLdcInsn(i);
            init.visitInsn(AALOAD);
            init.visitTypeInsn(CHECKCAST, types.get(i));
            init.visitFieldInsn(PUTSTATIC, NAME, "c" + i, "L" + types.get(i) + ";");
        }
        init.visitInsn(RETURN);
        init.visitMaxs(0, 0);
        init.visitEnd();
    }

    private void constant(Object value, String type) {
        out.visitFieldInsn(GETSTATIC, NAME, "c" + constants.size(), "L" + type + ";");
        constants.add(value);
        types.add(type);
    }

    /** Leaves 0, 1 or {@link Code#ERROR} on the stack; turned round unless it is to hold. */
    private void emit(Node node, boolean holds) {
        if (node instanceof Node.Logical logic) {
            logic(logic);
            turn(holds);
        } else if (node instanceof Node.Call call && call.function().name().equals("!")) {
            emit(call.arguments().get(0), !holds);
        } else if (isPlain(node)) {
            plain((Node.Call) node, holds);
        } else {
            constant(compiler.compile(node), CODE);
            out.visitVarInsn(ALOAD, 1);
            out.visitMethodInsn(INVOKEVIRTUAL, CODE, "bool", "(L" + FRAME + ";)I", false);
            turn(holds);
        }
    }

    /** What is no error, the other way round. */
    private void turn(boolean holds) {
        if (holds) {
            return;
        }
        int value = locals++;
        Label error = new Label();
        Label end = new Label();
        out.visitVarInsn(ISTORE, value);
        out.visitVarInsn(ILOAD, value);
        out.visitJumpInsn(org.objectweb.asm.Opcodes.IFLT, error);
        out.visitInsn(ICONST_1);
        out.visitVarInsn(ILOAD, value);
        out.visitInsn(ISUB);
        out.visitJumpInsn(GOTO, end);
        out.visitLabel(error);
        out.visitVarInsn(ILOAD, value);
        out.visitLabel(end);
    }

    private void logic(Node.Logical logic) {
        int decisive = logic.isConjunction() ? 0 : 1;
        int error = locals++;
        int value = locals++;
        Label end = new Label();
        out.visitInsn(ACONST_NULL);
        out.visitVarInsn(ASTORE, error);
        for (Node part : logic.operands()) {
            Label next = new Label();
            Label kept = new Label();
            Label undecided = new Label();
            emit(part, true);
            out.visitVarInsn(ISTORE, value);
            out.visitVarInsn(ILOAD, value);
            out.visitLdcInsn(decisive);
            out.visitJumpInsn(IF_ICMPNE, undecided);
            out.visitLdcInsn(decisive);
            out.visitJumpInsn(GOTO, end);
            out.visitLabel(undecided);
            out.visitVarInsn(ILOAD, value);
            out.visitJumpInsn(IFGE, next);
            out.visitVarInsn(ALOAD, error);
            out.visitJumpInsn(IFNONNULL, kept);
            out.visitVarInsn(ALOAD, 1);
            out.visitMethodInsn(INVOKEVIRTUAL, FRAME, "error", "()L" + ERROR_KIND + ";", false);
            out.visitVarInsn(ASTORE, error);
            out.visitLabel(kept);
            out.visitVarInsn(ALOAD, 1);
            out.visitInsn(ACONST_NULL);
            out.visitMethodInsn(INVOKEVIRTUAL, FRAME, "error", "(L" + ERROR_KIND + ";)V", false);
            out.visitLabel(next);
        }
        Label none = new Label();
        out.visitVarInsn(ALOAD, error);
        out.visitJumpInsn(IFNULL, none);
        fail(() -> out.visitVarInsn(ALOAD, error), end);
        out.visitLabel(none);
        out.visitLdcInsn(1 - decisive);
        out.visitLabel(end);
    }

    /** Puts an error into the frame and ends with {@link Code#ERROR}. */
    private void fail(Runnable kind, Label end) {
        out.visitVarInsn(ALOAD, 1);
        kind.run();
        out.visitTypeInsn(CHECKCAST, ERROR_KIND);
        out.visitMethodInsn(INVOKEVIRTUAL, FRAME, "error", "(L" + ERROR_KIND + ";)V", false);
        out.visitLdcInsn(Code.ERROR);
        out.visitJumpInsn(GOTO, end);
    }

    private void plain(Node.Call call, boolean holds) {
        Node read = call.arguments().get(0);
        Object constant = ((Node.Constant) call.arguments().get(1)).value();
        Label end = new Label();
        int value = read(read, end);
        String name = call.function().name();
        switch (name) {
            case "==", "!=" -> {
                constant(constant, STRING);
                out.visitVarInsn(ALOAD, value);
                out.visitMethodInsn(INVOKEVIRTUAL, STRING, "equals", "(Ljava/lang/Object;)Z", false);
            }
            case "in" -> {
                constant(new HashSet<>((List<?>) constant), "java/util/HashSet");
                out.visitVarInsn(ALOAD, value);
                out.visitMethodInsn(INVOKEVIRTUAL, "java/util/HashSet", "contains", "(Ljava/lang/Object;)Z", false);
            }
            default -> {
                constant(constant, STRING);
                out.visitVarInsn(ALOAD, value);
                out.visitTypeInsn(CHECKCAST, STRING);
                out.visitInsn(SWAP);
                String parameter = name.equals("contains") ? "java/lang/CharSequence" : STRING;
                out.visitMethodInsn(INVOKEVIRTUAL, STRING, name, "(L" + parameter + ";)Z", false);
            }
        }
        if (holds == name.equals("!=")) {
            out.visitInsn(ICONST_1);
            out.visitInsn(IXOR);
        }
        out.visitLabel(end);
    }

    /** Reads an attribute or an entry into a local; an error ends the part. */
    private int read(Node node, Label end) {
        int value = locals++;
        boolean entry = node instanceof Node.Call;
        Node.Attribute attribute = (Node.Attribute) (entry ? ((Node.Call) node).arguments().get(0) : node);
        out.visitVarInsn(ALOAD, 1);
        out.visitLdcInsn(attribute.index());
        out.visitMethodInsn(INVOKEVIRTUAL, FRAME, "value", "(I)Ljava/lang/Object;", false);
        out.visitVarInsn(ASTORE, value);
        Label there = new Label();
        out.visitVarInsn(ALOAD, value);
        out.visitTypeInsn(INSTANCEOF, ERROR_KIND);
        out.visitJumpInsn(IFEQ, there);
        fail(() -> out.visitVarInsn(ALOAD, value), end);
        out.visitLabel(there);
        if (entry) {
            Label found = new Label();
            out.visitVarInsn(ALOAD, value);
            out.visitTypeInsn(CHECKCAST, "java/util/Map");
            constant(((Node.Constant) ((Node.Call) node).arguments().get(1)).value(), STRING);
            out.visitMethodInsn(INVOKEINTERFACE, "java/util/Map", "get", "(Ljava/lang/Object;)Ljava/lang/Object;", true);
            out.visitVarInsn(ASTORE, value);
            out.visitVarInsn(ALOAD, value);
            out.visitJumpInsn(IFNONNULL, found);
            fail(() -> out.visitFieldInsn(GETSTATIC, ERROR_KIND, "NO_SUCH_KEY", "L" + ERROR_KIND + ";"), end);
            out.visitLabel(found);
        }
        return value;
    }
}
