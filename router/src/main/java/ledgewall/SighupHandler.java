package ledgewall;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP. Java's only means for this is the JDK's class sun.misc.Signal, for which the compiler issues a warning that
 * cannot be suppressed; so it is called by reflection here, and nowhere else.
 */
final class SighupHandler {
    private SighupHandler() {
    }

    /**
     * Runs the action on a thread of its own at each SIGHUP. Returns false if the process cannot receive SIGHUP: in a process
     * that was started with it ignored, as by nohup and some supervisors, the JDK leaves the signal ignored and shows so only
     * by the previous handler that it returns.
     */
    static boolean install(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerProxy = Proxy.newProxyInstance(handlerClass.getClassLoader(), new Class<?>[] {handlerClass},
                (proxy, method, arguments) -> {
                    if (method.getName().equals("handle")) {
                        action.run();
                        return null;
                    }
                    return method.invoke(action, arguments); // methods of Object: equals, hashCode, toString
                });
            Object previous = signalClass.getMethod("handle", signalClass, handlerClass)
                .invoke(null, signalClass.getConstructor(String.class).newInstance("HUP"), handlerProxy);
            return !previous.equals(handlerClass.getField("SIG_IGN").get(null));
        } catch (ReflectiveOperationException | RuntimeException e) {
            return false;
        }
    }
}
