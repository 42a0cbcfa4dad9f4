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
 * Generates a class for a conjunction or disjunction. Its inlinable parts (a test of a string attribute or map entry
 * against a constant) are read and compared in one method, without calls to other {@link Code}; every other part is
 * compiled to its own code and called.
 */
final class Bytecode {
    /** Limit on the parts of one generated method: HotSpot never JIT-compiles methods of more than 8,000 bytes. */
    private static final int MAX_PARTS = 64;
    // JVM internal names of the generated class and of the classes that it uses
    private static final String CLASS_NAME = "ledgewall/expression/Condition";
    private static final String FRAME = "ledgewall/expression/Frame";
    private static final String ERROR_KIND = "ledgewall/expression/ErrorKind";
    private static final String CODE = "ledgewall/expression/Code";
    private static final String OBJECT = "java/lang/Object";
    private static final String STRING = "java/lang/String";

    private final Compiler compiler;
    /** Values of the generated class's constant fields; {@link #constantTypes} holds their internal class names. */
    private final List<Object> constants = new ArrayList<>();
    private final List<String> constantTypes = new ArrayList<>();
    /** The next free local variable of the generated method; 0 is the receiver and 1 is the frame. */
    private int nextLocal = 2;
    /** The generated method {@link Code#bool}. */
    private MethodVisitor method;

    private Bytecode(Compiler compiler) {
        this.compiler = compiler;
    }

    /** Generates the code, or returns null if no part is inlinable or there are too many parts. */
    static Code compile(Node.Logical logical, Compiler compiler) {
        if (leafCount(logical) > MAX_PARTS || logical.operands().stream().noneMatch(Bytecode::isInlinable)) {
            return null;
        }
        return new Bytecode(compiler).generate(logical);
    }

    /** The number of parts that are not a conjunction or disjunction themselves. */
    private static int leafCount(Node node) {
        return node instanceof Node.Logical logical ? logical.operands().stream().mapToInt(Bytecode::leafCount).sum() : 1;
    }

    /** Whether a node is a test that can be emitted inline, or contains one. */
    private static boolean isInlinable(Node node) {
        if (node instanceof Node.Logical logical) {
            return logical.operands().stream().anyMatch(Bytecode::isInlinable);
        }
        if (!(node instanceof Node.Call call)) {
            return false;
        }
        Node first = call.arguments().get(0);
        return call.function().name().equals("!") ? isInlinable(first) : call.arguments().size() == 2
            && List.of("==", "!=", "in", "startsWith", "endsWith", "contains").contains(call.function().name())
            && first.type() == Type.STRING && isAttributeOrEntry(first) && call.arguments().get(1) instanceof Node.Constant;
    }

    /** Whether a node reads an attribute, or the entry of a map attribute for a constant key. */
    private static boolean isAttributeOrEntry(Node node) {
        return node instanceof Node.Attribute || node instanceof Node.Call call && call.function().name().equals("[]")
            && call.arguments().get(0) instanceof Node.Attribute map && map.type().kind() == Type.Kind.MAP
            && call.arguments().get(1) instanceof Node.Constant;
    }

    private Code generate(Node.Logical logical) {
        ClassWriter writer = new ClassWriter(ClassWriter.COMPUTE_FRAMES | ClassWriter.COMPUTE_MAXS) {
            @Override
            protected String getCommonSuperClass(String a, String b) {
                return a.equals(b) ? a : OBJECT;
            }
        };
        writer.visit(V17, ACC_FINAL | ACC_SUPER, CLASS_NAME, null, CODE + "$Bool", null);
        MethodVisitor constructor = writer.visitMethod(0, "<init>", "()V", null, null);
        constructor.visitCode();
        constructor.visitVarInsn(ALOAD, 0);
        constructor.visitMethodInsn(INVOKESPECIAL, CODE + "$Bool", "<init>", "()V", false);
        constructor.visitInsn(RETURN);
        constructor.visitMaxs(0, 0);
        constructor.visitEnd();
        method = writer.visitMethod(0, "bool", "(L" + FRAME + ";)I", null, null);
        method.visitCode();
        emit(logical, true);
        method.visitInsn(IRETURN);
        method.visitMaxs(0, 0);
        method.visitEnd();
        defineConstants(writer);
        writer.visitEnd();
        try {
            return (Code) MethodHandles.lookup()
                .defineHiddenClassWithClassData(writer.toByteArray(), constants.toArray(), true)
                .lookupClass().getDeclaredConstructor().newInstance();
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create the class generated for a condition", e);
        }
    }

    /** Defines the constants as static final fields, so that the JIT compiler treats them as constants. */
    private void defineConstants(ClassWriter writer) {
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
            writer.visitField(ACC_STATIC | ACC_FINAL, "c" + i, "L" + constantTypes.get(i) + ";", null, null).visitEnd();
            init.visitVarInsn(ALOAD, 0);
            init.visitLdcInsn(i);
            init.visitInsn(AALOAD);
            init.visitTypeInsn(CHECKCAST, constantTypes.get(i));
            init.visitFieldInsn(PUTSTATIC, CLASS_NAME, "c" + i, "L" + constantTypes.get(i) + ";");
        }
        init.visitInsn(RETURN);
        init.visitMaxs(0, 0);
        init.visitEnd();
    }

    /** Adds a constant field and emits a load of its value onto the stack. */
    private void loadConstant(Object value, String type) {
        method.visitFieldInsn(GETSTATIC, CLASS_NAME, "c" + constants.size(), "L" + type + ";");
        constants.add(value);
        constantTypes.add(type);
    }

    /**
     * Emits code that leaves 0, 1 or {@link Code#ERROR} on the stack: the value of the node, or its negation if
     * {@code positive} is false.
     */
    private void emit(Node node, boolean positive) {
        if (node instanceof Node.Logical logical) {
            emitLogical(logical);
            negateUnless(positive);
        } else if (node instanceof Node.Call call && call.function().name().equals("!")) {
            emit(call.arguments().get(0), !positive);
        } else if (isInlinable(node)) {
            emitTest((Node.Call) node, positive);
        } else {
            loadConstant(compiler.compile(node), CODE);
            method.visitVarInsn(ALOAD, 1);
            method.visitMethodInsn(INVOKEVIRTUAL, CODE, "bool", "(L" + FRAME + ";)I", false);
            negateUnless(positive);
        }
    }

    /** Emits code that swaps 0 and 1 on the stack, and keeps an error, if {@code positive} is false. */
    private void negateUnless(boolean positive) {
        if (positive) {
            return;
        }
        int value = nextLocal++;
        Label error = new Label();
        Label end = new Label();
        method.visitVarInsn(ISTORE, value);
        method.visitVarInsn(ILOAD, value);
        method.visitJumpInsn(org.objectweb.asm.Opcodes.IFLT, error);
        method.visitInsn(ICONST_1);
        method.visitVarInsn(ILOAD, value);
        method.visitInsn(ISUB);
        method.visitJumpInsn(GOTO, end);
        method.visitLabel(error);
        method.visitVarInsn(ILOAD, value);
        method.visitLabel(end);
    }

    /**
     * Emits the parts in order. The first decisive value ends the evaluation; otherwise the first error, if there is one, is
     * the result.
     */
    private void emitLogical(Node.Logical logical) {
        int decisive = logical.isConjunction() ? 0 : 1;
        int error = nextLocal++;
        int value = nextLocal++;
        Label end = new Label();
        method.visitInsn(ACONST_NULL);
        method.visitVarInsn(ASTORE, error);
        for (Node part : logical.operands()) {
            Label next = new Label();
            Label errorSaved = new Label();
            Label undecided = new Label();
            emit(part, true);
            method.visitVarInsn(ISTORE, value);
            method.visitVarInsn(ILOAD, value);
            method.visitLdcInsn(decisive);
            method.visitJumpInsn(IF_ICMPNE, undecided);
            method.visitLdcInsn(decisive);
            method.visitJumpInsn(GOTO, end);
            method.visitLabel(undecided);
            method.visitVarInsn(ILOAD, value);
            method.visitJumpInsn(IFGE, next);
            method.visitVarInsn(ALOAD, error);
            method.visitJumpInsn(IFNONNULL, errorSaved);
            method.visitVarInsn(ALOAD, 1);
            method.visitMethodInsn(INVOKEVIRTUAL, FRAME, "error", "()L" + ERROR_KIND + ";", false);
            method.visitVarInsn(ASTORE, error);
            method.visitLabel(errorSaved);
            method.visitVarInsn(ALOAD, 1);
            method.visitInsn(ACONST_NULL);
            method.visitMethodInsn(INVOKEVIRTUAL, FRAME, "error", "(L" + ERROR_KIND + ";)V", false);
            method.visitLabel(next);
        }
        Label noError = new Label();
        method.visitVarInsn(ALOAD, error);
        method.visitJumpInsn(IFNULL, noError);
        emitError(() -> method.visitVarInsn(ALOAD, error), end);
        method.visitLabel(noError);
        method.visitLdcInsn(1 - decisive);
        method.visitLabel(end);
    }

    /** Emits code that stores an error in the frame and jumps to the end with {@link Code#ERROR} on the stack. */
    private void emitError(Runnable loadError, Label end) {
        method.visitVarInsn(ALOAD, 1);
        loadError.run();
        method.visitTypeInsn(CHECKCAST, ERROR_KIND);
        method.visitMethodInsn(INVOKEVIRTUAL, FRAME, "error", "(L" + ERROR_KIND + ";)V", false);
        method.visitLdcInsn(Code.ERROR);
        method.visitJumpInsn(GOTO, end);
    }

    /** Emits a test of a string attribute or map entry against a constant. */
    private void emitTest(Node.Call call, boolean positive) {
        Node operand = call.arguments().get(0);
        Object constant = ((Node.Constant) call.arguments().get(1)).value();
        Label end = new Label();
        int value = emitRead(operand, end);
        String name = call.function().name();
        switch (name) {
            case "==", "!=" -> {
                loadConstant(constant, STRING);
                method.visitVarInsn(ALOAD, value);
                method.visitMethodInsn(INVOKEVIRTUAL, STRING, "equals", "(Ljava/lang/Object;)Z", false);
            }
            case "in" -> {
                loadConstant(new HashSet<>((List<?>) constant), "java/util/HashSet");
                method.visitVarInsn(ALOAD, value);
                method.visitMethodInsn(INVOKEVIRTUAL, "java/util/HashSet", "contains", "(Ljava/lang/Object;)Z", false);
            }
            default -> {
                loadConstant(constant, STRING);
                method.visitVarInsn(ALOAD, value);
                method.visitTypeInsn(CHECKCAST, STRING);
                method.visitInsn(SWAP);
                String parameter = name.equals("contains") ? "java/lang/CharSequence" : STRING;
                method.visitMethodInsn(INVOKEVIRTUAL, STRING, name, "(L" + parameter + ";)Z", false);
            }
        }
        if (positive == name.equals("!=")) {
            method.visitInsn(ICONST_1);
            method.visitInsn(IXOR);
        }
        method.visitLabel(end);
    }

    /** Emits a read of an attribute or map entry into a local variable, which is returned; an error jumps to the end. */
    private int emitRead(Node node, Label end) {
        int value = nextLocal++;
        boolean isEntry = node instanceof Node.Call;
        Node.Attribute attribute = (Node.Attribute) (isEntry ? ((Node.Call) node).arguments().get(0) : node);
        method.visitVarInsn(ALOAD, 1);
        method.visitLdcInsn(attribute.index());
        method.visitMethodInsn(INVOKEVIRTUAL, FRAME, "value", "(I)Ljava/lang/Object;", false);
        method.visitVarInsn(ASTORE, value);
        Label present = new Label();
        method.visitVarInsn(ALOAD, value);
        method.visitTypeInsn(INSTANCEOF, ERROR_KIND);
        method.visitJumpInsn(IFEQ, present);
        emitError(() -> method.visitVarInsn(ALOAD, value), end);
        method.visitLabel(present);
        if (isEntry) {
            Label found = new Label();
            method.visitVarInsn(ALOAD, value);
            method.visitTypeInsn(CHECKCAST, "java/util/Map");
            loadConstant(((Node.Constant) ((Node.Call) node).arguments().get(1)).value(), STRING);
            method.visitMethodInsn(INVOKEINTERFACE, "java/util/Map", "get", "(Ljava/lang/Object;)Ljava/lang/Object;", true);
            method.visitVarInsn(ASTORE, value);
            method.visitVarInsn(ALOAD, value);
            method.visitJumpInsn(IFNONNULL, found);
            emitError(() -> method.visitFieldInsn(GETSTATIC, ERROR_KIND, "NO_SUCH_KEY", "L" + ERROR_KIND + ";"), end);
            method.visitLabel(found);
        }
        return value;
    }
}
