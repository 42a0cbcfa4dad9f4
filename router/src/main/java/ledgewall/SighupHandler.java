package ledgewall;

import java.lang.reflect.Proxy;

/**
 * Hears of SIGHUP. Java's one way to do so is a class of the JDK's that the compiler warns of wherever it is named,
 * without a way to say that it is meant; so it is named in text here, and nowhere else.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /**
     * Has the action run, on a thread of its own, whenever the process is told to hang up; false if it cannot be heard. A
     * process that was started with SIGHUP ignored, as nohup and some supervisors do, never hears of it: the JDK
     * leaves such a signal ignored and says so only by the handler before.
     */
    static boolean handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object hears = Proxy.newProxyInstance(handler.getClassLoader(), new Class<?>[] {handler},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        action.run();
                        return null;
                    }
                    return method.invoke(action, arguments); // what every object has: equals, hashCode, toString
                });
            Object before = signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), hears);
            return !before.equals(handler.getField("SIG_IGN").get(null));
        } catch (ReflectiveOperationException | RuntimeException e) {
            return false;
        }
    }
}
